//! loftdrift's own packet format, for simulation, tests and embedders that have none.
//!
//! A packet is a byte that marks returned packets, a `bincode` header and the payload.

use crate::segment::{AnswerOutcome, Segment, SegmentError, SegmentFormat};
use bincode::{Decode, Encode};
use std::net::SocketAddrV4;

#[derive(Encode, Decode)]
struct Header {
    source: SocketAddrV4,
    destination: SocketAddrV4,
    sequence: u32,
    acknowledgement: u32,
    syn: bool,
    ack: bool,
    fin: bool,
    rst: bool,
    payload_bytes: u16,
}

/// Offset of the byte that marks a packet returned by a back end.
const RETURNED_FLAG_OFFSET: usize = 0;

/// The format's implementation of [`SegmentFormat`].
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainFormat;

impl PlainFormat {
    /// The answer of a back end that failed.
    pub const FAILED: &'static [u8] = b"failed";
    /// The answer of a back end that refused the request.
    pub const REFUSED: &'static [u8] = b"refused";

    /// Encodes a segment with its payload.
    pub fn write(segment: &Segment, data: &[u8]) -> Vec<u8> {
        let header = Header {
            source: segment.source,
            destination: segment.destination,
            sequence: segment.sequence,
            acknowledgement: segment.acknowledgement,
            syn: segment.syn,
            ack: segment.ack,
            fin: segment.fin,
            rst: segment.rst,
            payload_bytes: data.len() as u16,
        };
        let mut packet = vec![u8::from(segment.returned)];
        let header = bincode::encode_to_vec(header, bincode::config::standard());
        packet.extend(header.unwrap_or_default());
        packet.extend_from_slice(data);
        packet
    }

    /// The payload of a packet.
    pub fn data(datagram: &[u8]) -> &[u8] {
        let rest = datagram.get(RETURNED_FLAG_OFFSET + 1..).unwrap_or_default();
        let decoded = bincode::decode_from_slice::<Header, _>(rest, bincode::config::standard());
        decoded.map_or(&[], |(_, used)| &rest[used..])
    }
}

impl SegmentFormat for PlainFormat {
    fn parse(&self, datagram: &[u8]) -> Result<Segment, SegmentError> {
        let (returned, rest) = datagram.split_first().ok_or(SegmentError::Truncated)?;
        let decoded = bincode::decode_from_slice::<Header, _>(rest, bincode::config::standard());
        let (header, used) = decoded.map_err(|_| SegmentError::Truncated)?;
        match (rest.len() - used).cmp(&usize::from(header.payload_bytes)) {
            std::cmp::Ordering::Less => return Err(SegmentError::Truncated),
            std::cmp::Ordering::Greater => return Err(SegmentError::Oversized),
            std::cmp::Ordering::Equal => {}
        }
        Ok(Segment {
            source: header.source,
            destination: header.destination,
            sequence: header.sequence,
            acknowledgement: header.acknowledgement,
            syn: header.syn,
            ack: header.ack,
            fin: header.fin,
            rst: header.rst,
            returned: *returned != 0,
            payload_bytes: header.payload_bytes,
        })
    }

    fn reset(&self, answered: &Segment) -> Vec<u8> {
        let sequence = if answered.ack { answered.acknowledgement } else { 0 };
        let reset = Segment {
            sequence,
            rst: true,
            ..Segment::between(answered.destination, answered.source)
        };
        PlainFormat::write(&reset, &[])
    }

    fn answer_outcome(&self, datagram: &[u8]) -> AnswerOutcome {
        match PlainFormat::data(datagram) {
            data if data == PlainFormat::FAILED => AnswerOutcome::Failed,
            data if data == PlainFormat::REFUSED => AnswerOutcome::Refused,
            _ => AnswerOutcome::Answered,
        }
    }

    fn clear_returned(&self, datagram: &mut [u8]) {
        if let Some(flag) = datagram.get_mut(RETURNED_FLAG_OFFSET) {
            *flag = 0;
        }
    }
}
