//! Benchmarks memory, message size and processing time of a carried-flow balancer for systems of
//! three sizes. `docs/CAPACITY.md` uses the costs per route, agent and flow.

use loftdrift_bench::{BACKENDS, SERVICES, caller_address, median, service_address, time};
use loftdrift_carried::{
    BackendCondition, CarriedBalancer, CarriedBalancerSettings, CarriedConfiguration,
    FlowKnowledge, Heartbeat, LoadReport, Message, Node, NodeRole, Output, PlainFormat, Policies,
    Position, Route, RouteTarget, Segment, Version,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The shortest time limit for configuration changes that users set.
const BOUND: Duration = Duration::from_secs(3);
const RUNS: usize = 5;
const FLOWS: u64 = 20_000;
const PEER_PORT: u16 = 7_720;
const FIRST_AGENT: u32 = 0x0A02_0001;

/// Bytes that are currently allocated.
fn allocated_bytes() -> isize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as isize - stats.bytes_deallocated as isize
}

fn configuration(services: u32) -> CarriedConfiguration {
    let route = |number: u32| Route {
        address: service_address(number),
        targets: vec![RouteTarget { service: format!("service-{number}"), weight: 1 }],
        latency_target_ms: 250,
        priority: 1,
        regions: Vec::new(),
    };
    let routes = (0..services).map(route).collect();
    CarriedConfiguration {
        version: Version { number: 1, ..Version::default() },
        routes,
        services: Vec::new(),
        idle_timeout_ms: 15_000,
        evacuated: BTreeSet::new(),
    }
}

fn heartbeat(service: u32) -> Message {
    Message::Heartbeat(Heartbeat {
        role: NodeRole::Agent,
        zone: "zone-a".to_owned(),
        region: "region".to_owned(),
        incarnation: u64::MAX,
        link_mbps: 1_000,
        configuration: Version {
            number: 1_000_000,
            position: Position { era: 2, revision: 1_000_000_000 },
        },
        digest: 0,
        confirmation: None,
        store_recoveries: 0,
        report: Some(LoadReport {
            service: format!("service-{service}"),
            condition: BackendCondition::Accepting,
            capacity: 7,
            waiting: 3,
            queued: 0,
            service_time_us: 55_000,
            measured_ms_ago: 0,
            is_cold: false,
            cold_allowance: None,
            backend_age_ms: None,
            flow_knowledge: FlowKnowledge::Complete,
            uptime_ms: None,
        }),
        wants_reply: false,
    })
}

fn agent_address(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(FIRST_AGENT + number), PEER_PORT)
}

fn drain(balancer: &mut CarriedBalancer) -> Option<(SocketAddrV4, u64)> {
    let mut offer = None;
    while let Some(output) = balancer.take_output() {
        if let Output::ToPeer { to, message: Message::Offer { number, .. } } = output {
            offer = Some((to, number));
        }
    }
    offer
}

/// Opens a flow: the caller's SYN, the balancer's offer, and the agent's acceptance.
fn place_flow(balancer: &mut CarriedBalancer, now: Duration, flow: u64, service: u32) {
    let head = Segment::between(caller_address(flow), service_address(service));
    let syn = PlainFormat::write(&Segment { syn: true, ..head }, &[]);
    balancer.handle_caller(now, &syn);
    let Some((agent, number)) = drain(balancer) else { return };
    let Message::Heartbeat(heartbeat) = heartbeat(service) else { return };
    let report = heartbeat.report.unwrap_or_default();
    balancer.handle_peer(now, agent, &Message::Placed { number, report }.encode());
    drain(balancer);
}

fn measure(services: u32, agents: u32) {
    let region = Region::new(ALLOCATOR);
    let before = allocated_bytes();
    let node = Node {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), PEER_PORT),
        role: NodeRole::Balancer,
        zone: "zone-a".to_owned(),
        region: "region".to_owned(),
        incarnation: 1,
        link_mbps: 1_000,
    };
    let settings = CarriedBalancerSettings {
        node,
        seed: 1,
        configuration_bound: BOUND,
        policies: Policies::default(),
    };
    let mut balancer = CarriedBalancer::new(settings, PlainFormat);
    balancer.adopt(Duration::ZERO, configuration(services));
    let with_routes = allocated_bytes();
    let now = Duration::from_millis(10);
    for agent in 0..agents {
        let message = heartbeat(agent % services).encode();
        balancer.handle_peer(now, agent_address(agent), &message);
    }
    drain(&mut balancer);
    let with_agents = allocated_bytes();
    let mut flow = 0;
    let placement_time = (0..RUNS).map(|_| {
        let mut round = || {
            for _ in 0..FLOWS / RUNS as u64 {
                flow += 1;
                place_flow(&mut balancer, now, flow, flow as u32 % services);
            }
        };
        time(&mut round)
    });
    let placement_time = median(placement_time.collect());
    let with_flows = allocated_bytes();
    let message = heartbeat(0).encode();
    let heartbeat_time = (0..RUNS).map(|_| {
        let mut round = || {
            for agent in 0..agents {
                balancer.handle_peer(now, agent_address(agent), &message);
            }
            drain(&mut balancer);
        };
        time(&mut round)
    });
    let heartbeat_time = median(heartbeat_time.collect());
    println!(
        "{services} routes, {agents} agents: {} B a route, {} B an agent, {} B a flow; opening a \
         flow {:.1} us, a heartbeat {:.2} us of {} B; {} allocations in all",
        (with_routes - before) / services as isize,
        (with_agents - with_routes) / agents as isize,
        (with_flows - with_agents) / FLOWS as isize,
        placement_time.as_secs_f64() * 1e6 / (FLOWS / RUNS as u64) as f64,
        heartbeat_time.as_secs_f64() * 1e6 / f64::from(agents),
        message.len(),
        region.change().allocations,
    );
}

fn main() {
    measure(17, 10);
    measure(99, 340);
    measure(SERVICES, BACKENDS);
}
