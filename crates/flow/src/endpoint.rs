//! A TCP endpoint for exactly one flow, on top of `smoltcp`.

use bytes::Bytes;
use loftdrift_wire::{FlowCookie, FlowKey};
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Checksum, Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp::{self, State};
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, Ipv4Packet, TcpPacket};
use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

/// Largest IPv4 packet that an endpoint sends.
const MTU_BYTES: usize = 1_500;
/// The connection is aborted after this time without a packet from the peer.
const PEER_TIMEOUT: smoltcp::time::Duration = smoltcp::time::Duration::from_secs(120);
/// Interval of TCP keep-alive probes on an idle connection. Two of them may be lost before
/// [`PEER_TIMEOUT`].
const KEEP_ALIVE_INTERVAL: smoltcp::time::Duration = smoltcp::time::Duration::from_secs(35);
const PREFIX_BITS: u8 = 32;

thread_local! {
    /// The TSval of the segments of the current poll. `smoltcp` takes a plain function as its
    /// generator, so the value is set before each poll. No other flow can run during a poll.
    static TIMESTAMP_VALUE: Cell<u32> = const { Cell::new(0) };
}

/// Which TCP timestamps (RFC 7323) an endpoint sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timestamps {
    /// The flow's cookie in every segment, if the peer offers timestamps.
    Cookie(FlowCookie),
    /// The clock in milliseconds.
    Clock,
    /// None.
    Off,
}

/// Settings of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSettings {
    /// Size of each of the two buffers, in bytes.
    pub buffer_bytes: usize,
    /// Which TCP timestamps it sends.
    pub timestamps: Timestamps,
    /// Seed of the initial sequence number; must differ between flows.
    pub sequence_seed: u64,
}

/// The `smoltcp` device of one poll: takes in at most one packet, sends any number of packets.
struct PollDevice<'p> {
    received: Option<&'p [u8]>,
    to_send: &'p mut VecDeque<Vec<u8>>,
}

struct ReceiveToken<'p>(&'p [u8]);
struct TransmitToken<'a>(&'a mut VecDeque<Vec<u8>>);

impl RxToken for ReceiveToken<'_> {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(self.0)
    }
}

impl TxToken for TransmitToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, write: F) -> R {
        let mut packet = vec![0; length];
        let result = write(&mut packet);
        self.0.push_back(packet);
        result
    }
}

impl<'p> Device for PollDevice<'p> {
    type RxToken<'a>
        = ReceiveToken<'p>
    where
        Self: 'a;
    type TxToken<'a>
        = TransmitToken<'a>
    where
        Self: 'a;

    fn receive(&mut self, _: Instant) -> Option<(ReceiveToken<'p>, TransmitToken<'_>)> {
        let packet = self.received.take()?;
        Some((ReceiveToken(packet), TransmitToken(self.to_send)))
    }

    fn transmit(&mut self, _: Instant) -> Option<TransmitToken<'_>> {
        Some(TransmitToken(self.to_send))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        // The caller of `receive` has verified and counted the checksums of received packets.
        capabilities.checksum.ipv4 = Checksum::Tx;
        capabilities.checksum.tcp = Checksum::Tx;
        capabilities
    }
}

/// Whether the TCP checksum of a complete IPv4 packet is valid.
pub fn tcp_checksum_is_valid(packet: &[u8]) -> bool {
    let Ok(outer) = Ipv4Packet::new_checked(packet) else {
        return false;
    };
    let Ok(segment) = TcpPacket::new_checked(outer.payload()) else {
        return false;
    };
    segment.verify_checksum(&outer.src_addr().into(), &outer.dst_addr().into())
}

/// One side of a TCP connection: takes and produces IPv4 packets, and reads and writes bytes.
pub struct Endpoint {
    interface: Interface,
    sockets: SocketSet<'static>,
    socket: SocketHandle,
    to_send: VecDeque<Vec<u8>>,
    timestamps: Timestamps,
    initial_sequence: Option<u32>,
}

impl std::fmt::Debug for Endpoint {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Endpoint").field("state", &self.socket().state()).finish()
    }
}

fn instant(now: Duration) -> Instant {
    Instant::from_micros(now.as_micros() as i64)
}

impl Endpoint {
    /// Creates an endpoint at the service's address that waits for the SYN of `flow`.
    pub fn listen(now: Duration, flow: &FlowKey, settings: &EndpointSettings) -> Self {
        let mut endpoint = Self::new(now, *flow.service.ip(), settings);
        // Cannot fail: the socket is new and the port is not zero.
        let _ = endpoint.socket_mut().listen((*flow.service.ip(), flow.service.port()));
        endpoint
    }

    /// Creates an endpoint at the caller's address that opens `flow`.
    pub fn connect(now: Duration, flow: &FlowKey, settings: &EndpointSettings) -> Self {
        let mut endpoint = Self::new(now, *flow.caller.ip(), settings);
        let Endpoint { interface, sockets, socket, .. } = &mut endpoint;
        let remote = (*flow.service.ip(), flow.service.port());
        let local = (*flow.caller.ip(), flow.caller.port());
        // Cannot fail: the socket is new and the addresses are not zero.
        let _ =
            sockets.get_mut::<tcp::Socket<'_>>(*socket).connect(interface.context(), remote, local);
        endpoint
    }

    fn new(now: Duration, address: std::net::Ipv4Addr, settings: &EndpointSettings) -> Self {
        let mut to_send = VecDeque::new();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = settings.sequence_seed;
        let mut device = PollDevice { received: None, to_send: &mut to_send };
        let mut interface = Interface::new(config, &mut device, instant(now));
        interface.update_ip_addrs(|addresses| {
            // Cannot fail: the list is empty, so it has room for one.
            let _ = addresses.push(IpCidr::new(IpAddress::Ipv4(address), PREFIX_BITS));
        });
        // Cannot fail: the route table is empty, so it has room for one.
        let _ = interface.routes_mut().add_default_ipv4_route(address);
        let buffer = || tcp::SocketBuffer::new(vec![0; settings.buffer_bytes]);
        let mut socket = tcp::Socket::new(buffer(), buffer());
        socket.set_nagle_enabled(false);
        socket.set_ack_delay(None);
        socket.set_timeout(Some(PEER_TIMEOUT));
        socket.set_keep_alive(Some(KEEP_ALIVE_INTERVAL));
        if settings.timestamps != Timestamps::Off {
            socket.set_tsval_generator(Some(|| TIMESTAMP_VALUE.with(Cell::get)));
        }
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let socket = sockets.add(socket);
        let timestamps = settings.timestamps;
        Endpoint { interface, sockets, socket, to_send, timestamps, initial_sequence: None }
    }

    fn socket(&self) -> &tcp::Socket<'static> {
        self.sockets.get(self.socket)
    }

    fn socket_mut(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.socket)
    }

    /// Handles an IPv4 packet whose checksums are valid, and runs the timers that are due.
    pub fn receive(&mut self, now: Duration, packet: &[u8]) {
        self.poll_with(now, Some(packet));
    }

    /// Runs the timers that are due. Collect the packets to send with [`Endpoint::take_packet`].
    pub fn poll(&mut self, now: Duration) {
        self.poll_with(now, None);
    }

    fn poll_with(&mut self, now: Duration, received: Option<&[u8]>) {
        let value = match self.timestamps {
            Timestamps::Cookie(cookie) => cookie.0,
            Timestamps::Clock => (now.as_millis() as u32).max(1),
            Timestamps::Off => 0,
        };
        TIMESTAMP_VALUE.with(|cell| cell.set(value));
        let mut device = PollDevice { received, to_send: &mut self.to_send };
        self.interface.poll(instant(now), &mut device, &mut self.sockets);
        if self.initial_sequence.is_none() {
            self.initial_sequence = self.to_send.front().and_then(|packet| {
                let outer = Ipv4Packet::new_checked(packet.as_slice()).ok()?;
                let segment = TcpPacket::new_checked(outer.payload()).ok()?;
                segment.syn().then(|| segment.seq_number().0 as u32)
            });
        }
    }

    /// Takes the next packet to send.
    pub fn take_packet(&mut self) -> Option<Vec<u8>> {
        self.to_send.pop_front()
    }

    /// When [`Endpoint::poll`] must be called next if no packet arrives before.
    pub fn next_timeout(&mut self, now: Duration) -> Option<Duration> {
        let at = self.interface.poll_at(instant(now), &self.sockets)?;
        let micros = u64::try_from(at.total_micros()).unwrap_or(0);
        Some(Duration::from_micros(micros).max(now))
    }

    /// Whether `acknowledgement` acknowledges this endpoint's own SYN, and not that of another
    /// endpoint that was offered the same flow.
    pub fn acknowledges_handshake(&self, acknowledgement: u32) -> bool {
        self.initial_sequence.is_some_and(|own| own.wrapping_add(1) == acknowledgement)
    }

    /// Whether the connection can carry bytes to the peer, now or once the send buffer has room.
    pub fn is_established(&self) -> bool {
        self.socket().may_send()
    }

    /// Whether the peer has sent FIN and all of its bytes have been read.
    pub fn peer_finished(&self) -> bool {
        let socket = self.socket();
        let after_fin = matches!(
            socket.state(),
            State::CloseWait | State::LastAck | State::Closing | State::TimeWait
        );
        after_fin && socket.recv_queue() == 0
    }

    /// Whether the connection has ended: closed by both sides, reset or timed out.
    pub fn is_closed(&self) -> bool {
        matches!(self.socket().state(), State::Closed)
    }

    /// Whether both sides have closed and the endpoint only waits for delayed segments (TIME-WAIT).
    pub fn is_in_time_wait(&self) -> bool {
        matches!(self.socket().state(), State::TimeWait)
    }

    /// Takes up to `max_bytes` received bytes; `None` if there are none.
    pub fn read(&mut self, max_bytes: usize) -> Option<Bytes> {
        let socket = self.socket_mut();
        if !socket.can_recv() || max_bytes == 0 {
            return None;
        }
        let read = socket.recv(|bytes| {
            let length = bytes.len().min(max_bytes);
            (length, Bytes::copy_from_slice(&bytes[..length]))
        });
        read.ok().filter(|bytes| !bytes.is_empty())
    }

    /// Queues bytes to send and returns how many fitted into the send buffer.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        self.socket_mut().send_slice(bytes).unwrap_or(0)
    }

    /// Sends FIN after the queued bytes.
    pub fn finish(&mut self) {
        self.socket_mut().close();
    }

    /// Aborts the connection with a reset.
    pub fn reset(&mut self) {
        self.socket_mut().abort();
    }
}
