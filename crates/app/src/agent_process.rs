//! The agent's driver: the task that owns the UDP socket and the agent's core, a state machine
//! without I/O. Each flow's socket to the back end is owned by a separate task.

use crate::balancer_process::sleep_until;
use crate::lifecycle::Lifecycle;
use crate::metrics::{self, PUBLISH_INTERVAL};
use anyhow::Result;
use loftdrift_agent::{Agent, AgentSettings, Output};
use loftdrift_configuration::{Configuration, ProcessEvent, ProcessState, agent_chart};
use loftdrift_counters::PublishedSet;
use loftdrift_flow::FlowId;
use loftdrift_splice::{CommandSender, FlowSocketEvent, SocketSource};
use loftdrift_wire::Transport;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

const MAX_DATAGRAM_BYTES: usize = 65_535;
/// Maximum number of datagrams read before the driver checks its other inputs again.
const DATAGRAMS_PER_BATCH: usize = 64;
const BACKEND_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Resources and settings of an agent's task.
#[derive(Debug)]
pub struct AgentTask {
    /// Socket for GENEVE packets.
    pub socket: UdpSocket,
    /// Settings of the core.
    pub settings: AgentSettings,
    /// How long to wait for flows to end after a stop request; the agent then stops regardless.
    pub drain_timeout: Duration,
    /// The current configuration; `None` until the first one was read.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// Stop requests. The first one starts draining; a second one stops the agent at once.
    pub stop: mpsc::Receiver<()>,
    /// Channel on which the counters are published.
    pub counters: watch::Sender<PublishedSet>,
}

/// Runs an agent until it is stopped.
pub async fn run(task: AgentTask) -> Result<()> {
    let name = format!("agent {}", task.settings.backend);
    let (event_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (health_check_sender, health_check_reports) = mpsc::channel(1);
    let driver = AgentDriver {
        socket: task.socket,
        core: Agent::new(task.settings)?,
        lifecycle: Lifecycle::new(name, agent_chart()?),
        started: Instant::now(),
        flow_tasks: HashMap::new(),
        event_sender,
        health_check_sender,
        health_check_task: JoinSet::new(),
    };
    driver
        .run(
            task.drain_timeout,
            Inputs { events, health_check_reports },
            task.configuration,
            task.stop,
            task.counters,
        )
        .await;
    Ok(())
}

/// Reports from the tasks that the driver spawned.
struct Inputs {
    events: mpsc::Receiver<FlowSocketEvent>,
    /// Results of the health check: whether the back end accepts connections.
    health_check_reports: mpsc::Receiver<bool>,
}

/// Checks the back end's health by holding an idle connection open. Reports `true` once it is
/// accepted and `false` when it cannot be opened or has closed.
async fn run_health_check(server: SocketAddrV4, reports: mpsc::Sender<bool>) {
    let connected = tokio::time::timeout(BACKEND_CONNECT_TIMEOUT, TcpStream::connect(server)).await;
    if let Ok(Ok(mut stream)) = connected {
        if reports.send(true).await.is_err() {
            return;
        }
        let mut ignored = [0; 64];
        // Discards unsolicited bytes; only the end of the connection matters.
        while matches!(stream.read(&mut ignored).await, Ok(1..)) {}
    }
    // Sending fails only when the agent has stopped.
    let _ = reports.send(false).await;
}

struct AgentDriver {
    socket: UdpSocket,
    core: Agent,
    lifecycle: Lifecycle,
    started: Instant,
    flow_tasks: HashMap<FlowId, CommandSender>,
    event_sender: mpsc::Sender<FlowSocketEvent>,
    health_check_sender: mpsc::Sender<bool>,
    /// Contains the single task that runs the health check.
    health_check_task: JoinSet<()>,
}

impl AgentDriver {
    async fn run(
        mut self,
        drain_timeout: Duration,
        mut inputs: Inputs,
        mut configuration: watch::Receiver<Option<Arc<Configuration>>>,
        mut stop: mpsc::Receiver<()>,
        counters: watch::Sender<PublishedSet>,
    ) {
        let mut publish_tick = tokio::time::interval(PUBLISH_INTERVAL);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut drain_deadline = None;
        self.apply_configuration(&mut configuration);
        while self.lifecycle.state() != ProcessState::Stopped {
            let timeout = self.core.next_timeout().map(|deadline| self.started + deadline);
            tokio::select! {
                readable = self.socket.readable() => {
                    if readable.is_ok() {
                        self.receive(&mut buffer);
                    }
                }
                Some(event) = inputs.events.recv() => {
                    let now = self.started.elapsed();
                    self.core.handle_socket(now, event.flow, event.event);
                }
                Some(accepts) = inputs.health_check_reports.recv() => {
                    self.core.handle_health_check(self.started.elapsed(), accepts);
                }
                () = sleep_until(timeout) => self.core.handle_timeout(self.started.elapsed()),
                Ok(()) = configuration.changed() => self.apply_configuration(&mut configuration),
                _ = publish_tick.tick() => metrics::publish(&counters, &self.core.counters),
                Some(()) = stop.recv() => {
                    self.lifecycle.step(ProcessEvent::StopRequested);
                    self.core.start_draining();
                    drain_deadline = Some(Instant::now() + drain_timeout);
                }
                () = sleep_until(drain_deadline) => {
                    log::warn!(flows = self.core.flow_count(); "stopping with flows left");
                    self.lifecycle.step(ProcessEvent::Drained);
                }
            }
            self.execute_outputs().await;
            if self.lifecycle.state() == ProcessState::Draining && self.core.flow_count() == 0 {
                self.lifecycle.step(ProcessEvent::Drained);
            }
        }
        metrics::publish(&counters, &self.core.counters);
    }

    fn apply_configuration(
        &mut self,
        configuration: &mut watch::Receiver<Option<Arc<Configuration>>>,
    ) {
        // Marks the value as seen, so that a configuration published before the first call does
        // not also trigger `changed()`.
        let newest = configuration.borrow_and_update().clone();
        let Some(newest) = newest else { return };
        let now = self.started.elapsed();
        if self.core.adopt(now, &newest) && self.core.is_placed() {
            let version = newest.version;
            log::info!(revision = version.revision; "configuration {version} in force");
            self.lifecycle.step(ProcessEvent::Configured);
        }
    }

    fn receive(&mut self, buffer: &mut [u8]) {
        for _ in 0..DATAGRAMS_PER_BATCH {
            let Ok((length, SocketAddr::V4(from))) = self.socket.try_recv_from(buffer) else {
                return;
            };
            self.core.handle_datagram(self.started.elapsed(), from, &buffer[..length]);
        }
    }

    async fn execute_outputs(&mut self) {
        while let Some(output) = self.core.take_output() {
            match output {
                Output::Transmit { to, datagram } => {
                    if self.socket.send_to(&datagram, to).await.is_err() {
                        self.core.counters.send_failures += 1;
                    }
                }
                Output::StartSocket { flow, server, transport } => {
                    let source = match transport {
                        Transport::Tcp => SocketSource::ConnectTcp(server),
                        Transport::Udp => SocketSource::ConnectUdp(server),
                    };
                    let events = self.event_sender.clone();
                    self.flow_tasks.insert(flow, loftdrift_splice::spawn(flow, source, events));
                }
                Output::Socket { flow, command } => {
                    if let Some(task) = self.flow_tasks.get(&flow) {
                        // Sending fails only when the task has ended, which it has reported.
                        let _ = task.send(command);
                    }
                }
                Output::OpenHealthCheck { server } => {
                    self.health_check_task.abort_all();
                    self.health_check_task
                        .spawn(run_health_check(server, self.health_check_sender.clone()));
                }
                Output::Ended { flow } => {
                    self.flow_tasks.remove(&flow);
                }
            }
        }
    }
}
