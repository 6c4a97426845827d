//! Nodes: their starts, timers, messages, and what the store tells them.

use super::*;

impl CarriedWorld {
    pub(super) fn start(&mut self, node: usize) {
        let settings = self.settings;
        let process = &mut self.nodes[node];
        process.started = self.now;
        process.starts += 1;
        process.frozen_until = Duration::ZERO;
        process.wake_at = None;
        process.has_list = false;
        process.wait_hangs_until = Duration::ZERO;
        process.inbox = Inbox::default();
        let starts = process.starts;
        let me = self.describe(node, starts);
        let format = PlainFormat;
        let policies = settings.policies;
        let core = if node < settings.balancers {
            let seed = self.random.random();
            let settings =
                CarriedBalancerSettings { node: me, seed, configuration_bound: BOUND, policies };
            Core::Balancer(Box::new(CarriedBalancer::new(settings, format)))
        } else {
            let settings = CarriedAgentSettings {
                node: me,
                service: self.backends[node - settings.balancers].service.to_owned(),
                max_flow_age: LONGEST_FLOW,
                cold_overshoot: 1.0,
                policies,
                is_first_start: starts == 1,
            };
            Core::Agent(Box::new(CarriedAgent::new(settings, format)))
        };
        self.nodes[node].core = Some(core);
        self.events.push(self.now + STORE_WAY, Event::StoreLook { node, starts });
        // The first agents are everybody's seeds.
        let seeds = settings.balancers..self.nodes.len().min(settings.balancers + 3);
        for from in seeds.filter(|from| *from != node) {
            self.events.push(self.now + WAY * 2, Event::GiveSnapshot { from, to: node, starts });
        }
        self.settle(node);
    }

    pub(super) fn describe(&self, node: usize, incarnation: u64) -> Node {
        let is_balancer = node < self.settings.balancers;
        Node {
            address: self.nodes[node].address,
            role: if is_balancer { NodeRole::Balancer } else { NodeRole::Agent },
            zone: zone_name(node),
            region: "region".to_owned(),
            incarnation,
            link_mbps: 1_000,
        }
    }

    /// When a frozen node goes on.
    pub(super) fn thaw(&self, node: usize) -> Option<Duration> {
        let until = self.nodes[node].frozen_until;
        (until > self.now).then_some(until)
    }

    /// Has an event wait in the sockets of a frozen node.
    pub(super) fn defer(&mut self, node: usize, thaw: Duration, event: Event) {
        let starts = self.nodes[node].starts;
        self.events.push(thaw, Event::Thawed { node, starts, event: Box::new(event) });
    }

    /// Tells a balancer for how long what it takes next may have waited.
    pub(super) fn note_waited(&mut self, node: usize, waited: Duration) {
        if let Some(balancer) = self.nodes[node].balancer() {
            balancer.note_input_age(waited);
        }
    }

    pub(super) fn wake_node(&mut self, node: usize, starts: u64) {
        if self.nodes[node].starts != starts || self.nodes[node].wake_at != Some(self.now) {
            return;
        }
        self.nodes[node].wake_at = None;
        if let Some(thaw) = self.thaw(node) {
            return self.schedule_wake(node, thaw);
        }
        if self.is_weak(node) {
            return self.request_turn(node);
        }
        if self.nodes[node].next_timeout().is_some_and(|next| next <= self.now) {
            self.nodes[node].handle_timeout(self.now);
        }
        self.settle(node);
    }

    /// Carries out what a node's core asks for, and has it woken when it wants.
    pub(super) fn settle(&mut self, node: usize) {
        while let Some(output) = self.nodes[node].take_output() {
            match output {
                Output::ToCaller { datagram: packet, .. } => {
                    let event = Event::ToCaller { packet };
                    self.events.push(self.now + WAY, event);
                }
                Output::ToBackend(packet) => {
                    let agent = node - self.settings.balancers;
                    let at = self.now + Duration::from_micros(20);
                    self.events.push(at, Event::ToBackend { agent, packet });
                }
                Output::ToPeer { to, message } => {
                    let from = self.nodes[node].address;
                    self.send_peer(from, to, message.encode());
                }
                Output::ProbeBackend => {
                    let agent = node - self.settings.balancers;
                    let starts = self.nodes[node].starts;
                    let at = self.now + Duration::from_micros(60);
                    self.events.push(at, Event::Probed { agent, starts });
                }
                // The list of the lab's store always names every node.
                Output::ReadMembers { .. } | Output::WriteEntry => {}
                Output::FetchSnapshot { from } => self.fetch(node, from),
                Output::ReadStore => {
                    let starts = self.nodes[node].starts;
                    let event = Event::ReadStore { node, starts };
                    self.events.push(self.now + STORE_WAY, event);
                }
            }
        }
        if let Some(next) = self.nodes[node].next_timeout() {
            self.schedule_wake(node, next.max(self.now + TIMER_STEP));
        }
    }

    /// Has a node woken no later than `at`; an earlier wake-up stays.
    pub(super) fn schedule_wake(&mut self, node: usize, at: Duration) {
        let process = &mut self.nodes[node];
        if process.wake_at.is_some_and(|wake_at| wake_at <= at) {
            return;
        }
        process.wake_at = Some(at);
        let starts = process.starts;
        self.events.push(at, Event::WakeNode { node, starts });
    }

    pub(super) fn send_peer(&mut self, from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8>) {
        if self.loss > 0.0 && self.random.random_bool(self.loss) {
            return;
        }
        let jitter = Duration::from_micros(self.random.random_range(0..JITTER_US));
        self.events.push(self.now + WAY + jitter, Event::Peer { from, to, datagram });
    }

    pub(super) fn peer(&mut self, from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8>) {
        let Some(node) = self.node_at(to) else { return };
        let is_cut = |node: usize| self.nodes[node].cut_until > self.now;
        if is_cut(node) || self.node_at(from).is_some_and(is_cut) {
            return;
        }
        if let Some(thaw) = self.thaw(node) {
            return self.defer(node, thaw, Event::Peer { from, to, datagram });
        }
        if self.is_weak(node) {
            return self.queue_peer(node, from, datagram);
        }
        self.nodes[node].handle_peer(self.now, from, &datagram);
        self.settle(node);
    }

    pub(super) fn node_at(&self, address: SocketAddrV4) -> Option<usize> {
        self.nodes_by_address.get(&address).copied()
    }

    pub(super) fn fetch(&mut self, to: usize, from: SocketAddrV4) {
        let Some(from) = self.node_at(from) else { return };
        let starts = self.nodes[to].starts;
        self.events.push(self.now + WAY * 4, Event::GiveSnapshot { from, to, starts });
    }

    pub(super) fn give_snapshot(&mut self, from: usize, to: usize, starts: u64) {
        let is_cut = |node: usize| self.nodes[node].cut_until > self.now;
        let is_away = is_cut(from) || is_cut(to) || self.thaw(from).is_some();
        if is_away || self.nodes[to].starts != starts || self.thaw(to).is_some() {
            return;
        }
        if let Some(snapshot) = self.nodes[from].snapshot() {
            self.nodes[to].take_snapshot(self.now, snapshot);
            self.settle(to);
        }
    }

    /// Notes how long the last change has been on its way, while a node that could have it has not.
    pub(super) fn look_at_versions(&mut self) {
        self.events.push(self.now + VERSIONS_INTERVAL, Event::LookAtVersions);
        let newest = self.store.wanted().version;
        let is_behind = |node: &Process| {
            let is_in_touch = node.cut_until.max(node.frozen_until) <= self.now;
            is_in_touch
                && node.configuration_version().is_some_and(|version| !version.covers(&newest))
        };
        if self.nodes.iter().any(is_behind) {
            let since = self.now - self.written_at;
            self.outcome.slowest_change = self.outcome.slowest_change.max(since);
        }
    }

    /// Balancers follow the configuration in the store; every node reads the list once it can.
    pub(super) fn store_look(&mut self, node: usize, starts: u64) {
        if self.nodes[node].starts != starts || self.nodes[node].core.is_none() {
            return;
        }
        self.events.push(self.now + STORE_LOOK, Event::StoreLook { node, starts });
        if self.thaw(node).is_some() {
            return;
        }
        let own = self.nodes[node].own_time(self.now);
        let is_first = !self.nodes[node].has_list;
        let watches = self.nodes[node].balancer().is_some_and(|core| core.watches_store(own));
        let hangs = self.nodes[node].wait_hangs_until > self.now;
        if !is_first && (!watches || hangs) {
            return;
        }
        if is_first && self.store_answers(node) {
            self.give_list(node);
        }
        self.give_configuration(node);
    }

    /// A node reads the list of nodes.
    fn give_list(&mut self, node: usize) {
        self.outcome.store_calls += 1;
        // It has written its own entry before.
        self.store.write_entry(self.now);
        let own = self.nodes[node].own_time(self.now);
        let balancers = self.settings.balancers;
        let role = |node: usize| match node < balancers {
            true => NodeRole::Balancer,
            false => NodeRole::Agent,
        };
        let nodes = self.nodes.iter().enumerate();
        let members: Vec<_> = nodes.map(|(node, process)| (process.address, role(node))).collect();
        self.nodes[node].has_list = true;
        match &mut self.nodes[node].core {
            Some(Core::Balancer(balancer)) => balancer.learn_members(own, &members),
            Some(Core::Agent(agent)) => agent.learn_members(own, &members),
            None => {}
        }
    }

    /// A node asks the store for the configuration.
    fn give_configuration(&mut self, node: usize) {
        self.outcome.store_calls += 1;
        let answers = self.store_answers(node);
        let own = self.nodes[node].own_time(self.now);
        let configuration = self.store.read();
        match &mut self.nodes[node].core {
            Some(Core::Balancer(balancer)) => {
                if answers {
                    balancer.adopt(own, configuration);
                }
                balancer.note_store(own, answers);
            }
            Some(Core::Agent(agent)) => {
                if answers {
                    agent.adopt(own, configuration);
                }
                agent.note_store(own, answers);
            }
            None => {}
        }
        self.settle(node);
    }

    fn store_answers(&self, node: usize) -> bool {
        let is_refused = node < self.settings.balancers && self.balancers_refused_until > self.now;
        let is_cut = self.nodes[node].cut_until > self.now;
        self.store_down_until <= self.now && !is_cut && !is_refused
    }

    /// A node reads the configuration since its core asks for it.
    pub(super) fn read_store(&mut self, node: usize, starts: u64) {
        if self.nodes[node].starts == starts && self.thaw(node).is_none() {
            self.give_configuration(node);
        }
    }
}
