//! Wires a node: sockets, core, and the tasks around it.

use crate::agent_core::AgentCore;
use crate::allowance::Allowance;
use crate::balancer_core::BalancerCore;
use crate::command::{Command, NodeStatus};
use crate::configuration_follower::{Follower, head_start};
use crate::core::Core;
use crate::counted_store::CountedStore;
use crate::interface::{Interface, Request, RequestKind};
use crate::member_list::ListReader;
use crate::metrics::Metrics;
use crate::registration::Registration;
use crate::settings::{AgentPlace, BalancerPlace, NodeSettings, Place};
use crate::shared_store::{Currency, Member, SharedStore};
use crate::shell::Shell;
use crate::{
    health, member_audit, probe, registration, reloading, snapshots, stopping, store_reader,
};
use anyhow::{Context, Result};
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use loftdrift_carried::{
    CarriedAgent, CarriedAgentSettings, CarriedBalancer, CarriedBalancerSettings, InputAge,
    NodeRole, ReportOutcome, SegmentFormat,
};
use loftdrift_http::{HttpResponse, text_response};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

const COMMAND_QUEUE: usize = 64;
const FETCH_QUEUE: usize = 1;
const READING_QUEUE: usize = 1;
const PROBE_QUEUE: usize = 1;
const AUDIT_QUEUE: usize = 1;
const REWRITE_QUEUE: usize = 1;
const BITS_A_MEGABIT: f64 = 1e6;
/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// A node whose command queue is not served for so long refuses the request.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
/// Asked of the kernel, which may give less.
const SOCKET_BUFFER_BYTES: usize = 1024 * 1024;

/// Runs a node until it is asked to stop.
pub async fn run<F: SegmentFormat, S: SharedStore, I: Interface>(
    file: PathBuf,
    settings: NodeSettings,
    format: F,
    interface: I,
    store: S,
) -> Result<()> {
    let reloads = reloading::requests()?;
    let _reloading = AbortOnDrop(tokio::spawn(reloading::follow(reloads, file, settings.clone())));
    let store = CountedStore::new(store);
    match settings.place.clone() {
        Place::Balancer(place) => run_balancer(settings, place, format, interface, store).await,
        Place::Agent(place) => run_agent(settings, place, format, interface, store).await,
    }
}

/// Ends a task that nobody waits for.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn run_balancer<F: SegmentFormat, S: SharedStore, I: Interface>(
    settings: NodeSettings,
    place: BalancerPlace,
    format: F,
    interface: I,
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
        caller_port: place.ingress.port(),
        last_packet: Duration::ZERO,
    };
    let mut node = Wiring::open(&settings, core, place.ingress).await?;
    let follower = Follower {
        store: store.clone(),
        status: node.status.clone(),
        commands: node.commands.clone(),
        head_start: head_start(settings.link_mbps * BITS_A_MEGABIT),
        lost_at: None,
    };
    node.tasks.spawn(follower.follow());
    node.run(settings, interface, store, None).await
}

async fn run_agent<F: SegmentFormat, S: SharedStore, I: Interface>(
    settings: NodeSettings,
    place: AgentPlace,
    format: F,
    interface: I,
    store: CountedStore<S>,
) -> Result<()> {
    let core = AgentCore {
        agent: CarriedAgent::new(
            CarriedAgentSettings {
                node: settings.node.clone(),
                service: place.service.clone(),
                longest_flow: settings.longest_flow,
                cold_overshoot: settings.cold_overshoot,
                policies: settings.policies,
                is_first_start: settings.is_first_start,
            },
            format,
        ),
        backend: place.backend,
        caller_port: place.caller_port,
    };
    let mut node = Wiring::open(&settings, core, place.outbound).await?;
    let asking = health::ask(place.backend, node.status.clone(), node.commands.clone());
    node.tasks.spawn(asking);
    node.run(settings, interface, store, Some(place.control)).await
}

/// A node whose core runs, with what its other tasks need.
struct Wiring {
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<NodeStatus>,
    /// The core asks for a reading of the store.
    readings: mpsc::Receiver<()>,
    /// The core asks for an audit of the list of nodes.
    audits: mpsc::Receiver<Currency>,
    /// The core has heard that the node's entry is missing.
    missing: mpsc::Receiver<()>,
    tasks: JoinSet<()>,
}

impl Wiring {
    async fn open(settings: &NodeSettings, core: impl Core, local: SocketAddrV4) -> Result<Self> {
        let (commands, command_queue) = mpsc::channel(COMMAND_QUEUE);
        let (status_sender, status) = watch::channel(NodeStatus::default());
        let (fetches, fetch_queue) = mpsc::channel(FETCH_QUEUE);
        let (readings, reading_queue) = mpsc::channel(READING_QUEUE);
        let (probes, probe_queue) = mpsc::channel(PROBE_QUEUE);
        let (audits, audit_queue) = mpsc::channel(AUDIT_QUEUE);
        let (rewrites, missing) = mpsc::channel(REWRITE_QUEUE);
        let listener = bind_tcp("snapshots", settings.node.address).await?;
        let shell = Shell {
            core,
            started: Instant::now(),
            local: bind_udp("packets", local).await?,
            peers: bind_udp("messages", settings.node.address).await?,
            commands: command_queue,
            status: status_sender,
            fetches,
            readings,
            probes,
            audits,
            rewrites,
            local_age: InputAge::default(),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(shell.run());
        tasks.spawn(probe::answer(probe_queue, commands.clone()));
        let allowance = Allowance::of_link(settings.link_mbps * BITS_A_MEGABIT);
        tasks.spawn(snapshots::give(listener, allowance, commands.clone()));
        tasks.spawn(snapshots::fetch_named(fetch_queue, commands.clone()));
        tasks.spawn(snapshots::fetch_from_seeds(settings.seeds.clone(), commands.clone()));
        Ok(Wiring {
            commands,
            status,
            readings: reading_queue,
            audits: audit_queue,
            missing,
            tasks,
        })
    }

    async fn run<S: SharedStore, I: Interface>(
        mut self,
        settings: NodeSettings,
        interface: I,
        store: CountedStore<S>,
        control: Option<SocketAddrV4>,
    ) -> Result<()> {
        let member = Member {
            name: settings.name.clone(),
            address: settings.node.address,
            role: settings.node.role,
        };
        let store_meter = store.meter();
        let reading = store_reader::read(store.clone(), self.readings, self.commands.clone());
        self.tasks.spawn(reading);
        let audit = member_audit::audit(store.clone(), self.audits, self.commands.clone());
        self.tasks.spawn(audit);
        let lists = ListReader {
            store: store.clone(),
            member: member.clone(),
            commands: self.commands.clone(),
            is_first_start: settings.is_first_start,
        };
        let registration =
            Registration { lists, missing: self.missing, status: self.status.clone() };
        self.tasks.spawn(registration.keep());
        for address in [settings.readiness, control].into_iter().flatten() {
            let listener = bind_tcp("requests", address).await?;
            self.tasks.spawn(serve_requests(
                listener,
                interface.clone(),
                self.commands.clone(),
                self.status.clone(),
            ));
        }
        let is_balancer = settings.node.role == NodeRole::Balancer;
        if let Some(address) = settings.metrics {
            let role = if is_balancer { "carried_balancer" } else { "carried_agent" };
            let (commands, store) = (self.commands.clone(), store_meter);
            self.tasks.spawn(Metrics { role, commands, store }.serve(address));
        }
        let status = self.status.clone();
        let outcome =
            stopping::stopped(settings.stop_grace, is_balancer, self.commands, self.status).await?;
        if status.borrow().has_ended {
            registration::leave(store, &member).await;
        }
        log::info!(outcome; "stopped");
        Ok(())
    }
}

async fn serve_requests<I: Interface>(
    listener: TcpListener,
    interface: I,
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<NodeStatus>,
) {
    loftdrift_http::serve(listener, move |request| {
        let (interface, commands) = (interface.clone(), commands.clone());
        let is_ready = status.borrow().is_ready;
        async move { Some(answer_request(request, interface, commands, is_ready).await) }
    })
    .await;
}

async fn answer_request<I: Interface>(
    request: hyper::Request<Incoming>,
    interface: I,
    commands: mpsc::Sender<Command>,
    is_ready: bool,
) -> HttpResponse {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return text_response(StatusCode::PAYLOAD_TOO_LARGE, "");
    };
    let body = body.to_bytes();
    let method = head.method.as_str();
    match interface.read(Request { method, path: head.uri.path(), body: &body }) {
        RequestKind::Readiness if is_ready => text_response(StatusCode::OK, ""),
        RequestKind::Readiness => text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
        RequestKind::Report(report) => {
            match tell(&commands, |done| Command::Report(report, done)).await {
                Some(ReportOutcome::Foreign) => text_response(StatusCode::CONFLICT, ""),
                outcome => acknowledge(outcome.map(|_| ())),
            }
        }
        RequestKind::Departure(gone) => {
            acknowledge(tell(&commands, |done| Command::Departure(gone, done)).await)
        }
        RequestKind::Malformed(reason) => {
            log::warn!(reason = reason.as_str(), path = head.uri.path(); "request_malformed");
            // Only counted: where the queue is full the answer does not wait for it.
            let _ = commands.try_send(Command::Unreadable);
            text_response(StatusCode::BAD_REQUEST, reason)
        }
        RequestKind::Unknown => text_response(StatusCode::NOT_FOUND, ""),
    }
}

/// Has the core take something; `None` when it has not done so in time.
async fn tell<T>(
    commands: &mpsc::Sender<Command>,
    command: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Option<T> {
    let (done, taken) = oneshot::channel();
    let told = async {
        commands.send(command(done)).await.ok()?;
        taken.await.ok()
    };
    tokio::time::timeout(COMMAND_TIMEOUT, told).await.ok().flatten()
}

/// Answers a back end whose word the core has taken, or has not taken in time.
fn acknowledge(taken: Option<()>) -> HttpResponse {
    if taken.is_none() {
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
        .with_context(|| format!("cannot take {what} on UDP {address}"))?;
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    Ok(socket)
}

async fn bind_tcp(what: &str, address: SocketAddrV4) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot take {what} on TCP {address}"))
}
