//! GENEVE encapsulation (RFC 8926): fixed header, options, inner packet.

use crate::steering_option::{MAX_OPTION_BYTES, OptionError, SteeringOption};
use thiserror::Error;

/// Bytes of the fixed GENEVE header (RFC 8926, section 3.1).
pub const GENEVE_HEADER_BYTES: usize = 8;
/// The largest virtual network identifier, 24 bits.
pub const MAX_VNI: u32 = 0x00FF_FFFF;
/// Type of loftdrift's steering option. Its top bit marks it as *critical* (RFC 8926, section 3.5).
pub const STEERING_OPTION_TYPE: u8 = 0x81;

/// Option class in the range for experimental use (RFC 8926, section 7: 0xFF00 to 0xFFFF).
const OPTION_CLASS: u16 = 0xFF4C;
const PROTOCOL_IPV4: u16 = 0x0800;
const OPTION_HEADER_BYTES: usize = 4;
const CONTROL_FLAG: u8 = 0x80;
const CRITICAL_FLAG: u8 = 0x40;
const CRITICAL_OPTION_BIT: u8 = 0x80;
const OPTION_LENGTH_MASK: u8 = 0x1F;
const HEADER_OPTION_LENGTH_MASK: u8 = 0x3F;

/// Why a datagram is not accepted as a GENEVE packet. Each reason has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum GeneveError {
    /// The datagram ends inside the header or the options.
    #[error("the datagram ends inside the GENEVE header or its options")]
    Truncated,
    /// The version is not 0.
    #[error("GENEVE version is not 0")]
    UnknownVersion,
    /// The inner protocol is not IPv4.
    #[error("the inner protocol is not IPv4")]
    UnknownProtocol,
    /// A critical option that this program does not know. RFC 8926 requires dropping the packet.
    #[error("unknown critical GENEVE option")]
    UnknownCriticalOption,
    /// The steering option does not decode.
    #[error("malformed steering option: {0}")]
    Steering(#[from] OptionError),
}

/// A decoded GENEVE packet, borrowed from the datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenevePacket<'a> {
    /// The O bit: a control message (here a liveness echo) instead of an inner packet.
    pub control: bool,
    /// Virtual network identifier (VNI): the service's id, 0 in packets from and to the fabric, or
    /// the kind of a liveness echo.
    pub vni: u32,
    /// The steering option, if present.
    pub steering: Option<SteeringOption>,
    /// Offset of the inner packet in the datagram, in bytes.
    pub inner_offset: usize,
    /// The inner IPv4 packet.
    pub inner: &'a [u8],
}

impl<'a> GenevePacket<'a> {
    /// Decodes a datagram. Unknown options that are not critical are skipped.
    pub fn parse(datagram: &'a [u8]) -> Result<Self, GeneveError> {
        let header = datagram.get(..GENEVE_HEADER_BYTES).ok_or(GeneveError::Truncated)?;
        if header[0] >> 6 != 0 {
            return Err(GeneveError::UnknownVersion);
        }
        let options_bytes = usize::from(header[0] & HEADER_OPTION_LENGTH_MASK) * 4;
        let inner_offset = GENEVE_HEADER_BYTES + options_bytes;
        let options =
            datagram.get(GENEVE_HEADER_BYTES..inner_offset).ok_or(GeneveError::Truncated)?;
        if u16::from_be_bytes([header[2], header[3]]) != PROTOCOL_IPV4 {
            return Err(GeneveError::UnknownProtocol);
        }
        Ok(GenevePacket {
            control: header[1] & CONTROL_FLAG != 0,
            vni: u32::from_be_bytes([0, header[4], header[5], header[6]]),
            steering: parse_options(options)?,
            inner_offset,
            inner: &datagram[inner_offset..],
        })
    }
}

fn parse_options(mut options: &[u8]) -> Result<Option<SteeringOption>, GeneveError> {
    let mut steering = None;
    while !options.is_empty() {
        let header = options.get(..OPTION_HEADER_BYTES).ok_or(GeneveError::Truncated)?;
        let class = u16::from_be_bytes([header[0], header[1]]);
        let kind = header[2];
        let end = OPTION_HEADER_BYTES + usize::from(header[3] & OPTION_LENGTH_MASK) * 4;
        let body = options.get(OPTION_HEADER_BYTES..end).ok_or(GeneveError::Truncated)?;
        if class == OPTION_CLASS && kind == STEERING_OPTION_TYPE {
            steering = Some(SteeringOption::decode(body)?);
        } else if kind & CRITICAL_OPTION_BIT != 0 {
            return Err(GeneveError::UnknownCriticalOption);
        }
        options = &options[end..];
    }
    Ok(steering)
}

/// Writes the GENEVE header and steering option so that they end at the end of `headroom`.
///
/// The caller keeps the inner packet directly after `headroom`, so the packet is not copied.
/// Returns the offset in `headroom` at which the datagram starts, or `None` if it is too short.
pub fn write_header(
    headroom: &mut [u8],
    vni: u32,
    steering: Option<&SteeringOption>,
) -> Option<usize> {
    let mut body = [0_u8; MAX_OPTION_BYTES];
    let body_bytes = match steering {
        Some(option) => option.encode(&mut body),
        None => 0,
    };
    let options_bytes = match steering {
        Some(_) => OPTION_HEADER_BYTES + body_bytes,
        None => 0,
    };
    let start = headroom.len().checked_sub(GENEVE_HEADER_BYTES + options_bytes)?;
    let target = &mut headroom[start..];
    target[0] = (options_bytes / 4) as u8;
    target[1] = if steering.is_some() { CRITICAL_FLAG } else { 0 };
    target[2..4].copy_from_slice(&PROTOCOL_IPV4.to_be_bytes());
    target[4..8].copy_from_slice(&(vni << 8).to_be_bytes());
    if steering.is_some() {
        let option = &mut target[GENEVE_HEADER_BYTES..];
        option[..2].copy_from_slice(&OPTION_CLASS.to_be_bytes());
        option[2] = STEERING_OPTION_TYPE;
        option[3] = (body_bytes / 4) as u8;
        option[OPTION_HEADER_BYTES..].copy_from_slice(&body[..body_bytes]);
    }
    Some(start)
}

/// Encodes a datagram with the inner packet `inner`. Allocates, so not for the forwarding path of
/// the balancer.
pub fn encode_packet(vni: u32, steering: Option<&SteeringOption>, inner: &[u8]) -> Vec<u8> {
    const HEADROOM: usize = GENEVE_HEADER_BYTES + OPTION_HEADER_BYTES + MAX_OPTION_BYTES;
    let mut datagram = vec![0_u8; HEADROOM + inner.len()];
    datagram[HEADROOM..].copy_from_slice(inner);
    let start = write_header(&mut datagram[..HEADROOM], vni, steering).unwrap_or(0);
    datagram.drain(..start);
    datagram
}

/// Kind of a liveness echo, carried in the VNI of a control packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EchoKind {
    /// Asks the receiver to reply if it is in service.
    Request,
    /// Replies with the request's sequence number.
    Reply,
}

const ECHO_REQUEST_VNI: u32 = 0;
const ECHO_REPLY_VNI: u32 = 1;

/// A liveness echo: a control packet with a sequence number in place of the inner packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Echo {
    /// Request or reply.
    pub kind: EchoKind,
    /// Sequence number that matches a reply to its request.
    pub sequence: u64,
}

/// Length of an echo's datagram.
pub const ECHO_BYTES: usize = GENEVE_HEADER_BYTES + 8;

impl Echo {
    /// Encodes the echo as a datagram.
    pub fn encode(self) -> Vec<u8> {
        let vni = match self.kind {
            EchoKind::Request => ECHO_REQUEST_VNI,
            EchoKind::Reply => ECHO_REPLY_VNI,
        };
        let mut datagram = encode_packet(vni, None, &self.sequence.to_be_bytes());
        datagram[1] |= CONTROL_FLAG;
        datagram
    }

    /// Decodes an echo from a control packet; `None` if the packet is not a valid echo.
    pub fn decode(packet: &GenevePacket<'_>) -> Option<Self> {
        let kind = match packet.vni {
            ECHO_REQUEST_VNI => EchoKind::Request,
            ECHO_REPLY_VNI => EchoKind::Reply,
            _ => return None,
        };
        let sequence = u64::from_be_bytes(packet.inner.try_into().ok()?);
        packet.control.then_some(Echo { kind, sequence })
    }
}
