//! Rendezvous hashing: the order in which the agents of a service are asked for a flow.
//!
//! Every balancer computes the same order from the addresses of the flow and the agents alone. New
//! flows are placed near its head, so a balancer that does not remember a flow asks there first.

use loftdrift_wire::FlowKey;
use loftdrift_wire::flow_hash;
use std::net::SocketAddrV4;

/// Odd multipliers of the finalizer of the public-domain generator SplitMix64.
const MIX: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];

/// Ranks agents for one flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ranking(u64);

impl Ranking {
    pub(crate) fn of(flow: &FlowKey) -> Self {
        Ranking(flow_hash(flow))
    }

    /// An agent's rank; the lowest comes first.
    pub(crate) fn rank(self, agent: &SocketAddrV4) -> u64 {
        mix(self.0 ^ mix(address_bits(agent)))
    }
}

/// A stable hash of two addresses and a counter.
pub(crate) fn stable_hash(one: &SocketAddrV4, other: &SocketAddrV4, count: u64) -> u64 {
    mix(mix(address_bits(one)) ^ mix(!address_bits(other)).rotate_left(1) ^ mix(count))
}

fn address_bits(address: &SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(MIX[0]);
    bits = (bits ^ (bits >> 27)).wrapping_mul(MIX[1]);
    bits ^ (bits >> 31)
}
