//! The state of one flow, followed by its packets.

use crate::segment::{MAX_WINDOW_BYTES, Segment};
use loftdrift_wire::FlowKey;
use std::net::SocketAddrV4;
use std::time::Duration;

/// The phase of a flow, as seen from its packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The SYN was passed to the back end, which has not answered it yet.
    Opening {
        /// The number of the balancer's offer.
        number: u64,
    },
    /// The back end has answered the SYN; no request has arrived yet.
    SynAcked,
    /// The back end has a request that it has not answered.
    AwaitingResponse {
        /// Flows that occupied the back end when the request began, this one included.
        in_system: u32,
    },
    /// A request has waited far longer than requests usually do here; it was counted as failed.
    Overdue,
    /// The flow is open and no request is outstanding.
    Idle,
    /// At least one end has closed the flow.
    Closing,
    /// The agent does not know whether the back end holds the flow; the back end's reaction to the
    /// next packet will show.
    OnTrial,
}

impl Phase {
    /// Whether a request has not been answered.
    pub(super) fn awaits_response(self) -> bool {
        matches!(self, Phase::AwaitingResponse { .. } | Phase::Overdue)
    }

    /// Whether the flow occupies the back end: it is being opened, or has an unanswered request.
    pub(super) fn occupies_backend(self) -> bool {
        matches!(self, Phase::Opening { .. } | Phase::SynAcked) || self.awaits_response()
    }
}

#[derive(Debug)]
pub(super) struct CarriedFlow {
    /// The balancer that sent the latest packet of the flow.
    pub(super) balancer: SocketAddrV4,
    pub(super) phase: Phase,
    pub(super) phase_since: Duration,
    /// When the latest packet of either end was passed on. The flow has rested since then.
    pub(super) last_packet: Duration,
    /// Sequence number of the SYN; distinguishes its retransmissions from the SYN of another flow.
    pub(super) syn_sequence: Option<u32>,
    /// The caller has closed its side; if a request is outstanding, the caller has given it up.
    pub(super) caller_closed: bool,
    /// The back end has closed its side.
    pub(super) backend_closed: bool,
    /// The caller has reset the flow.
    pub(super) caller_reset: bool,
    /// Sequence number after the last data received from the caller.
    pub(super) caller_data_end: Option<u32>,
    /// Acknowledgement number of the caller's last packet.
    pub(super) caller_acknowledged: Option<u32>,
    /// Sequence number after the last data received from the back end.
    pub(super) backend_data_end: Option<u32>,
}

impl CarriedFlow {
    pub(super) fn new(now: Duration, balancer: SocketAddrV4, phase: Phase) -> Self {
        CarriedFlow {
            balancer,
            phase,
            phase_since: now,
            last_packet: now,
            syn_sequence: None,
            caller_closed: false,
            backend_closed: false,
            caller_reset: false,
            caller_data_end: None,
            caller_acknowledged: None,
            backend_data_end: None,
        }
    }

    /// Whether no end will send anything new: both have closed the flow, or the caller has reset it.
    pub(super) fn is_over(&self) -> bool {
        self.caller_reset || (self.caller_closed && self.backend_closed)
    }

    /// From when on the timeout of the flow's phase counts: a flow that may be forgotten rests from
    /// its last packet on, whatever that packet carried.
    pub(super) fn timeout_begins_at(&self) -> Duration {
        match self.phase {
            Phase::Idle | Phase::OnTrial | Phase::Closing => self.phase_since.max(self.last_packet),
            _ => self.phase_since,
        }
    }

    /// Whether a caller's packet carries data that was not received before.
    pub(super) fn is_new_data(&self, segment: &Segment) -> bool {
        let end = segment.end();
        let is_ahead = |known: u32| end.wrapping_sub(known) as i32 > 0;
        segment.payload_bytes > 0 && self.caller_data_end.is_none_or(is_ahead)
    }

    /// Whether a caller's packet is the first one of a request.
    pub(super) fn begins_request(&self, segment: &Segment) -> bool {
        !self.phase.awaits_response() && self.is_new_data(segment)
    }

    /// Whether a back end's packet is a FIN without data that overtook data sent before it.
    pub(super) fn is_overtaking_fin(&self, segment: &Segment) -> bool {
        let is_ahead =
            |known: u32| segment.sequence.wrapping_sub(known) as i32 > SYN_SEQUENCE_LENGTH;
        let ends = segment.fin && segment.payload_bytes == 0;
        ends && self.backend_data_end.is_some_and(is_ahead)
    }

    /// Whether a caller's packet can belong to this flow and not to another one between the same
    /// addresses: its acknowledgement number must be near what this flow's back end has sent.
    pub(super) fn acknowledges_backend_data(&self, segment: &Segment) -> bool {
        self.acknowledges_up_to(segment.ack.then_some(segment.acknowledgement))
    }

    /// As [`CarriedFlow::acknowledges_backend_data`], given the acknowledgement number alone.
    pub(super) fn acknowledges_up_to(&self, acknowledged: Option<u32>) -> bool {
        let Some(acknowledged) = acknowledged else { return true };
        let Some(end) = self.backend_data_end else {
            // A back end that has not answered the SYN has sent nothing to acknowledge: the caller
            // opened the flow elsewhere. Without a SYN an earlier process of the agent may have
            // passed the answer on.
            return self.syn_sequence.is_none();
        };
        acknowledged.wrapping_sub(end).cast_signed().unsigned_abs() <= MAX_WINDOW_BYTES
    }

    /// Whether the sequence number of a caller's data fits this flow too. The acknowledgement
    /// number alone is not enough: the initial sequence numbers of two back ends are near each
    /// other once in 8,000 times. Data of the next flow from the same port, at another back end,
    /// would then reach this back end and be answered as part of this flow.
    pub(super) fn continues_caller_data(&self, segment: &Segment) -> bool {
        let known = self.caller_data_end.or(self.syn_sequence);
        segment.payload_bytes == 0
            || known.is_none_or(|known| {
                let distance = segment.sequence.wrapping_sub(known).cast_signed();
                distance.unsigned_abs() <= MAX_WINDOW_BYTES
            })
    }

    /// Whether a SYN is a retransmission that may still open the flow.
    pub(super) fn accepts_retransmitted_syn(&self, syn: &Segment) -> bool {
        let awaits = matches!(self.phase, Phase::Opening { .. } | Phase::SynAcked);
        awaits && self.syn_sequence.is_none_or(|sequence| sequence == syn.sequence)
    }

    /// Whether a SYN with this sequence number is a retransmission of the one that opened the flow,
    /// even if the flow is over. A retransmission may have waited in a queue for more than a
    /// second, and the caller may use the port for another flow by then, which would receive the
    /// back end's answer to the old SYN.
    pub(super) fn was_opened_by_syn(&self, sequence: u32) -> bool {
        self.syn_sequence == Some(sequence)
    }

    /// The segment that a reset of the flow answers: the caller's last acknowledgement. `None`
    /// before the caller has acknowledged anything.
    pub(super) fn last_acknowledgement(&self, key: &FlowKey) -> Option<Segment> {
        let acknowledgement = self.caller_acknowledged?;
        let head = Segment::between(key.caller, key.service);
        Some(Segment { ack: true, acknowledgement, ..head })
    }

    /// Whether a caller's packet proves that the flow is open at this back end: the back end has
    /// sent something, and the packet acknowledges it.
    pub(super) fn is_proven_open_by(&self, segment: &Segment) -> bool {
        let is_over =
            self.backend_closed || matches!(self.phase, Phase::Opening { .. } | Phase::Closing);
        let is_known = self.backend_data_end.is_some() && segment.ack;
        !is_over && is_known && self.acknowledges_backend_data(segment)
    }
}

/// A SYN takes up one sequence number.
const SYN_SEQUENCE_LENGTH: i32 = 1;
