//! Events of back ends, and the checks of invariants that back ends can observe.

use super::*;

/// Upper bound on the bytes that a caller sends on one flow.
const MAX_FLOW_BYTES: u32 = 65_536;

/// Delay before an answer is sent again for the first time; it doubles a few times.
const ANSWER_RESEND_DELAY: Duration = Duration::from_millis(200);
const MAX_RESEND_DOUBLINGS: u32 = 3;
/// How often an answer is sent again at most.
const MAX_ANSWER_RESENDS: u32 = 8;

impl CarriedWorld {
    pub(super) fn new_backend(&mut self, agent: usize) -> SimulatedBackend {
        self.backend_starts += 1;
        let service = SERVICES[usize::from(agent % 3 == 2)];
        SimulatedBackend::new(service, self.settings.slots, self.backend_starts, self.now)
    }

    pub(super) fn exit_backend(&mut self, agent: usize, start_id: u64) {
        if self.backends[agent].start_id != start_id {
            return;
        }
        self.backends[agent].is_alive = false;
        self.events.push(self.now + Duration::from_secs(1), Event::StartBackend { agent });
    }

    pub(super) fn start_backend(&mut self, agent: usize) {
        self.backends[agent] = self.new_backend(agent);
        self.schedule_heartbeat(agent, Duration::from_millis(20));
    }

    pub(super) fn recover_backend(&mut self, agent: usize, start_id: u64) {
        if self.backends[agent].start_id == start_id {
            self.backends[agent].failing = None;
        }
    }

    pub(super) fn deliver_to_backend(&mut self, agent: usize, packet: &[u8]) {
        if !self.backends[agent].is_alive {
            return;
        }
        self.outcome.changed_packets += u64::from(!self.sent_packets.contains(packet));
        let reaction = self.backends[agent].receive(packet);
        if reaction.accepted_flow {
            self.check_accepted_flow(agent, packet);
        }
        if reaction.has_flow {
            self.note_owner(agent, packet);
        }
        self.apply_reaction(agent, reaction);
    }

    /// Records that a flow is open at this back end, unless the packet is a late one of an earlier
    /// flow of the same port.
    fn note_owner(&mut self, agent: usize, packet: &[u8]) {
        let Ok(segment) = PlainFormat.parse(packet) else { return };
        let flow = segment.flow();
        let first = self.first_sequences.get(&flow);
        if first.is_some_and(|first| segment.sequence.wrapping_sub(*first) < MAX_FLOW_BYTES) {
            self.flow_owners.insert(flow, (agent, self.backends[agent].start_id));
        }
    }

    /// Checks the invariants for a newly accepted flow.
    pub(super) fn check_accepted_flow(&mut self, agent: usize, packet: &[u8]) {
        let Ok(segment) = PlainFormat.parse(packet) else { return };
        let flow = segment.flow();
        let backend = &self.backends[agent];
        let is_late =
            backend.leaving_since.is_some_and(|since| self.now > since + PROPAGATION_BOUND);
        self.outcome.late_drains += u64::from(is_late);
        let zone = zone_name(self.settings.balancers + agent);
        let evacuated_at = self.evacuated_at.get(&zone);
        let is_evacuated = evacuated_at.is_some_and(|at| self.now > *at + PROPAGATION_BOUND);
        self.outcome.late_evacuations += u64::from(is_evacuated);
        let is_first = flow.service == service_address(0);
        let is_wrong_service = is_first && backend.service != SERVICES[0];
        self.outcome.wrong_service_runs += u64::from(is_wrong_service);
        let route = self.store.wanted().routes.iter().find(|route| route.address == flow.service);
        let is_stale = route.is_none_or(|route| route.targets[0].service != backend.service);
        let bound_passed = self.now > self.changed_at + PROPAGATION_BOUND;
        self.outcome.stale_configurations +=
            u64::from(is_stale && bound_passed && !is_wrong_service);
    }

    pub(super) fn apply_reaction(&mut self, agent: usize, reaction: Reaction) {
        for packet in reaction.packets {
            let at = self.now + Duration::from_micros(20);
            self.events.push(at, Event::FromBackend { agent, packet });
        }
        for flow in reaction.started {
            let request = self.backends[agent].request(&flow).unwrap_or_default().to_vec();
            let is_new = self.request_runs.insert((0, request));
            self.outcome.duplicate_runs += u64::from(!is_new);
            let start_id = self.backends[agent].start_id;
            let processing_time =
                self.settings.processing_time.mul_f64(self.random.random_range(0.5..1.5));
            self.events.push(self.now + processing_time, Event::WorkDone { agent, start_id, flow });
        }
    }

    pub(super) fn finish_work(&mut self, agent: usize, start_id: u64, flow: FlowKey) {
        if self.backends[agent].start_id == start_id && self.backends[agent].is_alive {
            let reaction = self.backends[agent].finish(&flow);
            self.apply_reaction(agent, reaction);
            let resend = Event::ResendAnswer { agent, start_id, flow, tries: 1 };
            self.events.push(self.now + ANSWER_RESEND_DELAY, resend);
        }
    }

    /// A back end sends an answer again that its caller has not acknowledged.
    pub(super) fn resend_answer(&mut self, agent: usize, start_id: u64, flow: FlowKey, tries: u32) {
        let backend = &self.backends[agent];
        if backend.start_id != start_id || !backend.is_alive {
            return;
        }
        let Some(packet) = backend.unacknowledged_answer(&flow) else { return };
        self.events.push(self.now, Event::FromBackend { agent, packet });
        if tries < MAX_ANSWER_RESENDS {
            let delay = ANSWER_RESEND_DELAY * 2_u32.pow(tries.min(MAX_RESEND_DOUBLINGS));
            let resend = Event::ResendAnswer { agent, start_id, flow, tries: tries + 1 };
            self.events.push(self.now + delay, resend);
        }
    }

    pub(super) fn deliver_from_backend(&mut self, agent: usize, packet: Vec<u8>) {
        let node = self.settings.balancers + agent;
        if let Some(frozen_until) = self.frozen_until(node) {
            return self.defer(node, frozen_until, Event::FromBackend { agent, packet });
        }
        let uptime = self.nodes[node].uptime(self.now);
        if let Some(core) = self.nodes[node].agent() {
            core.handle_backend(uptime, packet);
        }
        self.process_outputs(node);
    }

    /// Reports the result of an agent's connection attempt to its back end.
    pub(super) fn handle_probe(&mut self, agent: usize, incarnation: u64) {
        let node = self.settings.balancers + agent;
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        if let Some(frozen_until) = self.frozen_until(node) {
            return self.events.push(frozen_until, Event::BackendProbed { agent, incarnation });
        }
        let outcome = match self.backends[agent].is_alive {
            true => ProbeOutcome::NotRefused,
            false => ProbeOutcome::Refused,
        };
        let uptime = self.nodes[node].uptime(self.now);
        if let Some(core) = self.nodes[node].agent() {
            core.take_probe(uptime, outcome);
        }
        self.process_outputs(node);
    }
}
