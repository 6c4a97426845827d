//! Whether this balancer, since its start, has learned of every node that may own a flow.
//!
//! The store's list alone is not sufficient: an agent whose entry was removed serves on while its
//! new entry is still to be written, which takes as long as the store refuses or delays the write.
//! Balancers that run exchange heartbeats with that agent, so one of them is asked as well.
//!
//! Without the list nothing is known: balancers that start together while the store is away know no
//! agent but those that know them, however long they wait.
//!
//! A peer that started together with this process knows no more than the list. If all balancers
//! start at once, an agent without an entry is learned of at its next heartbeat.

use super::*;

/// Time after its start in which a balancer that gets no snapshot of another balancer has received
/// heartbeats of all nodes that know it.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a snapshot that has not arrived is requested from another balancer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// The sources of nodes that were read.
#[derive(Debug, Default)]
pub(super) struct Discovery {
    has_member_list: bool,
    has_peer_snapshot: bool,
    requested_at: Option<Duration>,
}

impl Discovery {
    /// Notes the store's complete list.
    pub(super) fn note_member_list(&mut self) {
        self.has_member_list = true;
    }

    /// Notes the snapshot of another balancer.
    pub(super) fn note_peer_snapshot(&mut self) {
        self.has_peer_snapshot = true;
    }

    /// Whether to request the snapshot of a balancer that is heard now.
    fn begin_request(&mut self, now: Duration) -> bool {
        let is_pending = self.requested_at.is_some_and(|at| now < at + REQUEST_TIMEOUT);
        let is_due = !self.has_peer_snapshot && !is_pending;
        if is_due {
            self.requested_at = Some(now);
        }
        is_due
    }

    /// When the store's list is read at the latest, if the store answers.
    pub(super) fn list_known_at(&self) -> Duration {
        if self.has_member_list { Duration::ZERO } else { DISCOVERY_TIMEOUT }
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Whether this balancer is taken to know all nodes: it has read the store's list, and another
    /// balancer has answered, or none has for long enough.
    pub(super) fn knows_all_nodes(&self, now: Duration) -> bool {
        let is_balancer = |(_, peer): (&SocketAddrV4, &Peer)| peer.role == NodeRole::Balancer;
        let has_asked_peers = self.discovery.has_peer_snapshot
            || !self.cluster.membership.peers().any(is_balancer)
            || now >= DISCOVERY_TIMEOUT;
        self.discovery.has_member_list && has_asked_peers
    }

    /// Requests the snapshot of a balancer from which a heartbeat has arrived, unless one was
    /// received already. `is_fetching`: it is being fetched for another reason.
    pub(super) fn discover_from(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        role: NodeRole,
        is_fetching: bool,
    ) {
        if role == NodeRole::Balancer && self.discovery.begin_request(now) && !is_fetching {
            self.outputs.push_back(Output::FetchSnapshot { from });
        }
    }
}
