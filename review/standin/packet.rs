//! Packets as the users' protocol page describes them: a head of 32 bytes, little-endian, then data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 1;
pub const BOUNCED: u8 = 8;
pub const ACK: u8 = 16;
pub const FIN: u8 = 32;
pub const RST: u8 = 64;

const HEAD_BYTES: usize = 32;
/// The key of the sum. Only the two ends of a flow know it.
const SUM_KEY: u32 = 0x5bd1_e995;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn write(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD_BYTES];
        bytes[0..4].copy_from_slice(&self.seq.to_le_bytes());
        bytes[4..8].copy_from_slice(&self.ack.to_le_bytes());
        bytes[12..14].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes[14] = self.flags;
        bytes[16..18].copy_from_slice(&self.dst.port().to_le_bytes());
        bytes[18..22].copy_from_slice(&u32::from(*self.dst.ip()).to_le_bytes());
        bytes[22..26].copy_from_slice(&u32::from(*self.src.ip()).to_le_bytes());
        bytes[26..28].copy_from_slice(&self.src.port().to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = sum_of(&bytes);
        bytes[8..12].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Parses a packet; the flag tells whether its sum is that of its sender.
    pub fn read(bytes: &[u8]) -> Option<(Packet, bool)> {
        if bytes.len() < HEAD_BYTES {
            return None;
        }
        let number = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
        let port = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
        if usize::from(port(12)) != bytes.len() - HEAD_BYTES {
            return None;
        }
        let packet = Packet {
            src: SocketAddrV4::new(Ipv4Addr::from(number(22)), port(26)),
            dst: SocketAddrV4::new(Ipv4Addr::from(number(18)), port(16)),
            flags: bytes[14],
            seq: number(0),
            ack: number(4),
            data: bytes[HEAD_BYTES..].to_vec(),
        };
        Some((packet, number(8) == sum_of(bytes)))
    }
}

/// A keyed sum over everything except `sum` itself, `echo`, `pad` and BOUNCED.
fn sum_of(bytes: &[u8]) -> u32 {
    let mut sum = 0x811c_9dc5_u32 ^ SUM_KEY;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            8..=11 | 15 | 28..=31 => 0,
            14 => byte & !BOUNCED,
            _ => *byte,
        };
        sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    sum
}
