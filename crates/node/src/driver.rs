//! The driver: the task that owns a core and its two UDP sockets.

use crate::command::{Command, NodeStatus};
use crate::core::Core;
use crate::shared_store::Consistency;
use loftdrift_carried::{InputAge, Output};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Larger than any datagram that a core accepts.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// Datagrams read from one socket before the other one is read.
const DATAGRAMS_PER_BATCH: usize = 32;
/// Batches read from the peer socket before timers are handled in any case, so that a flood delays
/// no timer for longer than 512 datagrams take.
const MAX_PEER_BATCHES: usize = 16;
/// Maximum time between two checks of the core's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// A loop that has not run for this long counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// If the loop wakes this much later than its timer was set for, the process was not running, and
/// the datagrams that it reads may have waited in the socket.
const LATE_WAKE_THRESHOLD: Duration = Duration::from_millis(10);

/// What woke the loop.
enum Wakeup {
    Local,
    Peers,
    Command(Command),
    Other,
}

/// Runs one core: reads sockets, handles commands and timers, and executes the core's outputs.
pub(crate) struct Driver<C> {
    pub(crate) core: C,
    pub(crate) started: Instant,
    /// Socket towards callers (balancer) or the back end (agent).
    pub(crate) local: UdpSocket,
    /// Socket towards other nodes.
    pub(crate) peers: UdpSocket,
    pub(crate) commands: mpsc::Receiver<Command>,
    pub(crate) status: watch::Sender<NodeStatus>,
    pub(crate) snapshot_fetches: mpsc::Sender<SocketAddrV4>,
    pub(crate) store_reads: mpsc::Sender<()>,
    pub(crate) probes: mpsc::Sender<SocketAddrV4>,
    pub(crate) audits: mpsc::Sender<Consistency>,
    pub(crate) entry_rewrites: mpsc::Sender<()>,
    /// Bounds how long datagrams read from the local socket may have waited there.
    pub(crate) local_input_age: InputAge,
}

impl<C: Core> Driver<C> {
    /// Runs until the task is aborted or all command senders are dropped.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        let mut last_run = self.now();
        loop {
            let wake_at = self.wake_at();
            let wakeup = tokio::select! {
                wakeup = self.local.readable() => wakeup.map_or(Wakeup::Other, |()| Wakeup::Local),
                wakeup = self.peers.readable() => wakeup.map_or(Wakeup::Other, |()| Wakeup::Peers),
                () = tokio::time::sleep_until(wake_at) => Wakeup::Other,
                command = self.commands.recv() => match command {
                    Some(command) => Wakeup::Command(command),
                    None => return,
                },
            };
            // Notify the core before it handles any input that waited during the stall.
            if self.now().saturating_sub(last_run) > STALL_THRESHOLD {
                self.core.resume(self.now());
            }
            if wake_at.elapsed() > LATE_WAKE_THRESHOLD {
                self.local_input_age.note_pause(last_run);
                // Read the local socket whatever woke the loop: datagrams that arrive after this
                // read have not waited.
                self.handle_wakeup(Wakeup::Local, &mut buffer);
            }
            last_run = self.now();
            self.handle_wakeup(wakeup, &mut buffer);
            if self.is_due() {
                self.drain_peers(&mut buffer);
            }
            if self.is_due() {
                self.core.handle_timeout(self.now());
            }
            self.execute_outputs();
            self.publish_status();
        }
    }

    fn handle_wakeup(&mut self, wakeup: Wakeup, buffer: &mut [u8]) {
        match wakeup {
            Wakeup::Local => {
                // Messages from nodes about a flow are handled before the flow's next packet.
                self.receive_peers(buffer);
                self.receive_local(buffer);
            }
            Wakeup::Peers => {
                self.receive_peers(buffer);
            }
            Wakeup::Command(command) => self.handle_command(command),
            Wakeup::Other => {}
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn wake_at(&self) -> Instant {
        let latest = self.now() + STATUS_INTERVAL;
        self.started + self.core.next_timeout().map_or(latest, |next| next.min(latest))
    }

    fn receive_local(&mut self, buffer: &mut [u8]) {
        let began = self.now();
        self.core.note_local_wait(self.local_input_age.max_wait(began));
        for _ in 0..DATAGRAMS_PER_BATCH {
            let Ok((length, _)) = self.local.try_recv_from(buffer) else {
                return self.local_input_age.note_batch(began, true);
            };
            self.core.handle_local(self.started.elapsed(), &buffer[..length]);
            self.execute_outputs();
        }
        self.local_input_age.note_batch(began, false);
    }

    fn is_due(&self) -> bool {
        let now = self.now();
        self.core.next_timeout().is_some_and(|next| next <= now)
    }

    /// Reads one batch from the peer socket; returns whether there may be more.
    fn receive_peers(&mut self, buffer: &mut [u8]) -> bool {
        for _ in 0..DATAGRAMS_PER_BATCH {
            let Ok((length, SocketAddr::V4(from))) = self.peers.try_recv_from(buffer) else {
                return false;
            };
            self.core.handle_peer(self.started.elapsed(), from, &buffer[..length]);
            self.execute_outputs();
        }
        true
    }

    /// Reads the peer socket before timers can declare a peer silent: an answer that waits in the
    /// socket has arrived in time, it is this process that is late.
    fn drain_peers(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_PEER_BATCHES {
            if !self.receive_peers(buffer) {
                return;
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::AdoptConfiguration(configuration) => self.core.adopt(now, configuration),
            Command::LearnMembers(update) => self.core.learn_members(now, &update),
            Command::AuditMembers(list, reply) => drop(reply.send(self.core.audit(now, &list))),
            Command::InstallSnapshot(snapshot) => self.core.install_snapshot(now, snapshot),
            Command::BackendHealthy => self.core.handle_healthy(now),
            Command::EarlierDepartures(departed) => {
                self.core.take_earlier_departures(now, departed.as_deref());
            }
            Command::ProbeFinished(outcome) => self.core.handle_probe(now, outcome),
            Command::StoreReachable(is_reachable) => self.core.note_store(now, is_reachable),
            Command::Drain => self.core.start_draining(now),
            // A requester that stopped waiting needs no reply.
            Command::GetSnapshot(reply) => drop(reply.send(self.core.snapshot())),
            Command::GetMetrics(reply) => drop(reply.send(self.core.metrics(now))),
            Command::BackendReport(report, reply) => {
                let _ = reply.send(self.core.handle_report(now, &report));
            }
            Command::UnreadableRequest => self.core.note_unreadable_request(),
            Command::BackendDeparture(departed, reply) => {
                self.core.handle_departure(now, &departed);
                let _ = reply.send(());
            }
        }
    }

    /// Executes the core's outputs. A datagram that the kernel does not accept is lost, as on any
    /// network.
    fn execute_outputs(&mut self) {
        while let Some(output) = self.core.take_output() {
            match output {
                Output::ToCaller { host, datagram } => {
                    let to = SocketAddrV4::new(host, self.core.caller_port());
                    let _ = self.local.try_send_to(&datagram, to.into());
                }
                Output::ToBackend(datagram) => {
                    if let Some(to) = self.core.backend() {
                        let _ = self.local.try_send_to(&datagram, to.into());
                    }
                }
                Output::ToPeer { to, message } => {
                    let _ = self.peers.try_send_to(&message.encode(), to.into());
                }
                // A read that is already queued serves this request too.
                Output::ReadStore => drop(self.store_reads.try_send(())),
                // An audit that is already queued serves this request too.
                Output::ReadMembers { is_urgent } => {
                    let consistency =
                        if is_urgent { Consistency::Latest } else { Consistency::MayBeStale };
                    let _ = self.audits.try_send(consistency);
                }
                // A rewrite that is already queued serves this auditor too.
                Output::WriteEntry => drop(self.entry_rewrites.try_send(())),
                // If the queue is full, the core requests the probe again.
                Output::ProbeBackend => {
                    let backend = self.core.backend();
                    backend.map(|backend| self.probes.try_send(backend));
                }
                // If the queue is full, the next heartbeat triggers the fetch again.
                Output::FetchSnapshot { from } => drop(self.snapshot_fetches.try_send(from)),
            }
        }
    }

    fn publish_status(&mut self) {
        let status = self.core.status(self.now());
        self.status.send_if_modified(|published| {
            let changed = *published != status;
            *published = status;
            changed
        });
    }
}
