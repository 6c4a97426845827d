//! Guards against memory allocation on the forwarding path.

use etherparse::PacketBuilder;
use loftdrift_balancer::{Action, Balancer, HEADROOM_BYTES};
use loftdrift_configuration::{Configuration, apply, parse_script};
use loftdrift_liveness::ProbeSettings;
use loftdrift_wire::encode_packet;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::net::SocketAddrV4;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn packet(syn: bool) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([10, 9, 0, 1], [10, 20, 0, 1], 64).tcp(4_000, 80, 1, 8_192);
    let builder = if syn { builder.syn() } else { builder.ack(1) };
    let mut packet = Vec::new();
    builder.write(&mut packet, &[7; 500]).expect("valid packet");
    encode_packet(0, None, &packet)
}

/// Runs without the test harness, whose thread allocates now and then: the allocator counts for the
/// whole process.
fn main() {
    a_packet_is_forwarded_without_allocation();
}

fn a_packet_is_forwarded_without_allocation() {
    let script = "create service tiles at 10.20.0.1:80\n\
         attach backend tiles-1 to tiles at 127.0.0.1:9001 agent 10.2.0.1:6081 state active\n\
         attach backend tiles-2 to tiles at 127.0.0.1:9002 agent 10.2.0.2:6081 state active";
    let statements = parse_script("test", script).expect("valid script");
    let configuration =
        apply(&Configuration::default(), &statements).expect("applicable statements");
    let mut balancer = Balancer::new(ProbeSettings {
        interval: Duration::from_secs(1),
        timeout: Duration::from_millis(400),
        miss_threshold: 3,
        max_per_second: 10,
    });
    balancer.adopt(Duration::ZERO, &configuration);
    let from: SocketAddrV4 = "10.0.0.1:6081".parse().expect("valid address");
    let datagrams = [packet(true), packet(false)];
    let mut buffer = vec![0; HEADROOM_BYTES + 2_048];
    let region = Region::new(ALLOCATOR);
    for number in 0..10_000 {
        let datagram = &datagrams[number % 2];
        let end = HEADROOM_BYTES + datagram.len();
        buffer[HEADROOM_BYTES..end].copy_from_slice(datagram);
        let action = balancer.handle(Duration::ZERO, from, &mut buffer, end);
        assert!(matches!(action, Action::Forward(_)));
    }
    assert_eq!(region.change().allocations, 0);
}
