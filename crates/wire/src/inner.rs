//! Inner IPv4 packets: which flow a packet belongs to and whether it opens the flow.

use crate::cookie::NO_COOKIE;
use etherparse::{IpNumber, Ipv4HeaderSlice, PacketBuilder, TcpHeaderSlice, UdpHeaderSlice};
use std::net::SocketAddrV4;
use thiserror::Error;

/// The transport protocol of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Transport {
    /// TCP (RFC 9293).
    Tcp,
    /// UDP (RFC 768).
    Udp,
}

/// The key of a flow: the caller's and the service's address and the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the service to which the caller connects.
    pub service: SocketAddrV4,
    /// Transport protocol.
    pub transport: Transport,
}

impl FlowKey {
    /// The key with both addresses swapped. Turns the key parsed from a packet that the service
    /// sends into the key of its flow.
    pub fn reversed(self) -> Self {
        FlowKey { caller: self.service, service: self.caller, transport: self.transport }
    }
}

/// Kind of a packet, by what it means for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentKind {
    /// A TCP segment with SYN and without ACK: it opens a flow.
    Syn,
    /// Any other TCP segment: it belongs to an existing flow.
    Established {
        /// The acknowledgement number, if the ACK flag is set.
        acknowledgement: Option<u32>,
        /// Whether the RST flag is set.
        reset: bool,
    },
    /// A UDP datagram, of a new or an existing flow.
    Datagram,
}

/// The content of the headers of an inner packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InnerPacket {
    /// The flow, with the packet's source as caller.
    pub flow: FlowKey,
    /// Kind of the packet.
    pub kind: SegmentKind,
    /// The echoed TCP timestamp (TSecr, RFC 7323), if there is one that is not zero.
    pub timestamp_echo: Option<u32>,
    /// Offset of the transport header in the packet, in bytes.
    pub transport_offset: usize,
}

/// Why an inner packet is dropped. Each reason has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InnerError {
    /// Not a complete IPv4 packet with its TCP or UDP header, or a length field does not match.
    #[error("incomplete IPv4 packet, or a length field that does not match")]
    Malformed,
    /// The IPv4 header checksum is wrong.
    #[error("wrong IPv4 header checksum")]
    Checksum,
    /// The packet is a fragment (RFC 791); the fabric must not fragment.
    #[error("the packet is an IPv4 fragment")]
    Fragment,
    /// The transport protocol is neither TCP nor UDP.
    #[error("transport protocol is neither TCP nor UDP")]
    UnknownTransport,
}

/// Parses an inner packet. Does not verify the TCP or UDP checksum: the agent that receives the
/// packet does.
pub fn parse_inner(packet: &[u8]) -> Result<InnerPacket, InnerError> {
    let header = Ipv4HeaderSlice::from_slice(packet).map_err(|_| InnerError::Malformed)?;
    if usize::from(header.total_len()) != packet.len() {
        return Err(InnerError::Malformed);
    }
    if header.to_header().calc_header_checksum() != header.header_checksum() {
        return Err(InnerError::Checksum);
    }
    if header.is_fragmenting_payload() {
        return Err(InnerError::Fragment);
    }
    let transport_offset = header.slice().len();
    let body = &packet[transport_offset..];
    let caller = header.source_addr();
    let service = header.destination_addr();
    match header.protocol() {
        IpNumber::TCP => {
            let tcp = TcpHeaderSlice::from_slice(body).map_err(|_| InnerError::Malformed)?;
            let flow = FlowKey {
                caller: SocketAddrV4::new(caller, tcp.source_port()),
                service: SocketAddrV4::new(service, tcp.destination_port()),
                transport: Transport::Tcp,
            };
            let timestamp_echo = timestamp_echo(tcp.options());
            Ok(InnerPacket { flow, kind: tcp_kind(&tcp), timestamp_echo, transport_offset })
        }
        IpNumber::UDP => {
            let udp = UdpHeaderSlice::from_slice(body).map_err(|_| InnerError::Malformed)?;
            if usize::from(udp.length()) != body.len() {
                return Err(InnerError::Malformed);
            }
            let flow = FlowKey {
                caller: SocketAddrV4::new(caller, udp.source_port()),
                service: SocketAddrV4::new(service, udp.destination_port()),
                transport: Transport::Udp,
            };
            Ok(InnerPacket {
                flow,
                kind: SegmentKind::Datagram,
                timestamp_echo: None,
                transport_offset,
            })
        }
        _ => Err(InnerError::UnknownTransport),
    }
}

fn tcp_kind(tcp: &TcpHeaderSlice<'_>) -> SegmentKind {
    if tcp.syn() && !tcp.ack() {
        return SegmentKind::Syn;
    }
    let acknowledgement = tcp.ack().then(|| tcp.acknowledgment_number());
    SegmentKind::Established { acknowledgement, reset: tcp.rst() }
}

const OPTION_END: u8 = 0;
const OPTION_NOP: u8 = 1;
const OPTION_TIMESTAMP: u8 = 8;
const TIMESTAMP_BYTES: usize = 10;
/// The usual layout: two NOPs, then the timestamp option (RFC 7323, appendix A).
const USUAL_LAYOUT: [u8; 4] = [OPTION_NOP, OPTION_NOP, OPTION_TIMESTAMP, TIMESTAMP_BYTES as u8];

fn timestamp_echo(options: &[u8]) -> Option<u32> {
    let option = match options.strip_prefix(&USUAL_LAYOUT[..2]) {
        Some(rest) if options.starts_with(&USUAL_LAYOUT) => rest,
        _ => find_timestamp(options)?,
    };
    let echo = u32::from_be_bytes(option.get(6..TIMESTAMP_BYTES)?.try_into().ok()?);
    (echo != NO_COOKIE).then_some(echo)
}

fn find_timestamp(mut options: &[u8]) -> Option<&[u8]> {
    loop {
        match *options.first()? {
            OPTION_END => return None,
            OPTION_NOP => options = &options[1..],
            OPTION_TIMESTAMP => return Some(options),
            _ => {
                let length = usize::from(*options.get(1)?).max(2);
                options = options.get(length..)?;
            }
        }
    }
}

/// Builds the TCP reset that answers `packet`, sent from the service's address (RFC 9293, section
/// 3.5.2).
///
/// `None` if the packet is not TCP or is itself a reset, which must not be answered.
pub fn reset_for(packet: &[u8]) -> Option<Vec<u8>> {
    const RESET_TTL: u8 = 64;
    let inner = parse_inner(packet).ok()?;
    let tcp = TcpHeaderSlice::from_slice(&packet[inner.transport_offset..]).ok()?;
    if tcp.rst() || inner.flow.transport != Transport::Tcp {
        return None;
    }
    let payload_bytes = packet.len() - inner.transport_offset - tcp.slice().len();
    let occupied = payload_bytes as u32 + u32::from(tcp.syn()) + u32::from(tcp.fin());
    let from = inner.flow.service;
    let to = inner.flow.caller;
    let builder = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), RESET_TTL);
    let builder = if tcp.ack() {
        builder.tcp(from.port(), to.port(), tcp.acknowledgment_number(), 0).rst()
    } else {
        let acknowledged = tcp.sequence_number().wrapping_add(occupied);
        builder.tcp(from.port(), to.port(), 0, 0).rst().ack(acknowledged)
    };
    let mut reset = Vec::with_capacity(builder.size(0));
    builder.write(&mut reset, &[]).ok()?;
    Some(reset)
}
