//! The components that the demo starts: platform, fabric, balancers, agents, back ends, callers.

use super::DemoSettings;
use super::stats::Load;
use crate::agent_process::{self, AgentTask};
use crate::balancer_process::{self, BalancerTask};
use crate::ctl;
use crate::metrics;
use crate::sockets::{bind_tcp, bind_udp, local_address};
use anyhow::{Context, Result, bail};
use hyper::Method;
use loftdrift_agent::AgentSettings;
use loftdrift_configuration::{CommitOutcome, parse_script};
use loftdrift_counters::PublishedSet;
use loftdrift_http::HttpClient;
use loftdrift_standin::backend::{self, BackendSettings, Execution};
use loftdrift_standin::callers::{self, CallerEvent, CallerSettings};
use loftdrift_standin::fabric::{self, FabricSettings, Listener, ListenerSocket};
use loftdrift_standin::platform::{self, Faults};
use loftdrift_store::{Machine, MachineListClient, MachineRole, MachineState, StoreClient};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// Name of the back end that the demo drains.
pub(super) const DRAINED_BACKEND: &str = "tiles-1";

const BALANCER_COUNT: usize = 4;
const BALANCER_DRAIN_DURATION: Duration = Duration::from_secs(1);
const AGENT_DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
const PROBES_PER_SECOND: u32 = 40;
const FLOW_BUFFER_BYTES: usize = 16 * 1024;
const UNKNOWN_FLOW_GRACE: Duration = Duration::from_secs(20);
const UDP_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const RAMP_DURATION: Duration = Duration::from_secs(10);
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);
const EXECUTIONS_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const ANY_PORT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// A service of the demo.
struct DemoService {
    name: &'static str,
    address: SocketAddrV4,
    backends: usize,
    slots: usize,
    callers: u64,
    /// Minimum and maximum size of fetched response bodies.
    body_bytes: (u64, u64),
    submit_share: f64,
    work_duration: Duration,
}

const fn service_address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 20, 0, last), 80)
}

/// Two services of the Guild (`tiles`, `sheets`) and two of the co-op (`dispatch`, `manifests`).
const SERVICES: [DemoService; 4] = [
    DemoService {
        name: "tiles",
        address: service_address(1),
        backends: 7,
        slots: 7,
        callers: 42,
        body_bytes: (1_000, 60_000),
        submit_share: 0.2,
        work_duration: Duration::from_millis(4),
    },
    DemoService {
        name: "sheets",
        address: service_address(2),
        backends: 3,
        slots: 7,
        callers: 12,
        body_bytes: (100_000, 400_000),
        submit_share: 0.0,
        work_duration: Duration::from_millis(10),
    },
    DemoService {
        name: "dispatch",
        address: service_address(3),
        backends: 7,
        slots: 3,
        callers: 42,
        body_bytes: (200, 4_000),
        submit_share: 0.3,
        work_duration: Duration::from_millis(3),
    },
    DemoService {
        name: "manifests",
        address: service_address(4),
        backends: 4,
        slots: 3,
        callers: 12,
        body_bytes: (10_000, 50_000),
        submit_share: 0.0,
        work_duration: Duration::from_millis(10),
    },
];

struct RunningBalancer {
    name: String,
    address: SocketAddrV4,
    stop: mpsc::Sender<()>,
    counters: watch::Receiver<PublishedSet>,
    task: AbortHandle,
    follower_task: AbortHandle,
}

struct RunningBackend {
    service: &'static str,
    name: String,
    server: SocketAddrV4,
    counters: watch::Receiver<PublishedSet>,
}

/// The running components.
pub(super) struct DemoCluster {
    tasks: JoinSet<Result<()>>,
    seed: u64,
    platform: SocketAddrV4,
    fabric: SocketAddrV4,
    store: StoreClient,
    /// The key-value store clients of balancers and agents, kept to count their traffic.
    node_stores: Vec<StoreClient>,
    started: Instant,
    listen_addresses: BTreeMap<&'static str, SocketAddrV4>,
    balancers: Vec<RunningBalancer>,
    balancers_started: usize,
    backends: Vec<RunningBackend>,
    stop_callers: Option<watch::Sender<bool>>,
    /// Flows opened on the drained back end before the deadline after which it must get no more.
    drain_baseline: Option<u64>,
}

impl DemoCluster {
    pub(super) async fn start(settings: &DemoSettings) -> Result<DemoCluster> {
        let mut tasks = JoinSet::new();
        let platform_listener = bind_tcp("platform", ANY_PORT).await?;
        let platform = local_address(platform_listener.local_addr())?;
        tasks.spawn(async move {
            platform::serve(platform_listener, Faults::default()).await;
            Ok(())
        });
        let fabric_socket = bind_udp("fabric", ANY_PORT).await?;
        let fabric = local_address(fabric_socket.local_addr())?;
        let (listeners, listen_addresses) = open_listeners(settings).await?;
        let fabric_settings = FabricSettings {
            balancers: Vec::new(),
            platform: Some(platform.into()),
            timestamps: true,
            seed: settings.seed,
        };
        tasks.spawn(fabric::serve(fabric_socket, listeners, fabric_settings));
        let mut cluster = DemoCluster {
            tasks,
            seed: settings.seed,
            platform,
            fabric,
            store: StoreClient::new(platform.into()),
            node_stores: Vec::new(),
            started: Instant::now(),
            listen_addresses,
            balancers: Vec::new(),
            balancers_started: 0,
            backends: Vec::new(),
            stop_callers: None,
            drain_baseline: None,
        };
        cluster.start_services().await?;
        for _ in 0..BALANCER_COUNT {
            cluster.start_balancer().await?;
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    async fn start_services(&mut self) -> Result<()> {
        let mut script = String::new();
        for service in &SERVICES {
            script.push_str(&format!("create service {} at {}\n", service.name, service.address));
            for number in 1..=service.backends {
                script.push_str(&self.start_backend(service, number).await?);
                script.push('\n');
            }
        }
        self.run_script(&script).await
    }

    /// Starts a back end and its agent. Returns the statement that attaches it to its service.
    async fn start_backend(&mut self, service: &DemoService, number: usize) -> Result<String> {
        let name = format!("{}-{number}", service.name);
        let listener = bind_tcp("backend", ANY_PORT).await?;
        let server = local_address(listener.local_addr())?;
        let backend_settings = BackendSettings {
            service: service.name.to_owned(),
            name: name.clone(),
            slots: service.slots,
            queue_capacity: 64,
            work_duration: service.work_duration,
            cold_start: Duration::ZERO,
            load_lag: Duration::from_secs(1),
        };
        self.tasks.spawn(async move {
            backend::serve(listener, backend_settings).await;
            Ok(())
        });
        let socket = bind_udp("agent", ANY_PORT).await?;
        let agent = local_address(socket.local_addr())?;
        let (counters, published) = metrics::channel("agent");
        let (stop_sender, stop) = mpsc::channel(1);
        let (configuration, _) = self.start_follower();
        let task = AgentTask {
            socket,
            settings: AgentSettings {
                backend: name.clone(),
                fabric: self.fabric,
                flow_buffer_bytes: FLOW_BUFFER_BYTES,
                cookies: true,
                unknown_grace: UNKNOWN_FLOW_GRACE,
                udp_idle: UDP_IDLE_TIMEOUT,
                ramp: RAMP_DURATION,
                seed: self.seed ^ u64::from(agent.port()),
            },
            drain_timeout: AGENT_DRAIN_TIMEOUT,
            configuration,
            stop,
            counters,
        };
        self.tasks.spawn(async move {
            // Keeps the stop channel open; the demo never stops agents.
            let _stop_sender = stop_sender;
            agent_process::run(task).await
        });
        let statement = format!(
            "attach backend {name} to {} at {server} agent {agent} slots {} state active",
            service.name, service.slots
        );
        let running = RunningBackend { service: service.name, name, server, counters: published };
        self.backends.push(running);
        Ok(statement)
    }

    /// Spawns a task that keeps a configuration up to date, as balancer and agent processes do.
    fn start_follower(
        &mut self,
    ) -> (
        watch::Receiver<Option<std::sync::Arc<loftdrift_configuration::Configuration>>>,
        AbortHandle,
    ) {
        let store = StoreClient::new(self.platform.into());
        self.node_stores.push(store.clone());
        let (published, configuration) = watch::channel(None);
        let seed = self.seed.wrapping_add(self.node_stores.len() as u64);
        let follower_task = self.tasks.spawn(async move {
            loftdrift_store::follow_configuration(store, seed, published).await;
            Ok(())
        });
        (configuration, follower_task)
    }

    /// Starts a balancer and adds it to the platform's machine list.
    pub(super) async fn start_balancer(&mut self) -> Result<SocketAddrV4> {
        self.balancers_started += 1;
        let name = format!("balancer-{}", self.balancers_started);
        let socket = bind_udp("balancer", ANY_PORT).await?;
        let address = local_address(socket.local_addr())?;
        let (counters, published) = metrics::channel("balancer");
        let (stop, stop_requests) = mpsc::channel(2);
        let (configuration, follower_task) = self.start_follower();
        let task = BalancerTask {
            socket,
            drain_duration: BALANCER_DRAIN_DURATION,
            probes_per_second: PROBES_PER_SECOND,
            configuration,
            stop: stop_requests,
            counters,
        };
        let task = self.tasks.spawn(balancer_process::run(task));
        let running = RunningBalancer {
            name: name.clone(),
            address,
            stop,
            counters: published,
            task,
            follower_task,
        };
        self.balancers.push(running);
        self.publish_machine(name, address, MachineState::Live).await?;
        Ok(address)
    }

    async fn publish_machine(
        &self,
        name: String,
        address: SocketAddrV4,
        state: MachineState,
    ) -> Result<()> {
        let machines = MachineListClient::new(self.platform.into());
        let machine = Machine { name, role: MachineRole::Balancer, address, state };
        machines.put(&machine).await.context("cannot list a machine")
    }

    /// Waits until configurations agree and the fabric's probes have reached every balancer.
    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        while Instant::now() < deadline {
            let probed = |balancer: &RunningBalancer| {
                metrics::value(&balancer.counters, "echoes_answered") > 0
            };
            if self.balancers.iter().all(probed) && self.revisions().len() == 1 {
                return Ok(());
            }
            tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
        }
        bail!("balancers and agents did not get the configuration within {STARTUP_TIMEOUT:?}")
    }

    /// Distinct configuration revisions on running balancers and on agents, in ascending order.
    pub(super) fn revisions(&self) -> Vec<u64> {
        let balancers = self.balancers.iter().map(|balancer| &balancer.counters);
        let agents = self.backends.iter().map(|backend| &backend.counters);
        let revisions = balancers.chain(agents);
        let mut revisions: Vec<u64> =
            revisions.map(|counters| metrics::value(counters, "configuration_revision")).collect();
        revisions.sort_unstable();
        revisions.dedup();
        revisions
    }

    pub(super) fn tiles_address(&self) -> SocketAddrV4 {
        self.listen_addresses[SERVICES[0].name]
    }

    pub(super) fn start_callers(&mut self, events: mpsc::Sender<CallerEvent>) {
        let (stop_sender, stop) = watch::channel(false);
        for service in &SERVICES {
            for caller in 0..service.callers {
                let settings = CallerSettings {
                    service: service.name.to_owned(),
                    address: self.listen_addresses[service.name].into(),
                    body_bytes: service.body_bytes,
                    submit_share: service.submit_share,
                    pause: Duration::from_millis(25),
                    requests_per_flow: (10, 200),
                    seed: self.seed,
                };
                let run = callers::run(settings, caller, events.clone(), stop.clone());
                self.tasks.spawn(async move {
                    run.await;
                    Ok(())
                });
            }
        }
        self.stop_callers = Some(stop_sender);
    }

    pub(super) fn stop_callers(&mut self) {
        if let Some(stop) = &self.stop_callers {
            // Sending fails only when all callers have already ended.
            let _ = stop.send(true);
        }
    }

    /// Stops the oldest balancer gracefully.
    pub(super) async fn stop_balancer(&mut self) -> SocketAddrV4 {
        let balancer = self.balancers.remove(0);
        // The balancer's task drains and then ends by itself.
        let _ = balancer.stop.send(()).await;
        balancer.address
    }

    /// Kills the oldest balancer without warning, then marks it as leaving on the machine list.
    pub(super) async fn kill_balancer(&mut self) -> SocketAddrV4 {
        let balancer = self.balancers.remove(0);
        balancer.task.abort();
        balancer.follower_task.abort();
        // Errors are ignored: the list lags and may miss changes; the fabric relies on its probes.
        let _ = self.publish_machine(balancer.name, balancer.address, MachineState::Leaving).await;
        balancer.address
    }

    /// Attaches another back end to the tile service.
    pub(super) async fn attach_backend(&mut self) -> Result<String> {
        let service = &SERVICES[0];
        let statement = self.start_backend(service, service.backends + 1).await?;
        self.run_script(&statement).await?;
        Ok(format!("{}-{}", service.name, service.backends + 1))
    }

    /// Commits operators' statements; fails unless they are accepted.
    pub(super) async fn run_script(&self, script: &str) -> Result<()> {
        let statements = parse_script("demo", script)?;
        let command_id = format!("demo-{}", self.started.elapsed().as_nanos());
        match ctl::commit(&self.store, &command_id, statements).await {
            CommitOutcome::Accepted(_) => Ok(()),
            other => bail!("the configuration change was not accepted: {other:?}"),
        }
    }

    /// Loads of the back ends that accept new flows.
    pub(super) fn loads(&self) -> Vec<Load> {
        let drained = self.drain_baseline.is_some();
        let takes_new = |backend: &&RunningBackend| !(drained && backend.name == DRAINED_BACKEND);
        let load = |backend: &RunningBackend| Load {
            service: backend.service,
            flows: metrics::value(&backend.counters, "flows"),
        };
        self.backends.iter().filter(takes_new).map(load).collect()
    }

    fn drained_backend_flows_opened(&self) -> u64 {
        let drained = self.backends.iter().find(|backend| backend.name == DRAINED_BACKEND);
        drained.map_or(0, |backend| metrics::value(&backend.counters, "flows_opened"))
    }

    pub(super) fn note_drain_baseline(&mut self) {
        self.drain_baseline = Some(self.drained_backend_flows_opened());
    }

    /// Flows opened on the drained back end after it had to stop getting new ones.
    pub(super) fn opened_after_drain(&self) -> u64 {
        let baseline = self.drain_baseline;
        baseline.map_or(0, |count| self.drained_backend_flows_opened().saturating_sub(count))
    }

    /// How often each request ran, over all back ends, by request ID.
    pub(super) async fn executions(&self) -> Result<BTreeMap<String, u64>> {
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        for backend in &self.backends {
            let client = HttpClient::new(backend.server.into(), EXECUTIONS_REQUEST_TIMEOUT);
            let executions: Vec<Execution> =
                client.send_json(Method::GET, "/standin/executions", &()).await?;
            for execution in executions {
                *runs.entry(execution.request).or_default() += execution.runs;
            }
        }
        Ok(runs)
    }

    /// Mean traffic per balancer or agent for configuration and probes, in bytes per second.
    pub(super) fn control_bytes_per_second(&self) -> f64 {
        let stores: u64 = self.node_stores.iter().map(StoreClient::bytes).sum();
        let balancers = self.balancers.iter().map(|balancer| &balancer.counters);
        let agents = self.backends.iter().map(|backend| &backend.counters);
        let echoes = balancers.chain(agents);
        let echoes: u64 = echoes.map(|counters| metrics::value(counters, "control_bytes")).sum();
        let seconds = self.started.elapsed().as_secs_f64();
        (stores + echoes) as f64 / self.node_stores.len() as f64 / seconds
    }
}

async fn open_listeners(
    settings: &DemoSettings,
) -> Result<(Vec<Listener>, BTreeMap<&'static str, SocketAddrV4>)> {
    let mut listeners = Vec::new();
    let mut listen_addresses = BTreeMap::new();
    for (index, service) in SERVICES.iter().enumerate() {
        let wanted = settings.listen.filter(|_| index == 0).unwrap_or(ANY_PORT);
        let socket = bind_tcp("--listen", wanted).await?;
        listen_addresses.insert(service.name, local_address(socket.local_addr())?);
        listeners.push(Listener { service: service.address, socket: ListenerSocket::Tcp(socket) });
    }
    Ok((listeners, listen_addresses))
}
