//! The simulated day: what happens next, and to whom.

use super::backend::{LEAVES_AFTER, Reaction, SimulatedBackend};
use super::caller::{Caller, CallerState, CallerStep};
use super::fault::{CarriedFault, TimedFault};
use super::outcome::CarriedOutcome;
use super::process::{Core, Process, ProcessOutput};
use crate::queue::EventQueue;
use loftdrift_carried::{
    CarriedAgent, CarriedAgentSettings, CarriedBalancer, CarriedBalancerSettings,
    CarriedConfiguration, Node, NodeRole, Part, PlainFormat, Route, SegmentFormat, ServiceSettings,
};
use loftdrift_wire::FlowKey;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

const PEER_PORT: u16 = 7_720;
const WAY: Duration = Duration::from_micros(500);
const JITTER_US: u64 = 300;
/// Timers fire at least so late.
const TIMER_STEP: Duration = Duration::from_micros(100);
const STORE_WAY: Duration = Duration::from_millis(8);
const STORE_LOOK: Duration = Duration::from_millis(500);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MOST_MISSED_PROBES: u32 = 2;
const HEARTBEAT: Duration = Duration::from_millis(1_100);
/// A configuration is in force, and a back end that leaves takes nothing new, after so long.
const BOUND: Duration = Duration::from_secs(3);
/// A planned stop takes so long: the router has turned away by then.
const STOP_TAKES: Duration = Duration::from_millis(1_600);
const LONGEST_FLOW: Duration = Duration::from_secs(60);
const AIM_MS: u32 = 200;
const SERVICES: [&str; 2] = ["tiles", "sheets"];
/// Callers ask until this long before the end, so that every request comes to its end.
const QUIET_END: Duration = Duration::from_secs(5);

/// Sizes of a simulated system.
#[derive(Clone, Copy, Debug)]
pub struct CarriedWorldSettings {
    /// Balancers.
    pub balancers: usize,
    /// Back ends, each with its agent; two in three serve the first service.
    pub backends: usize,
    /// Requests that each back end works on at once.
    pub slots: usize,
    /// Requests asked in a second.
    pub requests_per_second: u64,
    /// Time a request takes.
    pub work: Duration,
    /// Length of the day.
    pub lasts: Duration,
    /// Seed of everything left to chance.
    pub seed: u64,
}

impl Default for CarriedWorldSettings {
    fn default() -> Self {
        CarriedWorldSettings {
            balancers: 4,
            backends: 9,
            slots: 4,
            requests_per_second: 200,
            work: Duration::from_millis(30),
            lasts: Duration::from_secs(22),
            seed: 1,
        }
    }
}

enum Event {
    Ask,
    WakeCaller(u64),
    ToBalancer { node: usize, packet: Vec<u8> },
    ToCaller { packet: Vec<u8>, from_node: usize },
    Peer { from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8> },
    WakeNode { node: usize, starts: u64 },
    ToBackend { agent: usize, packet: Vec<u8> },
    FromBackend { agent: usize, packet: Vec<u8> },
    Worked { agent: usize, start: u64, flow: FlowKey },
    BackendHeartbeat { agent: usize, start: u64 },
    BackendGone { agent: usize, start: u64 },
    StartBackend { agent: usize },
    Probe,
    StoreLook { node: usize, starts: u64 },
    GiveSnapshot { from: usize, to: usize, starts: u64 },
    Start { node: usize },
    Fault(CarriedFault),
    LossEnds,
}

/// A simulated system with its callers. Nodes are numbered balancers first, then agents.
pub struct CarriedWorld {
    settings: CarriedWorldSettings,
    now: Duration,
    events: EventQueue<Event>,
    random: ChaCha8Rng,
    nodes: Vec<Process>,
    backends: Vec<SimulatedBackend>,
    callers: HashMap<u64, Caller>,
    by_address: HashMap<SocketAddrV4, u64>,
    next_port: u32,
    configuration: CarriedConfiguration,
    changed_at: Duration,
    store_down_until: Duration,
    loss: f64,
    backend_starts: u64,
    /// Which back end's start holds a flow, for the verdict on a reset.
    holders: HashMap<FlowKey, (usize, u64)>,
    runs: HashSet<(u64, Vec<u8>)>,
    sent: HashSet<Vec<u8>>,
    outcome: CarriedOutcome,
}

impl CarriedWorld {
    /// A system whose machines start now.
    pub fn new(settings: CarriedWorldSettings, faults: &[TimedFault]) -> Self {
        let count = settings.balancers + settings.backends;
        let nodes = (0..count).map(|node| Process::new(node_address(&settings, node))).collect();
        let mut world = CarriedWorld {
            settings,
            now: Duration::ZERO,
            events: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            nodes,
            backends: Vec::new(),
            callers: HashMap::new(),
            by_address: HashMap::new(),
            next_port: 1_024,
            configuration: configuration(1, SERVICES[1]),
            changed_at: Duration::ZERO,
            store_down_until: Duration::ZERO,
            loss: 0.0,
            backend_starts: 0,
            holders: HashMap::new(),
            runs: HashSet::new(),
            sent: HashSet::new(),
            outcome: CarriedOutcome::default(),
        };
        for agent in 0..settings.backends {
            let backend = world.new_backend(agent);
            world.backends.push(backend);
            world.schedule_heartbeat(agent, Duration::from_millis(10));
        }
        for node in 0..count {
            world.events.push(Duration::ZERO, Event::Start { node });
        }
        world.events.push(PROBE_INTERVAL, Event::Probe);
        world.events.push(Duration::from_secs(1), Event::Ask);
        for timed in faults {
            world.events.push(timed.at, Event::Fault(timed.fault));
        }
        world
    }

    /// Plays the day to its end.
    pub fn run(mut self) -> CarriedOutcome {
        while let Some((at, event)) = self.events.pop_until(self.settings.lasts) {
            self.now = at;
            self.handle(event);
        }
        for caller in self.callers.values() {
            match caller.state {
                CallerState::Served => self.outcome.served += 1,
                CallerState::Refused => self.outcome.refused += 1,
                _ => self.outcome.lost += 1,
            }
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask => self.ask(),
            Event::WakeCaller(number) => self.wake_caller(number),
            Event::ToBalancer { node, packet } => self.to_balancer(node, packet),
            Event::ToCaller { packet, from_node } => self.to_caller(&packet, from_node),
            Event::Peer { from, to, datagram } => self.peer(from, to, datagram),
            Event::WakeNode { node, starts } => self.wake_node(node, starts),
            Event::ToBackend { agent, packet } => self.to_backend(agent, &packet),
            Event::FromBackend { agent, packet } => self.from_backend(agent, packet),
            Event::Worked { agent, start, flow } => self.worked(agent, start, flow),
            Event::BackendHeartbeat { agent, start } => self.heartbeat(agent, start),
            Event::BackendGone { agent, start } => self.backend_gone(agent, start),
            Event::StartBackend { agent } => self.start_backend(agent),
            Event::Probe => self.probe(),
            Event::StoreLook { node, starts } => self.store_look(node, starts),
            Event::GiveSnapshot { from, to, starts } => self.give_snapshot(from, to, starts),
            Event::Start { node } => self.start(node),
            Event::Fault(fault) => self.fault(fault),
            Event::LossEnds => self.loss = 0.0,
        }
    }

    // Callers and router.

    fn ask(&mut self) {
        let pause = 1_000_000 / self.settings.requests_per_second.max(1);
        let jitter = self.random.random_range(pause / 2..=pause * 3 / 2);
        if self.now + QUIET_END < self.settings.lasts {
            self.events.push(self.now + Duration::from_micros(jitter), Event::Ask);
        } else {
            return;
        }
        self.outcome.asked += 1;
        let number = self.outcome.asked;
        let address = self.next_address();
        let service = service_address(usize::from(self.random.random_range(0..4) == 0));
        self.by_address.insert(address, number);
        self.callers.insert(number, Caller::new(self.now, number, address, service));
        self.wake_caller(number);
    }

    /// Callers have few ports and use them again.
    fn next_address(&mut self) -> SocketAddrV4 {
        self.next_port = (self.next_port + 1) % 4_096;
        let host = Ipv4Addr::new(100, 64, 0, (self.next_port / 512) as u8);
        SocketAddrV4::new(host, 1_024 + (self.next_port % 512) as u16)
    }

    fn wake_caller(&mut self, number: u64) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&number) else { return };
        let step = caller.wake(now);
        self.carry_out(number, step);
    }

    fn carry_out(&mut self, number: u64, step: CallerStep) {
        self.outcome.mixed_answers += u64::from(step.was_mixed);
        if let Some(at) = step.wake_at {
            self.events.push(at, Event::WakeCaller(number));
        }
        if let Some(packet) = step.packet {
            self.sent.insert(packet.clone());
            self.route(packet);
        }
    }

    /// The router's choice: rendezvous over the nodes that are in, or over all when none is.
    fn route(&mut self, packet: Vec<u8>) {
        let Ok(segment) = PlainFormat.parse(&packet) else { return };
        let flow = segment.flow();
        let balancers = 0..self.settings.balancers;
        let any_in = balancers.clone().any(|node| self.nodes[node].is_in);
        let eligible = balancers.filter(|node| self.nodes[*node].is_in || !any_in);
        let weight = |node: &usize| {
            let mut hasher = DefaultHasher::new();
            (flow, node).hash(&mut hasher);
            hasher.finish()
        };
        let Some(node) = eligible.max_by_key(weight) else { return };
        self.events.push(self.now + WAY, Event::ToBalancer { node, packet });
    }

    fn to_balancer(&mut self, node: usize, packet: Vec<u8>) {
        if let Some(thaw) = self.thaw(node) {
            return self.events.push(thaw, Event::ToBalancer { node, packet });
        }
        let own = self.nodes[node].own_time(self.now);
        if let Some(balancer) = self.nodes[node].balancer() {
            balancer.handle_caller(own, &packet);
        }
        self.settle(node);
    }

    fn to_caller(&mut self, packet: &[u8], from_node: usize) {
        let Ok(segment) = PlainFormat.parse(packet) else { return };
        let Some(number) = self.by_address.get(&segment.destination).copied() else { return };
        let address = self.next_address();
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&number) else { return };
        let flow = segment.flow_of_answer();
        let before = caller.address;
        if before != segment.destination {
            return;
        }
        let step = caller.receive(now, packet, address);
        if caller.address != before {
            let service = caller.service;
            self.by_address.insert(address, number);
            debug_assert_eq!(service, flow.service);
        }
        let is_own_reset = from_node < self.settings.balancers;
        if step.was_broken && is_own_reset && self.holder_lives(&flow) {
            self.outcome.broken_flows += 1;
        }
        self.carry_out(number, step);
    }

    fn holder_lives(&self, flow: &FlowKey) -> bool {
        self.holders.get(flow).is_some_and(|(agent, start)| {
            let backend = &self.backends[*agent];
            backend.start == *start && backend.is_alive
        })
    }

    fn probe(&mut self) {
        self.events.push(self.now + PROBE_INTERVAL, Event::Probe);
        for node in 0..self.settings.balancers {
            let is_frozen = self.thaw(node).is_some();
            let own = self.nodes[node].own_time(self.now);
            let process = &mut self.nodes[node];
            let is_ready = process.balancer().is_some_and(|balancer| balancer.is_ready(own));
            if is_ready && !is_frozen {
                process.is_in = true;
                process.missed_probes = 0;
                continue;
            }
            process.missed_probes += 1;
            process.is_in &= process.missed_probes < MOST_MISSED_PROBES;
        }
    }

    // Nodes.

    fn start(&mut self, node: usize) {
        let settings = self.settings;
        let process = &mut self.nodes[node];
        process.started = self.now;
        process.starts += 1;
        process.frozen_until = Duration::ZERO;
        process.wake_at = None;
        let starts = process.starts;
        let me = self.describe(node, starts);
        let format = Arc::new(PlainFormat);
        let core = if node < settings.balancers {
            let seed = self.random.random();
            let settings = CarriedBalancerSettings { node: me, seed };
            Core::Balancer(Box::new(CarriedBalancer::new(settings, format)))
        } else {
            let settings = CarriedAgentSettings {
                node: me,
                service: self.backends[node - settings.balancers].service.to_owned(),
                longest_flow: LONGEST_FLOW,
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

    fn describe(&self, node: usize, incarnation: u64) -> Node {
        let is_balancer = node < self.settings.balancers;
        Node {
            address: self.nodes[node].address,
            role: if is_balancer { NodeRole::Balancer } else { NodeRole::Agent },
            zone: format!("zone-{}", node % 3),
            region: "region".to_owned(),
            incarnation,
        }
    }

    /// When a frozen node goes on.
    fn thaw(&self, node: usize) -> Option<Duration> {
        let until = self.nodes[node].frozen_until;
        (until > self.now).then_some(until)
    }

    fn wake_node(&mut self, node: usize, starts: u64) {
        if self.nodes[node].starts != starts || self.nodes[node].wake_at != Some(self.now) {
            return;
        }
        self.nodes[node].wake_at = None;
        if let Some(thaw) = self.thaw(node) {
            return self.schedule_wake(node, thaw);
        }
        if self.nodes[node].next_timeout().is_some_and(|next| next <= self.now) {
            self.nodes[node].handle_timeout(self.now);
        }
        self.settle(node);
    }

    /// Carries out what a node's core asks for, and has it woken when it wants.
    fn settle(&mut self, node: usize) {
        while let Some(output) = self.nodes[node].take_output() {
            match output {
                ProcessOutput::ToCaller(packet) => {
                    let event = Event::ToCaller { packet, from_node: node };
                    self.events.push(self.now + WAY, event);
                }
                ProcessOutput::ToBackend(packet) => {
                    let agent = node - self.settings.balancers;
                    let at = self.now + Duration::from_micros(20);
                    self.events.push(at, Event::ToBackend { agent, packet });
                }
                ProcessOutput::ToPeer { to, message } => {
                    let from = self.nodes[node].address;
                    self.send_peer(from, to, message.encode());
                }
                ProcessOutput::FetchSnapshot { from } => self.fetch(node, from),
            }
        }
        if let Some(next) = self.nodes[node].next_timeout() {
            self.schedule_wake(node, next.max(self.now + TIMER_STEP));
        }
    }

    /// Has a node woken no later than `at`; an earlier wake-up stays.
    fn schedule_wake(&mut self, node: usize, at: Duration) {
        let process = &mut self.nodes[node];
        if process.wake_at.is_some_and(|wake_at| wake_at <= at) {
            return;
        }
        process.wake_at = Some(at);
        let starts = process.starts;
        self.events.push(at, Event::WakeNode { node, starts });
    }

    fn send_peer(&mut self, from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8>) {
        if self.loss > 0.0 && self.random.random_bool(self.loss) {
            return;
        }
        let jitter = Duration::from_micros(self.random.random_range(0..JITTER_US));
        self.events.push(self.now + WAY + jitter, Event::Peer { from, to, datagram });
    }

    fn peer(&mut self, from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8>) {
        let Some(node) = self.node_at(to) else { return };
        let is_cut = |node: usize| self.nodes[node].cut_until > self.now;
        if is_cut(node) || self.node_at(from).is_some_and(is_cut) {
            return;
        }
        if let Some(thaw) = self.thaw(node) {
            return self.events.push(thaw, Event::Peer { from, to, datagram });
        }
        self.nodes[node].handle_peer(self.now, from, &datagram);
        self.settle(node);
    }

    fn node_at(&self, address: SocketAddrV4) -> Option<usize> {
        self.nodes.iter().position(|process| process.address == address)
    }

    fn fetch(&mut self, to: usize, from: SocketAddrV4) {
        let Some(from) = self.node_at(from) else { return };
        let starts = self.nodes[to].starts;
        self.events.push(self.now + WAY * 4, Event::GiveSnapshot { from, to, starts });
    }

    fn give_snapshot(&mut self, from: usize, to: usize, starts: u64) {
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

    /// Balancers follow the configuration in the store; every node reads the list once it can.
    fn store_look(&mut self, node: usize, starts: u64) {
        if self.nodes[node].starts != starts || self.nodes[node].core.is_none() {
            return;
        }
        self.events.push(self.now + STORE_LOOK, Event::StoreLook { node, starts });
        let is_away = self.store_down_until > self.now || self.nodes[node].cut_until > self.now;
        if is_away || self.thaw(node).is_some() {
            return;
        }
        let balancers = self.settings.balancers;
        let role = |node: usize| match node < balancers {
            true => NodeRole::Balancer,
            false => NodeRole::Agent,
        };
        let members: Vec<_> = self
            .nodes
            .iter()
            .enumerate()
            .map(|(node, process)| (process.address, role(node)))
            .collect();
        let own = self.nodes[node].own_time(self.now);
        let configuration = self.configuration.clone();
        match &mut self.nodes[node].core {
            Some(Core::Balancer(balancer)) => {
                balancer.learn_members(own, &members);
                balancer.adopt(own, configuration);
            }
            Some(Core::Agent(agent)) => agent.learn_members(own, &members),
            None => {}
        }
        self.settle(node);
    }

    // Back ends.

    fn new_backend(&mut self, agent: usize) -> SimulatedBackend {
        self.backend_starts += 1;
        let service = SERVICES[usize::from(agent % 3 == 2)];
        SimulatedBackend::new(service, self.settings.slots, self.backend_starts)
    }

    fn schedule_heartbeat(&mut self, agent: usize, after: Duration) {
        let start = self.backends[agent].start;
        self.events.push(self.now + after, Event::BackendHeartbeat { agent, start });
    }

    fn heartbeat(&mut self, agent: usize, start: u64) {
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

    fn backend_gone(&mut self, agent: usize, start: u64) {
        if self.backends[agent].start != start {
            return;
        }
        self.backends[agent].is_alive = false;
        self.events.push(self.now + Duration::from_secs(1), Event::StartBackend { agent });
    }

    fn start_backend(&mut self, agent: usize) {
        self.backends[agent] = self.new_backend(agent);
        self.schedule_heartbeat(agent, Duration::from_millis(20));
    }

    fn to_backend(&mut self, agent: usize, packet: &[u8]) {
        if !self.backends[agent].is_alive {
            return;
        }
        self.outcome.changed_packets += u64::from(!self.sent.contains(packet));
        let reaction = self.backends[agent].receive(packet);
        if reaction.took_flow {
            self.judge_taken(agent, packet);
        }
        self.react(agent, reaction);
    }

    /// Holds a taken flow against the rules.
    fn judge_taken(&mut self, agent: usize, packet: &[u8]) {
        let Ok(segment) = PlainFormat.parse(packet) else { return };
        let flow = segment.flow();
        let backend = &self.backends[agent];
        self.holders.insert(flow, (agent, backend.start));
        let is_late = backend.leaving_since.is_some_and(|since| self.now > since + BOUND);
        self.outcome.late_drains += u64::from(is_late);
        let is_first = flow.service == service_address(0);
        let is_foreign = is_first && backend.service != SERVICES[0];
        self.outcome.foreign_runs += u64::from(is_foreign);
        let route = self.configuration.routes.iter().find(|route| route.address == flow.service);
        let is_old = route.is_none_or(|route| route.parts[0].service != backend.service);
        let is_settled = self.now > self.changed_at + BOUND;
        self.outcome.stale_configurations += u64::from(is_old && is_settled && !is_foreign);
    }

    fn react(&mut self, agent: usize, reaction: Reaction) {
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

    fn worked(&mut self, agent: usize, start: u64, flow: FlowKey) {
        if self.backends[agent].start == start && self.backends[agent].is_alive {
            let reaction = self.backends[agent].finish(&flow);
            self.react(agent, reaction);
        }
    }

    fn from_backend(&mut self, agent: usize, packet: Vec<u8>) {
        let node = self.settings.balancers + agent;
        if let Some(thaw) = self.thaw(node) {
            return self.events.push(thaw, Event::FromBackend { agent, packet });
        }
        let own = self.nodes[node].own_time(self.now);
        if let Some(core) = self.nodes[node].agent() {
            core.handle_backend(own, packet);
        }
        self.settle(node);
    }

    // Faults.

    fn fault(&mut self, fault: CarriedFault) {
        let balancers = self.settings.balancers;
        match fault {
            CarriedFault::KillBalancer(node, down) => self.kill(node, down),
            CarriedFault::KillAgent(agent, down) => self.kill(balancers + agent, down),
            CarriedFault::KillAll(down) => {
                for node in 0..self.nodes.len() {
                    self.kill(node, down);
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
            }
            CarriedFault::MoveRoute => self.move_route(),
            CarriedFault::ReplaceBackend(agent) => self.backends[agent].is_leaving = true,
            CarriedFault::CrashBackend(agent, down) => {
                if self.backends[agent].is_alive {
                    self.backends[agent].is_alive = false;
                    self.events.push(self.now + down, Event::StartBackend { agent });
                }
            }
        }
    }

    fn kill(&mut self, node: usize, down: Duration) {
        if self.nodes[node].core.take().is_some() {
            self.events.push(self.now + down, Event::Start { node });
        }
    }

    fn freeze(&mut self, node: usize, lasts: Duration) {
        let until = self.now + lasts;
        self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until);
    }

    fn cut(&mut self, node: usize, lasts: Duration) {
        self.nodes[node].cut_until = self.nodes[node].cut_until.max(self.now + lasts);
    }

    /// The operator writes; while the store is down nobody does.
    fn move_route(&mut self) {
        if self.store_down_until > self.now {
            return;
        }
        let current = &self.configuration.routes[1].parts[0].service;
        let next = if current == SERVICES[0] { SERVICES[1] } else { SERVICES[0] };
        self.configuration = configuration(self.configuration.version + 3, next);
        // The bound does not run while any node may be away from the store.
        let troubled = self.nodes.iter().map(|node| node.cut_until.max(node.frozen_until)).max();
        self.changed_at = self.now.max(troubled.unwrap_or_default()).max(self.store_down_until);
    }
}

fn node_address(settings: &CarriedWorldSettings, node: usize) -> SocketAddrV4 {
    let kind = if node < settings.balancers { 1 } else { 2 };
    SocketAddrV4::new(Ipv4Addr::new(10, kind, (node / 256) as u8, (node % 256) as u8), PEER_PORT)
}

fn service_address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443 + number as u16)
}

/// Two addresses: the first stands for the first service, the second for `second`.
fn configuration(version: u64, second: &str) -> CarriedConfiguration {
    let route = |number: usize, service: &str| Route {
        address: service_address(number),
        parts: vec![Part { service: service.to_owned(), weight: 1 }],
        aim_ms: AIM_MS,
        priority: 1,
    };
    let service = |name: &str| ServiceSettings {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 2_000,
    };
    CarriedConfiguration {
        version,
        routes: vec![route(0, SERVICES[0]), route(1, second)],
        services: SERVICES.map(service).to_vec(),
        idle_timeout_ms: 15_000,
    }
}
