//! One packet of a carried flow, as far as the cores need to know it.

use crate::message::FlowName;
use loftdrift_wire::{FlowKey, Transport};
use std::net::SocketAddrV4;
use thiserror::Error;

/// A packet's identity and meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The end that sent it.
    pub source: SocketAddrV4,
    /// The end that it is for.
    pub destination: SocketAddrV4,
    /// Its sequence number.
    pub sequence: u32,
    /// The sequence number that it acknowledges; in an opening packet, which copy it is.
    pub acknowledgement: u32,
    /// SYN is set.
    pub syn: bool,
    /// ACK is set.
    pub ack: bool,
    /// FIN is set.
    pub fin: bool,
    /// RST is set.
    pub rst: bool,
    /// The back end did not take the packet and sends it back.
    pub returned: bool,
    /// Bytes of data behind the head.
    pub payload_bytes: u16,
}

impl Segment {
    /// A packet without flags, numbers or data.
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

    /// The flow of a packet that a caller sent.
    pub fn flow(&self) -> FlowKey {
        FlowKey { caller: self.source, service: self.destination, transport: Transport::Tcp }
    }

    /// The flow of a packet that a back end sent.
    pub fn flow_of_answer(&self) -> FlowKey {
        self.flow().reversed()
    }

    /// The sequence number behind its data.
    pub fn end(&self) -> u32 {
        self.sequence.wrapping_add(u32::from(self.payload_bytes))
    }

    /// Whether two packets between the same addresses can be of one flow: both ends' numbers are
    /// near each other.
    pub fn may_share_flow(&self, other: &Segment) -> bool {
        let is_known = self.ack && other.ack;
        let is_near = |one: u32, other: u32| {
            one.wrapping_sub(other).cast_signed().unsigned_abs() <= MAX_WINDOW_BYTES
        };
        is_near(self.sequence, other.sequence)
            && (!is_known || is_near(self.acknowledgement, other.acknowledgement))
    }

    /// Whether the packet asks for a new flow.
    pub fn is_syn(&self) -> bool {
        self.syn && !self.ack
    }
}

/// Further apart, in bytes, are no two packets of one flow that are under way.
pub(crate) const MAX_WINDOW_BYTES: u32 = 1 << 18;

/// Why a datagram is no packet of a carried flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SegmentError {
    /// Shorter than a head, or than its head says.
    #[error("datagram shorter than the packet in it")]
    Truncated,
    /// Longer than its head says, or than any packet may be.
    #[error("datagram longer than the packet in it")]
    Oversized,
}

/// What a back end said to a request, as far as the first packet of its answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The request was answered, or the packet does not tell otherwise.
    Answered,
    /// The back end failed.
    Failed,
    /// The back end did not take the request.
    Refused,
}

/// How packets of carried flows are written. An implementation translates and decides nothing.
pub trait SegmentFormat: Send + Sync + 'static {
    /// Reads a datagram.
    fn parse(&self, datagram: &[u8]) -> Result<Segment, SegmentError>;
    /// A reset that answers a caller's packet.
    fn reset(&self, answered: &Segment) -> Vec<u8>;
    /// The identity of the request whose first bytes a packet carries, where the packet tells it.
    fn request_id<'a>(&self, datagram: &'a [u8]) -> Option<&'a str> {
        let _ = datagram;
        None
    }
    /// What the back end said, read from the first packet of its answer.
    fn answer_outcome(&self, datagram: &[u8]) -> AnswerOutcome {
        let _ = datagram;
        AnswerOutcome::Answered
    }
    /// Takes the mark of a packet that a back end sent back off it, so that it is as its sender
    /// wrote it.
    fn clear_returned(&self, datagram: &mut [u8]);
}

/// A flow's name in logs, `caller>service`: what every packet of the flow carries.
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
