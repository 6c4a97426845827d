//! Benchmarks what the lookup of a flow costs a balancer, in time, query messages and bytes, for
//! different numbers of agents of the service. `docs/CAPACITY.md` uses the results.

use loftdrift_bench::{caller_address, median, service_address, time};
use loftdrift_carried::{
    BackendCondition, CarriedBalancer, CarriedBalancerSettings, CarriedConfiguration, FlowAnswer,
    FlowStatus, Heartbeat, LoadReport, Message, Node, NodeRole, Output, PlainFormat, Policies,
    Route, RouteTarget, Segment, Version,
};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// The shortest time limit for configuration changes that users set.
const BOUND: Duration = Duration::from_secs(3);
const RUNS: usize = 5;
const FLOWS: u64 = 200;
const PEER_PORT: u16 = 7_720;
const FIRST_AGENT: u32 = 0x0A02_0001;
/// Time between two lookups, longer than the balancer batches queries.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(10);

fn agent_address(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(FIRST_AGENT + number), PEER_PORT)
}

fn heartbeat() -> Message {
    let report = LoadReport {
        service: "service".to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 7,
        ..LoadReport::default()
    };
    Message::Heartbeat(Heartbeat {
        role: NodeRole::Agent,
        zone: "zone-b".to_owned(),
        region: "region".to_owned(),
        incarnation: 1,
        link_mbps: 1_000,
        configuration: Version { number: 1, ..Version::default() },
        digest: 0,
        confirmation: None,
        store_recoveries: 0,
        report: Some(report),
        wants_reply: false,
    })
}

fn balancer(agents: u32) -> CarriedBalancer {
    let node = Node {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), PEER_PORT),
        role: NodeRole::Balancer,
        zone: "zone-a".to_owned(),
        region: "region".to_owned(),
        incarnation: 1,
        link_mbps: 1_000,
    };
    let mut balancer = CarriedBalancer::new(
        CarriedBalancerSettings {
            node,
            seed: 1,
            configuration_bound: BOUND,
            policies: Policies::default(),
        },
        PlainFormat,
    );
    let targets = vec![RouteTarget { service: "service".to_owned(), weight: 1 }];
    let route = Route {
        address: service_address(0),
        targets,
        latency_target_ms: 250,
        priority: 1,
        regions: Vec::new(),
    };
    let routes = vec![route];
    let services = Vec::new();
    let idle_timeout_ms = 15_000;
    balancer.adopt(
        Duration::ZERO,
        CarriedConfiguration {
            version: Version { number: 1, ..Version::default() },
            routes,
            services,
            idle_timeout_ms,
            evacuated: BTreeSet::new(),
        },
    );
    let message = heartbeat().encode();
    for agent in 0..agents {
        balancer.handle_peer(Duration::ZERO, agent_address(agent), &message);
    }
    while balancer.take_output().is_some() {}
    balancer
}

#[derive(Default)]
struct Cost {
    queries: u64,
    bytes: u64,
}

/// Handles a packet of an unknown flow until one of the queried agents has answered.
fn look_up(balancer: &mut CarriedBalancer, now: Duration, flow: u64, cost: &mut Cost) {
    let head = Segment::between(caller_address(flow), service_address(0));
    let segment = Segment { ack: true, acknowledgement: 7, ..head };
    balancer.handle_caller(now, &PlainFormat::write(&segment, b"data"));
    balancer.handle_timeout(now);
    let mut target = None;
    while let Some(output) = balancer.take_output() {
        if let Output::ToPeer { to, message: message @ Message::Lookup { .. } } = output {
            cost.queries += 1;
            cost.bytes += message.encode().len() as u64;
            target = Some((to, message));
        }
    }
    let Some((to, Message::Lookup { queries })) = target else { return };
    let answers = queries
        .iter()
        .map(|question| FlowAnswer { flow: question.flow, status: FlowStatus::Owned });
    let found = Message::LookupReply { uptime_ms: 0, answers: answers.collect() };
    balancer.handle_peer(now, to, &found.encode());
    while balancer.take_output().is_some() {}
}

fn measure(agents: u32) {
    let mut balancer = balancer(agents);
    let mut cost = Cost::default();
    let mut flow = 0;
    let mut now = LOOKUP_INTERVAL;
    let times = (0..RUNS).map(|_| {
        let mut round = || {
            for _ in 0..FLOWS {
                flow += 1;
                now += LOOKUP_INTERVAL;
                look_up(&mut balancer, now, flow, &mut cost);
            }
        };
        time(&mut round)
    });
    let elapsed = median(times.collect());
    let lookups = RUNS as f64 * FLOWS as f64;
    println!(
        "{agents} agents: {:.1} us, {:.1} queries, {:.0} B a lookup",
        elapsed.as_secs_f64() * 1e6 / FLOWS as f64,
        cost.queries as f64 / lookups,
        cost.bytes as f64 / lookups,
    );
}

fn main() {
    for agents in [7, 35, 163, 3_400] {
        measure(agents);
    }
}
