//! Whether the shared store's list of nodes names those that live.
//!
//! Entries stand without a lease: a renewal of each would grow with nodes and hours, 64 calls a second at
//! 3,860 nodes, and all at once at the store's return. The balancers that wait at the store compare its
//! list with whom they hear instead. A node whose entry is missing is told and writes it again; the entry
//! of a node that nobody has heard for long is removed.
//!
//! Invariants:
//! - An entry is removed only after its node was silent here for [`DEAD_TIMEOUT`], while this process ran, or
//!   has said good-bye and was silent for four intervals.
//! - A node that lives and whose entry is missing is told by every auditor that hears it, each time.

use super::*;
use crate::membership::ALIVE_INTERVALS;
use crate::rank::draw;

/// Mean time between two audits of one auditor. What nobody needs to know sooner: an entry is read by
/// nodes that start, which hear of others from peers as well.
const AUDIT_INTERVAL: Duration = Duration::from_secs(60);
/// An interval is this share of the mean at least, and as much longer at most.
const MIN_INTERVAL_SHARE: f64 = 0.75;
/// Audits after the store's return come within this time, not all at once.
const RETURN_SPREAD: Duration = Duration::from_millis(300);
/// A node that has only just come may be missing from a list that is seconds old. In the newest list it is
/// not: a store that has gone back has lost the entries of just those that had come last.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// A node that was silent for so long is dead. Longer than freezes, cuts and stores' outages last, and
/// shorter than peers remember it.
const DEAD_TIMEOUT: Duration = Duration::from_secs(540);

/// An agent whose back end had ended when it spoke last, and which was silent since, has left its machine.
const DEPARTED_TIMEOUT: Duration = Duration::from_secs(2);

/// A node that the shared store's list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Where other nodes reach it.
    pub address: SocketAddrV4,
    /// What it does.
    pub role: NodeRole,
}

/// The shared store's list, as one reading found it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeList {
    /// The nodes that it names.
    pub nodes: Vec<ListedNode>,
    /// It names every node whose entry was acknowledged before; else it may be seconds old.
    pub is_newest: bool,
}

/// When the list is compared next.
#[derive(Debug, Default)]
pub(super) struct Audit {
    next: Option<Duration>,
    /// Returns of the store that were known at the last look.
    returns: u32,
    /// The era of the store that was known then; 0 before any.
    era: u64,
    /// The next list must be the newest: the store has just come back.
    is_urgent: bool,
    /// Audits that a time was set for.
    planned: u64,
}

impl Audit {
    pub(super) fn next(&self) -> Option<Duration> {
        self.next
    }

    /// Whether the store has come back since the last look, or has gone back to an older copy: then
    /// entries may be gone though nobody has noticed an absence.
    fn note_returns(&mut self, returns: u32, era: u64) -> bool {
        let has_returned = std::mem::replace(&mut self.returns, returns) != returns;
        let before = std::mem::replace(&mut self.era, era);
        has_returned || (before > 0 && before != era)
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Asks for the list when it is time; only balancers that wait at the store do.
    pub(super) fn audit_when_due(&mut self, now: Duration, is_auditor: bool) {
        let has_returned = self.audit.note_returns(
            self.standing.store.returns(),
            self.standing.configuration.version.position.era,
        );
        if !is_auditor {
            self.audit.next = None;
            return;
        }
        if has_returned {
            self.audit.is_urgent = true;
            self.audit.next = Some(now + RETURN_SPREAD.mul_f64(self.jitter_fraction()));
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

    /// A number from 0 to 1, another one each time: auditors do not ask at one moment.
    fn jitter_fraction(&mut self) -> f64 {
        self.audit.planned += 1;
        let me = self.standing.membership.me().address;
        draw(&me, &me, self.audit.planned) as f64 / u64::MAX as f64
    }

    /// Compares the store's list with who lives: tells nodes whose entries are missing, and names the
    /// addresses whose entries are to be removed.
    pub fn audit_members(&mut self, now: Duration, list: &NodeList) -> Vec<SocketAddrV4> {
        let listed = &list.nodes;
        let members: Vec<_> = listed.iter().map(|node| (node.address, node.role)).collect();
        self.standing.learn(now, &members);
        let has_entry: HashSet<SocketAddrV4> = listed.iter().map(|node| node.address).collect();
        let me = self.standing.membership.me().address;
        if !has_entry.contains(&me) {
            self.outputs.push_back(Output::WriteEntry);
        }
        let patience = self.standing.membership.interval() * ALIVE_INTERVALS;
        let peers = self.standing.membership.peers();
        let is_missing = |address: &SocketAddrV4, peer: &Peer| {
            let is_alive = peer.heard_at.is_some_and(|at| now.saturating_sub(at) <= patience);
            let may_be_told = list.is_newest || peer.is_settled(now, SETTLING_TIME);
            is_alive && may_be_told && !has_entry.contains(address)
        };
        let missing = peers.filter(|(address, peer)| is_missing(address, peer));
        let missing: Vec<SocketAddrV4> = missing.map(|(address, _)| *address).collect();
        for to in &missing {
            self.outputs.push_back(Output::ToPeer { to: *to, message: Message::NotListed });
        }
        let dead: Vec<SocketAddrV4> = has_entry
            .into_iter()
            .filter(|address| *address != me && self.is_dead(now, address))
            .collect();
        if !missing.is_empty() || !dead.is_empty() {
            log::info!(listed = listed.len(), missing = missing.len(), dead = dead.len(); "members_audited");
        }
        dead
    }

    fn is_dead(&self, now: Duration, address: &SocketAddrV4) -> bool {
        let last_word = self.standing.membership.last_word(address).unwrap_or(now);
        let patience =
            (self.standing.membership.interval() * ALIVE_INTERVALS).max(DEPARTED_TIMEOUT);
        let is_over = if self.has_departed(address) { patience } else { DEAD_TIMEOUT };
        now.saturating_sub(last_word) >= is_over
    }
}
