//! New flows that no agent has placed yet.
//!
//! An opening offers the flow to one agent after the other. The first round asks for a free slot;
//! when nobody has one, the second asks whoever can still answer in time. An agent that says nothing
//! is passed over and may still place the flow: two answers to a caller are harmless, none is not.

use crate::message::{Admission, DeclineReason};
use crate::pending::Pending;
use crate::segment::Segment;
use loftdrift_wire::FlowKey;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long a caller has waited when it sends each copy of its opening packet.
const COPIED_AFTER: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// Share of the aim after which a request is taken to be late: its work is still to come.
const LATE_SHARE: f64 = 0.5;
/// A caller may be reset only so long after each copy came: it sends the next one a little later.
const RESET_WITHIN: [Duration; 3] =
    [Duration::from_millis(160), Duration::from_millis(360), Duration::from_millis(700)];
/// An agent that was late with its answer may have placed the flow; the caller goes on within this
/// time if so.
const UNANSWERED_LASTS: Duration = Duration::from_millis(130);

/// What one agent said to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// Nothing yet.
    Pending,
    /// Nothing in time.
    Unanswered,
    /// No.
    Declined(DeclineReason),
}

/// An offer that was made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub(crate) agent: SocketAddrV4,
    pub(crate) admission: Admission,
    pub(crate) answer: Answer,
    pub(crate) asked_at: Duration,
}

impl Asked {
    /// Whether a place in the queue was asked for, not a slot.
    fn wanted_queue(&self) -> bool {
        !matches!(self.admission, Admission::FreeSlot | Admission::Spare)
    }
}

/// An opening packet as it came.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) segment: Segment,
    pub(crate) datagram: Vec<u8>,
    /// No later than this it came; it may have waited in a socket.
    pub(crate) came_at: Duration,
}

/// What a new flow wants of a back end.
#[derive(Debug)]
pub(crate) struct Wanted {
    pub(crate) service: String,
    /// Regions that the back end may be in; any where none is named.
    pub(crate) regions: Vec<String>,
    /// Within this time the answer is worth all that it can be.
    pub(crate) aim: Duration,
}

/// A new flow on its way to a back end.
#[derive(Debug)]
pub(crate) struct Opening {
    pub(crate) segment: Segment,
    pub(crate) datagram: Vec<u8>,
    pub(crate) service: String,
    /// Regions that its back end may be in; any where none is named.
    pub(crate) regions: Vec<String>,
    pub(crate) aim: Duration,
    pub(crate) started: Duration,
    /// No later than this the last copy of the opening packet came; it may have waited in a socket.
    copied_at: Duration,
    /// Which copy that was.
    copy: u32,
    /// Kept until an agent has room, since the service is just coming back.
    pub(crate) is_held: bool,
    /// Was kept at least once.
    pub(crate) was_held: bool,
    pub(crate) asked: Vec<Asked>,
    /// Offers made so far, those of rounds that are over included.
    pub(crate) offers: u32,
    /// Nobody has a free slot: whoever can answer in time is asked.
    pub(crate) wants_queue: bool,
    /// No back end of the service is there but ones that fail.
    pub(crate) is_last_resort: bool,
}

/// Whether the sender of a copy of an opening packet may still be reset so long after the copy came.
pub(crate) fn may_reset_copy(copy: u32, age: Duration) -> bool {
    let last = RESET_WITHIN[RESET_WITHIN.len() - 1];
    age <= RESET_WITHIN.get(copy as usize).copied().unwrap_or(last)
}

impl Opening {
    pub(crate) fn flow(&self) -> FlowKey {
        self.segment.flow()
    }

    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }

    /// Time since the last copy of the opening packet.
    pub(crate) fn copy_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.copied_at)
    }

    /// Whether the caller may still be reset: it repeats the packet soon, perhaps through another
    /// balancer, where the flow may open meanwhile.
    pub(crate) fn may_reset(&self, now: Duration) -> bool {
        may_reset_copy(self.copy, self.copy_age(now))
    }

    /// Whether the aim is past, or too near for a place in a queue.
    pub(crate) fn is_late(&self, now: Duration) -> bool {
        let waited = COPIED_AFTER.get(self.segment.acknowledgement as usize);
        let waited = waited.copied().unwrap_or(COPIED_AFTER[COPIED_AFTER.len() - 1]);
        waited + self.age(now) >= self.aim.mul_f64(LATE_SHARE)
    }

    /// Whether an agent that has said nothing so far may have placed the flow not long ago.
    pub(crate) fn may_be_placed(&self, now: Duration) -> bool {
        self.asked.iter().any(|asked| {
            let is_recent = now.saturating_sub(asked.asked_at) < UNANSWERED_LASTS;
            asked.answer == Answer::Unanswered && is_recent
        })
    }

    /// Asks everybody again, but for those that have not answered.
    pub(crate) fn begin_again(&mut self) {
        self.is_held = false;
        self.wants_queue = false;
        self.asked.retain(|asked| asked.answer == Answer::Unanswered);
    }

    /// Whether an agent is not to be asked (again) in the round under way.
    pub(crate) fn has_asked(&self, agent: &SocketAddrV4) -> bool {
        self.asked.iter().any(|asked| {
            let this_round = asked.wanted_queue() == self.wants_queue;
            let is_busy = asked.answer == Answer::Declined(DeclineReason::Busy);
            asked.agent == *agent && (this_round || !is_busy)
        })
    }

    /// Whether an agent was asked though its back end fails.
    pub(crate) fn has_asked_failing(&self, agent: &SocketAddrV4) -> bool {
        let is_last_resort = |asked: &Asked| matches!(asked.admission, Admission::Failing(_));
        self.asked.iter().any(|asked| asked.agent == *agent && is_last_resort(asked))
    }

    /// Offers made in the round under way.
    pub(crate) fn asked_in_round(&self) -> usize {
        let in_round = |asked: &&Asked| asked.wanted_queue() == self.wants_queue;
        self.asked.iter().filter(in_round).count()
    }

    pub(crate) fn is_pending(&self) -> bool {
        self.asked.iter().any(|asked| asked.answer == Answer::Pending)
    }

    pub(crate) fn has_unanswered(&self) -> bool {
        self.asked.iter().any(|asked| asked.answer == Answer::Unanswered)
    }

    pub(crate) fn was_declined(&self, reason: DeclineReason) -> bool {
        self.asked.iter().any(|asked| asked.answer == Answer::Declined(reason))
    }

    /// Whether an agent was offered the flow.
    pub(crate) fn was_offered_to(&self, agent: SocketAddrV4) -> bool {
        self.asked.iter().any(|asked| asked.agent == agent)
    }

    /// The offer made to an agent last.
    pub(crate) fn last_offer_to(&mut self, agent: SocketAddrV4) -> Option<&mut Asked> {
        self.asked.iter_mut().rev().find(|asked| asked.agent == agent)
    }
}

/// All openings under way.
#[derive(Debug)]
pub(crate) struct Openings {
    pending: Pending<Opening>,
    /// Openings under way that were kept at least once.
    held: usize,
}

/// Most openings under way; more are refused at once.
const MOST_OPENINGS: usize = 4_096;

impl Openings {
    /// Numbers its openings from `first` on: an answer to an earlier process of the balancer must
    /// not be taken for one to this process.
    pub(crate) fn new(first: u64) -> Self {
        Openings { pending: Pending::new(first), held: 0 }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.pending.len() >= MOST_OPENINGS
    }

    pub(crate) fn number_of(&self, flow: &FlowKey) -> Option<u64> {
        self.pending.number_of(flow)
    }

    pub(crate) fn start(&mut self, now: Duration, opened: Opened, wanted: Wanted) -> u64 {
        let Opened { segment, datagram, came_at } = opened;
        let Wanted { service, regions, aim } = wanted;
        let opening = Opening {
            segment,
            datagram,
            service,
            regions,
            aim,
            started: now,
            copied_at: came_at,
            copy: segment.acknowledgement,
            is_held: false,
            was_held: false,
            asked: Vec::new(),
            offers: 0,
            wants_queue: false,
            is_last_resort: false,
        };
        self.pending.start(now, segment.flow(), opening)
    }

    pub(crate) fn get(&self, number: u64) -> Option<&Opening> {
        self.pending.get(number)
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut Opening> {
        self.pending.get_mut(number)
    }

    /// How many under way were kept at least once.
    pub(crate) fn held(&self) -> usize {
        self.held
    }

    /// Keeps an opening until its next wake-up; `true` the first time.
    pub(crate) fn hold(&mut self, number: u64) -> bool {
        let Some(opening) = self.pending.get_mut(number) else { return false };
        opening.is_held = true;
        let is_first = !std::mem::replace(&mut opening.was_held, true);
        self.held += usize::from(is_first);
        is_first
    }

    /// A copy of the opening packet came.
    pub(crate) fn note_copy(&mut self, came_at: Duration, number: u64, copy: u32) {
        if let Some(opening) = self.pending.get_mut(number) {
            opening.copied_at = came_at;
            opening.copy = copy;
        }
    }

    pub(crate) fn finish(&mut self, number: u64) -> Option<Opening> {
        let opening = self.pending.finish(number)?;
        self.held -= usize::from(opening.was_held);
        Some(opening)
    }

    pub(crate) fn wake_at(&mut self, number: u64, at: Duration) {
        self.pending.wake_at(number, at);
    }

    pub(crate) fn next_wake_up(&self) -> Option<Duration> {
        self.pending.next_wake_up()
    }

    /// Takes an opening whose wake-up has come.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<u64> {
        self.pending.pop_due(now)
    }
}
