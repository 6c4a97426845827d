//! UDP flows: a flow is the datagrams with the same addresses and ends when it has been idle for
//! too long.

use etherparse::PacketBuilder;
use loftdrift_wire::FlowKey;
use smoltcp::wire::{Ipv4Packet, UdpPacket};
use std::time::Duration;

const IPV4_TTL: u8 = 64;
const UDP_HEADER_BYTES: usize = 8;

/// State of a UDP flow.
#[derive(Debug)]
pub(crate) struct UdpFlow {
    last_packet: Duration,
}

impl UdpFlow {
    pub(crate) fn new(now: Duration) -> Self {
        UdpFlow { last_packet: now }
    }

    pub(crate) fn touch(&mut self, now: Duration) {
        self.last_packet = now;
    }

    pub(crate) fn expires_at(&self, idle: Duration) -> Duration {
        self.last_packet + idle
    }
}

/// Whether the UDP checksum of a complete IPv4 packet is valid. Zero means that there is none.
pub(crate) fn checksum_is_valid(packet: &[u8]) -> bool {
    let Ok(outer) = Ipv4Packet::new_checked(packet) else {
        return false;
    };
    let Ok(datagram) = UdpPacket::new_checked(outer.payload()) else {
        return false;
    };
    datagram.checksum() == 0
        || datagram.verify_checksum(&outer.src_addr().into(), &outer.dst_addr().into())
}

/// The datagram's payload.
pub(crate) fn payload(packet: &[u8], transport_offset: usize) -> &[u8] {
    packet.get(transport_offset + UDP_HEADER_BYTES..).unwrap_or_default()
}

/// Builds the IPv4 packet that carries the back end's `payload` to the flow's caller.
pub(crate) fn reply_packet(flow: &FlowKey, payload: &[u8]) -> Option<Vec<u8>> {
    let from = flow.service;
    let to = flow.caller;
    let builder = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), IPV4_TTL)
        .udp(from.port(), to.port());
    let mut packet = Vec::with_capacity(builder.size(payload.len()));
    builder.write(&mut packet, payload).ok()?;
    Some(packet)
}
