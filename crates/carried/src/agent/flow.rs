//! One flow, as far as its packets tell.

use crate::segment::{LARGEST_WINDOW, Segment};
use loftdrift_wire::FlowKey;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Where a flow stands, as far as its packets tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The back end has the opening packet.
    Opening {
        /// The offer's number.
        number: u64,
    },
    /// The back end has answered the opening packet.
    SynAcked,
    /// A request waits for its answer.
    AwaitingResponse {
        /// Requests in the system when it began, this one included.
        in_system: u32,
    },
    /// A request waits far longer than requests do here; it was counted as failed.
    Overdue,
    /// Nothing is owed.
    Idle,
    /// One end has finished.
    Closing,
    /// Forgotten or never known here; the back end is to tell.
    OnTrial,
}

impl Phase {
    /// Whether a request waits for its answer.
    pub(super) fn awaits_response(self) -> bool {
        matches!(self, Phase::AwaitingResponse { .. } | Phase::Overdue)
    }

    /// Whether the back end has something to do, or is about to.
    pub(super) fn occupies_backend(self) -> bool {
        matches!(self, Phase::Opening { .. } | Phase::SynAcked) || self.awaits_response()
    }
}

#[derive(Debug)]
pub(super) struct CarriedFlow {
    /// The balancer that sent a packet of the flow last.
    pub(super) balancer: SocketAddrV4,
    pub(super) phase: Phase,
    pub(super) phase_since: Duration,
    /// Sequence number of the opening packet, by which its copies are told from another flow's.
    pub(super) syn_sequence: Option<u32>,
    /// The caller has finished; while a request waits, it has given that up.
    pub(super) caller_closed: bool,
    /// The back end has finished.
    pub(super) backend_closed: bool,
    /// End of the caller's data so far, in its sequence numbers.
    pub(super) caller_data_end: Option<u32>,
    /// What the caller's last packet acknowledges.
    pub(super) caller_acknowledged: Option<u32>,
    /// End of the back end's data so far, in the numbers that the caller acknowledges.
    pub(super) backend_data_end: Option<u32>,
}

impl CarriedFlow {
    pub(super) fn new(now: Duration, balancer: SocketAddrV4, phase: Phase) -> Self {
        CarriedFlow {
            balancer,
            phase,
            phase_since: now,
            syn_sequence: None,
            caller_closed: false,
            backend_closed: false,
            caller_data_end: None,
            caller_acknowledged: None,
            backend_data_end: None,
        }
    }

    /// Whether a caller's packet carries data that has not come before.
    pub(super) fn is_new_data(&self, segment: &Segment) -> bool {
        let end = segment.end();
        let is_ahead = |known: u32| end.wrapping_sub(known) as i32 > 0;
        segment.payload_bytes > 0 && self.caller_data_end.is_none_or(is_ahead)
    }

    /// Whether a caller's packet is the first of a request.
    pub(super) fn begins_request(&self, segment: &Segment) -> bool {
        !self.phase.awaits_response() && self.is_new_data(segment)
    }

    /// Whether a packet without data that ends a flow stands behind data which has not come.
    pub(super) fn is_fin_before_data(&self, segment: &Segment) -> bool {
        let is_ahead =
            |known: u32| segment.sequence.wrapping_sub(known) as i32 > SYN_SEQUENCE_LENGTH;
        let ends = segment.finishes && segment.payload_bytes == 0;
        ends && self.backend_data_end.is_some_and(is_ahead)
    }

    /// Whether a caller's packet can be of this flow and not of another one between the same
    /// addresses: it acknowledges what this flow's back end has sent.
    pub(super) fn acknowledges_backend_data(&self, segment: &Segment) -> bool {
        self.acknowledges_up_to(segment.acknowledges.then_some(segment.acknowledgement))
    }

    /// The same of a packet's acknowledgement alone.
    pub(super) fn acknowledges_up_to(&self, acknowledged: Option<u32>) -> bool {
        let (Some(end), Some(acknowledged)) = (self.backend_data_end, acknowledged) else {
            return true;
        };
        acknowledged.wrapping_sub(end).cast_signed().unsigned_abs() <= LARGEST_WINDOW
    }

    /// Whether a caller's data can be of this flow by its own numbers too. Back ends' first numbers
    /// are near each other once in 8,000 times: the port's next flow, at another back end, would be
    /// answered with what this one was.
    pub(super) fn continues_caller_data(&self, segment: &Segment) -> bool {
        let known = self.caller_data_end.or(self.syn_sequence);
        segment.payload_bytes == 0
            || known.is_none_or(|known| {
                let distance = segment.sequence.wrapping_sub(known).cast_signed();
                distance.unsigned_abs() <= LARGEST_WINDOW
            })
    }

    /// Whether a copy of the opening packet may still open the flow.
    pub(super) fn accepts_retransmitted_syn(&self, syn: &Segment) -> bool {
        let awaits = matches!(self.phase, Phase::Opening { .. } | Phase::SynAcked);
        awaits && self.syn_sequence.is_none_or(|sequence| sequence == syn.sequence)
    }

    /// Whether an opening packet with this number is a copy of the one that opened the flow, which may
    /// be over: a copy may have waited for more than a second in a line, and its caller's port may
    /// stand for another flow by then. The back end would answer that one for the old one.
    pub(super) fn was_opened_by_syn(&self, sequence: u32) -> bool {
        self.syn_sequence == Some(sequence)
    }

    /// What a reset of the flow answers; `None` before the caller has acknowledged anything.
    pub(super) fn last_acknowledgement(&self, key: &FlowKey) -> Option<Segment> {
        let acknowledgement = self.caller_acknowledged?;
        let head = Segment::between(key.caller, key.service);
        Some(Segment { acknowledges: true, acknowledgement, ..head })
    }

    /// Whether a caller's packet shows that the flow is open here: its back end has sent something,
    /// and the packet acknowledges that.
    pub(super) fn is_proven_open_by(&self, segment: &Segment) -> bool {
        let is_over =
            self.backend_closed || matches!(self.phase, Phase::Opening { .. } | Phase::Closing);
        let is_known = self.backend_data_end.is_some() && segment.acknowledges;
        !is_over && is_known && self.acknowledges_backend_data(segment)
    }
}

/// Sequence numbers that an opening packet takes.
const SYN_SEQUENCE_LENGTH: i32 = 1;
