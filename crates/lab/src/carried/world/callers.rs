//! Callers and the router in front of the balancers.

use super::*;

/// Source addresses of all callers together; more than there are callers at any time.
const CALLER_PORTS: u32 = 4_096;

impl CarriedWorld {
    pub(super) fn start_request(&mut self) {
        let pause = 1_000_000 / self.settings.requests_per_second.max(1);
        let jitter = self.random.random_range(pause / 2..=pause * 3 / 2);
        if self.now + FINAL_QUIET_PERIOD < self.settings.duration {
            self.events.push(self.now + Duration::from_micros(jitter), Event::NewRequest);
        } else {
            return;
        }
        self.outcome.requests += 1;
        let number = self.outcome.requests;
        let address = self.next_address();
        let service = service_address(usize::from(self.random.random_range(0..4) == 0));
        self.caller_numbers.insert(address, number);
        let every = self.settings.long_flow_interval;
        let is_long = every > 0 && number.is_multiple_of(every);
        let request_count = if is_long { REQUESTS_PER_LONG_FLOW } else { 1 };
        let pause = self.settings.pauses[number as usize % self.settings.pauses.len()];
        let caller = Caller::new(self.now, number, address, service, request_count, pause);
        self.callers.insert(number, caller);
        self.wake_caller(number);
    }

    /// Picks the next free source address. There are few, so addresses of finished callers are soon
    /// reused.
    pub(super) fn next_address(&mut self) -> SocketAddrV4 {
        loop {
            self.next_port = (self.next_port + 1) % CALLER_PORTS;
            let host = Ipv4Addr::new(100, 64, 0, (self.next_port / 512) as u8);
            let address = SocketAddrV4::new(host, 1_024 + (self.next_port % 512) as u16);
            if !self.is_in_use(&address) {
                return address;
            }
        }
    }

    fn is_in_use(&self, address: &SocketAddrV4) -> bool {
        let number = self.caller_numbers.get(address);
        let caller = number.and_then(|number| self.callers.get(number));
        caller.is_some_and(|caller| caller.address == *address && !caller.is_over())
    }

    pub(super) fn wake_caller(&mut self, number: u64) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&number) else { return };
        let step = caller.wake(now);
        self.apply_step(number, step);
    }

    pub(super) fn apply_step(&mut self, number: u64, step: CallerStep) {
        self.outcome.mismatched_answers += u64::from(step.wrong_answer);
        if let Some(at) = step.wake_at {
            self.events.push(at, Event::WakeCaller(number));
        }
        if let Some(packet) = step.packet {
            self.sent_packets.insert(packet.clone());
            self.route(packet);
        }
    }

    /// Routes a caller's packet by rendezvous hashing over the balancers in rotation, or over all
    /// balancers if none is.
    pub(super) fn route(&mut self, packet: Vec<u8>) {
        let Ok(segment) = PlainFormat.parse(&packet) else { return };
        let flow = segment.flow();
        if segment.is_syn() && segment.acknowledgement == 0 {
            // The first SYN of a new flow on this port: no back end owns it yet.
            self.flow_owners.remove(&flow);
            self.first_sequences.insert(flow, segment.sequence);
        }
        let balancers = 0..self.settings.balancers;
        let any_in = balancers.clone().any(|node| self.nodes[node].in_rotation);
        let eligible = balancers.filter(|node| self.nodes[*node].in_rotation || !any_in);
        let weight = |node: &usize| {
            let mut hasher = DefaultHasher::new();
            (flow, node).hash(&mut hasher);
            hasher.finish()
        };
        let Some(node) = eligible.max_by_key(weight) else { return };
        self.events.push(self.now + ONE_WAY_DELAY, Event::ToBalancer { node, packet });
    }

    pub(super) fn deliver_to_balancer(&mut self, node: usize, packet: Vec<u8>) {
        if let Some(frozen_until) = self.frozen_until(node) {
            return self.defer(node, frozen_until, Event::ToBalancer { node, packet });
        }
        if self.is_slow(node) {
            return self.queue_caller_packet(node, packet);
        }
        let uptime = self.nodes[node].uptime(self.now);
        if let Some(balancer) = self.nodes[node].balancer() {
            balancer.handle_caller(uptime, &packet);
        }
        self.process_outputs(node);
    }

    pub(super) fn deliver_to_caller(&mut self, packet: &[u8]) {
        let Ok(segment) = PlainFormat.parse(packet) else { return };
        let Some(number) = self.caller_numbers.get(&segment.destination).copied() else { return };
        let address = self.next_address();
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&number) else { return };
        let flow = segment.flow_of_answer();
        let before = caller.address;
        // A late packet of an earlier flow of the same port is ignored.
        if before != segment.destination || caller.service != flow.service {
            return;
        }
        let step = caller.receive(now, packet, address);
        if caller.address != before {
            self.caller_numbers.insert(address, number);
        }
        // Simulated back ends never send a reset, so this one came from a node.
        if step.flow_reset && self.is_owner_alive(&flow) {
            self.outcome.broken_flows += 1;
        }
        self.apply_step(number, step);
    }

    pub(super) fn is_owner_alive(&self, flow: &FlowKey) -> bool {
        self.flow_owners.get(flow).is_some_and(|(agent, start_id)| {
            let backend = &self.backends[*agent];
            backend.start_id == *start_id && backend.is_alive
        })
    }

    pub(super) fn probe_balancers(&mut self) {
        self.events.push(self.now + PROBE_INTERVAL, Event::ProbeBalancers);
        for node in 0..self.settings.balancers {
            let is_frozen = self.frozen_until(node).is_some();
            let uptime = self.nodes[node].uptime(self.now);
            let process = &mut self.nodes[node];
            let is_ready = process.balancer().is_some_and(|balancer| balancer.is_ready(uptime));
            if is_ready && !is_frozen {
                process.in_rotation = true;
                process.missed_probes = 0;
                continue;
            }
            process.missed_probes += 1;
            process.in_rotation &= process.missed_probes < MAX_MISSED_PROBES;
        }
    }
}
