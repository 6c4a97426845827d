//! Starts a node: its sockets, its core and the tasks around it.

use crate::agent_core::AgentCore;
use crate::balancer_core::BalancerCore;
use crate::command::{Command, NodeStatus};
use crate::configuration_follower::{ConfigurationFollower, initial_fetch_delay};
use crate::core::Core;
use crate::counted_store::CountedStore;
use crate::departure_record::{DepartureRecord, wait_until_recorded};
use crate::driver::Driver;
use crate::member_list::MemberListReader;
use crate::metrics::Metrics;
use crate::registration::Registration;
use crate::request_decoder::{Request, RequestDecoder, RequestKind};
use crate::settings::{AgentSettings, BalancerSettings, NodeSettings, RoleSettings};
use crate::shared_store::{Consistency, Member, SharedStore};
use crate::snapshot_budget::SnapshotBudget;
use crate::{
    health, member_audit, probe, registration, settings_check, shutdown, snapshots, store_reader,
};
use anyhow::{Context, Result};
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use loftdrift_carried::{
    BackendReport, CarriedAgent, CarriedAgentSettings, CarriedBalancer, CarriedBalancerSettings,
    Incarnation, InputAge, NodeRole, ReportOutcome, SegmentFormat,
};
use loftdrift_http::{HttpResponse, text_response};
use loftdrift_tasks::WatchedTasks;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

const COMMAND_QUEUE_CAPACITY: usize = 64;
const SNAPSHOT_FETCH_QUEUE_CAPACITY: usize = 1;
const STORE_READ_QUEUE_CAPACITY: usize = 1;
const PROBE_QUEUE_CAPACITY: usize = 1;
const AUDIT_QUEUE_CAPACITY: usize = 1;
const ENTRY_REWRITE_QUEUE_CAPACITY: usize = 1;
const BITS_PER_MEGABIT: f64 = 1e6;
/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// A request that the core has not handled in this time is refused.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
/// Requested from the kernel, which may grant less.
const SOCKET_BUFFER_BYTES: usize = 1024 * 1024;

/// Runs a node until it is asked to stop, or until one of its tasks panics.
pub async fn run<F: SegmentFormat, S: SharedStore, D: RequestDecoder>(
    file: PathBuf,
    settings: NodeSettings,
    format: F,
    decoder: D,
    store: S,
) -> Result<()> {
    let hangups = settings_check::hangup_signals()?;
    let mut tasks = WatchedTasks::default();
    tasks.spawn("settings", settings_check::check_on_hangup(hangups, file, settings.clone()));
    let store = CountedStore::new(store);
    match settings.role_settings.clone() {
        RoleSettings::Balancer(role) => {
            run_balancer(settings, role, tasks, format, decoder, store).await
        }
        RoleSettings::Agent(role) => run_agent(settings, role, tasks, format, decoder, store).await,
    }
}

async fn run_balancer<F: SegmentFormat, S: SharedStore, D: RequestDecoder>(
    settings: NodeSettings,
    role: BalancerSettings,
    tasks: WatchedTasks,
    format: F,
    decoder: D,
    store: CountedStore<S>,
) -> Result<()> {
    let core = BalancerCore {
        balancer: CarriedBalancer::new(
            CarriedBalancerSettings {
                node: settings.node.clone(),
                seed: rand::random(),
                configuration_bound: settings.configuration_bound,
                policies: settings.policies,
            },
            format,
        ),
        caller_port: role.ingress.port(),
        last_packet: Duration::ZERO,
    };
    let mut node = NodeTasks::start(&settings, tasks, core, role.ingress).await?;
    let follower = ConfigurationFollower {
        store: store.clone(),
        status: node.status.clone(),
        commands: node.commands.clone(),
        initial_fetch_delay: initial_fetch_delay(settings.link_mbps * BITS_PER_MEGABIT),
        unreachable_since: None,
    };
    node.tasks.spawn("configuration", follower.run());
    node.run(settings, decoder, store, None).await
}

async fn run_agent<F: SegmentFormat, S: SharedStore, D: RequestDecoder>(
    settings: NodeSettings,
    role: AgentSettings,
    tasks: WatchedTasks,
    format: F,
    decoder: D,
    store: CountedStore<S>,
) -> Result<()> {
    let core = AgentCore {
        agent: CarriedAgent::new(
            CarriedAgentSettings {
                node: settings.node.clone(),
                service: role.service.clone(),
                max_flow_age: settings.longest_flow,
                cold_overshoot: settings.cold_overshoot,
                policies: settings.policies,
                is_first_start: settings.is_first_start,
            },
            format,
        ),
        backend: role.backend,
        caller_port: role.caller_port,
    };
    let mut node = NodeTasks::start(&settings, tasks, core, role.outbound).await?;
    let health_check =
        health::check_when_needed(role.backend, node.status.clone(), node.commands.clone());
    node.tasks.spawn("health check", health_check);
    let record = DepartureRecord {
        store: store.clone(),
        node: settings.name.clone(),
        status: node.status.clone(),
        commands: node.commands.clone(),
        recorded: node.recorded.clone(),
    };
    node.tasks.spawn("departure record", record.run());
    node.run(settings, decoder, store, Some(role.control)).await
}

/// The running tasks of a node, with the channels that further tasks need.
struct NodeTasks {
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<NodeStatus>,
    /// The core's requests to read the store.
    store_reads: mpsc::Receiver<()>,
    /// The core's requests to audit the member list.
    audits: mpsc::Receiver<Consistency>,
    /// The core's notices that an auditor found this node's entry missing.
    entry_missing: mpsc::Receiver<()>,
    /// What the agent's record of departures holds; `None` until that is known.
    recorded: watch::Sender<Option<Vec<Incarnation>>>,
    tasks: WatchedTasks,
}

impl NodeTasks {
    async fn start(
        settings: &NodeSettings,
        mut tasks: WatchedTasks,
        core: impl Core,
        local: SocketAddrV4,
    ) -> Result<Self> {
        let (commands, command_queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let (status_sender, status) = watch::channel(NodeStatus::default());
        let (snapshot_fetches, snapshot_fetch_queue) = mpsc::channel(SNAPSHOT_FETCH_QUEUE_CAPACITY);
        let (store_reads, store_read_queue) = mpsc::channel(STORE_READ_QUEUE_CAPACITY);
        let (probes, probe_queue) = mpsc::channel(PROBE_QUEUE_CAPACITY);
        let (audits, audit_queue) = mpsc::channel(AUDIT_QUEUE_CAPACITY);
        let (entry_rewrites, entry_missing) = mpsc::channel(ENTRY_REWRITE_QUEUE_CAPACITY);
        let listener = bind_tcp("snapshots", settings.node.address).await?;
        let driver = Driver {
            core,
            started: Instant::now(),
            local: bind_udp("packets", local).await?,
            peers: bind_udp("messages", settings.node.address).await?,
            commands: command_queue,
            status: status_sender,
            snapshot_fetches,
            store_reads,
            probes,
            audits,
            entry_rewrites,
            local_input_age: InputAge::default(),
        };
        tasks.spawn("core", driver.run());
        tasks.spawn("probe", probe::run(probe_queue, commands.clone()));
        let budget = SnapshotBudget::for_link(settings.link_mbps * BITS_PER_MEGABIT);
        tasks.spawn("snapshots", snapshots::serve(listener, budget, commands.clone()));
        let fetch_requested = snapshots::fetch_requested(snapshot_fetch_queue, commands.clone());
        tasks.spawn("snapshot fetch", fetch_requested);
        let fetch_from_seeds =
            snapshots::fetch_from_seeds(settings.seeds.clone(), commands.clone());
        tasks.spawn("seeds", fetch_from_seeds);
        Ok(NodeTasks {
            commands,
            status,
            store_reads: store_read_queue,
            audits: audit_queue,
            entry_missing,
            // At a first start no earlier process can have written one.
            recorded: watch::channel(settings.is_first_start.then(Vec::new)).0,
            tasks,
        })
    }

    async fn run<S: SharedStore, D: RequestDecoder>(
        mut self,
        settings: NodeSettings,
        decoder: D,
        store: CountedStore<S>,
        control: Option<SocketAddrV4>,
    ) -> Result<()> {
        let member = Member {
            name: settings.name.clone(),
            address: settings.node.address,
            role: settings.node.role,
        };
        let store_meter = store.meter();
        let store_read = store_reader::run(store.clone(), self.store_reads, self.commands.clone());
        self.tasks.spawn("store read", store_read);
        let audit = member_audit::run(store.clone(), self.audits, self.commands.clone());
        self.tasks.spawn("member audit", audit);
        let lists = MemberListReader {
            store: store.clone(),
            member: member.clone(),
            commands: self.commands.clone(),
            is_first_start: settings.is_first_start,
        };
        let (written, entry_written) = watch::channel(None);
        let registration = Registration {
            lists,
            entry_missing: self.entry_missing,
            status: self.status.clone(),
            written,
        };
        self.tasks.spawn("registration", registration.run());
        for address in [settings.readiness, control].into_iter().flatten() {
            let listener = bind_tcp("requests", address).await?;
            let server = RequestServer {
                decoder: decoder.clone(),
                commands: self.commands.clone(),
                recorded: self.recorded.subscribe(),
            };
            self.tasks.spawn("requests", server.serve(listener, self.status.clone()));
        }
        let is_balancer = settings.node.role == NodeRole::Balancer;
        if let Some(address) = settings.metrics {
            let role = if is_balancer { "carried_balancer" } else { "carried_agent" };
            let (commands, store) = (self.commands.clone(), store_meter);
            self.tasks.spawn("metrics", Metrics { role, commands, store }.serve(address));
        }
        let status = self.status.clone();
        let stop =
            shutdown::wait_for_stop(settings.stop_grace, is_balancer, self.commands, self.status);
        let outcome = tokio::select! {
            outcome = stop => outcome?,
            panicked = self.tasks.wait_for_panic() => return Err(panicked.into()),
        };
        if status.borrow().backend_ended {
            let written = *entry_written.borrow();
            registration::deregister(store, &member, written).await;
        }
        log::info!(outcome; "stopped");
        Ok(())
    }
}

/// Answers the requests of the platform and of the back end.
#[derive(Clone)]
struct RequestServer<D> {
    decoder: D,
    commands: mpsc::Sender<Command>,
    recorded: watch::Receiver<Option<Vec<Incarnation>>>,
}

impl<D: RequestDecoder> RequestServer<D> {
    async fn serve(self, listener: TcpListener, status: watch::Receiver<NodeStatus>) {
        loftdrift_http::serve(listener, move |request| {
            let server = self.clone();
            let is_ready = status.borrow().is_ready;
            async move { Some(server.answer(request, is_ready).await) }
        })
        .await;
    }

    async fn answer(&self, request: hyper::Request<Incoming>, is_ready: bool) -> HttpResponse {
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "");
        };
        let body = body.to_bytes();
        let method = head.method.as_str();
        match self.decoder.decode(Request { method, path: head.uri.path(), body: &body }) {
            RequestKind::Readiness if is_ready => text_response(StatusCode::OK, ""),
            RequestKind::Readiness => text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
            RequestKind::Report(report) => self.answer_report(report).await,
            RequestKind::Departure(departed) => self.answer_departure(departed).await,
            RequestKind::Malformed(reason) => {
                log::warn!(reason = reason.as_str(), path = head.uri.path(); "request_malformed");
                // Only counted, so the answer does not wait if the command queue is full.
                let _ = self.commands.try_send(Command::UnreadableRequest);
                text_response(StatusCode::BAD_REQUEST, reason)
            }
            RequestKind::Unknown => text_response(StatusCode::NOT_FOUND, ""),
        }
    }

    async fn answer_report(&self, report: BackendReport) -> HttpResponse {
        let leaves = (!report.is_ready).then(|| report.incarnation.id.clone());
        let outcome = call(&self.commands, |reply| Command::BackendReport(report, reply)).await;
        if outcome == Some(ReportOutcome::OtherService) {
            return text_response(StatusCode::CONFLICT, "");
        }
        if let Some(backend) = leaves.filter(|_| outcome.is_some()) {
            wait_until_recorded(&self.recorded, &backend).await;
        }
        acknowledge(outcome.map(|_| ()))
    }

    async fn answer_departure(&self, departed: Incarnation) -> HttpResponse {
        let backend = departed.id.clone();
        let reply = call(&self.commands, |reply| Command::BackendDeparture(departed, reply)).await;
        if reply.is_some() {
            wait_until_recorded(&self.recorded, &backend).await;
        }
        acknowledge(reply)
    }
}

/// Sends the core a command and waits for its reply; `None` if it does not reply in time.
async fn call<T>(
    commands: &mpsc::Sender<Command>,
    command: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Option<T> {
    let (reply_sender, reply) = oneshot::channel();
    let exchange = async {
        commands.send(command(reply_sender)).await.ok()?;
        reply.await.ok()
    };
    tokio::time::timeout(COMMAND_TIMEOUT, exchange).await.ok().flatten()
}

/// The HTTP answer to a back end: success if the core has handled the request in time.
fn acknowledge(reply: Option<()>) -> HttpResponse {
    if reply.is_none() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    let mut answer = text_response(StatusCode::OK, "{}");
    let json = hyper::header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    answer
}

async fn bind_udp(what: &str, address: SocketAddrV4) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("cannot listen for {what} on UDP {address}"))?;
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    Ok(socket)
}

async fn bind_tcp(what: &str, address: SocketAddrV4) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen for {what} on TCP {address}"))
}
