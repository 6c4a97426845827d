//! New flows that no agent has placed yet.
//!
//! An opening offers the flow to one agent after the other. The first round asks for a free slot;
//! when nobody has one, the second asks whoever can still answer in time. An agent that says nothing
//! is passed over and may still place the flow: two answers to a caller are harmless, none is not.

use crate::flow_table::FlowTable;
use crate::message::{Admission, DeclineReason};
use crate::segment::Segment;
use loftdrift_wire::FlowKey;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long a caller has waited when it sends each copy of its opening packet.
const COPIED_AFTER: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// A caller gives a try up so long after its opening packet.
pub(crate) const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_400);
/// What is left of a try when a flow leaves an agent's line at the latest: the ways to the back end and
/// to the caller, some 10 ms in all, and a queue in front of a small balancer.
const TRY_MARGIN: Duration = Duration::from_millis(80);
/// With less left, waiting is not worth an offer.
const LEAST_PATIENCE: Duration = Duration::from_millis(20);
/// Agents that a flow is offered to for their lines, at most: one that has just filled up, and another.
const MOST_LINES: usize = 2;
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
pub(crate) enum OfferAnswer {
    /// Nothing yet.
    Pending,
    /// Nothing in time.
    Unanswered,
    /// It waits there until the back end has room.
    Queued,
    /// No.
    Declined(DeclineReason),
}

/// An offer that was made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    pub(crate) agent: SocketAddrV4,
    pub(crate) admission: Admission,
    pub(crate) answer: OfferAnswer,
    pub(crate) offered_at: Duration,
}

impl Offer {
    /// Whether a place in the queue was asked for, not a slot.
    fn wanted_queue(&self) -> bool {
        !matches!(self.admission, Admission::FreeSlot | Admission::Spare)
    }

    /// Whether a place in the agent's line was asked for.
    fn wanted_line(&self) -> bool {
        matches!(self.admission, Admission::Line { .. })
    }
}

/// An opening packet as it came.
#[derive(Debug)]
pub(crate) struct ReceivedSyn {
    pub(crate) segment: Segment,
    pub(crate) datagram: Vec<u8>,
    /// No later than this it came; it may have waited in a socket.
    pub(crate) arrived_at: Duration,
    /// From then on it has waited here.
    pub(crate) received_at: Duration,
    /// No later than this its first copy here came; the caller's try lasts from then on.
    pub(crate) first_arrived_at: Duration,
}

/// How long a caller goes on with its try of which `opening`, the first copy that came here, came no
/// later than `first_came`; nothing when that is too little.
fn remaining_wait(
    now: Duration,
    opening: &Segment,
    first_arrived_at: Duration,
) -> Option<Duration> {
    let copied = COPIED_AFTER.get(opening.acknowledgement as usize);
    let copied = copied.copied().unwrap_or(COPIED_AFTER[COPIED_AFTER.len() - 1]);
    let lasts = ATTEMPT_TIMEOUT.saturating_sub(copied).saturating_sub(TRY_MARGIN);
    let left = lasts.saturating_sub(now.saturating_sub(first_arrived_at));
    (left >= LEAST_PATIENCE).then_some(left)
}

impl ReceivedSyn {
    /// Whether its caller goes on with its try for long enough.
    pub(crate) fn is_caller_waiting(&self, now: Duration) -> bool {
        remaining_wait(now, &self.segment, self.first_arrived_at).is_some()
    }

    /// Whether another packet is a copy of this one.
    pub(crate) fn is_retransmission(&self, other: &ReceivedSyn) -> bool {
        self.segment.sequence == other.segment.sequence
    }
}

/// What a new flow wants of a back end.
#[derive(Debug)]
pub(crate) struct Requirements {
    pub(crate) service: String,
    /// Regions that the back end may be in; any where none is named.
    pub(crate) regions: Vec<String>,
    /// Within this time the answer is worth all that it can be.
    pub(crate) aim: Duration,
    /// How urgent its requests are; 0 is the most urgent.
    pub(crate) priority: u8,
}

/// A new flow on its way to a back end.
#[derive(Debug)]
pub(crate) struct PendingFlow {
    pub(crate) segment: Segment,
    pub(crate) datagram: Vec<u8>,
    pub(crate) service: String,
    /// Regions that its back end may be in; any where none is named.
    pub(crate) regions: Vec<String>,
    pub(crate) aim: Duration,
    pub(crate) priority: u8,
    pub(crate) received_at: Duration,
    /// No later than this its first copy here came.
    first_arrived_at: Duration,
    /// No later than this the last copy of the opening packet came; it may have waited in a socket.
    copied_at: Duration,
    /// Which copy that was.
    copy: u32,
    pub(crate) offers: Vec<Offer>,
    /// Offers made so far, those of rounds that are over included.
    pub(crate) offer_count: u32,
    /// Nobody has a free slot: whoever can answer in time is asked.
    pub(crate) wants_queue: bool,
    /// It is offered to agents in whose line it may wait.
    pub(crate) wants_wait_queue: bool,
    /// No back end of the service is there but ones that fail.
    pub(crate) is_last_resort: bool,
}

/// Whether the sender of a copy of an opening packet may still be reset so long after the copy came.
pub(crate) fn may_reset_after(copy: u32, age: Duration) -> bool {
    let last = RESET_WITHIN[RESET_WITHIN.len() - 1];
    age <= RESET_WITHIN.get(copy as usize).copied().unwrap_or(last)
}

impl PendingFlow {
    pub(crate) fn flow(&self) -> FlowKey {
        self.segment.flow()
    }

    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// Time since the last copy of the opening packet.
    pub(crate) fn copy_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.copied_at)
    }

    /// Whether the caller may still be reset: it repeats the packet soon, perhaps through another
    /// balancer, where the flow may open meanwhile.
    pub(crate) fn may_reset(&self, now: Duration) -> bool {
        may_reset_after(self.copy, self.copy_age(now))
    }

    /// Whether the aim is past, or too near for a place in a queue.
    pub(crate) fn is_late(&self, now: Duration) -> bool {
        let waited = COPIED_AFTER.get(self.segment.acknowledgement as usize);
        let waited = waited.copied().unwrap_or(COPIED_AFTER[COPIED_AFTER.len() - 1]);
        waited + self.age(now) >= self.aim.mul_f64(LATE_SHARE)
    }

    /// How long the flow may wait for room: as long as its caller's try lasts. Nothing when that is
    /// too little.
    pub(crate) fn remaining_wait(&self, now: Duration) -> Option<Duration> {
        remaining_wait(now, &self.segment, self.first_arrived_at)
    }

    /// Lines that the flow may still be offered to.
    pub(crate) fn wait_queues_left(&self) -> usize {
        MOST_LINES.saturating_sub(self.offers.iter().filter(|offers| offers.wanted_line()).count())
    }

    /// Whether the flow was offered to a line.
    pub(crate) fn has_tried_wait_queue(&self) -> bool {
        self.offers.iter().any(Offer::wanted_line)
    }

    /// Whether an agent was asked for a place in its line, or cannot give one.
    pub(crate) fn excludes_wait_queue(&self, agent: &SocketAddrV4) -> bool {
        let is_busy = |answer| matches!(answer, OfferAnswer::Declined(reason) if reason.may_pass());
        self.offers.iter().any(|offers| {
            offers.agent == *agent && (offers.wanted_line() || !is_busy(offers.answer))
        })
    }

    /// The agent in whose line it waits.
    pub(crate) fn queued_agent(&self) -> Option<SocketAddrV4> {
        let queued = self.offers.iter().find(|offers| offers.answer == OfferAnswer::Queued);
        queued.map(|offers| offers.agent)
    }

    /// Whether an agent that has said nothing so far may have placed the flow not long ago.
    pub(crate) fn may_be_placed(&self, now: Duration) -> bool {
        self.offers.iter().any(|offers| {
            let is_recent = now.saturating_sub(offers.offered_at) < UNANSWERED_LASTS;
            offers.answer == OfferAnswer::Unanswered && is_recent
        })
    }

    /// Whether an agent is not to be asked (again) in the round under way.
    pub(crate) fn excludes(&self, agent: &SocketAddrV4) -> bool {
        self.offers.iter().any(|offers| {
            let this_round = offers.wanted_queue() == self.wants_queue;
            let is_busy = offers.answer == OfferAnswer::Declined(DeclineReason::Busy);
            offers.agent == *agent && (this_round || !is_busy)
        })
    }

    /// Whether an agent was asked though its back end fails.
    pub(crate) fn has_tried_failing(&self, agent: &SocketAddrV4) -> bool {
        let is_last_resort = |offers: &Offer| matches!(offers.admission, Admission::Failing(_));
        self.offers.iter().any(|offers| offers.agent == *agent && is_last_resort(offers))
    }

    /// Offers made in the round under way.
    pub(crate) fn offers_in_round(&self) -> usize {
        let in_round = |offers: &&Offer| offers.wanted_queue() == self.wants_queue;
        self.offers.iter().filter(in_round).count()
    }

    /// Whether an agent's answer is to come.
    pub(crate) fn awaits_answer(&self) -> bool {
        let awaits_answer = |answer| matches!(answer, OfferAnswer::Pending | OfferAnswer::Queued);
        self.offers.iter().any(|offers| awaits_answer(offers.answer))
    }

    pub(crate) fn has_unanswered(&self) -> bool {
        self.offers.iter().any(|offers| offers.answer == OfferAnswer::Unanswered)
    }

    pub(crate) fn was_declined(&self, reason: DeclineReason) -> bool {
        self.offers.iter().any(|offers| offers.answer == OfferAnswer::Declined(reason))
    }

    /// Whether an agent was offered the flow.
    pub(crate) fn was_offered_to(&self, agent: SocketAddrV4) -> bool {
        self.offers.iter().any(|offers| offers.agent == agent)
    }

    /// The offer made to an agent last.
    pub(crate) fn last_offer_to(&mut self, agent: SocketAddrV4) -> Option<&mut Offer> {
        self.offers.iter_mut().rev().find(|offers| offers.agent == agent)
    }
}

/// All openings under way.
#[derive(Debug)]
pub(crate) struct PendingFlows {
    pending: FlowTable<PendingFlow>,
}

/// Most openings under way; more are refused at once.
const MOST_OPENINGS: usize = 4_096;

impl PendingFlows {
    /// Numbers its openings from `first` on: an answer to an earlier process of the balancer must
    /// not be taken for one to this process.
    pub(crate) fn new(first: u64) -> Self {
        PendingFlows { pending: FlowTable::new(first) }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.pending.len() >= MOST_OPENINGS
    }

    pub(crate) fn number_of(&self, flow: &FlowKey) -> Option<u64> {
        self.pending.number_of(flow)
    }

    pub(crate) fn start(
        &mut self,
        now: Duration,
        opened: ReceivedSyn,
        wanted: Requirements,
    ) -> u64 {
        let ReceivedSyn { segment, datagram, arrived_at, received_at, first_arrived_at } = opened;
        let Requirements { service, regions, aim, priority } = wanted;
        let opening = PendingFlow {
            segment,
            datagram,
            service,
            regions,
            aim,
            priority,
            received_at,
            first_arrived_at,
            copied_at: arrived_at,
            copy: segment.acknowledgement,
            offers: Vec::new(),
            offer_count: 0,
            wants_queue: false,
            wants_wait_queue: false,
            is_last_resort: false,
        };
        self.pending.start(now, segment.flow(), opening)
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut PendingFlow> {
        self.pending.get_mut(number)
    }

    /// A copy of the opening packet came.
    pub(crate) fn note_retransmission(&mut self, arrived_at: Duration, number: u64, copy: u32) {
        if let Some(opening) = self.pending.get_mut(number) {
            opening.copied_at = arrived_at;
            opening.copy = copy;
        }
    }

    pub(crate) fn finish(&mut self, number: u64) -> Option<PendingFlow> {
        self.pending.finish(number)
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
