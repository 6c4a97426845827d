//! One flow, as far as its packets tell.

use crate::segment::Segment;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Where a flow stands, as far as its packets tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The back end has the opening packet.
    Offered {
        /// The offer's number.
        number: u64,
    },
    /// The back end has answered the opening packet.
    Answered,
    /// A request waits for its answer.
    Waiting {
        /// Requests in the system when it began, this one included.
        in_system: u32,
    },
    /// A request waits far longer than requests do here; it was counted as failed.
    Overdue,
    /// Nothing is owed.
    Resting,
    /// One end has finished.
    Closing,
    /// Forgotten or never known here; the back end is to tell.
    Tried,
}

impl Phase {
    /// Whether a request waits for its answer.
    pub(super) fn is_waiting(self) -> bool {
        matches!(self, Phase::Waiting { .. } | Phase::Overdue)
    }

    /// Whether the back end has something to do, or is about to.
    pub(super) fn burdens(self) -> bool {
        matches!(self, Phase::Offered { .. } | Phase::Answered) || self.is_waiting()
    }
}

#[derive(Debug)]
pub(super) struct CarriedFlow {
    /// The balancer that sent a packet of the flow last.
    pub(super) balancer: SocketAddrV4,
    pub(super) phase: Phase,
    pub(super) since: Duration,
    /// The caller has finished; while a request waits, it has given that up.
    pub(super) caller_left: bool,
    /// End of the caller's data so far, in its sequence numbers.
    pub(super) caller_end: Option<u32>,
    /// End of the back end's data so far, in the numbers that the caller acknowledges.
    pub(super) backend_end: Option<u32>,
}

impl CarriedFlow {
    pub(super) fn new(now: Duration, balancer: SocketAddrV4, phase: Phase) -> Self {
        CarriedFlow {
            balancer,
            phase,
            since: now,
            caller_left: false,
            caller_end: None,
            backend_end: None,
        }
    }

    /// Whether a caller's packet carries data that has not come before.
    pub(super) fn is_new_data(&self, segment: &Segment) -> bool {
        let end = segment.end();
        let is_ahead = |known: u32| end.wrapping_sub(known) as i32 > 0;
        segment.payload_bytes > 0 && self.caller_end.is_none_or(is_ahead)
    }

    /// Whether a caller's packet is the first of a request.
    pub(super) fn begins_request(&self, segment: &Segment) -> bool {
        !self.phase.is_waiting() && self.is_new_data(segment)
    }

    /// Whether a packet without data that ends a flow stands behind data which has not come.
    pub(super) fn is_ahead_of_answer(&self, segment: &Segment) -> bool {
        let is_ahead = |known: u32| segment.sequence.wrapping_sub(known) as i32 > OPENING_NUMBERS;
        let ends = segment.finishes && segment.payload_bytes == 0;
        ends && self.backend_end.is_some_and(is_ahead)
    }

    /// Whether a caller's packet can be of this flow and not of another one between the same
    /// addresses: it acknowledges what this flow's back end has sent.
    pub(super) fn acknowledges_here(&self, segment: &Segment) -> bool {
        let Some(end) = self.backend_end.filter(|_| segment.acknowledges) else {
            return true;
        };
        let distance = segment.acknowledgement.wrapping_sub(end) as i32;
        distance.unsigned_abs() <= LARGEST_WINDOW
    }
}

/// Sequence numbers that an opening packet takes.
const OPENING_NUMBERS: i32 = 1;
/// Further apart, in bytes, are no two packets of one flow that are under way.
const LARGEST_WINDOW: u32 = 1 << 18;
