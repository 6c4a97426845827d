//! Which nodes there are, and when to speak to them.
//!
//! A node remembers every node it has heard of and goes on sending heartbeats to it, so that one
//! that comes back with nothing in memory hears from the others within an interval. The interval
//! grows with the number of peers: a node's heartbeats never take more than a fixed number of bytes
//! a second. In large systems it is the data path that tells which agents answer.

use crate::message::{Heartbeat, NodeRole};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Shortest time between two heartbeats to one peer.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes of heartbeats that a node sends in a second at most; with as many received it stays below
/// the 7 kB that users allow for control.
const HEARTBEAT_BYTES_PER_SECOND: u32 = 3_000;
/// Bytes of one heartbeat, addresses of the packet included.
const HEARTBEAT_BYTES: u32 = 90;
/// A peer that was silent for so many intervals is spoken to less often.
const QUIET_INTERVALS: u32 = 20;
/// How many times less often.
const QUIET_FACTOR: u32 = 4;
/// A peer that was silent for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Most peers that are remembered.
const MOST_PEERS: usize = 8_192;

/// A node, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Where other nodes reach it.
    pub address: SocketAddrV4,
    /// What it does.
    pub role: NodeRole,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Rises with each of its starts.
    pub incarnation: u64,
}

/// What is known of another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// What it does.
    pub role: NodeRole,
    /// Its incarnation; 0 before it was heard.
    pub incarnation: u64,
    /// Version of its configuration.
    pub configuration: u64,
    /// When it was heard last.
    pub heard_at: Option<Duration>,
    known_since: Duration,
    next_heartbeat: Duration,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Heard {
    /// The node was not known, or has started anew.
    pub(crate) is_new: bool,
}

/// The nodes that one node knows.
#[derive(Debug)]
pub struct Membership {
    me: Node,
    peers: BTreeMap<SocketAddrV4, Peer>,
}

impl Membership {
    /// A node that knows nobody.
    pub fn new(me: Node) -> Self {
        Membership { me, peers: BTreeMap::new() }
    }

    /// The node itself.
    pub fn me(&self) -> &Node {
        &self.me
    }

    /// Learns of a node by hearsay; `true` when it was not known.
    pub fn learn(&mut self, now: Duration, address: SocketAddrV4, role: NodeRole) -> bool {
        if address == self.me.address || !self.speaks_with(role) {
            return false;
        }
        if self.peers.contains_key(&address) || self.peers.len() >= MOST_PEERS {
            return false;
        }
        let peer = Peer {
            role,
            incarnation: 0,
            configuration: 0,
            heard_at: None,
            known_since: now,
            next_heartbeat: now,
        };
        self.peers.insert(address, peer);
        true
    }

    /// Agents have nothing to say to each other.
    fn speaks_with(&self, role: NodeRole) -> bool {
        role == NodeRole::Balancer || self.me.role == NodeRole::Balancer
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
    ) -> Heard {
        let was_known = !self.learn(now, from, heartbeat.role);
        let interval = self.interval();
        let Some(peer) = self.peers.get_mut(&from) else {
            return Heard { is_new: false };
        };
        let is_new = !was_known || peer.incarnation != heartbeat.incarnation;
        peer.role = heartbeat.role;
        peer.incarnation = heartbeat.incarnation;
        peer.configuration = heartbeat.configuration;
        peer.heard_at = Some(now);
        peer.next_heartbeat = peer.next_heartbeat.min(now + interval);
        if heartbeat.wants_reply {
            peer.next_heartbeat = now;
        }
        Heard { is_new }
    }

    /// Time between two heartbeats to one peer.
    pub fn interval(&self) -> Duration {
        let bytes = self.peers.len() as u32 * HEARTBEAT_BYTES;
        let bounded = Duration::from_secs(1) * bytes / HEARTBEAT_BYTES_PER_SECOND;
        bounded.max(SHORTEST_INTERVAL)
    }

    /// The peers to send a heartbeat to now, each with whether a reply is wanted.
    pub(crate) fn take_due(&mut self, now: Duration) -> Vec<(SocketAddrV4, bool)> {
        self.peers.retain(|_, peer| {
            let last = peer.heard_at.unwrap_or(peer.known_since);
            now.saturating_sub(last) < FORGET_AFTER
        });
        let interval = self.interval();
        let mut due = Vec::new();
        for (address, peer) in &mut self.peers {
            if peer.next_heartbeat > now {
                continue;
            }
            let last = peer.heard_at.unwrap_or(peer.known_since);
            let is_quiet = now.saturating_sub(last) > interval * QUIET_INTERVALS;
            peer.next_heartbeat = now + interval * if is_quiet { QUIET_FACTOR } else { 1 };
            due.push((*address, peer.heard_at.is_none()));
        }
        due
    }

    /// Has a heartbeat sent to every peer at once.
    pub fn hurry(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            peer.next_heartbeat = now;
        }
    }

    /// When [`Membership::take_due`] has something next.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.peers.values().map(|peer| peer.next_heartbeat).min()
    }

    /// The nodes known, with their addresses.
    pub fn peers(&self) -> impl Iterator<Item = (&SocketAddrV4, &Peer)> {
        self.peers.iter()
    }

    /// The heartbeat that this node sends.
    pub(crate) fn heartbeat(&self, configuration: u64, wants_reply: bool) -> Heartbeat {
        Heartbeat {
            role: self.me.role,
            zone: self.me.zone.clone(),
            region: self.me.region.clone(),
            incarnation: self.me.incarnation,
            configuration,
            report: None,
            wants_reply,
        }
    }
}
