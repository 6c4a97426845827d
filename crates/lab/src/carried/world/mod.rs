//! The simulated system: its event loop and state.

mod backends;
mod callers;
mod faults;
mod health;
mod layout;
mod nodes;
mod processor;
mod reports;
mod store;

use self::health::HealthCheck;
use self::layout::{configuration, node_address, service_address, zone_name};
pub(super) use self::processor::Inbox;
use self::store::Store;
use super::backend::{Reaction, SHUTDOWN_DELAY, SimulatedBackend};
use super::caller::{Caller, CallerState, CallerStep};
use super::fault::{CarriedFault, StoreRestore, TimedFault};
use super::outcome::CarriedOutcome;
use super::process::{Core, Process};
use crate::queue::EventQueue;
use loftdrift_carried::{
    BackendReport, CarriedAgent, CarriedAgentSettings, CarriedBalancer, CarriedBalancerSettings,
    CarriedConfiguration, Incarnation, InputAge, Node, NodeRole, Output, PlainFormat, Policies,
    ProbeOutcome, Route, RouteTarget, SegmentFormat, ServiceSettings, Version,
};
use loftdrift_wire::FlowKey;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

const PEER_PORT: u16 = 7_720;
const ONE_WAY_DELAY: Duration = Duration::from_micros(500);
const MAX_JITTER_US: u64 = 300;
/// Minimum delay of a timer.
const MIN_TIMER_DELAY: Duration = Duration::from_micros(100);
const STORE_READ_DELAY: Duration = Duration::from_millis(8);
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two checks of which configuration each node has.
const VERSION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const MAX_MISSED_PROBES: u32 = 2;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_100);
/// Time limit for a configuration to be in force everywhere, and for new flows to stop reaching a
/// back end that leaves or whose zone is evacuated.
const PROPAGATION_BOUND: Duration = Duration::from_secs(3);
/// Evacuations that operators have not rewritten this long after a restore count as lost.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Duration of a planned stop. The router has removed the balancer from rotation by then.
const STOP_DURATION: Duration = Duration::from_millis(1_600);
/// A process that was frozen for longer than this is notified when it resumes.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);
const MAX_FLOW_AGE: Duration = Duration::from_secs(60);
const LATENCY_TARGET_MS: u32 = 200;
const ZONES: usize = 3;
const SERVICES: [&str; 2] = ["tiles", "sheets"];
/// Requests on one flow of a caller that keeps it open.
const REQUESTS_PER_LONG_FLOW: u32 = 4;
/// No request starts this long before the end, so that every request finishes within the run.
const FINAL_QUIET_PERIOD: Duration = Duration::from_secs(12);

/// Settings of a simulated system.
#[derive(Clone, Copy, Debug)]
pub struct CarriedWorldSettings {
    /// Number of balancers.
    pub balancers: usize,
    /// Number of back ends, each with its agent; two in three serve the first service.
    pub backends: usize,
    /// Requests that each back end processes at the same time.
    pub slots: usize,
    /// Requests that all callers together start per second.
    pub requests_per_second: u64,
    /// Mean processing time of a request.
    pub processing_time: Duration,
    /// Every n-th caller sends several requests on one flow; 0 for none.
    pub long_flow_interval: u64,
    /// Time for which a flow may rest before nodes may forget it.
    pub idle_timeout: Duration,
    /// Pauses between two requests on the same flow; the caller's number selects one.
    pub pauses: [Duration; 3],
    /// Virtual duration of the run.
    pub duration: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of balancers with a slow processor, which are the first ones.
    pub slow_balancers: usize,
    /// Processor time that such a balancer needs per datagram and per run of its timers.
    pub slow_input_time: Duration,
    /// Mechanisms of the cores that are enabled.
    pub policies: Policies,
}

impl Default for CarriedWorldSettings {
    fn default() -> Self {
        CarriedWorldSettings {
            balancers: 4,
            backends: 9,
            slots: 4,
            requests_per_second: 200,
            processing_time: Duration::from_millis(30),
            long_flow_interval: 4,
            idle_timeout: Duration::from_secs(15),
            pauses: [300, 900, 2_300].map(Duration::from_millis),
            duration: Duration::from_secs(29),
            seed: 1,
            slow_balancers: 0,
            slow_input_time: Duration::from_millis(1),
            policies: Policies::default(),
        }
    }
}

enum Event {
    NewRequest,
    WakeCaller(u64),
    ToBalancer {
        node: usize,
        packet: Vec<u8>,
    },
    ToCaller {
        packet: Vec<u8>,
    },
    PeerDatagram {
        from: SocketAddrV4,
        to: SocketAddrV4,
        datagram: Vec<u8>,
    },
    WakeNode {
        node: usize,
        incarnation: u64,
    },
    ToBackend {
        agent: usize,
        packet: Vec<u8>,
    },
    FromBackend {
        agent: usize,
        packet: Vec<u8>,
    },
    WorkDone {
        agent: usize,
        start_id: u64,
        flow: FlowKey,
    },
    ResendAnswer {
        agent: usize,
        start_id: u64,
        flow: FlowKey,
        tries: u32,
    },
    BackendHeartbeat {
        agent: usize,
        start_id: u64,
    },
    /// A heartbeat that is late arrives.
    ReportArrives {
        agent: usize,
        start_id: u64,
        report: BackendReport,
    },
    Departs {
        agent: usize,
        start_id: u64,
    },
    BackendExited {
        agent: usize,
        start_id: u64,
    },
    StartBackend {
        agent: usize,
    },
    BackendRecovered {
        agent: usize,
        start_id: u64,
    },
    ProbeBalancers,
    CheckVersions,
    StoreRestored(StoreRestore),
    OperatorsRewrite,
    PollStore {
        node: usize,
        incarnation: u64,
    },
    /// A slow balancer runs one iteration of its driver.
    DriverIteration {
        node: usize,
        incarnation: u64,
    },
    Resume {
        node: usize,
        incarnation: u64,
    },
    ReadStore {
        node: usize,
        incarnation: u64,
    },
    Snapshot {
        from: usize,
        to: usize,
        incarnation: u64,
    },
    BackendProbed {
        agent: usize,
        incarnation: u64,
    },
    HealthChecked(HealthCheck),
    /// An event that waited in a frozen node's sockets; lost if the process ended meanwhile.
    Deferred {
        node: usize,
        incarnation: u64,
        event: Box<Event>,
    },
    Start {
        node: usize,
    },
    Fault(CarriedFault),
    EndLoss,
}

/// Heartbeats sent until a time arrive later.
#[derive(Clone, Copy, Debug)]
struct LateHeartbeats {
    until: Duration,
    delay: Duration,
}

/// A simulated system with its callers. Node numbers count the balancers first, then the agents.
pub struct CarriedWorld {
    settings: CarriedWorldSettings,
    now: Duration,
    events: EventQueue<Event>,
    random: ChaCha8Rng,
    nodes: Vec<Process>,
    backends: Vec<SimulatedBackend>,
    callers: HashMap<u64, Caller>,
    caller_numbers: HashMap<SocketAddrV4, u64>,
    nodes_by_address: HashMap<SocketAddrV4, usize>,
    next_port: u32,
    store: Store,
    /// When the store was last restored from an older backup.
    restored_at: Duration,
    /// Start of the time limit for the last route change.
    changed_at: Duration,
    /// When operators last wrote to the store.
    written_at: Duration,
    /// Evacuated zones, each with the start of its time limit.
    evacuated_at: HashMap<String, Duration>,
    store_down_until: Duration,
    balancers_refused_until: Duration,
    /// How late the heartbeats are that each back end sends.
    late_heartbeats: Vec<Option<LateHeartbeats>>,
    /// Until when the health page of each back end says the opposite of the truth.
    health_pages_lie_until: Vec<Duration>,
    /// The store's record of acknowledged departures for each agent.
    departure_records: Vec<Vec<Incarnation>>,
    loss: f64,
    backend_starts: u64,
    /// Owner of each flow (agent, start of its back end), to count resets of flows still open.
    flow_owners: HashMap<FlowKey, (usize, u64)>,
    /// Initial sequence number of the latest flow per port, to recognize packets of older flows.
    first_sequences: HashMap<FlowKey, u32>,
    /// Requests that a back end has started to process.
    request_runs: HashSet<(u64, Vec<u8>)>,
    /// Every packet that callers have sent.
    sent_packets: HashSet<Vec<u8>>,
    outcome: CarriedOutcome,
}

impl CarriedWorld {
    /// Creates a system whose nodes start at time 0, with scheduled faults.
    pub fn new(settings: CarriedWorldSettings, faults: &[TimedFault]) -> Self {
        let count = settings.balancers + settings.backends;
        let address = |node| node_address(&settings, node);
        let nodes = (0..count).map(|node| Process::new(address(node))).collect();
        let mut world = CarriedWorld {
            settings,
            now: Duration::ZERO,
            events: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            nodes,
            backends: Vec::new(),
            callers: HashMap::new(),
            caller_numbers: HashMap::new(),
            nodes_by_address: (0..count).map(|node| (address(node), node)).collect(),
            next_port: 1_024,
            store: Store::new(configuration(&settings, SERVICES[1])),
            restored_at: Duration::ZERO,
            changed_at: Duration::ZERO,
            written_at: Duration::ZERO,
            evacuated_at: HashMap::new(),
            store_down_until: Duration::ZERO,
            balancers_refused_until: Duration::ZERO,
            late_heartbeats: vec![None; settings.backends],
            health_pages_lie_until: vec![Duration::ZERO; settings.backends],
            departure_records: vec![Vec::new(); settings.backends],
            loss: 0.0,
            backend_starts: 0,
            flow_owners: HashMap::new(),
            first_sequences: HashMap::new(),
            request_runs: HashSet::new(),
            sent_packets: HashSet::new(),
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
        world.events.push(PROBE_INTERVAL, Event::ProbeBalancers);
        world.events.push(VERSION_CHECK_INTERVAL, Event::CheckVersions);
        world.events.push(Duration::from_secs(1), Event::NewRequest);
        for timed in faults {
            world.events.push(timed.at, Event::Fault(timed.fault));
        }
        world
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> CarriedOutcome {
        while let Some((at, event)) = self.events.pop_until(self.settings.duration) {
            self.now = at;
            self.handle(event);
        }
        for caller in self.callers.values() {
            match caller.state {
                CallerState::Served => self.outcome.served += 1,
                CallerState::Refused => self.outcome.refused += 1,
                CallerState::Failed => self.outcome.failed += 1,
                _ => self.outcome.lost += 1,
            }
        }
        for node in 0..self.settings.balancers {
            let uptime = self.nodes[node].uptime(self.now);
            let counters = self.nodes[node].balancer().map(|balancer| balancer.counters(uptime));
            self.outcome.suspicions += counters.map_or(0, |counters| counters.suspicions);
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NewRequest => self.start_request(),
            Event::WakeCaller(number) => self.wake_caller(number),
            Event::ToBalancer { node, packet } => self.deliver_to_balancer(node, packet),
            Event::ToCaller { packet } => self.deliver_to_caller(&packet),
            Event::PeerDatagram { from, to, datagram } => self.deliver_to_peer(from, to, datagram),
            Event::WakeNode { node, incarnation } => self.wake_node(node, incarnation),
            Event::ToBackend { agent, packet } => self.deliver_to_backend(agent, &packet),
            Event::FromBackend { agent, packet } => self.deliver_from_backend(agent, packet),
            Event::WorkDone { agent, start_id, flow } => self.finish_work(agent, start_id, flow),
            Event::ResendAnswer { agent, start_id, flow, tries } => {
                self.resend_answer(agent, start_id, flow, tries);
            }
            Event::BackendHeartbeat { agent, start_id } => self.heartbeat(agent, start_id),
            Event::ReportArrives { agent, start_id, report } => {
                self.deliver_report(agent, start_id, &report);
            }
            Event::Departs { agent, start_id } => self.depart(agent, start_id),
            Event::BackendExited { agent, start_id } => self.exit_backend(agent, start_id),
            Event::StartBackend { agent } => self.start_backend(agent),
            Event::BackendRecovered { agent, start_id } => self.recover_backend(agent, start_id),
            Event::ProbeBalancers => self.probe_balancers(),
            Event::CheckVersions => self.check_versions(),
            Event::StoreRestored(restore) => self.restore_store(restore),
            Event::OperatorsRewrite => self.rewrite_lost(),
            Event::PollStore { node, incarnation } => self.poll_store(node, incarnation),
            Event::DriverIteration { node, incarnation } => self.run_iteration(node, incarnation),
            Event::Resume { node, incarnation } => self.resume(node, incarnation),
            Event::ReadStore { node, incarnation } => self.read_store(node, incarnation),
            Event::Snapshot { from, to, incarnation } => self.send_snapshot(from, to, incarnation),
            Event::BackendProbed { agent, incarnation } => self.handle_probe(agent, incarnation),
            Event::HealthChecked(check) => self.finish_health_check(check),
            Event::Deferred { node, incarnation, event } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].core.is_some() {
                    let since = self.nodes[node].frozen_since;
                    self.note_input_age(node, self.now - since);
                    self.nodes[node].inbox.note_waiting_since(since);
                    self.handle(*event);
                    self.note_input_age(node, Duration::ZERO);
                }
            }
            Event::Start { node } => self.start_node(node),
            Event::Fault(fault) => self.inject_fault(fault),
            Event::EndLoss => self.loss = 0.0,
        }
    }
}
