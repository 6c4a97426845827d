//! Back ends beside their agents, and the rules that they see.

use super::*;

/// More, in bytes, no caller sends on one flow.
const MOST_SENT: u32 = 65_536;

impl CarriedWorld {
    pub(super) fn new_backend(&mut self, agent: usize) -> SimulatedBackend {
        self.backend_starts += 1;
        let service = SERVICES[usize::from(agent % 3 == 2)];
        SimulatedBackend::new(service, self.settings.slots, self.backend_starts)
    }

    pub(super) fn schedule_heartbeat(&mut self, agent: usize, after: Duration) {
        let start = self.backends[agent].start;
        self.events.push(self.now + after, Event::BackendHeartbeat { agent, start });
    }

    pub(super) fn heartbeat(&mut self, agent: usize, start: u64) {
        if self.backends[agent].start != start || !self.backends[agent].is_alive {
            return;
        }
        self.schedule_heartbeat(agent, HEARTBEAT);
        let node = self.settings.balancers + agent;
        if self.thaw(node).is_some() {
            return;
        }
        let own = self.nodes[node].own_time(self.now);
        let Some(core) = self.nodes[node].agent() else { return };
        core.take_report(own, &self.backends[agent].report());
        let backend = &mut self.backends[agent];
        if backend.is_leaving && backend.leaving_since.is_none() {
            backend.leaving_since = Some(self.now);
            self.events.push(self.now + LEAVES_AFTER, Event::BackendGone { agent, start });
        }
        self.settle(node);
    }

    pub(super) fn backend_gone(&mut self, agent: usize, start: u64) {
        if self.backends[agent].start != start {
            return;
        }
        self.backends[agent].is_alive = false;
        self.events.push(self.now + Duration::from_secs(1), Event::StartBackend { agent });
    }

    pub(super) fn start_backend(&mut self, agent: usize) {
        self.backends[agent] = self.new_backend(agent);
        self.schedule_heartbeat(agent, Duration::from_millis(20));
    }

    pub(super) fn backend_well(&mut self, agent: usize, start: u64) {
        if self.backends[agent].start == start {
            self.backends[agent].failing = None;
        }
    }

    pub(super) fn deliver_to_backend(&mut self, agent: usize, packet: &[u8]) {
        if !self.backends[agent].is_alive {
            return;
        }
        self.outcome.changed_packets += u64::from(!self.sent.contains(packet));
        let reaction = self.backends[agent].receive(packet);
        if reaction.took_flow {
            self.judge_taken(agent, packet);
        }
        if reaction.has_flow {
            self.note_holder(agent, packet);
        }
        self.react(agent, reaction);
    }

    /// A back end has shown that a flow is open there.
    fn note_holder(&mut self, agent: usize, packet: &[u8]) {
        let Ok(segment) = PlainFormat.parse(packet) else { return };
        let flow = segment.flow();
        let first = self.first_numbers.get(&flow);
        if first.is_some_and(|first| segment.sequence.wrapping_sub(*first) < MOST_SENT) {
            self.holders.insert(flow, (agent, self.backends[agent].start));
        }
    }

    /// Holds a taken flow against the rules.
    pub(super) fn judge_taken(&mut self, agent: usize, packet: &[u8]) {
        let Ok(segment) = PlainFormat.parse(packet) else { return };
        let flow = segment.flow();
        let backend = &self.backends[agent];
        let is_late = backend.leaving_since.is_some_and(|since| self.now > since + BOUND);
        self.outcome.late_drains += u64::from(is_late);
        let zone = zone_name(self.settings.balancers + agent);
        let evacuated_at = self.evacuated_at.get(&zone);
        let is_evacuated = evacuated_at.is_some_and(|at| self.now > *at + BOUND);
        self.outcome.late_evacuations += u64::from(is_evacuated);
        let is_first = flow.service == service_address(0);
        let is_foreign = is_first && backend.service != SERVICES[0];
        self.outcome.foreign_runs += u64::from(is_foreign);
        let route = self.store.wanted().routes.iter().find(|route| route.address == flow.service);
        let is_old = route.is_none_or(|route| route.targets[0].service != backend.service);
        let is_settled = self.now > self.changed_at + BOUND;
        self.outcome.stale_configurations += u64::from(is_old && is_settled && !is_foreign);
    }

    pub(super) fn react(&mut self, agent: usize, reaction: Reaction) {
        for packet in reaction.packets {
            let at = self.now + Duration::from_micros(20);
            self.events.push(at, Event::FromBackend { agent, packet });
        }
        for flow in reaction.began {
            let request = self.backends[agent].request(&flow).unwrap_or_default().to_vec();
            let is_new = self.runs.insert((0, request));
            self.outcome.doubled_runs += u64::from(!is_new);
            let start = self.backends[agent].start;
            let work = self.settings.work.mul_f64(self.random.random_range(0.5..1.5));
            self.events.push(self.now + work, Event::Worked { agent, start, flow });
        }
    }

    pub(super) fn worked(&mut self, agent: usize, start: u64, flow: FlowKey) {
        if self.backends[agent].start == start && self.backends[agent].is_alive {
            let reaction = self.backends[agent].finish(&flow);
            self.react(agent, reaction);
        }
    }

    pub(super) fn take_from_backend(&mut self, agent: usize, packet: Vec<u8>) {
        let node = self.settings.balancers + agent;
        if let Some(thaw) = self.thaw(node) {
            return self.defer(node, thaw, Event::FromBackend { agent, packet });
        }
        let own = self.nodes[node].own_time(self.now);
        if let Some(core) = self.nodes[node].agent() {
            core.handle_backend(own, packet);
        }
        self.settle(node);
    }

    /// An agent's attempt to connect to its back end.
    pub(super) fn probed(&mut self, agent: usize, starts: u64) {
        let node = self.settings.balancers + agent;
        if self.nodes[node].starts != starts {
            return;
        }
        if let Some(thaw) = self.thaw(node) {
            return self.events.push(thaw, Event::Probed { agent, starts });
        }
        let outcome = match self.backends[agent].is_alive {
            true => ProbeOutcome::NotRefused,
            false => ProbeOutcome::Refused,
        };
        let own = self.nodes[node].own_time(self.now);
        if let Some(core) = self.nodes[node].agent() {
            core.take_probe(own, outcome);
        }
        self.settle(node);
    }
}
