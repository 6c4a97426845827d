//! One packet of a carried flow, as far as the cores need to know it.

use crate::message::FlowName;
use loftdrift_wire::{FlowKey, Transport};
use std::net::SocketAddrV4;
use thiserror::Error;

/// The header fields of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The sender.
    pub source: SocketAddrV4,
    /// The receiver.
    pub destination: SocketAddrV4,
    /// Sequence number of its first byte.
    pub sequence: u32,
    /// The sequence number that it acknowledges; in a SYN, the number of the retransmission, 0 for
    /// the original SYN.
    pub acknowledgement: u32,
    /// The SYN flag.
    pub syn: bool,
    /// The ACK flag.
    pub ack: bool,
    /// The FIN flag.
    pub fin: bool,
    /// The RST flag.
    pub rst: bool,
    /// The back end refused the packet and returns it.
    pub returned: bool,
    /// Length of the payload.
    pub payload_bytes: u16,
}

impl Segment {
    /// A packet without flags, numbers or payload.
    pub fn between(source: SocketAddrV4, destination: SocketAddrV4) -> Self {
        Segment {
            source,
            destination,
            sequence: 0,
            acknowledgement: 0,
            syn: false,
            ack: false,
            fin: false,
            rst: false,
            returned: false,
            payload_bytes: 0,
        }
    }

    /// The flow of a packet sent by a caller.
    pub fn flow(&self) -> FlowKey {
        FlowKey { caller: self.source, service: self.destination, transport: Transport::Tcp }
    }

    /// The flow of a packet sent by a back end.
    pub fn flow_of_answer(&self) -> FlowKey {
        self.flow().reversed()
    }

    /// The sequence number after its payload.
    pub fn end(&self) -> u32 {
        self.sequence.wrapping_add(u32::from(self.payload_bytes))
    }

    /// Whether two packets between the same addresses can belong to one flow: the numbers of both
    /// ends are near each other.
    pub fn may_share_flow(&self, other: &Segment) -> bool {
        let is_known = self.ack && other.ack;
        let is_near = |one: u32, other: u32| {
            one.wrapping_sub(other).cast_signed().unsigned_abs() <= MAX_WINDOW_BYTES
        };
        is_near(self.sequence, other.sequence)
            && (!is_known || is_near(self.acknowledgement, other.acknowledgement))
    }

    /// Whether the packet is a SYN that asks for a new flow, not a SYN-ACK.
    pub fn is_syn(&self) -> bool {
        self.syn && !self.ack
    }
}

/// Maximum distance in bytes between two packets of one flow that are in flight.
pub(crate) const MAX_WINDOW_BYTES: u32 = 1 << 18;

/// Why a datagram is not a packet of a carried flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SegmentError {
    /// Shorter than a header, or than the length in its header.
    #[error("datagram is shorter than its packet header or the length given there")]
    Truncated,
    /// Longer than the length in its header, or than any packet may be.
    #[error("datagram is longer than its packet")]
    Oversized,
}

/// Outcome of a request, as far as the first packet of the back end's answer shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The request was answered, or the packet does not show otherwise.
    Answered,
    /// The back end failed.
    Failed,
    /// The back end refused the request.
    Refused,
}

/// Encoding of the packets of carried flows. An implementation only translates and makes no
/// decisions.
pub trait SegmentFormat: Send + Sync + 'static {
    /// Parses a datagram.
    fn parse(&self, datagram: &[u8]) -> Result<Segment, SegmentError>;
    /// Builds a reset that answers a caller's packet.
    fn reset(&self, answered: &Segment) -> Vec<u8>;
    /// The id of the request that begins in a packet, if the packet contains it.
    fn request_id<'a>(&self, datagram: &'a [u8]) -> Option<&'a str> {
        let _ = datagram;
        None
    }
    /// Reads the outcome of a request from the first packet of its answer.
    fn answer_outcome(&self, datagram: &[u8]) -> AnswerOutcome {
        let _ = datagram;
        AnswerOutcome::Answered
    }
    /// Clears the mark of a packet returned by a back end, which restores it to what its sender
    /// wrote.
    fn clear_returned(&self, datagram: &mut [u8]);
}

/// A flow's name in logs, `caller>service`, which every packet of the flow contains.
pub fn flow_name(flow: &FlowKey) -> String {
    format!("{}>{}", flow.caller, flow.service)
}

impl From<FlowName> for FlowKey {
    fn from(name: FlowName) -> Self {
        let FlowName { caller, service } = name;
        FlowKey { caller, service, transport: Transport::Tcp }
    }
}

impl From<FlowKey> for FlowName {
    fn from(key: FlowKey) -> Self {
        FlowName { caller: key.caller, service: key.service }
    }
}
