//! Benchmarks the balancer's forwarding over loopback against a plain UDP relay with the same
//! batching.

use loftdrift::balancer_process::{self, BalancerTask};
use loftdrift::metrics;
use loftdrift_bench::{configuration, segment, service_address};
use loftdrift_wire::{BackendId, FlowCookie, ServiceId, encode_packet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

const SERVICES: u32 = 20;
const PACKETS_PER_ROUND: usize = 100_000;
/// Packets in flight at a time: few enough that no socket buffer overflows.
const WINDOW_PACKETS: usize = 64;
const ROUNDS: usize = 9;
const DATAGRAMS_PER_BATCH: usize = 64;

async fn bind() -> UdpSocket {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("failed to bind a socket")
}

fn address(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().expect("socket has no address") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("{address} is no IPv4 address"),
    }
}

/// Forwards every datagram unchanged to one target.
async fn relay(socket: UdpSocket, target: SocketAddrV4) {
    let mut buffer = vec![0; 65_535];
    loop {
        socket.readable().await.expect("failed to wait for the socket");
        for _ in 0..DATAGRAMS_PER_BATCH {
            let Ok((length, _)) = socket.try_recv_from(&mut buffer) else {
                break;
            };
            if socket.try_send_to(&buffer[..length], target.into()).is_err() {
                let _ = socket.send_to(&buffer[..length], target).await;
            }
        }
    }
}

/// Starts a balancer all of whose agents are at `sink`.
async fn start_balancer(sink: SocketAddrV4) -> SocketAddrV4 {
    let mut configuration = configuration(SERVICES, SERVICES);
    for service in configuration.services.values_mut() {
        service.backends.values_mut().for_each(|backend| backend.agent = sink);
        let members = service.generations.iter_mut().flat_map(|one| &mut one.members);
        members.for_each(|member| member.agent = sink);
    }
    let socket = bind().await;
    let balancer = address(&socket);
    let (counters, _) = metrics::channel("balancer");
    let (published, followed) = watch::channel(Some(Arc::new(configuration)));
    let (stop_sender, stop) = mpsc::channel(1);
    let task = BalancerTask {
        socket,
        drain_duration: Duration::ZERO,
        probes_per_second: 1,
        configuration: followed,
        stop,
        counters,
    };
    tokio::spawn(async move {
        let _alive = (published, stop_sender);
        balancer_process::run(task).await.expect("balancer failed");
    });
    balancer
}

/// Returns the time to send one round of packets through `hop` to `sink`, one window at a time.
fn run_round(
    source: &std::net::UdpSocket,
    sink: &std::net::UdpSocket,
    hop: SocketAddrV4,
    packets: &[Vec<u8>],
) -> Duration {
    let mut buffer = vec![0; 65_535];
    let start = Instant::now();
    for window in 0..PACKETS_PER_ROUND / WINDOW_PACKETS {
        for number in 0..WINDOW_PACKETS {
            let packet = &packets[(window * WINDOW_PACKETS + number) % packets.len()];
            source.send_to(packet, hop).expect("failed to send");
        }
        for _ in 0..WINDOW_PACKETS {
            sink.recv(&mut buffer).expect("packet was lost");
        }
    }
    start.elapsed()
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("failed to build the runtime");
    let sink =
        std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("failed to bind a socket");
    sink.set_read_timeout(Some(Duration::from_secs(5))).expect("failed to set the timeout");
    let source =
        std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("failed to bind a socket");
    let SocketAddr::V4(sink_address) = sink.local_addr().expect("socket has no address") else {
        return;
    };
    let (balancer, relay_address) = runtime.block_on(async {
        let socket = bind().await;
        let relay_address = address(&socket);
        tokio::spawn(relay(socket, sink_address));
        (start_balancer(sink_address).await, relay_address)
    });
    for payload_bytes in [64, 1_000] {
        let packet = |flow: u64| {
            let service = flow as u32 % SERVICES;
            let cookie = FlowCookie::new(ServiceId(service + 1), BackendId((service + 1) as u16));
            let payload = vec![0; payload_bytes];
            let inner = segment(flow, service_address(service), cookie.0, &payload);
            encode_packet(0, None, &inner)
        };
        let packets: Vec<Vec<u8>> = (0..1_000).map(packet).collect();
        let mut ours = Vec::new();
        let mut plain = Vec::new();
        for _ in 0..ROUNDS {
            ours.push(run_round(&source, &sink, balancer, &packets));
            plain.push(run_round(&source, &sink, relay_address, &packets));
        }
        let rate = |times| PACKETS_PER_ROUND as f64 / loftdrift_bench::median(times).as_secs_f64();
        let (ours, plain) = (rate(ours), rate(plain));
        println!(
            "payload {payload_bytes} bytes: balancer {ours:.0} packets/s, bare relay {plain:.0} \
             packets/s, ratio {:.2}",
            ours / plain
        );
    }
}
