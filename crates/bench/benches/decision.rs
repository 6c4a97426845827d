//! Benchmarks the balancer's decision per packet against a plain hash table and array, and for
//! different numbers of open flows.

use loftdrift_balancer::{Action, Balancer, HEADROOM_BYTES};
use loftdrift_bench::{
    BACKENDS, SERVICES, alternating_medians, configuration, nanoseconds_per_item, segment,
    service_address,
};
use loftdrift_liveness::ProbeSettings;
use loftdrift_steering::{SteeringMap, flow_hash};
use loftdrift_wire::{BackendId, FlowCookie, ServiceId, encode_packet, parse_inner};
use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddrV4;
use std::time::Duration;

const PACKETS: usize = 20_000;
const FEW_FLOWS: u64 = 100_000;
const MANY_FLOWS: u64 = 10_000_000;

fn packets(flows: u64) -> Vec<Vec<u8>> {
    let step = flows / PACKETS as u64;
    let packet = |number: usize| {
        let service = number as u32 % SERVICES;
        let backend = BackendId((service + 1) as u16);
        let cookie = FlowCookie::new(ServiceId(service + 1), backend);
        segment(number as u64 * step, service_address(service), cookie.0, &[])
    };
    (0..PACKETS).map(packet).collect()
}

/// The lookup of a balancer without candidates, cookies and epochs: the service address in a hash
/// table, then the flow's hash in an array of agents.
struct PlainTable {
    services: HashMap<SocketAddrV4, Vec<SocketAddrV4>>,
}

impl PlainTable {
    fn new() -> Self {
        const BUCKETS: usize = 64;
        let configuration = configuration(SERVICES, BACKENDS);
        let services = configuration.services.values().map(|service| {
            let agents: Vec<SocketAddrV4> =
                service.backends.values().map(|backend| backend.agent).collect();
            let buckets = (0..BUCKETS).map(|bucket| agents[bucket % agents.len()]);
            (service.address, buckets.collect())
        });
        PlainTable { services: services.collect() }
    }

    fn decide(&self, packet: &[u8]) -> SocketAddrV4 {
        let inner = parse_inner(packet).expect("invalid packet");
        let buckets = &self.services[&inner.flow.service];
        buckets[flow_hash(&inner.flow) as usize % buckets.len()]
    }
}

fn decide(map: &SteeringMap, packet: &[u8]) -> SocketAddrV4 {
    let inner = parse_inner(packet).expect("invalid packet");
    let service = map.service(&inner.flow).expect("unknown service");
    let option = black_box(service.existing_flow_option(&inner.flow, inner.timestamp_echo));
    option.current().expect("no candidate").agent
}

fn discard(agent: SocketAddrV4) {
    black_box(agent);
}

fn compare_with_plain_table() {
    let map = SteeringMap::new(&configuration(SERVICES, BACKENDS));
    let table = PlainTable::new();
    let packets = packets(FEW_FLOWS);
    let (ours, plain) = alternating_medians(
        || packets.iter().for_each(|packet| discard(decide(&map, packet))),
        || packets.iter().for_each(|packet| discard(table.decide(packet))),
    );
    println!(
        "decision: {:.1} ns, plain table {:.1} ns, ratio {:.2}",
        nanoseconds_per_item(ours, PACKETS),
        nanoseconds_per_item(plain, PACKETS),
        ours.as_secs_f64() / plain.as_secs_f64(),
    );
}

fn compare_flow_counts() {
    let map = SteeringMap::new(&configuration(SERVICES, BACKENDS));
    let few = packets(FEW_FLOWS);
    let many = packets(MANY_FLOWS);
    let (many_time, few_time) = alternating_medians(
        || many.iter().for_each(|packet| discard(decide(&map, packet))),
        || few.iter().for_each(|packet| discard(decide(&map, packet))),
    );
    println!(
        "decision at {MANY_FLOWS} flows over {FEW_FLOWS} flows: ratio {:.2}",
        many_time.as_secs_f64() / few_time.as_secs_f64(),
    );
}

/// Times the core's complete work on a packet: decode it, decide, write the new header.
fn time_whole_core() {
    let mut balancer = Balancer::new(ProbeSettings {
        interval: Duration::from_secs(1),
        timeout: Duration::from_secs(1),
        miss_threshold: 3,
        max_per_second: 1,
    });
    balancer.adopt(Duration::ZERO, &configuration(SERVICES, BACKENDS));
    let fabric = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
    let datagrams: Vec<Vec<u8>> =
        packets(FEW_FLOWS).iter().map(|packet| encode_packet(0, None, packet)).collect();
    let mut buffer = vec![0; HEADROOM_BYTES + 2_048];
    let mut forwarded = 0_usize;
    let mut work = || {
        for datagram in &datagrams {
            let end = HEADROOM_BYTES + datagram.len();
            buffer[HEADROOM_BYTES..end].copy_from_slice(datagram);
            let action = balancer.handle(Duration::ZERO, fabric, &mut buffer, end);
            forwarded += usize::from(matches!(action, Action::Forward(_)));
        }
    };
    let (time, _) = alternating_medians(&mut work, || {});
    assert!(forwarded > 0 && forwarded.is_multiple_of(PACKETS));
    println!("whole core: {:.1} ns a packet", nanoseconds_per_item(time, PACKETS));
}

fn main() {
    compare_with_plain_table();
    compare_flow_counts();
    time_whole_core();
}
