//! The balancer's driver: the task that owns the UDP socket and the balancer's core, a state
//! machine without I/O.

use crate::lifecycle::Lifecycle;
use crate::metrics::{self, PUBLISH_INTERVAL};
use anyhow::Result;
use loftdrift_balancer::{Action, Balancer, HEADROOM_BYTES};
use loftdrift_configuration::{Configuration, ProcessEvent, ProcessState, balancer_chart};
use loftdrift_counters::PublishedSet;
use loftdrift_liveness::ProbeSettings;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const MAX_DATAGRAM_BYTES: usize = 65_535;
/// Maximum number of datagrams read before the driver checks its other inputs again.
const DATAGRAMS_PER_BATCH: usize = 64;
const PROBE_TICK_INTERVAL: Duration = Duration::from_millis(100);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Consecutive probes without a reply after which an agent is suspected to have failed.
const MAX_MISSED_PROBES: u32 = 3;

/// Resources and settings of a balancer's task.
#[derive(Debug)]
pub struct BalancerTask {
    /// Socket for GENEVE packets.
    pub socket: UdpSocket,
    /// How long the balancer keeps forwarding after a stop request.
    pub drain_duration: Duration,
    /// Maximum number of probes per second, over all agents.
    pub probes_per_second: u32,
    /// The current configuration; `None` until the first one was read.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// Stop requests. The first one starts draining; a second one stops the balancer at once.
    pub stop: mpsc::Receiver<()>,
    /// Channel on which the counters are published.
    pub counters: watch::Sender<PublishedSet>,
}

/// Runs a balancer until it is stopped.
pub async fn run(task: BalancerTask) -> Result<()> {
    let address = task.socket.local_addr()?;
    let lifecycle = Lifecycle::new(format!("balancer {address}"), balancer_chart()?);
    let probe_settings = ProbeSettings {
        interval: PROBE_INTERVAL,
        timeout: PROBE_TIMEOUT,
        miss_threshold: MAX_MISSED_PROBES,
        max_per_second: task.probes_per_second,
    };
    let driver = BalancerDriver {
        socket: task.socket,
        core: Balancer::new(probe_settings),
        lifecycle,
        started: Instant::now(),
        buffer: vec![0; HEADROOM_BYTES + MAX_DATAGRAM_BYTES],
    };
    driver.run(task.drain_duration, task.configuration, task.stop, task.counters).await;
    Ok(())
}

struct BalancerDriver {
    socket: UdpSocket,
    core: Balancer,
    lifecycle: Lifecycle,
    started: Instant,
    /// Each datagram is received behind `HEADROOM_BYTES` of free space, so that the core can
    /// prepend headers in place.
    buffer: Vec<u8>,
}

impl BalancerDriver {
    async fn run(
        mut self,
        drain_duration: Duration,
        mut configuration: watch::Receiver<Option<Arc<Configuration>>>,
        mut stop: mpsc::Receiver<()>,
        counters: watch::Sender<PublishedSet>,
    ) {
        let mut probe_tick = tokio::time::interval(PROBE_TICK_INTERVAL);
        let mut publish_tick = tokio::time::interval(PUBLISH_INTERVAL);
        let mut drain_ends_at = None;
        self.apply_configuration(&mut configuration);
        while self.lifecycle.state() != ProcessState::Stopped {
            tokio::select! {
                readable = self.socket.readable() => {
                    if readable.is_ok() {
                        self.receive().await;
                    }
                }
                Ok(()) = configuration.changed() => self.apply_configuration(&mut configuration),
                _ = probe_tick.tick() => self.probe().await,
                _ = publish_tick.tick() => metrics::publish(&counters, &self.core.counters),
                Some(()) = stop.recv() => {
                    self.lifecycle.step(ProcessEvent::StopRequested);
                    self.core.start_draining();
                    drain_ends_at = Some(Instant::now() + drain_duration);
                }
                () = sleep_until(drain_ends_at) => {
                    self.lifecycle.step(ProcessEvent::Drained);
                }
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
        if self.core.adopt(self.started.elapsed(), &newest) {
            let version = newest.version;
            log::info!(revision = version.revision; "configuration {version} in force");
            self.lifecycle.step(ProcessEvent::Configured);
        }
    }

    async fn receive(&mut self) {
        for _ in 0..DATAGRAMS_PER_BATCH {
            let space = &mut self.buffer[HEADROOM_BYTES..];
            let Ok((length, SocketAddr::V4(from))) = self.socket.try_recv_from(space) else {
                return;
            };
            let end = HEADROOM_BYTES + length;
            let now = self.started.elapsed();
            match self.core.handle(now, from, &mut self.buffer, end) {
                Action::Forward(forward) => {
                    let datagram = &self.buffer[forward.start..forward.end];
                    if send(&self.socket, forward.to, datagram).await.is_err() {
                        self.core.counters.send_failures += 1;
                    }
                }
                Action::Reply(echo) => {
                    if send(&self.socket, from, &echo.encode()).await.is_err() {
                        self.core.counters.send_failures += 1;
                    }
                }
                Action::Done => {}
            }
        }
    }

    async fn probe(&mut self) {
        for probe in self.core.tick(self.started.elapsed(), unix_now()) {
            if send(&self.socket, probe.to, &probe.echo.encode()).await.is_err() {
                self.core.counters.send_failures += 1;
            }
        }
    }
}

/// Time since the Unix epoch, or zero when the host's clock is set before the epoch.
fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Tries a non-blocking send first, because the socket's buffer almost always has room.
async fn send(socket: &UdpSocket, to: SocketAddrV4, datagram: &[u8]) -> std::io::Result<usize> {
    match socket.try_send_to(datagram, to.into()) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
            socket.send_to(datagram, to).await
        }
        result => result,
    }
}

/// Sleeps until the deadline, or forever when there is none.
pub(crate) async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
