//! The simulated network fabric: turns callers' connections into packets for the balancers.
//!
//! Each accepted TCP connection becomes a separate TCP flow, so that any TCP client can be used
//! unchanged. Each packet goes to a randomly chosen balancer. Balancers come from the settings and
//! the machine list; one that stops answering probes gets no packets.

use crate::udp_listener::{self, CallerDatagram, CallerReply};
use bytes::Bytes;
use etherparse::PacketBuilder;
use loftdrift_flow::{
    Endpoint, EndpointSettings, FlowChart, FlowId, FlowState, FlowTable, SplicedFlow, Timestamps,
    flow_chart, tcp_checksum_is_valid,
};
use loftdrift_liveness::{ProbeSettings, Prober};
use loftdrift_splice::{CommandSender, FlowSocketEvent, SocketSource};
use loftdrift_store::{MachineListClient, MachineRole, MachineState};
use loftdrift_wire::{
    Echo, EchoKind, FlowKey, GenevePacket, Transport, encode_packet, parse_inner,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

const EVENT_QUEUE_CAPACITY: usize = 4_096;
const MAX_DATAGRAM_BYTES: usize = 2_048;
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;
const DATAGRAMS_PER_BATCH: usize = 64;
const FLOW_BUFFER_BYTES: usize = 64 * 1024;
const HOP_LIMIT: u8 = 64;
const UDP_HEADER_BYTES: usize = 8;
const PROBE_TICK_INTERVAL: Duration = Duration::from_millis(20);
const MACHINE_LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_SETTINGS: ProbeSettings = ProbeSettings {
    interval: Duration::from_millis(100),
    timeout: Duration::from_millis(100),
    miss_threshold: 3,
    max_per_second: 10_000,
};

/// A socket on which callers reach a service.
#[derive(Debug)]
pub struct Listener {
    /// The service's address, which packets carry as destination.
    pub service: SocketAddrV4,
    /// The socket.
    pub socket: ListenerSocket,
}

/// A listener's socket.
#[derive(Debug)]
pub enum ListenerSocket {
    /// TCP.
    Tcp(TcpListener),
    /// UDP.
    Udp(UdpSocket),
}

/// Settings of the fabric.
#[derive(Debug)]
pub struct FabricSettings {
    /// Balancers that are used in addition to those on the machine list.
    pub balancers: Vec<SocketAddrV4>,
    /// Address of the platform that serves the machine list; `None` to not read it.
    pub platform: Option<SocketAddr>,
    /// Whether flows offer the TCP timestamps option.
    pub timestamps: bool,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Packet counters of the fabric.
#[derive(Clone, Copy, Debug, Default)]
struct FabricCounters {
    sent: u64,
    received: u64,
    unmatched: u64,
}

/// Serves the fabric until dropped. `socket` exchanges GENEVE packets with balancers and agents.
pub async fn serve(
    socket: UdpSocket,
    listeners: Vec<Listener>,
    settings: FabricSettings,
) -> anyhow::Result<()> {
    // A smaller buffer only drops more datagrams during bursts.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let mut background = JoinSet::new();
    let (accepted_sender, accepted) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (datagram_sender, datagrams) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (event_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (balancer_sender, balancer_lists) = mpsc::channel(1);
    let mut replies = HashMap::new();
    for listener in listeners {
        let service = listener.service;
        match listener.socket {
            ListenerSocket::Tcp(port) => {
                background.spawn(accept_connections(port, service, accepted_sender.clone()));
            }
            ListenerSocket::Udp(port) => {
                let (sender, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
                replies.insert(service, sender);
                background.spawn(udp_listener::run(
                    port,
                    service,
                    datagram_sender.clone(),
                    receiver,
                ));
            }
        }
    }
    if let Some(platform) = settings.platform {
        let configured = settings.balancers.clone();
        background.spawn(poll_machine_list(platform, configured, balancer_sender));
    }
    let mut fabric = Fabric::new(socket, &settings, replies, event_sender)?;
    fabric.prober.set_peers(Duration::ZERO, settings.balancers.iter().copied());
    fabric.run(Inputs { accepted, datagrams, events, balancer_lists }).await;
    Ok(())
}

struct AcceptedStream {
    stream: TcpStream,
    caller: SocketAddrV4,
    service: SocketAddrV4,
}

async fn accept_connections(
    listener: TcpListener,
    service: SocketAddrV4,
    accepted: mpsc::Sender<AcceptedStream>,
) {
    loop {
        // The connection was aborted before it was accepted.
        let Ok((stream, SocketAddr::V4(caller))) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if accepted.send(AcceptedStream { stream, caller, service }).await.is_err() {
            return;
        }
    }
}

async fn poll_machine_list(
    platform: SocketAddr,
    configured: Vec<SocketAddrV4>,
    balancer_lists: mpsc::Sender<Vec<SocketAddrV4>>,
) {
    let client = MachineListClient::new(platform);
    loop {
        // While the list cannot be read, the latest one remains in use.
        if let Ok(list) = client.read().await {
            let listed = list.machines.iter().filter(|machine| {
                machine.role == MachineRole::Balancer && machine.state == MachineState::Live
            });
            let balancers = configured.iter().copied().chain(listed.map(|machine| machine.address));
            if balancer_lists.send(balancers.collect()).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(MACHINE_LIST_POLL_INTERVAL).await;
    }
}

struct Inputs {
    accepted: mpsc::Receiver<AcceptedStream>,
    datagrams: mpsc::Receiver<CallerDatagram>,
    events: mpsc::Receiver<FlowSocketEvent>,
    balancer_lists: mpsc::Receiver<Vec<SocketAddrV4>>,
}

struct FabricFlow {
    splice: SplicedFlow,
    commands: CommandSender,
}

struct Fabric {
    socket: UdpSocket,
    started: Instant,
    chart: Arc<FlowChart>,
    prober: Prober,
    live_balancers: Vec<SocketAddrV4>,
    flows: FlowTable<FabricFlow>,
    replies: HashMap<SocketAddrV4, mpsc::Sender<CallerReply>>,
    events: mpsc::Sender<FlowSocketEvent>,
    outgoing: Vec<(SocketAddrV4, Vec<u8>)>,
    rng: ChaCha8Rng,
    timestamps: bool,
    counters: FabricCounters,
}

impl Fabric {
    fn new(
        socket: UdpSocket,
        settings: &FabricSettings,
        replies: HashMap<SocketAddrV4, mpsc::Sender<CallerReply>>,
        events: mpsc::Sender<FlowSocketEvent>,
    ) -> anyhow::Result<Self> {
        Ok(Fabric {
            socket,
            started: Instant::now(),
            chart: Arc::new(flow_chart()?),
            prober: Prober::new(PROBE_SETTINGS),
            live_balancers: settings.balancers.clone(),
            flows: FlowTable::default(),
            replies,
            events,
            outgoing: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            timestamps: settings.timestamps,
            counters: FabricCounters::default(),
        })
    }

    async fn run(&mut self, mut inputs: Inputs) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut probe_tick = tokio::time::interval(PROBE_TICK_INTERVAL);
        loop {
            let deadline = self.flows.next_wake_up().map(|deadline| self.started + deadline);
            tokio::select! {
                readable = self.socket.readable() => {
                    if readable.is_ok() {
                        self.receive(&mut buffer);
                    }
                }
                Some(accepted) = inputs.accepted.recv() => self.open_flow(accepted),
                Some(datagram) = inputs.datagrams.recv() => self.send_datagram(&datagram),
                Some(event) = inputs.events.recv() => self.handle_socket_event(event),
                Some(balancers) = inputs.balancer_lists.recv() => {
                    let now = self.now();
                    self.prober.set_peers(now, balancers.into_iter());
                }
                _ = probe_tick.tick() => self.send_probes(),
                () = sleep_until(deadline) => self.handle_timeouts(),
            }
            self.send_outgoing().await;
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn receive(&mut self, buffer: &mut [u8]) {
        for _ in 0..DATAGRAMS_PER_BATCH {
            let Ok((length, from)) = self.socket.try_recv_from(buffer) else {
                return;
            };
            if let SocketAddr::V4(from) = from {
                self.handle_datagram(from, &buffer[..length]);
            }
        }
    }

    fn handle_datagram(&mut self, from: SocketAddrV4, datagram: &[u8]) {
        let now = self.now();
        let Ok(packet) = GenevePacket::parse(datagram) else {
            self.counters.unmatched += 1;
            return;
        };
        if packet.control {
            if let Some(Echo { kind: EchoKind::Reply, .. }) = Echo::decode(&packet) {
                self.prober.on_reply(now, from);
            }
            return;
        }
        let Ok(inner) = parse_inner(packet.inner) else {
            self.counters.unmatched += 1;
            return;
        };
        let key = inner.flow.reversed();
        if key.transport == Transport::Udp {
            self.relay_reply(&key, packet.inner, inner.transport_offset);
            return;
        }
        let Some(flow) = self.flows.find(&key).filter(|_| tcp_checksum_is_valid(packet.inner))
        else {
            self.counters.unmatched += 1;
            return;
        };
        self.counters.received += 1;
        if let Some(entry) = self.flows.get_mut(flow) {
            entry.body.splice.on_packet(now, packet.inner);
        }
        self.advance_flow(now, flow);
    }

    fn relay_reply(&mut self, key: &FlowKey, packet: &[u8], transport_offset: usize) {
        let payload = packet.get(transport_offset + UDP_HEADER_BYTES..).unwrap_or_default();
        let payload = Bytes::copy_from_slice(payload);
        if let Some(replies) = self.replies.get(&key.service) {
            self.counters.received += 1;
            // When the queue is full, the reply is dropped, as by a full socket buffer.
            let _ = replies.try_send(CallerReply { caller: key.caller, payload });
        }
    }

    fn open_flow(&mut self, accepted: AcceptedStream) {
        let now = self.now();
        let AcceptedStream { stream, caller, service } = accepted;
        let key = FlowKey { caller, service, transport: Transport::Tcp };
        if let Some(previous) = self.flows.find(&key) {
            // The caller reused its port while the previous flow was still in TIME_WAIT.
            self.flows.remove(previous);
        }
        let timestamps = if self.timestamps { Timestamps::Clock } else { Timestamps::Off };
        let settings = EndpointSettings {
            buffer_bytes: FLOW_BUFFER_BYTES,
            timestamps,
            sequence_seed: self.rng.random(),
        };
        let endpoint = Endpoint::connect(now, &key, &settings);
        let splice = SplicedFlow::new(endpoint, Arc::clone(&self.chart), None);
        let events = self.events.clone();
        let flow = self.flows.insert_with(key, |flow| {
            let source = SocketSource::Accepted(stream);
            FabricFlow { splice, commands: loftdrift_splice::spawn(flow, source, events) }
        });
        if let Some(entry) = self.flows.get_mut(flow) {
            entry.body.splice.poll(now);
        }
        self.advance_flow(now, flow);
    }

    fn send_datagram(&mut self, datagram: &CallerDatagram) {
        let CallerDatagram { caller, service, payload } = datagram;
        let builder = PacketBuilder::ipv4(caller.ip().octets(), service.ip().octets(), HOP_LIMIT)
            .udp(caller.port(), service.port());
        let mut packet = Vec::with_capacity(builder.size(payload.len()));
        if builder.write(&mut packet, payload).is_ok() {
            self.send_to_random_balancer(&packet);
        }
    }

    fn handle_socket_event(&mut self, event: FlowSocketEvent) {
        let now = self.now();
        if let Some(entry) = self.flows.get_mut(event.flow) {
            entry.body.splice.on_socket_event(now, event.event);
        }
        self.advance_flow(now, event.flow);
    }

    fn handle_timeouts(&mut self) {
        let now = self.now();
        while let Some(flow) = self.flows.pop_due(now) {
            if let Some(entry) = self.flows.get_mut(flow) {
                entry.body.splice.poll(now);
            }
            self.advance_flow(now, flow);
        }
    }

    /// Sends a flow's packets and socket commands, then reschedules its timer or removes it.
    fn advance_flow(&mut self, now: Duration, flow: FlowId) {
        let Some(entry) = self.flows.get_mut(flow) else {
            return;
        };
        let body = &mut entry.body;
        let mut packets = Vec::new();
        while let Some(packet) = body.splice.take_packet() {
            packets.push(packet);
        }
        while let Some(command) = body.splice.take_command() {
            // Sending fails only when the task has ended, which it reports.
            let _ = body.commands.send(command);
        }
        let deadline = body.splice.next_timeout(now);
        if body.splice.state() == FlowState::Gone {
            self.flows.remove(flow);
        } else {
            self.flows.wake_by(flow, deadline);
        }
        packets.iter().for_each(|packet| self.send_to_random_balancer(packet));
    }

    fn send_to_random_balancer(&mut self, packet: &[u8]) {
        let Some(balancer) = self.live_balancers.choose(&mut self.rng).copied() else {
            return;
        };
        self.counters.sent += 1;
        self.outgoing.push((balancer, encode_packet(0, None, packet)));
    }

    fn send_probes(&mut self) {
        let now = self.now();
        for probe in self.prober.tick(now) {
            self.outgoing.push((probe.to, probe.echo.encode()));
        }
        if self.prober.take_changed() {
            self.live_balancers = self.prober.alive_peers().collect();
            log::info!(balancers = self.live_balancers.len(); "balancers in use have changed");
        }
    }

    async fn send_outgoing(&mut self) {
        for (to, datagram) in std::mem::take(&mut self.outgoing) {
            // A send error loses the datagram, as any network may.
            let _ = self.socket.send_to(&datagram, to).await;
        }
    }
}

/// Sleeps until the deadline, or forever when there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
