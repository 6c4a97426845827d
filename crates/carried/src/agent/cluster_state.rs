//! What an agent knows of the system besides its back end: nodes, configuration, the shared store.

use super::*;

impl<F: SegmentFormat> CarriedAgent<F> {
    /// What this node gives to whoever asks.
    pub fn snapshot(&self) -> Snapshot {
        self.standing.snapshot(|_| true)
    }

    /// Takes a node's snapshot.
    pub fn take_snapshot(&mut self, now: Duration, snapshot: Snapshot) {
        self.learn_members(now, &snapshot.members);
        if let Some(configuration) = snapshot.configuration {
            self.adopt(now, configuration);
        }
    }

    /// Learns of nodes by hearsay.
    pub fn learn_members(&mut self, now: Duration, members: &[(SocketAddrV4, crate::NodeRole)]) {
        self.standing.learn(now, members);
    }

    /// Puts in force what is newer of a configuration than the one in force; `true` when that says
    /// something else.
    pub fn adopt(&mut self, now: Duration, configuration: CarriedConfiguration) -> bool {
        let was_evacuated = self.is_evacuated();
        match self.standing.adopt(now, configuration) {
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

    /// Learns whether the shared store answered a reading: all that it had is known by now.
    pub fn note_store(&mut self, now: Duration, answers: bool) {
        let asked = self.store_read_for.take();
        if !answers {
            return;
        }
        self.standing.store.confirm(now);
        if let Some(balancer) = asked {
            // It hears the version, and fetches it from here if it is newer.
            self.send_heartbeat(now, balancer, false);
        }
    }
}
