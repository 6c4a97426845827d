//! Audits the shared store's list of nodes against the nodes that are alive.
//!
//! Entries in the store have no lease: renewing a lease for each would cost 64 calls a second at
//! 3,860 nodes, and all renewals would come at once when the store recovers from an outage.
//! Instead, the balancers that watch the store compare its list with the nodes whose heartbeats
//! they receive. A live node whose entry is missing is notified and writes the entry again; the
//! entry of a node that has been silent for long is removed.
//!
//! Invariants:
//! - An entry is removed only after this process has run for [`DEAD_TIMEOUT`] without receiving
//!   anything from its node, or after the node's departure notice and four heartbeat intervals of
//!   silence.
//! - A live node whose entry is missing is notified at each audit by every auditor that receives
//!   its heartbeats, and at its first heartbeat after the removal by the auditor that removed it.

use super::*;
use crate::membership::{ALIVE_INTERVALS, DEPARTED_TIMEOUT};
use crate::rank::stable_hash;

/// Mean time between two audits by one auditor. Corrections are not urgent: entries are read by
/// nodes that start, and those learn of other nodes from peers as well.
const AUDIT_INTERVAL: Duration = Duration::from_secs(60);
/// Shortest audit interval, as a share of the mean. The longest one exceeds the mean by as much as
/// the shortest one falls below it.
const MIN_INTERVAL_SHARE: f64 = 0.75;
/// Time over which the auditors spread their audits after the store has recovered from an outage.
const RECOVERY_SPREAD: Duration = Duration::from_millis(300);
/// Minimum time since a node joined before its absence from a list that may be seconds old counts.
/// Absence from the newest list counts at once: a store that was restored from an older copy has
/// lost the entries of just the nodes that joined last.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Silence after which a node is taken to be dead: longer than process freezes, network partitions
/// and store outages last, and shorter than peers remember the node.
const DEAD_TIMEOUT: Duration = Duration::from_secs(540);

/// A node in the shared store's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Address at which other nodes reach it.
    pub address: SocketAddrV4,
    /// Role of the node.
    pub role: NodeRole,
}

/// The shared store's list of nodes, as returned by one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeList {
    /// The listed nodes.
    pub nodes: Vec<ListedNode>,
    /// Whether the list includes every entry that was acknowledged before the read. Otherwise it
    /// may be seconds old.
    pub is_newest: bool,
}

/// Schedule of the audits.
#[derive(Debug, Default)]
pub(super) struct Audit {
    next: Option<Duration>,
    /// Number of store outages known to have ended, at the last check.
    recoveries: u32,
    /// Era of the store at the last check; 0 while none is known.
    era: u64,
    /// Whether the next audit needs the newest list, because the store has just recovered.
    is_urgent: bool,
    /// Number of audits scheduled so far.
    planned: u64,
    /// Nodes whose entries were removed; each is notified if it turns out to be alive.
    removed: HashSet<SocketAddrV4>,
}

impl Audit {
    pub(super) fn next(&self) -> Option<Duration> {
        self.next
    }

    /// Whether, since the last check, the store has recovered from an outage or was restored from
    /// an older copy: then entries may be lost even if no node noticed an outage.
    fn note_recoveries(&mut self, recoveries: u32, era: u64) -> bool {
        let has_recovered = std::mem::replace(&mut self.recoveries, recoveries) != recoveries;
        let before = std::mem::replace(&mut self.era, era);
        has_recovered || (before > 0 && before != era)
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Requests the list when an audit is due. Only balancers that watch the store are auditors.
    pub(super) fn audit_when_due(&mut self, now: Duration, is_auditor: bool) {
        let has_recovered = self.audit.note_recoveries(
            self.cluster.store.recoveries(),
            self.cluster.configuration.version.position.era,
        );
        if !is_auditor {
            self.audit.next = None;
            return;
        }
        if has_recovered {
            self.audit.is_urgent = true;
            self.audit.next = Some(now + RECOVERY_SPREAD.mul_f64(self.jitter_fraction()));
        } else if self.audit.next.is_none() {
            self.audit.next = Some(self.next_audit(now));
        }
        if self.audit.next.is_some_and(|next| next <= now) {
            self.audit.next = Some(self.next_audit(now));
            let is_urgent = std::mem::take(&mut self.audit.is_urgent);
            self.counters.member_audits += 1;
            self.outputs.push_back(Output::ReadMembers { is_urgent });
        }
    }

    fn next_audit(&mut self, now: Duration) -> Duration {
        now + AUDIT_INTERVAL
            .mul_f64(MIN_INTERVAL_SHARE + (2.0 - 2.0 * MIN_INTERVAL_SHARE) * self.jitter_fraction())
    }

    /// A number between 0 and 1 that differs from call to call and between auditors, so that they
    /// do not read the store at the same moment.
    fn jitter_fraction(&mut self) -> f64 {
        self.audit.planned += 1;
        let me = self.cluster.membership.me().address;
        stable_hash(&me, &me, self.audit.planned) as f64 / u64::MAX as f64
    }

    /// Compares the store's list with the live nodes: notifies live nodes whose entries are
    /// missing, and returns the addresses whose entries are to be removed.
    pub fn audit_members(&mut self, now: Duration, list: &NodeList) -> Vec<SocketAddrV4> {
        let listed = &list.nodes;
        let members: Vec<_> = listed.iter().map(|node| (node.address, node.role)).collect();
        self.cluster.learn(now, &members);
        let has_entry: HashSet<SocketAddrV4> = listed.iter().map(|node| node.address).collect();
        let me = self.cluster.membership.me().address;
        if !has_entry.contains(&me) {
            self.outputs.push_back(Output::WriteEntry);
        }
        let alive_timeout = self.cluster.membership.interval() * ALIVE_INTERVALS;
        let peers = self.cluster.membership.peers();
        let is_missing = |address: &SocketAddrV4, peer: &Peer| {
            let is_alive =
                peer.last_heartbeat_at.is_some_and(|at| now.saturating_sub(at) <= alive_timeout);
            let may_be_notified = list.is_newest || peer.is_known_for(now, SETTLING_TIME);
            is_alive && may_be_notified && !has_entry.contains(address)
        };
        let missing = peers.filter(|(address, peer)| is_missing(address, peer));
        let missing: Vec<SocketAddrV4> = missing.map(|(address, _)| *address).collect();
        for to in &missing {
            self.outputs.push_back(Output::ToPeer { to: *to, message: Message::NotListed });
        }
        let is_dead = |address: &&SocketAddrV4| **address != me && self.is_dead(now, address);
        let dead: Vec<SocketAddrV4> = has_entry.iter().filter(is_dead).copied().collect();
        if !missing.is_empty() || !dead.is_empty() {
            log::info!(listed = listed.len(), missing = missing.len(), dead = dead.len(); "members_audited");
        }
        let membership = &self.cluster.membership;
        let is_unlisted = |node: &SocketAddrV4| membership.knows(node) && !has_entry.contains(node);
        self.audit.removed.retain(is_unlisted);
        self.audit.removed.extend(&dead);
        dead
    }

    /// Notifies a node that has sent a heartbeat although its entry was removed because of its
    /// silence: nodes that start now do not learn of it from the list.
    pub(super) fn notify_if_removed(&mut self, from: SocketAddrV4) {
        if self.audit.removed.remove(&from) {
            log::warn!(node:% = from; "removed_node_alive");
            self.outputs.push_back(Output::ToPeer { to: from, message: Message::NotListed });
        }
    }

    fn is_dead(&self, now: Duration, address: &SocketAddrV4) -> bool {
        let last_contact = self.cluster.membership.last_contact_at(address).unwrap_or(now);
        let departed_timeout =
            (self.cluster.membership.interval() * ALIVE_INTERVALS).max(DEPARTED_TIMEOUT);
        let timeout = if self.has_departed(address) { departed_timeout } else { DEAD_TIMEOUT };
        now.saturating_sub(last_contact) >= timeout
    }
}
