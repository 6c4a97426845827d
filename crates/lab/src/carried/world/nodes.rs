//! Nodes: process starts, timers, messages between nodes, and reads of the store.

use super::*;

const BALANCER_LINK_MBPS: u32 = 100;
const AGENT_LINK_MBPS: u32 = 1_000;

impl CarriedWorld {
    pub(super) fn start_node(&mut self, node: usize) {
        let settings = self.settings;
        let process = &mut self.nodes[node];
        process.started = self.now;
        process.incarnation += 1;
        process.frozen_until = Duration::ZERO;
        process.wake_at = None;
        process.knows_members = false;
        process.watch_hangs_until = Duration::ZERO;
        process.inbox = Inbox::default();
        process.has_checked_health = false;
        let incarnation = process.incarnation;
        let node_description = self.describe(node, incarnation);
        let format = PlainFormat;
        let policies = settings.policies;
        let core = if node < settings.balancers {
            let seed = self.random.random();
            let settings = CarriedBalancerSettings {
                node: node_description,
                seed,
                configuration_bound: PROPAGATION_BOUND,
                policies,
            };
            Core::Balancer(Box::new(CarriedBalancer::new(settings, format)))
        } else {
            let settings = CarriedAgentSettings {
                node: node_description,
                service: self.backends[node - settings.balancers].service.to_owned(),
                max_flow_age: MAX_FLOW_AGE,
                cold_overshoot: 1.0,
                policies,
                is_first_start: incarnation == 1,
            };
            Core::Agent(Box::new(CarriedAgent::new(settings, format)))
        };
        self.nodes[node].core = Some(core);
        self.events.push(self.now + STORE_READ_DELAY, Event::PollStore { node, incarnation });
        // The first three agents are the seed nodes of every process.
        let seeds = settings.balancers..self.nodes.len().min(settings.balancers + 3);
        for from in seeds.filter(|from| *from != node) {
            self.events.push(
                self.now + ONE_WAY_DELAY * 2,
                Event::Snapshot { from, to: node, incarnation },
            );
        }
        self.process_outputs(node);
    }

    pub(super) fn describe(&self, node: usize, incarnation: u64) -> Node {
        let is_balancer = node < self.settings.balancers;
        Node {
            address: self.nodes[node].address,
            role: if is_balancer { NodeRole::Balancer } else { NodeRole::Agent },
            zone: zone_name(node),
            region: "region".to_owned(),
            incarnation,
            // Packets on trial go through relays where balancers have the narrower links.
            link_mbps: if is_balancer { BALANCER_LINK_MBPS } else { AGENT_LINK_MBPS },
        }
    }

    /// When a frozen node resumes; `None` if it is not frozen.
    pub(super) fn frozen_until(&self, node: usize) -> Option<Duration> {
        let until = self.nodes[node].frozen_until;
        (until > self.now).then_some(until)
    }

    /// Defers an event until a frozen node resumes, as if it waited in the node's sockets.
    pub(super) fn defer(&mut self, node: usize, frozen_until: Duration, event: Event) {
        let incarnation = self.nodes[node].incarnation;
        self.events
            .push(frozen_until, Event::Deferred { node, incarnation, event: Box::new(event) });
    }

    /// Passes a balancer the age that its next input may have.
    pub(super) fn note_input_age(&mut self, node: usize, waited: Duration) {
        if let Some(balancer) = self.nodes[node].balancer() {
            balancer.note_input_age(waited);
        }
    }

    pub(super) fn wake_node(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].wake_at != Some(self.now)
        {
            return;
        }
        self.nodes[node].wake_at = None;
        if let Some(frozen_until) = self.frozen_until(node) {
            return self.schedule_wake(node, frozen_until);
        }
        if self.is_slow(node) {
            return self.schedule_iteration(node);
        }
        if self.nodes[node].next_timeout().is_some_and(|next| next <= self.now) {
            self.nodes[node].handle_timeout(self.now);
        }
        self.process_outputs(node);
    }

    /// Executes the outputs of a node's core and schedules its next timer.
    pub(super) fn process_outputs(&mut self, node: usize) {
        while let Some(output) = self.nodes[node].take_output() {
            match output {
                Output::ToCaller { datagram: packet, .. } => {
                    let event = Event::ToCaller { packet };
                    self.events.push(self.now + ONE_WAY_DELAY, event);
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
                    let incarnation = self.nodes[node].incarnation;
                    let at = self.now + Duration::from_micros(60);
                    self.events.push(at, Event::BackendProbed { agent, incarnation });
                }
                // The simulated store's list of nodes is always complete.
                Output::ReadMembers { .. } | Output::WriteEntry => {}
                Output::FetchSnapshot { from } => self.fetch_snapshot(node, from),
                Output::ReadStore => {
                    let incarnation = self.nodes[node].incarnation;
                    let event = Event::ReadStore { node, incarnation };
                    self.events.push(self.now + STORE_READ_DELAY, event);
                }
            }
        }
        self.check_health_if_needed(node);
        self.record_departures(node);
        if let Some(next) = self.nodes[node].next_timeout() {
            self.schedule_wake(node, next.max(self.now + MIN_TIMER_DELAY));
        }
    }

    /// Schedules a wake-up of a node at `at` unless an earlier one is scheduled.
    pub(super) fn schedule_wake(&mut self, node: usize, at: Duration) {
        let process = &mut self.nodes[node];
        if process.wake_at.is_some_and(|wake_at| wake_at <= at) {
            return;
        }
        process.wake_at = Some(at);
        let incarnation = process.incarnation;
        self.events.push(at, Event::WakeNode { node, incarnation });
    }

    pub(super) fn send_peer(&mut self, from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8>) {
        if self.loss > 0.0 && self.random.random_bool(self.loss) {
            return;
        }
        let jitter = Duration::from_micros(self.random.random_range(0..MAX_JITTER_US));
        self.events
            .push(self.now + ONE_WAY_DELAY + jitter, Event::PeerDatagram { from, to, datagram });
    }

    pub(super) fn deliver_to_peer(
        &mut self,
        from: SocketAddrV4,
        to: SocketAddrV4,
        datagram: Vec<u8>,
    ) {
        let Some(node) = self.node_at(to) else { return };
        let is_cut = |node: usize| self.nodes[node].isolated_until > self.now;
        if is_cut(node) || self.node_at(from).is_some_and(is_cut) {
            return;
        }
        if let Some(frozen_until) = self.frozen_until(node) {
            return self.defer(node, frozen_until, Event::PeerDatagram { from, to, datagram });
        }
        if self.is_slow(node) {
            return self.queue_peer_datagram(node, from, datagram);
        }
        self.nodes[node].handle_peer(self.now, from, &datagram);
        self.process_outputs(node);
    }

    pub(super) fn node_at(&self, address: SocketAddrV4) -> Option<usize> {
        self.nodes_by_address.get(&address).copied()
    }

    pub(super) fn fetch_snapshot(&mut self, to: usize, from: SocketAddrV4) {
        let Some(from) = self.node_at(from) else { return };
        let incarnation = self.nodes[to].incarnation;
        self.events.push(self.now + ONE_WAY_DELAY * 4, Event::Snapshot { from, to, incarnation });
    }

    pub(super) fn send_snapshot(&mut self, from: usize, to: usize, incarnation: u64) {
        let is_cut = |node: usize| self.nodes[node].isolated_until > self.now;
        let is_unreachable = is_cut(from) || is_cut(to) || self.frozen_until(from).is_some();
        if is_unreachable
            || self.nodes[to].incarnation != incarnation
            || self.frozen_until(to).is_some()
        {
            return;
        }
        if let Some(snapshot) = self.nodes[from].snapshot() {
            self.nodes[to].take_snapshot(self.now, snapshot);
            self.process_outputs(to);
        }
    }

    /// Records the age of the last change while a running, reachable node does not have it yet.
    pub(super) fn check_versions(&mut self) {
        self.events.push(self.now + VERSION_CHECK_INTERVAL, Event::CheckVersions);
        let newest = self.store.wanted().version;
        let has_lost_writes = |node: &Process| {
            let is_reachable = node.isolated_until.max(node.frozen_until) <= self.now;
            is_reachable
                && node.configuration_version().is_some_and(|version| !version.covers(&newest))
        };
        if self.nodes.iter().any(has_lost_writes) {
            let since = self.now - self.written_at;
            self.outcome.max_propagation = self.outcome.max_propagation.max(since);
        }
    }

    /// Polls the store for a node: each node reads the node list and the configuration after its
    /// start, and balancers that watch the store keep reading the configuration.
    pub(super) fn poll_store(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].core.is_none() {
            return;
        }
        self.events.push(self.now + STORE_POLL_INTERVAL, Event::PollStore { node, incarnation });
        if self.frozen_until(node).is_some() {
            return;
        }
        let uptime = self.nodes[node].uptime(self.now);
        let is_first = !self.nodes[node].knows_members;
        let watches = self.nodes[node].balancer().is_some_and(|core| core.watches_store(uptime));
        let hangs = self.nodes[node].watch_hangs_until > self.now;
        if !is_first && (!watches || hangs) {
            return;
        }
        if is_first {
            self.read_departures(node);
        }
        if is_first && self.store_answers(node) {
            self.read_members(node);
        }
        self.read_configuration(node);
    }

    /// Reads the list of nodes from the store.
    fn read_members(&mut self, node: usize) {
        self.outcome.store_reads += 1;
        // A node writes its own entry before it reads the list.
        self.store.write_entry(self.now);
        let uptime = self.nodes[node].uptime(self.now);
        let balancers = self.settings.balancers;
        let role = |node: usize| match node < balancers {
            true => NodeRole::Balancer,
            false => NodeRole::Agent,
        };
        let nodes = self.nodes.iter().enumerate();
        let members: Vec<_> = nodes.map(|(node, process)| (process.address, role(node))).collect();
        self.nodes[node].knows_members = true;
        match &mut self.nodes[node].core {
            Some(Core::Balancer(balancer)) => balancer.learn_members(uptime, &members),
            Some(Core::Agent(agent)) => agent.learn_members(uptime, &members),
            None => {}
        }
    }

    /// Reads the configuration from the store.
    fn read_configuration(&mut self, node: usize) {
        self.outcome.store_reads += 1;
        let answers = self.store_answers(node);
        let uptime = self.nodes[node].uptime(self.now);
        let configuration = self.store.read();
        match &mut self.nodes[node].core {
            Some(Core::Balancer(balancer)) => {
                if answers {
                    balancer.adopt(uptime, configuration);
                }
                balancer.note_store(uptime, answers);
            }
            Some(Core::Agent(agent)) => {
                if answers {
                    agent.adopt(uptime, configuration);
                }
                agent.note_store(uptime, answers);
            }
            None => {}
        }
        self.process_outputs(node);
    }

    pub(super) fn store_answers(&self, node: usize) -> bool {
        let is_refused = node < self.settings.balancers && self.balancers_refused_until > self.now;
        let is_cut = self.nodes[node].isolated_until > self.now;
        self.store_down_until <= self.now && !is_cut && !is_refused
    }

    /// Reads the configuration because the node's core requested it.
    pub(super) fn read_store(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation == incarnation && self.frozen_until(node).is_none() {
            self.read_configuration(node);
        }
    }
}
