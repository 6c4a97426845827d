//! What a balancer knows of the system besides its flows: nodes and configuration.

use super::*;

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// What this node gives to whoever asks.
    pub fn snapshot(&self) -> Snapshot {
        let has_ended =
            |agent: &SocketAddrV4| self.pool.view(agent).is_some_and(AgentView::has_ended);
        self.standing.snapshot(|address| !has_ended(address))
    }

    /// Takes a node's snapshot.
    pub fn take_snapshot(&mut self, now: Duration, snapshot: Snapshot) {
        self.standing.learn(now, &snapshot.members);
        if let Some(configuration) = snapshot.configuration {
            self.adopt(now, configuration);
        }
    }

    /// Learns of nodes by hearsay; there may be others.
    pub fn add_members(&mut self, now: Duration, members: &[(SocketAddrV4, NodeRole)]) {
        self.standing.learn(now, members);
    }

    /// Takes the whole list of nodes that the shared store holds.
    pub fn learn_members(&mut self, now: Duration, members: &[(SocketAddrV4, NodeRole)]) {
        self.absence_evidence.note_member_list();
        self.standing.learn(now, members);
    }

    /// Puts in force what is newer of a configuration than the one in force; `true` when that says
    /// something else.
    pub fn adopt(&mut self, now: Duration, configuration: CarriedConfiguration) -> bool {
        match self.standing.adopt(now, configuration) {
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
        self.routes.replace(&self.standing.configuration);
        self.pool.evacuate(&self.standing.evacuated());
        self.admission_pause.end(now);
        self.counters.configurations_adopted += 1;
        self.unrouted.note_routes(now);
        self.standing.membership.hurry(now);
        true
    }
}
