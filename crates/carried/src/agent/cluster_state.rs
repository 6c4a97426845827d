//! What an agent knows of the cluster: its nodes, the configuration and the shared store.

use super::*;

impl<F: SegmentFormat> CarriedAgent<F> {
    /// The snapshot of members and configuration that this node serves to other nodes.
    pub fn snapshot(&self) -> Snapshot {
        self.cluster.snapshot(|_| true)
    }

    /// Adds what another node's snapshot contains.
    pub fn take_snapshot(&mut self, now: Duration, snapshot: Snapshot) {
        self.learn_members(now, &snapshot.members);
        if let Some(configuration) = snapshot.configuration {
            self.adopt(now, configuration);
        }
    }

    /// Adds nodes that other nodes or the shared store have named.
    pub fn learn_members(&mut self, now: Duration, members: &[(SocketAddrV4, crate::NodeRole)]) {
        self.cluster.learn(now, members);
    }

    /// Merges a configuration into the one in force, unless the version in force covers it already;
    /// `true` when this changes the content.
    pub fn adopt(&mut self, now: Duration, configuration: CarriedConfiguration) -> bool {
        let was_evacuated = self.is_evacuated();
        match self.cluster.adopt(now, configuration) {
            Adoption::Outdated => self.counters.configurations_passed_over += 1,
            Adoption::Confirmed => {}
            Adoption::Changed => {
                self.counters.configurations_adopted += 1;
                self.may_be_cold |= was_evacuated;
                self.announce_condition_change(now, "configuration");
                self.serve_wait_queue(now);
                return true;
            }
        }
        false
    }

    /// Records whether a read of the shared store succeeded. If it did, everything that it returned
    /// has been applied before this call.
    pub fn note_store(&mut self, now: Duration, answers: bool) {
        let asked = self.store_read_for.take();
        if !answers {
            return;
        }
        self.cluster.store.note_confirmed(now);
        if let Some(balancer) = asked {
            // The heartbeat carries the configuration version; the balancer fetches the
            // configuration from this agent if it is newer than its own.
            self.send_heartbeat(now, balancer, false);
        }
    }
}
