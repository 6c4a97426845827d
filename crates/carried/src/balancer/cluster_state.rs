//! Snapshots, members and configurations that a balancer receives.

use super::*;

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// The snapshot that this node sends to a node that requests it.
    pub fn snapshot(&self) -> Snapshot {
        let has_ended =
            |agent: &SocketAddrV4| self.pool.view(agent).is_some_and(AgentView::backend_ended);
        self.cluster.snapshot(|address| !has_ended(address))
    }

    /// Merges the members and the configuration of another node's snapshot.
    pub fn take_snapshot(&mut self, now: Duration, snapshot: Snapshot) {
        let sender = snapshot.members.first();
        if sender.is_some_and(|(_, role)| *role == NodeRole::Balancer) {
            self.discovery.note_peer_snapshot();
        }
        self.cluster.learn(now, &snapshot.members);
        if let Some(configuration) = snapshot.configuration {
            self.adopt(now, configuration);
        }
    }

    /// Adds members reported by other nodes; the list may be incomplete.
    pub fn add_members(&mut self, now: Duration, members: &[(SocketAddrV4, NodeRole)]) {
        self.cluster.learn(now, members);
    }

    /// Adds the members of the shared store's complete list.
    pub fn learn_members(&mut self, now: Duration, members: &[(SocketAddrV4, NodeRole)]) {
        self.discovery.note_member_list();
        log::info!(listed = members.len(), known = self.cluster.membership.len(); "members_listed");
        self.cluster.learn(now, members);
    }

    /// Puts a configuration in force as far as it is newer than the current one. Returns `true` if
    /// the content in force has changed.
    pub fn adopt(&mut self, now: Duration, configuration: CarriedConfiguration) -> bool {
        match self.cluster.adopt(now, configuration) {
            Adoption::Outdated => {
                self.counters.configurations_passed_over += 1;
                return false;
            }
            Adoption::Confirmed => {
                self.admission_pause.end(now);
                return false;
            }
            Adoption::Changed => {}
        }
        self.routes.replace(&self.cluster.configuration);
        self.pool.evacuate(&self.cluster.evacuated());
        self.admission_pause.end(now);
        self.counters.configurations_adopted += 1;
        self.unrouted.note_routes(now);
        self.cluster.membership.spread_news(now);
        true
    }
}
