//! Faults and operator actions.

use super::*;

impl CarriedWorld {
    pub(super) fn inject_fault(&mut self, fault: CarriedFault) {
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
            CarriedFault::FreezeBalancer(node, duration) => self.freeze(node, duration),
            CarriedFault::FreezeAgent(agent, duration) => self.freeze(balancers + agent, duration),
            CarriedFault::StopBalancer(node) => {
                if let Some(balancer) = self.nodes[node].balancer() {
                    balancer.start_draining();
                    self.events.push(self.now + STOP_DURATION, Event::Start { node });
                }
            }
            CarriedFault::IsolateBalancer(node, duration) => self.isolate(node, duration),
            CarriedFault::IsolateAgent(agent, duration) => {
                self.isolate(balancers + agent, duration)
            }
            CarriedFault::Loss(share, duration) => {
                self.loss = share;
                self.events.push(self.now + duration, Event::EndLoss);
            }
            CarriedFault::StoreDown(duration) => self.stop_store(duration),
            CarriedFault::StoreRestored(restore) => {
                self.stop_store(restore.outage);
                self.events.push(self.now + restore.outage, Event::StoreRestored(restore));
            }
            CarriedFault::RefuseBalancers(duration) => {
                let until = self.now + duration;
                self.balancers_refused_until = self.balancers_refused_until.max(until);
            }
            CarriedFault::HangWatches(duration) => {
                for process in &mut self.nodes {
                    process.watch_hangs_until = self.now + duration;
                }
            }
            CarriedFault::MoveRoute => self.move_route(),
            CarriedFault::Evacuate(zone) => self.evacuate(zone),
            CarriedFault::EndEvacuation(zone) => self.end_evacuation(zone),
            CarriedFault::ReplaceBackend(agent) => self.backends[agent].is_leaving = true,
            CarriedFault::DepartBackend(agent) => {
                self.depart(agent, self.backends[agent].start_id);
            }
            CarriedFault::DelayHeartbeats(agent, duration, delay) => {
                let until = self.now + duration;
                self.late_heartbeats[agent] = Some(LateHeartbeats { until, delay });
            }
            CarriedFault::LyingHealthPage(agent, duration) => {
                self.health_pages_lie_until[agent] = self.now + duration;
            }
            CarriedFault::StopAgent(agent) => self.stop_agent(agent),
            CarriedFault::FailBackend(agent, mode, duration) => {
                self.backends[agent].failing = Some(mode);
                let start_id = self.backends[agent].start_id;
                self.events.push(self.now + duration, Event::BackendRecovered { agent, start_id });
            }
            CarriedFault::CrashBackend(agent, down) => self.crash(agent, down),
        }
    }

    fn stop_agent(&mut self, agent: usize) {
        let node = self.settings.balancers + agent;
        let uptime = self.nodes[node].uptime(self.now);
        if let Some(core) = self.nodes[node].agent() {
            core.start_draining(uptime);
            self.events.push(self.now + STOP_DURATION, Event::Start { node });
            self.process_outputs(node);
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

    pub(super) fn freeze(&mut self, node: usize, duration: Duration) {
        let until = self.now + duration;
        if self.frozen_until(node).is_none() {
            self.nodes[node].frozen_since = self.now;
        }
        self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until);
        if duration > STALL_THRESHOLD {
            // Pushed first, so that the process notices the stall before it handles the input that
            // is deferred to the same time.
            let incarnation = self.nodes[node].incarnation;
            self.events.push(until, Event::Resume { node, incarnation });
        }
    }

    pub(super) fn resume(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.frozen_until(node).is_some() {
            return;
        }
        let uptime = self.nodes[node].uptime(self.now);
        match &mut self.nodes[node].core {
            Some(Core::Balancer(balancer)) => balancer.resume(uptime),
            Some(Core::Agent(agent)) => agent.resume(uptime),
            None => {}
        }
        self.process_outputs(node);
    }

    pub(super) fn isolate(&mut self, node: usize, duration: Duration) {
        self.nodes[node].isolated_until = self.nodes[node].isolated_until.max(self.now + duration);
    }

    fn stop_store(&mut self, duration: Duration) {
        self.store_down_until = self.store_down_until.max(self.now + duration);
        self.postpone_bounds(self.store_down_until);
    }

    /// Moves the start of every time limit that is still running to `from`: not every node has seen
    /// the change yet, and some cannot before then.
    fn postpone_bounds(&mut self, from: Duration) {
        if self.now < self.changed_at + PROPAGATION_BOUND {
            self.changed_at = self.changed_at.max(from);
        }
        for at in self.evacuated_at.values_mut().filter(|at| self.now < **at + PROPAGATION_BOUND) {
            *at = (*at).max(from);
        }
    }

    /// Restores the store from a backup. Operators notice later.
    pub(super) fn restore_store(&mut self, restore: StoreRestore) {
        self.store.restore(self.now, restore.backup_age);
        self.postpone_bounds(self.now + restore.rewrite_delay);
        self.restored_at = self.now;
        self.events.push(self.now + restore.rewrite_delay, Event::OperatorsRewrite);
    }

    /// Operators rewrite what the store has lost. Time limits start again if no running process
    /// could remember the lost writes.
    pub(super) fn rewrite_lost(&mut self) {
        if !self.store.has_lost_writes() {
            return;
        }
        self.store.rewrite_lost(self.now);
        self.written_at = self.now;
        if self.no_process_survived() {
            self.changed_at = self.now;
        }
        // Evacuations that were not rewritten in time count as lost until now.
        if self.now > self.restored_at + REWRITE_TIMEOUT {
            for at in self.evacuated_at.values_mut() {
                *at = self.now;
            }
        }
    }

    /// Whether every running process started after the restore.
    fn no_process_survived(&self) -> bool {
        let survived = |node: &Process| node.core.is_some() && node.started < self.restored_at;
        !self.nodes.iter().any(survived)
    }

    /// Operators switch the second route to the other service. Ignored while the store is down.
    pub(super) fn move_route(&mut self) {
        if self.store_down_until > self.now {
            return;
        }
        let current = &self.store.wanted().routes[1].targets[0].service;
        let next = if current == SERVICES[0] { SERVICES[1] } else { SERVICES[0] };
        let routes = configuration(&self.settings, next);
        self.store.write_routes(self.now, routes);
        self.written_at = self.now;
        self.changed_at = self.bound_start();
    }

    /// Start of the time limit for a change written now: when no node is isolated or frozen any
    /// more and the store is up.
    fn bound_start(&self) -> Duration {
        let unreachable_until =
            self.nodes.iter().map(|node| node.isolated_until.max(node.frozen_until)).max();
        self.now.max(unreachable_until.unwrap_or_default()).max(self.store_down_until)
    }

    fn evacuate(&mut self, zone: usize) {
        if self.store_down_until <= self.now
            && self.store.write_zone(self.now, zone_name(zone), true)
        {
            self.written_at = self.now;
            self.evacuated_at.insert(zone_name(zone), self.bound_start());
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
