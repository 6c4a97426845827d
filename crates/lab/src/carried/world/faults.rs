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
            CarriedFault::StoreDown(lasts) => self.take_store_away(lasts),
            CarriedFault::StoreRestored(back) => {
                self.take_store_away(back.away);
                self.events.push(self.now + back.away, Event::StoreReturns(back));
            }
            CarriedFault::RefuseBalancers(lasts) => {
                let until = self.now + lasts;
                self.balancers_refused_until = self.balancers_refused_until.max(until);
            }
            CarriedFault::HangWaits(lasts) => {
                for process in &mut self.nodes {
                    process.wait_hangs_until = self.now + lasts;
                }
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

    fn take_store_away(&mut self, lasts: Duration) {
        self.store_down_until = self.store_down_until.max(self.now + lasts);
        self.restart_bounds(self.store_down_until);
    }

    /// A change that not every node has seen by now is in force a bound after `from`.
    fn restart_bounds(&mut self, from: Duration) {
        if self.now < self.changed_at + BOUND {
            self.changed_at = self.changed_at.max(from);
        }
        for at in self.evacuated_at.values_mut().filter(|at| self.now < **at + BOUND) {
            *at = (*at).max(from);
        }
    }

    /// The store is back, from a copy; its operators notice later.
    pub(super) fn store_returns(&mut self, back: StoreRestore) {
        self.store.come_back(self.now, back.copy_age);
        self.restart_bounds(self.now + back.operator_after);
        self.restored_at = self.now;
        self.events.push(self.now + back.operator_after, Event::OperatorsWriteAgain);
    }

    /// Operators write again what the store has lost. What no running process knew of begins anew.
    pub(super) fn write_again(&mut self) {
        if !self.store.is_behind() {
            return;
        }
        self.store.write_again(self.now);
        self.written_at = self.now;
        if self.nobody_remembers() {
            self.changed_at = self.now;
        }
        // What was not written again in time counts as gone.
        if self.now > self.restored_at + LAPSE {
            for at in self.evacuated_at.values_mut() {
                *at = self.now;
            }
        }
    }

    /// Whether no process runs that did before the store's return.
    fn nobody_remembers(&self) -> bool {
        let runs_on = |node: &Process| node.core.is_some() && node.started < self.restored_at;
        !self.nodes.iter().any(runs_on)
    }

    /// The operator writes; while the store is down nobody does.
    pub(super) fn move_route(&mut self) {
        if self.store_down_until > self.now {
            return;
        }
        let current = &self.store.wanted().routes[1].targets[0].service;
        let next = if current == SERVICES[0] { SERVICES[1] } else { SERVICES[0] };
        self.store.write_routes(self.now, configuration(next));
        self.written_at = self.now;
        self.changed_at = self.bound_runs_from();
    }

    /// The bound for what is written now does not run while any node may be away from the store.
    fn bound_runs_from(&self) -> Duration {
        let troubled = self.nodes.iter().map(|node| node.cut_until.max(node.frozen_until)).max();
        self.now.max(troubled.unwrap_or_default()).max(self.store_down_until)
    }

    fn evacuate(&mut self, zone: usize) {
        if self.store_down_until <= self.now
            && self.store.write_zone(self.now, zone_name(zone), true)
        {
            self.written_at = self.now;
            self.evacuated_at.insert(zone_name(zone), self.bound_runs_from());
        }
    }

    fn end_evacuation(&mut self, zone: usize) {
        if self.store_down_until <= self.now
            && self.store.write_zone(self.now, zone_name(zone), false)
        {
            self.written_at = self.now;
            self.evacuated_at.remove(&zone_name(zone));
        }
    }
}
