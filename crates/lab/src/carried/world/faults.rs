//! Faults.

use super::*;

impl CarriedWorld {
    pub(super) fn fault(&mut self, fault: CarriedFault) {
        let balancers = self.settings.balancers;
        match fault {
            CarriedFault::KillBalancer(node, down) => self.kill(node, down),
            CarriedFault::KillAgent(agent, down) => self.kill(balancers + agent, down),
            CarriedFault::KillAll(down) => {
                for node in 0..self.nodes.len() {
                    self.kill(node, down);
                }
            }
            CarriedFault::PowerOff(down) => {
                for node in 0..self.nodes.len() {
                    self.kill(node, down);
                }
                for agent in 0..self.backends.len() {
                    self.crash(agent, down);
                }
            }
            CarriedFault::FreezeBalancer(node, lasts) => self.freeze(node, lasts),
            CarriedFault::FreezeAgent(agent, lasts) => self.freeze(balancers + agent, lasts),
            CarriedFault::StopBalancer(node) => {
                if let Some(balancer) = self.nodes[node].balancer() {
                    balancer.start_draining();
                    self.events.push(self.now + STOP_TAKES, Event::Start { node });
                }
            }
            CarriedFault::CutBalancer(node, lasts) => self.cut(node, lasts),
            CarriedFault::CutAgent(agent, lasts) => self.cut(balancers + agent, lasts),
            CarriedFault::Loss(share, lasts) => {
                self.loss = share;
                self.events.push(self.now + lasts, Event::LossEnds);
            }
            CarriedFault::StoreDown(lasts) => {
                self.store_down_until = self.store_down_until.max(self.now + lasts);
                // A change that not every node has seen is in force once the store is back.
                if self.now < self.changed_at + BOUND {
                    self.changed_at = self.changed_at.max(self.store_down_until);
                }
                for at in self.evacuated_at.values_mut().filter(|at| self.now < **at + BOUND) {
                    *at = (*at).max(self.store_down_until);
                }
            }
            CarriedFault::RefuseBalancers(lasts) => {
                let until = self.now + lasts;
                self.balancers_refused_until = self.balancers_refused_until.max(until);
            }
            CarriedFault::MoveRoute => self.move_route(),
            CarriedFault::Evacuate(zone) => self.evacuate(zone),
            CarriedFault::EndEvacuation(zone) => self.end_evacuation(zone),
            CarriedFault::ReplaceBackend(agent) => self.backends[agent].is_leaving = true,
            CarriedFault::FailBackend(agent, mode, lasts) => {
                self.backends[agent].failing = Some(mode);
                let start = self.backends[agent].start;
                self.events.push(self.now + lasts, Event::BackendWell { agent, start });
            }
            CarriedFault::CrashBackend(agent, down) => self.crash(agent, down),
        }
    }

    fn crash(&mut self, agent: usize, down: Duration) {
        if self.backends[agent].is_alive {
            self.backends[agent].is_alive = false;
            self.events.push(self.now + down, Event::StartBackend { agent });
        }
    }

    pub(super) fn kill(&mut self, node: usize, down: Duration) {
        if self.nodes[node].core.take().is_some() {
            self.events.push(self.now + down, Event::Start { node });
        }
    }

    pub(super) fn freeze(&mut self, node: usize, lasts: Duration) {
        let until = self.now + lasts;
        if self.thaw(node).is_none() {
            self.nodes[node].frozen_since = self.now;
        }
        self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until);
        if lasts > STANDSTILL {
            // Before everything that waits until then.
            let starts = self.nodes[node].starts;
            self.events.push(until, Event::Thaw { node, starts });
        }
    }

    pub(super) fn resume(&mut self, node: usize, starts: u64) {
        if self.nodes[node].starts != starts || self.thaw(node).is_some() {
            return;
        }
        let own = self.nodes[node].own_time(self.now);
        match &mut self.nodes[node].core {
            Some(Core::Balancer(balancer)) => balancer.resume(own),
            Some(Core::Agent(agent)) => agent.resume(own),
            None => {}
        }
        self.settle(node);
    }

    pub(super) fn cut(&mut self, node: usize, lasts: Duration) {
        self.nodes[node].cut_until = self.nodes[node].cut_until.max(self.now + lasts);
    }

    /// The operator writes; while the store is down nobody does.
    pub(super) fn move_route(&mut self) {
        if self.store_down_until > self.now {
            return;
        }
        let current = &self.configuration.routes[1].parts[0].service;
        let next = if current == SERVICES[0] { SERVICES[1] } else { SERVICES[0] };
        let evacuated = self.configuration.evacuated.clone();
        self.configuration = CarriedConfiguration { evacuated, ..configuration(0, next) };
        self.note_write();
        self.changed_at = self.bound_runs_from();
    }

    /// A change of the operator's has its own revision.
    fn note_write(&mut self) {
        self.store_revision += 3;
        self.written_at = self.now;
        self.configuration.version = self.store_revision;
    }

    /// The bound for what is written now does not run while any node may be away from the store.
    fn bound_runs_from(&self) -> Duration {
        let troubled = self.nodes.iter().map(|node| node.cut_until.max(node.frozen_until)).max();
        self.now.max(troubled.unwrap_or_default()).max(self.store_down_until)
    }

    fn evacuate(&mut self, zone: usize) {
        if self.store_down_until <= self.now && self.configuration.evacuated.insert(zone_name(zone))
        {
            self.note_write();
            self.evacuated_at.insert(zone_name(zone), self.bound_runs_from());
        }
    }

    fn end_evacuation(&mut self, zone: usize) {
        if self.store_down_until <= self.now
            && self.configuration.evacuated.remove(&zone_name(zone))
        {
            self.note_write();
            self.evacuated_at.remove(&zone_name(zone));
        }
    }
}
