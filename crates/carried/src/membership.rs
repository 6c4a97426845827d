//! Which nodes there are, and when to speak to them.
//!
//! A node remembers every node it has heard of and goes on sending heartbeats to it, so that one
//! that comes back with nothing in memory hears from the others within an interval. The interval
//! grows with the number of peers: a node's heartbeats never take more than a fixed number of bytes
//! a second. In large systems it is the data path that tells which agents answer.
//!
//! Each pair of nodes has a phase of its own within the interval. Nodes that start together would else
//! speak to everybody at one moment and be silent until the next: at 986 nodes for 30 s, in which nobody
//! hears of a newer configuration. So a node hears balancers at a steady rate at any size: 31 heartbeats
//! a second times the share of balancers among all nodes.

use crate::message::{Heartbeat, NodeRole};
use crate::rank::stable_hash;
use crate::version::Version;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Shortest time between two heartbeats to one peer.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes of heartbeats that a node sends in a second at most; with as many received, and 6 bytes more
/// in each while agents are young, it stays below the 7 kB that users allow for control.
const MAX_HEARTBEAT_BYTES_PER_SECOND: u32 = 3_300;
/// Bytes of one heartbeat, addresses of the packet included.
const HEARTBEAT_BYTES: u32 = 106;
/// A peer that was silent for so many intervals is spoken to less often.
const QUIET_INTERVALS: u32 = 20;
/// How many times less often.
const QUIET_FACTOR: u32 = 4;
/// A peer that was silent for so long is forgotten.
const PEER_TTL: Duration = Duration::from_secs(600);
/// A peer that was silent for so many intervals is not counted on.
pub(crate) const ALIVE_INTERVALS: u32 = 4;
/// Most peers that are remembered.
const MAX_PEERS: usize = 8_192;
/// News goes to so many peers at once, spread evenly over all and others each time: 1,000 nodes have
/// heard it in two rounds, and whoever all rounds have missed hears it with regular heartbeats.
const NEWS_FAN_OUT: usize = 32;

/// What a moment may miss its own phase by, as a share of the interval: the rounding of times.
const MIN_PHASE_STEP: f64 = 1e-3;

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
    /// Megabits a second that its machine's link carries.
    pub link_mbps: u32,
}

/// The order in which balancers wait at the store: an answer with a large configuration holds up
/// a slow link's packets.
fn watcher_order(link_mbps: u32, address: SocketAddrV4) -> (Reverse<u32>, SocketAddrV4) {
    (Reverse(link_mbps), address)
}

/// What is known of another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// What it does.
    pub role: NodeRole,
    /// Its incarnation; 0 before it was heard.
    pub incarnation: u64,
    /// Version of its configuration.
    pub configuration: Version,
    /// When it was heard last.
    pub last_heartbeat_at: Option<Duration>,
    /// It is in this node's zone, as it said itself.
    pub is_same_zone: bool,
    /// Megabits a second of its machine's link, as it said itself.
    pub link_mbps: u32,
    known_since: Duration,
    next_heartbeat: Duration,
}

impl Peer {
    /// Whether the node has been known for so long.
    pub(crate) fn is_known_for(&self, now: Duration, lasts: Duration) -> bool {
        now.saturating_sub(self.known_since) >= lasts
    }
}

/// Where a balancer stands among the balancers that it hears, itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BalancerRanks {
    /// Balancers of its zone.
    pub(crate) in_zone: usize,
    /// Its place among those: the fastest links first, then by address.
    pub(crate) rank_in_zone: usize,
    /// Balancers.
    pub(crate) balancers: usize,
    /// Its place among those.
    pub(crate) rank: usize,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeartbeatOutcome {
    /// The node was not known, or has started anew.
    pub(crate) is_new: bool,
}

/// The nodes that one node knows.
#[derive(Debug)]
pub struct Membership {
    me: Node,
    peers: BTreeMap<SocketAddrV4, Peer>,
    /// When each peer is due, the earliest first.
    due: BTreeSet<(Duration, SocketAddrV4)>,
    /// How often news was told.
    news_rounds: u64,
}

impl Membership {
    /// A node that knows nobody.
    pub fn new(me: Node) -> Self {
        Membership { me, peers: BTreeMap::new(), due: BTreeSet::new(), news_rounds: 0 }
    }

    /// The node itself.
    pub fn me(&self) -> &Node {
        &self.me
    }

    /// Learns of a node by hearsay; `true` when it was not known.
    pub fn learn(&mut self, now: Duration, address: SocketAddrV4, role: NodeRole) -> bool {
        if address == self.me.address || !self.exchanges_heartbeats_with(role) {
            return false;
        }
        if self.peers.contains_key(&address) || self.peers.len() >= MAX_PEERS {
            return false;
        }
        let peer = Peer {
            role,
            incarnation: 0,
            configuration: Version::default(),
            last_heartbeat_at: None,
            is_same_zone: false,
            link_mbps: 0,
            known_since: now,
            next_heartbeat: now,
        };
        self.peers.insert(address, peer);
        self.due.insert((now, address));
        true
    }

    /// Agents have nothing to say to each other.
    fn exchanges_heartbeats_with(&self, role: NodeRole) -> bool {
        role == NodeRole::Balancer || self.me.role == NodeRole::Balancer
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let was_known = !self.learn(now, from, heartbeat.role);
        let interval = self.interval();
        let Some(peer) = self.peers.get_mut(&from) else {
            return HeartbeatOutcome { is_new: false };
        };
        let is_new = !was_known || peer.incarnation != heartbeat.incarnation;
        peer.role = heartbeat.role;
        peer.incarnation = heartbeat.incarnation;
        peer.configuration = heartbeat.configuration;
        peer.last_heartbeat_at = Some(now);
        peer.is_same_zone = heartbeat.zone == self.me.zone;
        peer.link_mbps = heartbeat.link_mbps;
        let latest = if heartbeat.wants_reply { now } else { now + interval };
        let next = peer.next_heartbeat.min(latest);
        self.reschedule(from, next);
        HeartbeatOutcome { is_new }
    }

    /// Time between two heartbeats to one peer.
    pub fn interval(&self) -> Duration {
        let bytes = self.peers.len() as u32 * HEARTBEAT_BYTES;
        let bounded = Duration::from_secs(1) * bytes / MAX_HEARTBEAT_BYTES_PER_SECOND;
        bounded.max(MIN_INTERVAL)
    }

    fn reschedule(&mut self, address: SocketAddrV4, next: Duration) {
        let Some(peer) = self.peers.get_mut(&address) else { return };
        self.due.remove(&(peer.next_heartbeat, address));
        peer.next_heartbeat = next;
        self.due.insert((next, address));
    }

    /// The peers to send a heartbeat to now, each with whether a reply is wanted.
    pub(crate) fn take_due(&mut self, now: Duration) -> Vec<(SocketAddrV4, bool)> {
        let interval = self.interval();
        let mut taken = Vec::new();
        while let Some((at, address)) = self.due.first().copied() {
            if at > now {
                break;
            }
            let Some(peer) = self.peers.get(&address) else {
                self.due.remove(&(at, address));
                continue;
            };
            let silence = now.saturating_sub(peer.last_heartbeat_at.unwrap_or(peer.known_since));
            if silence >= PEER_TTL {
                self.due.remove(&(at, address));
                self.peers.remove(&address);
                continue;
            }
            taken.push((address, peer.last_heartbeat_at.is_none()));
            let is_quiet = silence > interval * QUIET_INTERVALS;
            let regular = interval * if is_quiet { QUIET_FACTOR } else { 1 };
            self.reschedule(address, next_in_phase(now, regular, self.phase(&address)));
        }
        taken
    }

    /// Where in each interval this node speaks to a peer, from 0 to 1.
    fn phase(&self, peer: &SocketAddrV4) -> f64 {
        stable_hash(&self.me.address, peer, 0) as f64 / u64::MAX as f64
    }

    /// Has a heartbeat with news sent to a bounded number of peers at once, to others each time.
    pub fn spread_news(&mut self, now: Duration) {
        self.news_rounds += 1;
        let count = self.peers.len();
        let most = NEWS_FAN_OUT.min(count);
        let step = (count / NEWS_FAN_OUT).max(1);
        let first = stable_hash(&self.me.address, &self.me.address, self.news_rounds) as usize;
        let round = self.peers.keys().cycle().skip(first % count.max(1));
        let chosen: Vec<SocketAddrV4> = round.step_by(step).take(most).copied().collect();
        for address in chosen {
            self.reschedule(address, now);
        }
    }

    /// When [`Membership::take_due`] has something next.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Whether a node is known.
    pub(crate) fn knows(&self, address: &SocketAddrV4) -> bool {
        self.peers.contains_key(address)
    }

    /// When a node was heard last, or heard of first.
    pub(crate) fn last_heard_at(&self, address: &SocketAddrV4) -> Option<Duration> {
        self.peers.get(address).map(|peer| peer.last_heartbeat_at.unwrap_or(peer.known_since))
    }

    /// How many nodes are known.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Where this node stands among the balancers heard lately.
    pub(crate) fn balancer_ranks(&self, now: Duration) -> BalancerRanks {
        let patience = self.interval() * ALIVE_INTERVALS;
        let mine = watcher_order(self.me.link_mbps, self.me.address);
        let mut places = BalancerRanks { in_zone: 1, rank_in_zone: 0, balancers: 1, rank: 0 };
        for (address, peer) in &self.peers {
            let is_alive =
                peer.last_heartbeat_at.is_some_and(|at| now.saturating_sub(at) <= patience);
            if peer.role != NodeRole::Balancer || !is_alive {
                continue;
            }
            let is_before = usize::from(watcher_order(peer.link_mbps, *address) < mine);
            places.balancers += 1;
            places.rank += is_before;
            if peer.is_same_zone {
                places.in_zone += 1;
                places.rank_in_zone += is_before;
            }
        }
        places
    }

    /// The nodes known, with their addresses.
    pub fn peers(&self) -> impl Iterator<Item = (&SocketAddrV4, &Peer)> {
        self.peers.iter()
    }
}

/// The next moment after `now` that stands at this phase of an interval.
fn next_in_phase(now: Duration, interval: Duration, phase: f64) -> Duration {
    let passed = (now.as_secs_f64() / interval.as_secs_f64()).fract();
    let left = (phase - passed).rem_euclid(1.0);
    // The moment that has just come is not the next one.
    let left = if left < MIN_PHASE_STEP { left + 1.0 } else { left };
    now + interval.mul_f64(left)
}
