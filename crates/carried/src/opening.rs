//! New flows that no agent has placed yet.
//!
//! An opening offers the flow to one agent after the other. The first round asks for a free slot;
//! when nobody has one, the second asks whoever can still answer in time. An agent that says nothing
//! is passed over and may still place the flow: two answers to a caller are harmless, none is not.

use crate::message::{Admission, DeclineReason};
use crate::segment::Segment;
use loftdrift_wire::FlowKey;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

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

/// A new flow on its way to a back end.
#[derive(Debug)]
pub(crate) struct Opening {
    pub(crate) segment: Segment,
    pub(crate) datagram: Vec<u8>,
    pub(crate) service: String,
    pub(crate) aim: Duration,
    pub(crate) started: Duration,
    /// When the last copy of the opening packet came.
    copied_at: Duration,
    pub(crate) asked: Vec<Asked>,
    /// Nobody has a free slot: whoever can answer in time is asked.
    pub(crate) wants_queue: bool,
    /// No back end of the service is there but ones that fail.
    pub(crate) is_last_resort: bool,
    wake_at: Duration,
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

    /// Whether an agent is not to be asked (again) in the round under way.
    pub(crate) fn has_asked(&self, agent: &SocketAddrV4) -> bool {
        self.asked.iter().any(|asked| {
            let this_round = (asked.admission != Admission::FreeSlot) == self.wants_queue;
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
        let in_round =
            |asked: &&Asked| (asked.admission != Admission::FreeSlot) == self.wants_queue;
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
#[derive(Debug, Default)]
pub(crate) struct Openings {
    by_flow: HashMap<FlowKey, u64>,
    by_number: HashMap<u64, Opening>,
    wake_ups: BTreeSet<(Duration, u64)>,
    last_number: u64,
}

/// Most openings under way; more are refused at once.
const MOST_OPENINGS: usize = 4_096;

impl Openings {
    /// Numbers its openings from `first` on: an answer to an earlier process of the balancer must
    /// not be taken for one to this process.
    pub(crate) fn new(first: u64) -> Self {
        Openings { last_number: first, ..Openings::default() }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.by_number.len() >= MOST_OPENINGS
    }

    pub(crate) fn number_of(&self, flow: &FlowKey) -> Option<u64> {
        self.by_flow.get(flow).copied()
    }

    pub(crate) fn start(
        &mut self,
        now: Duration,
        segment: Segment,
        datagram: Vec<u8>,
        service: String,
        aim: Duration,
    ) -> u64 {
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        let opening = Opening {
            segment,
            datagram,
            service,
            aim,
            started: now,
            copied_at: now,
            asked: Vec::new(),
            wants_queue: false,
            is_last_resort: false,
            wake_at: now,
        };
        self.by_flow.insert(segment.flow(), number);
        self.wake_ups.insert((now, number));
        self.by_number.insert(number, opening);
        number
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut Opening> {
        self.by_number.get_mut(&number)
    }

    /// A copy of the opening packet came.
    pub(crate) fn note_copy(&mut self, now: Duration, number: u64) {
        if let Some(opening) = self.by_number.get_mut(&number) {
            opening.copied_at = now;
        }
    }

    pub(crate) fn finish(&mut self, number: u64) -> Option<Opening> {
        let opening = self.by_number.remove(&number)?;
        self.wake_ups.remove(&(opening.wake_at, number));
        self.by_flow.remove(&opening.flow());
        Some(opening)
    }

    pub(crate) fn wake_at(&mut self, number: u64, at: Duration) {
        let Some(opening) = self.by_number.get_mut(&number) else { return };
        self.wake_ups.remove(&(opening.wake_at, number));
        opening.wake_at = at;
        self.wake_ups.insert((at, number));
    }

    pub(crate) fn next_wake_up(&self) -> Option<Duration> {
        self.wake_ups.first().map(|(at, _)| *at)
    }

    /// Takes an opening whose wake-up has come.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<u64> {
        let (at, number) = *self.wake_ups.first()?;
        if at > now {
            return None;
        }
        self.wake_ups.pop_first();
        Some(number)
    }
}
