//! Packets as PROTOCOL.md describes them, and one end of a flow: reliable bytes over packets.
//!
//! Each end has at most 16 packets under way, acknowledges every second one, and sends what is
//! missing again after 200 ms, the wait doubling up to 1.6 s.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

pub const SYN: u8 = 1;
pub const BOUNCED: u8 = 8;
pub const ACK: u8 = 16;
pub const FIN: u8 = 32;
pub const RST: u8 = 64;
const HEAD: usize = 32;
const MAX_DATA: usize = 1200;
const MAX_UNDER_WAY: usize = 16;
const FIRST_WAIT: Duration = Duration::from_millis(200);
const LONGEST_WAIT: Duration = Duration::from_millis(1600);

#[derive(Clone, Debug)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub flags: u8,
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(from: SocketAddrV4, to: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Packet {
        Packet { seq, ack, sum: 0, flags, from, to, data: Vec::new() }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Writes the packet with its sum, as its sender does.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0..4].copy_from_slice(&self.seq.to_le_bytes());
        bytes[4..8].copy_from_slice(&self.ack.to_le_bytes());
        bytes[12..14].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes[14] = self.flags;
        bytes[16..18].copy_from_slice(&self.to.port().to_le_bytes());
        bytes[18..22].copy_from_slice(&u32::from(*self.to.ip()).to_le_bytes());
        bytes[22..26].copy_from_slice(&u32::from(*self.from.ip()).to_le_bytes());
        bytes[26..28].copy_from_slice(&self.from.port().to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = sum_of(&bytes);
        bytes[8..12].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    pub fn read(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        if usize::from(u16_at(12)) != bytes.len() - HEAD {
            return None;
        }
        let address = |host: usize, port: usize| {
            SocketAddrV4::new(Ipv4Addr::from(u32_at(host)), u16_at(port))
        };
        Some(Packet {
            seq: u32_at(0),
            ack: u32_at(4),
            sum: u32_at(8),
            flags: bytes[14],
            from: address(22, 26),
            to: address(18, 16),
            data: bytes[HEAD..].to_vec(),
        })
    }
}

/// Whether the packet is as its sender wrote it.
pub fn is_genuine(bytes: &[u8]) -> bool {
    bytes.len() >= HEAD && bytes[8..12] == sum_of(bytes).to_le_bytes()
}

/// The keyed sum over everything except `sum` itself, `echo`, `pad` and BOUNCED.
fn sum_of(bytes: &[u8]) -> u32 {
    let mut sum: u32 = 0x811c_9dc5 ^ 0x5eed_1e55;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            8..=11 | 15 | 28..=31 => 0,
            14 => byte & !BOUNCED,
            _ => *byte,
        };
        sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    sum | 1
}

/// One end of an open flow.
pub struct End {
    pub me: SocketAddrV4,
    pub peer: SocketAddrV4,
    /// First byte that the peer has not acknowledged.
    unacknowledged: u32,
    /// Bytes from there on.
    out: VecDeque<u8>,
    /// How many of them were sent.
    sent: usize,
    fin_after: bool,
    fin_sent: bool,
    fin_acknowledged: bool,
    resend_at: Option<Instant>,
    wait: Duration,
    pub resends: u32,
    /// Next byte expected from the peer.
    expected: u32,
    early: BTreeMap<u32, Vec<u8>>,
    pub received: Vec<u8>,
    pub peer_finished: bool,
    unanswered: u32,
}

impl End {
    /// `next_seq` is the first byte that this end sends, `expected` the first of the peer.
    pub fn new(me: SocketAddrV4, peer: SocketAddrV4, next_seq: u32, expected: u32) -> End {
        End {
            me,
            peer,
            unacknowledged: next_seq,
            out: VecDeque::new(),
            sent: 0,
            fin_after: false,
            fin_sent: false,
            fin_acknowledged: false,
            resend_at: None,
            wait: FIRST_WAIT,
            resends: 0,
            expected,
            early: BTreeMap::new(),
            received: Vec::new(),
            peer_finished: false,
            unanswered: 0,
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.out.extend(bytes);
    }

    pub fn finish(&mut self) {
        self.fin_after = true;
    }

    pub fn is_over(&self) -> bool {
        self.fin_acknowledged && self.peer_finished
    }

    pub fn acknowledgement(&self) -> Packet {
        let seq = self.unacknowledged.wrapping_add(self.sent as u32 + u32::from(self.fin_sent));
        Packet::new(self.me, self.peer, ACK, seq, self.expected)
    }

    /// Handles a packet of the peer; returns what to send at once.
    pub fn take(&mut self, now: Instant, packet: &Packet) -> Vec<Packet> {
        let mut replies = Vec::new();
        if packet.has(ACK) {
            let acked = packet.ack.wrapping_sub(self.unacknowledged) as usize;
            let under_way = self.sent + usize::from(self.fin_sent);
            if acked > 0 && acked <= under_way {
                let bytes = acked.min(self.sent);
                self.out.drain(..bytes);
                self.sent -= bytes;
                self.unacknowledged = self.unacknowledged.wrapping_add(acked as u32);
                if acked > bytes {
                    self.fin_acknowledged = true;
                    self.fin_sent = false;
                }
                self.wait = FIRST_WAIT;
                self.resends = 0;
                let is_pending = self.sent > 0 || self.fin_sent;
                self.resend_at = is_pending.then_some(now + self.wait);
            }
        }
        if packet.data.is_empty() && !packet.has(FIN) {
            return replies;
        }
        let offset = packet.seq.wrapping_sub(self.expected) as i32;
        let mut must_answer = packet.has(FIN);
        if offset == 0 && !packet.data.is_empty() {
            self.accept(&packet.data);
            while let Some(data) = self.early.remove(&self.expected) {
                self.accept(&data);
            }
            self.unanswered += 1;
            must_answer |= !self.early.is_empty();
        } else if offset > 0 && !packet.data.is_empty() {
            self.early.insert(packet.seq, packet.data.clone());
            must_answer = true;
        } else if offset < 0 {
            must_answer = true;
        }
        let fin_at = packet.seq.wrapping_add(packet.data.len() as u32);
        if packet.has(FIN) && fin_at == self.expected && !self.peer_finished {
            self.expected = self.expected.wrapping_add(1);
            self.peer_finished = true;
        }
        if must_answer || self.unanswered >= 2 {
            self.unanswered = 0;
            replies.push(self.acknowledgement());
        }
        replies
    }

    fn accept(&mut self, data: &[u8]) {
        self.received.extend_from_slice(data);
        self.expected = self.expected.wrapping_add(data.len() as u32);
    }

    /// Whether a packet is still to be acknowledged; marks it as acknowledged.
    pub fn owes_acknowledgement(&mut self) -> bool {
        std::mem::take(&mut self.unanswered) > 0
    }

    /// New packets that may be sent now, and what has to be sent again.
    pub fn due(&mut self, now: Instant) -> Vec<Packet> {
        let mut packets = Vec::new();
        if self.resend_at.is_some_and(|at| at <= now) {
            self.wait = (self.wait * 2).min(LONGEST_WAIT);
            self.resend_at = Some(now + self.wait);
            self.resends += 1;
            let length = self.sent.min(MAX_DATA);
            let mut packet = self.acknowledgement();
            packet.seq = self.unacknowledged;
            packet.data = self.out.iter().take(length).copied().collect();
            if self.fin_sent && length == self.sent {
                packet.flags |= FIN;
            }
            self.unanswered = 0;
            packets.push(packet);
        }
        while self.sent < self.out.len() && self.sent.div_ceil(MAX_DATA) < MAX_UNDER_WAY {
            let length = (self.out.len() - self.sent).min(MAX_DATA);
            let mut packet = self.acknowledgement();
            packet.data = self.out.iter().skip(self.sent).take(length).copied().collect();
            self.sent += length;
            self.unanswered = 0;
            self.resend_at.get_or_insert(now + self.wait);
            packets.push(packet);
        }
        if self.fin_after && !self.fin_sent && !self.fin_acknowledged && self.sent == self.out.len()
        {
            let mut packet = self.acknowledgement();
            packet.flags |= FIN;
            self.fin_sent = true;
            self.resend_at.get_or_insert(now + self.wait);
            packets.push(packet);
        }
        packets
    }
}
