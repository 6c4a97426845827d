//! The simulated world: its nodes, its virtual clock and its events.

mod agents;
mod callers;

use crate::backend::{BackendBehaviour, BackendRequest, SimulatedBackend};
use crate::caller::{CallerBehaviour, CallerFlow};
use crate::network::NetworkSettings;
use crate::outcome::Outcome;
use crate::queue::EventQueue;
use loftdrift_agent::{Agent, AgentSettings};
use loftdrift_balancer::{Action, Balancer, HEADROOM_BYTES};
use loftdrift_configuration::Configuration;
use loftdrift_findings::Findings;
use loftdrift_flow::{
    Endpoint, EndpointSettings, FlowChart, FlowId, FlowTable, SocketEvent, SplicedFlow, Timestamps,
    flow_chart,
};
use loftdrift_liveness::ProbeSettings;
use loftdrift_wire::{FlowKey, Transport};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

/// UDP address of the fabric, which routes callers' packets to balancers and answers to callers.
pub const FABRIC: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 6081);

const GENEVE_PORT: u16 = 6081;
const BALANCER_ADDRESS_BASE: u32 = 0x0A01_0000;
const AGENT_ADDRESS_BASE: u32 = 0x0A02_0000;
const BALANCER_TICK_INTERVAL: Duration = Duration::from_millis(100);
const PROBE_SETTINGS: ProbeSettings = ProbeSettings {
    interval: Duration::from_secs(1),
    timeout: Duration::from_millis(400),
    miss_threshold: 3,
    max_per_second: 40,
};
const CALLER_BUFFER_BYTES: usize = 16 * 1024;

/// How a world is set up.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Seed of every random choice.
    pub seed: u64,
    /// The network between all nodes.
    pub network: NetworkSettings,
    /// Whether agents put flow cookies (the back end's identity) into TCP timestamps.
    pub cookies: bool,
    /// How long agents wait before they reset a flow that no agent owns.
    pub unknown_grace: Duration,
    /// Size of each of a flow's buffers at an agent, in bytes.
    pub flow_buffer_bytes: usize,
}

impl Default for WorldSettings {
    fn default() -> Self {
        WorldSettings {
            seed: 1,
            network: NetworkSettings::default(),
            cookies: true,
            unknown_grace: Duration::from_secs(20),
            flow_buffer_bytes: 8 * 1024,
        }
    }
}

enum Event {
    Datagram { to: SocketAddrV4, from: SocketAddrV4, datagram: Vec<u8> },
    AgentTimer(SocketAddrV4),
    BalancerTick(SocketAddrV4),
    CallerTimer,
    NextRequest(FlowId),
    Answer { agent: SocketAddrV4, flow: FlowId, request: BackendRequest },
    Script(Script),
}

type Script = Box<dyn FnOnce(&mut World)>;

struct SimulatedAgent {
    core: Agent,
    backend: SimulatedBackend,
    timer_at: Option<Duration>,
    /// The process does not run until then; datagrams and timers wait.
    frozen_until: Duration,
}

struct OpenFlow {
    splice: SplicedFlow,
    caller: CallerFlow,
}

/// Balancers, agents, back ends and callers on one virtual clock.
pub struct World {
    settings: WorldSettings,
    now: Duration,
    queue: EventQueue<Event>,
    random: ChaCha8Rng,
    chart: Arc<FlowChart>,
    balancers: BTreeMap<SocketAddrV4, Balancer>,
    /// Balancers among which the fabric distributes packets.
    in_use: Vec<SocketAddrV4>,
    agents: BTreeMap<SocketAddrV4, SimulatedAgent>,
    callers: FlowTable<OpenFlow>,
    caller_timer_at: Option<Duration>,
    next_request_id: u64,
    next_caller_number: u32,
    buffer: Vec<u8>,
    outcome: Outcome,
    packets: u64,
    /// When each ended flow ended, finished or broken.
    ended: BTreeMap<FlowId, Duration>,
    broken_at: Vec<Duration>,
}

impl World {
    /// Creates an empty world. Fails only if the built-in state chart of flows is invalid.
    pub fn new(settings: WorldSettings) -> Result<Self, Findings> {
        Ok(World {
            now: Duration::ZERO,
            queue: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            chart: Arc::new(flow_chart()?),
            balancers: BTreeMap::new(),
            in_use: Vec::new(),
            agents: BTreeMap::new(),
            callers: FlowTable::default(),
            caller_timer_at: None,
            next_request_id: 0,
            next_caller_number: 0,
            buffer: vec![0; HEADROOM_BYTES + usize::from(u16::MAX)],
            outcome: Outcome::default(),
            packets: 0,
            ended: BTreeMap::new(),
            broken_at: Vec::new(),
            settings,
        })
    }

    /// The address of the balancer with that number.
    pub fn balancer_address(number: u32) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(BALANCER_ADDRESS_BASE + number), GENEVE_PORT)
    }

    /// The address of the agent with that number.
    pub fn agent_address(number: u32) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(AGENT_ADDRESS_BASE + number), GENEVE_PORT)
    }

    /// The virtual time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Datagrams that have arrived at any node.
    pub fn packets(&self) -> u64 {
        self.packets
    }

    /// Counts of flows, requests and faults so far.
    pub fn outcome(&self) -> &Outcome {
        &self.outcome
    }

    /// Adds a balancer. The fabric sends packets to it from now on.
    pub fn add_balancer(&mut self, number: u32) {
        let address = Self::balancer_address(number);
        self.balancers.insert(address, Balancer::new(PROBE_SETTINGS));
        self.in_use.push(address);
        self.queue.push(self.now, Event::BalancerTick(address));
    }

    /// Stops the fabric from sending packets to a balancer, which still forwards those on the way.
    pub fn withdraw_balancer(&mut self, number: u32) {
        let address = Self::balancer_address(number);
        self.in_use.retain(|in_use| *in_use != address);
    }

    /// Kills a balancer. The fabric sends packets to it until it is withdrawn; they are lost.
    pub fn kill_balancer(&mut self, number: u32) {
        self.balancers.remove(&Self::balancer_address(number));
    }

    /// Adds a back end and its agent.
    pub fn add_agent(
        &mut self,
        number: u32,
        backend: &str,
        behaviour: BackendBehaviour,
    ) -> Result<(), Findings> {
        let core = Agent::new(AgentSettings {
            backend: backend.to_owned(),
            fabric: FABRIC,
            flow_buffer_bytes: self.settings.flow_buffer_bytes,
            cookies: self.settings.cookies,
            unknown_grace: self.settings.unknown_grace,
            udp_idle: Duration::from_secs(30),
            ramp: Duration::from_secs(10),
            seed: self.random.random(),
        })?;
        let backend = SimulatedBackend::new(behaviour);
        let agent = SimulatedAgent { core, backend, timer_at: None, frozen_until: Duration::ZERO };
        self.agents.insert(Self::agent_address(number), agent);
        Ok(())
    }

    /// Kills an agent with all of its flows.
    pub fn kill_agent(&mut self, number: u32) {
        if let Some(agent) = self.agents.remove(&Self::agent_address(number)) {
            self.outcome.flows_lost += agent.core.flow_count() as u64;
        }
    }

    /// Freezes an agent for some time; what arrives meanwhile waits.
    pub fn freeze_agent(&mut self, number: u32, time: Duration) {
        if let Some(agent) = self.agents.get_mut(&Self::agent_address(number)) {
            agent.frozen_until = self.now + time;
        }
    }

    /// Numbers of the balancers to which the fabric sends packets, oldest first.
    pub fn balancers_in_use(&self) -> Vec<u32> {
        self.in_use.iter().map(|address| address.ip().to_bits() - BALANCER_ADDRESS_BASE).collect()
    }

    /// Kills a back end with all of its connections; its agent keeps running.
    pub fn kill_backend(&mut self, number: u32) {
        let address = Self::agent_address(number);
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        self.outcome.flows_lost += agent.core.flow_count() as u64;
        agent.core.handle_health_check(self.now, false);
        for flow in agent.backend.kill() {
            agent.core.handle_socket(self.now, flow, SocketEvent::Failed);
        }
        self.process_agent_outputs(address);
    }

    /// The core of an agent.
    pub fn agent(&self, number: u32) -> Option<&Agent> {
        self.agents.get(&Self::agent_address(number)).map(|agent| &agent.core)
    }

    /// Requests that the back end of an agent is processing.
    pub fn busy_slots(&self, number: u32) -> usize {
        self.agents.get(&Self::agent_address(number)).map_or(0, |agent| agent.backend.busy_slots())
    }

    /// The core of a balancer.
    pub fn balancer(&self, number: u32) -> Option<&Balancer> {
        self.balancers.get(&Self::balancer_address(number))
    }

    /// Delivers a configuration to a balancer.
    pub fn configure_balancer(&mut self, number: u32, configuration: &Configuration) {
        if let Some(core) = self.balancers.get_mut(&Self::balancer_address(number)) {
            core.adopt(self.now, configuration);
        }
    }

    /// Delivers a configuration to an agent.
    pub fn configure_agent(&mut self, number: u32, configuration: &Configuration) {
        if let Some(agent) = self.agents.get_mut(&Self::agent_address(number)) {
            agent.core.adopt(self.now, configuration);
        }
        self.process_agent_outputs(Self::agent_address(number));
    }

    /// Delivers a configuration to every node.
    pub fn configure_all(&mut self, configuration: &Configuration) {
        for core in self.balancers.values_mut() {
            core.adopt(self.now, configuration);
        }
        let addresses: Vec<SocketAddrV4> = self.agents.keys().copied().collect();
        for address in addresses {
            if let Some(agent) = self.agents.get_mut(&address) {
                agent.core.adopt(self.now, configuration);
            }
            self.process_agent_outputs(address);
        }
    }

    /// Schedules a function that changes the world, to be called at a virtual time.
    pub fn schedule(&mut self, time: Duration, script: impl FnOnce(&mut World) + 'static) {
        self.queue.push(time, Event::Script(Box::new(script)));
    }

    /// Opens a flow from a new caller to a service.
    pub fn open_flow(&mut self, service: SocketAddrV4, behaviour: &CallerBehaviour) -> FlowId {
        let caller = self.next_caller_address();
        let key = FlowKey { caller, service, transport: Transport::Tcp };
        let timestamps = if behaviour.timestamps { Timestamps::Clock } else { Timestamps::Off };
        let endpoint_settings = EndpointSettings {
            buffer_bytes: CALLER_BUFFER_BYTES,
            timestamps,
            sequence_seed: self.random.random(),
        };
        let endpoint = Endpoint::connect(self.now, &key, &endpoint_settings);
        let splice = SplicedFlow::new(endpoint, Arc::clone(&self.chart), None);
        let caller = CallerFlow::new(behaviour.clone());
        let flow = self.callers.insert(key, OpenFlow { splice, caller });
        self.outcome.flows_opened += 1;
        if let Some(open) = self.callers.get_mut(flow) {
            open.body.splice.poll(self.now);
        }
        self.process_caller_commands(flow);
        flow
    }

    /// Removes all callers without closing their flows, which are then not counted further.
    pub fn drop_callers(&mut self) {
        self.callers = FlowTable::default();
    }

    /// When each broken flow broke.
    pub fn broken_at(&self) -> &[Duration] {
        &self.broken_at
    }

    /// When a flow ended, finished or broken; `None` while it is open.
    pub fn ended_at(&self, flow: FlowId) -> Option<Duration> {
        self.ended.get(&flow).copied()
    }

    fn next_caller_address(&mut self) -> SocketAddrV4 {
        const CALLER_ADDRESS_BASE: u32 = 0x0A09_0001;
        const CALLERS_PER_HOST: u32 = 20_000;
        const FIRST_PORT: u32 = 40_000;
        let number = self.next_caller_number;
        self.next_caller_number += 1;
        let host = Ipv4Addr::from(CALLER_ADDRESS_BASE + number / CALLERS_PER_HOST);
        SocketAddrV4::new(host, (FIRST_PORT + number % CALLERS_PER_HOST) as u16)
    }

    /// Advances the virtual clock to `end` and handles every event until then.
    pub fn run_until(&mut self, end: Duration) {
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Datagram { to, from, datagram } => self.handle_datagram(to, from, &datagram),
            Event::AgentTimer(address) => self.handle_agent_timer(address),
            Event::BalancerTick(address) => self.handle_balancer_tick(address),
            Event::CallerTimer => self.handle_caller_timer(),
            Event::NextRequest(flow) => self.send_request(flow),
            Event::Answer { agent, flow, request } => self.finish_request(agent, flow, &request),
            Event::Script(script) => script(self),
        }
    }

    fn transmit(&mut self, from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8>) {
        let arrivals = self.settings.network.arrivals(&mut self.random);
        if let Some(delay) = arrivals.second {
            let datagram = datagram.clone();
            self.queue.push(self.now + delay, Event::Datagram { to, from, datagram });
        }
        if let Some(delay) = arrivals.first {
            self.queue.push(self.now + delay, Event::Datagram { to, from, datagram });
        }
    }

    fn handle_datagram(&mut self, to: SocketAddrV4, from: SocketAddrV4, datagram: &[u8]) {
        if let Some(resume_at) = self.frozen_until(to) {
            let datagram = datagram.to_vec();
            self.queue.push(resume_at, Event::Datagram { to, from, datagram });
            return;
        }
        self.packets += 1;
        if to == FABRIC {
            self.deliver_to_caller(datagram);
        } else if let Some(agent) = self.agents.get_mut(&to) {
            agent.core.handle_datagram(self.now, from, datagram);
            self.process_agent_outputs(to);
        } else if self.balancers.contains_key(&to) {
            self.forward(to, from, datagram);
        }
    }

    fn forward(&mut self, balancer: SocketAddrV4, from: SocketAddrV4, datagram: &[u8]) {
        let Some(core) = self.balancers.get_mut(&balancer) else {
            return;
        };
        let mut buffer = std::mem::take(&mut self.buffer);
        let end = HEADROOM_BYTES + datagram.len();
        buffer[HEADROOM_BYTES..end].copy_from_slice(datagram);
        match core.handle(self.now, from, &mut buffer, end) {
            Action::Forward(forward) => {
                self.transmit(balancer, forward.to, buffer[forward.start..forward.end].to_vec());
            }
            Action::Reply(echo) => self.transmit(balancer, from, echo.encode()),
            Action::Done => {}
        }
        self.buffer = buffer;
    }

    fn handle_balancer_tick(&mut self, address: SocketAddrV4) {
        let Some(core) = self.balancers.get_mut(&address) else {
            return;
        };
        for probe in core.tick(self.now, self.now) {
            self.transmit(address, probe.to, probe.echo.encode());
        }
        self.queue.push(self.now + BALANCER_TICK_INTERVAL, Event::BalancerTick(address));
    }
}
