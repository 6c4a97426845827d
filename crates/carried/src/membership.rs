//! The nodes that a node knows, and when to send heartbeats to them.
//!
//! A node keeps sending heartbeats to every node that it has learned of, so that one that restarts
//! without any state receives heartbeats of the others within an interval. The interval grows with
//! the number of peers: a node's heartbeats never take more than a fixed number of bytes per
//! second. In large systems the data path shows which agents respond.
//!
//! Each pair of nodes has its own phase within the interval. Otherwise nodes that start together
//! would send to all peers at one moment and be silent until the next one: with 986 nodes for 30 s,
//! during which no node learns of a newer configuration. With phases, a node receives heartbeats of
//! balancers at a steady rate at any size: 31 heartbeats per second times the share of balancers
//! among all nodes.

use crate::message::{Heartbeat, NodeRole};
use crate::rank::stable_hash;
use crate::version::Version;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Minimum time between two heartbeats to one peer.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum bytes of heartbeats that a node sends per second. With as many received, and 6 bytes
/// more in each while agents are young, it stays below the 7 kB per second that users allow for
/// control traffic.
const MAX_HEARTBEAT_BYTES_PER_SECOND: u32 = 3_300;
/// Size of one heartbeat, including the packet's addresses.
const HEARTBEAT_BYTES: u32 = 106;
/// A peer that was silent for this many intervals gets heartbeats less often.
const QUIET_INTERVALS: u32 = 20;
/// Factor by which the interval to a silent peer grows.
const QUIET_FACTOR: u32 = 4;
/// A peer that was silent for this long is forgotten.
const PEER_TTL: Duration = Duration::from_secs(600);
/// A peer that was silent for this many intervals is not considered alive.
pub(crate) const ALIVE_INTERVALS: u32 = 4;
/// Silence after which an agent that has reported the end of its back end is taken to have left.
pub(crate) const DEPARTED_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of peers remembered.
const MAX_PEERS: usize = 8_192;
/// Number of peers that news is sent to at once, spread evenly over all and different each time.
/// Two rounds reach 1,000 nodes; nodes that all rounds have missed get the news with regular
/// heartbeats.
const PEERS_PER_NEWS_ROUND: usize = 32;

/// Tolerance for rounding of times when checking whether a phase has just passed, as a share of the
/// interval.
const MIN_PHASE_STEP: f64 = 1e-3;

/// A node's description of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// The address at which other nodes reach it.
    pub address: SocketAddrV4,
    /// Whether it is a balancer or an agent.
    pub role: NodeRole,
    /// The availability zone of its machine.
    pub zone: String,
    /// The region of its zone.
    pub region: String,
    /// Increases with each of its starts.
    pub incarnation: u64,
    /// Bandwidth of its machine's link in megabits per second.
    pub link_mbps: u32,
}

/// Sort key for choosing the balancers that watch the store. Fast links come first: an answer with
/// a large configuration delays the packets of a slow link.
fn watcher_order(link_mbps: u32, address: SocketAddrV4) -> (Reverse<u32>, SocketAddrV4) {
    (Reverse(link_mbps), address)
}

/// State of another node, as known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Whether it is a balancer or an agent.
    pub role: NodeRole,
    /// Its incarnation; 0 before its first heartbeat.
    pub incarnation: u64,
    /// Version of the configuration in force there.
    pub configuration: Version,
    /// When its last heartbeat was received.
    pub last_heartbeat_at: Option<Duration>,
    /// Whether it has reported this node's zone.
    pub is_same_zone: bool,
    /// Bandwidth of its machine's link in megabits per second, as reported.
    pub link_mbps: u32,
    known_since: Duration,
    next_heartbeat: Duration,
}

impl Peer {
    /// Whether the node has been known for at least this duration.
    pub(crate) fn is_known_for(&self, now: Duration, duration: Duration) -> bool {
        now.saturating_sub(self.known_since) >= duration
    }
}

/// Rank of a balancer among the balancers whose heartbeats it receives, itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BalancerRanks {
    /// Number of balancers in its zone.
    pub(crate) in_zone: usize,
    /// Its rank among those: fastest links first, then by address.
    pub(crate) rank_in_zone: usize,
    /// Number of balancers.
    pub(crate) balancers: usize,
    /// Its rank among those.
    pub(crate) rank: usize,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeartbeatOutcome {
    /// Whether the node was unknown or has restarted.
    pub(crate) is_new: bool,
}

/// The nodes that one node knows.
#[derive(Debug)]
pub struct Membership {
    me: Node,
    peers: BTreeMap<SocketAddrV4, Peer>,
    /// When the next heartbeat to each peer is due, earliest first.
    due: BTreeSet<(Duration, SocketAddrV4)>,
    /// How often news was sent.
    news_rounds: u64,
}

impl Membership {
    /// Creates the membership of a node that knows no other.
    pub fn new(me: Node) -> Self {
        Membership { me, peers: BTreeMap::new(), due: BTreeSet::new(), news_rounds: 0 }
    }

    /// The node that this membership belongs to.
    pub fn me(&self) -> &Node {
        &self.me
    }

    /// Adds a node reported by others; returns `true` if it was unknown.
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

    /// Agents do not exchange heartbeats with each other.
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

    /// Current time between two heartbeats to one peer.
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

    /// Returns the peers to send a heartbeat to now, each with whether a reply is wanted.
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
            let next_interval = interval * if is_quiet { QUIET_FACTOR } else { 1 };
            self.reschedule(address, next_in_phase(now, next_interval, self.phase(&address)));
        }
        taken
    }

    /// Phase of the heartbeats to a peer within each interval, from 0 to 1.
    fn phase(&self, peer: &SocketAddrV4) -> f64 {
        stable_hash(&self.me.address, peer, 0) as f64 / u64::MAX as f64
    }

    /// Schedules an immediate heartbeat with news to a bounded number of peers, different ones each
    /// time.
    pub fn spread_news(&mut self, now: Duration) {
        self.news_rounds += 1;
        let count = self.peers.len();
        let fan_out = PEERS_PER_NEWS_ROUND.min(count);
        let step = (count / PEERS_PER_NEWS_ROUND).max(1);
        let first = stable_hash(&self.me.address, &self.me.address, self.news_rounds) as usize;
        let rotated = self.peers.keys().cycle().skip(first % count.max(1));
        let chosen: Vec<SocketAddrV4> = rotated.step_by(step).take(fan_out).copied().collect();
        for address in chosen {
            self.reschedule(address, now);
        }
    }

    /// When [`Membership::take_due`] next returns a peer.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|(at, _)| *at)
    }

    pub(crate) fn peer(&self, address: &SocketAddrV4) -> Option<&Peer> {
        self.peers.get(address)
    }

    pub(crate) fn knows(&self, address: &SocketAddrV4) -> bool {
        self.peers.contains_key(address)
    }

    /// When a node's last heartbeat was received, or when the node became known if there was none.
    pub(crate) fn last_contact_at(&self, address: &SocketAddrV4) -> Option<Duration> {
        self.peers.get(address).map(|peer| peer.last_heartbeat_at.unwrap_or(peer.known_since))
    }

    /// Number of known nodes.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Rank of this node among the balancers whose heartbeats have arrived recently.
    pub(crate) fn balancer_ranks(&self, now: Duration) -> BalancerRanks {
        let alive_timeout = self.interval() * ALIVE_INTERVALS;
        let mine = watcher_order(self.me.link_mbps, self.me.address);
        let mut ranks = BalancerRanks { in_zone: 1, rank_in_zone: 0, balancers: 1, rank: 0 };
        for (address, peer) in &self.peers {
            let is_alive =
                peer.last_heartbeat_at.is_some_and(|at| now.saturating_sub(at) <= alive_timeout);
            if peer.role != NodeRole::Balancer || !is_alive {
                continue;
            }
            let ranks_before = usize::from(watcher_order(peer.link_mbps, *address) < mine);
            ranks.balancers += 1;
            ranks.rank += ranks_before;
            if peer.is_same_zone {
                ranks.in_zone += 1;
                ranks.rank_in_zone += ranks_before;
            }
        }
        ranks
    }

    /// The known nodes with their addresses.
    pub fn peers(&self) -> impl Iterator<Item = (&SocketAddrV4, &Peer)> {
        self.peers.iter()
    }
}

/// The next time after `now` that has this phase within an interval.
fn next_in_phase(now: Duration, interval: Duration, phase: f64) -> Duration {
    let passed = (now.as_secs_f64() / interval.as_secs_f64()).fract();
    let left = (phase - passed).rem_euclid(1.0);
    // A phase that has just passed is due one interval later.
    let left = if left < MIN_PHASE_STEP { left + 1.0 } else { left };
    now + interval.mul_f64(left)
}
