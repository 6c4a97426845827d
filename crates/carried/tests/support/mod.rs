//! Test fixtures: drives one agent with its back end, or one balancer, by hand-written messages.
#![allow(dead_code, missing_docs)]

pub mod restarts;

use loftdrift_carried::{
    Admission, BackendReport, CarriedAgent, CarriedAgentSettings, CarriedBalancer,
    CarriedBalancerSettings, CarriedConfiguration, Confirmation, DeclineReason, FlowAnswer,
    FlowName, FlowQuery, FlowStatus, Heartbeat, Incarnation, LoadReport, Message, Node, NodeRole,
    Output, PlainFormat, Policies, Position, Route, RouteTarget, Segment, ServiceSettings, Version,
};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

pub const SERVICE: &str = "tiles";
/// The shortest bound on the age of a configuration that users set.
pub const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

pub fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

pub fn balancer_address() -> SocketAddrV4 {
    address("10.1.0.1:7720")
}

pub fn agent_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 2, 0, number].into(), 7720)
}

pub fn service_address() -> SocketAddrV4 {
    address("198.18.0.1:443")
}

pub fn caller(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([100, 64, 0, 7].into(), port)
}

pub fn node(address: SocketAddrV4, role: NodeRole) -> Node {
    Node {
        address,
        role,
        zone: "a".to_owned(),
        region: "r".to_owned(),
        incarnation: 1,
        link_mbps: 1_000,
    }
}

pub fn route(address: SocketAddrV4, service: &str) -> Route {
    let targets = vec![RouteTarget { service: service.to_owned(), weight: 1 }];
    Route { address, targets, latency_target_ms: 250, priority: 1, regions: Vec::new() }
}

/// Version read at a revision of a store that was never restored from an older copy.
pub fn at(revision: u64) -> Version {
    Version { number: 0, position: Position { era: 1, revision } }
}

pub fn configuration(version: u64, routes: Vec<Route>) -> CarriedConfiguration {
    let service = ServiceSettings {
        name: SERVICE.to_owned(),
        health_path: "/healthz".to_owned(),
        max_connections: 2_000,
        cold_flows_milli: 0,
    };
    CarriedConfiguration {
        version: at(version),
        routes,
        services: vec![service],
        idle_timeout_ms: 15_000,
        evacuated: BTreeSet::new(),
    }
}

pub fn agent(is_first_start: bool) -> CarriedAgent {
    let settings = CarriedAgentSettings {
        node: node(agent_address(1), NodeRole::Agent),
        service: SERVICE.to_owned(),
        max_flow_age: Duration::from_secs(60),
        cold_overshoot: 1.0,
        policies: Policies::default(),
        is_first_start,
    };
    CarriedAgent::new(settings, PlainFormat)
}

/// An agent whose process was replaced beside a back end that takes flows, as its health page says.
pub fn restarted_agent() -> CarriedAgent {
    let mut agent = agent(false);
    agent.adopt(Duration::ZERO, configuration(1, Vec::new()));
    agent.take_earlier_departures(Duration::ZERO, Some(&[]));
    answer_health_check(&mut agent, Duration::ZERO);
    agent
}

/// Has the back end's health page answer that the back end takes flows, if the agent asks for it.
pub fn answer_health_check(agent: &mut CarriedAgent, now: Duration) {
    if agent.health_check().is_some() {
        agent.take_healthy(now);
    }
}

pub fn report(id: &str, sequence: u64, is_ready: bool) -> BackendReport {
    BackendReport {
        incarnation: Incarnation::without_start_time(id),
        service: SERVICE.to_owned(),
        capacity: 4,
        is_ready,
        warm_up_left: Duration::ZERO,
        sequence,
    }
}

/// The start named in a departure notice, without a start time.
pub fn departed(id: &str) -> Incarnation {
    Incarnation::without_start_time(id)
}

pub fn syn(port: u16) -> Segment {
    Segment { syn: true, sequence: 100, ..Segment::between(caller(port), service_address()) }
}

/// A caller's packet that acknowledges what the back end has sent up to `acknowledgement`.
pub fn data(port: u16, sequence: u32, acknowledgement: u32) -> Segment {
    Segment {
        ack: true,
        sequence,
        acknowledgement,
        payload_bytes: 10,
        ..Segment::between(caller(port), service_address())
    }
}

pub fn answer(port: u16, sequence: u32) -> Segment {
    Segment { ack: true, sequence, ..Segment::between(service_address(), caller(port)) }
}

pub fn packet(segment: &Segment) -> Vec<u8> {
    PlainFormat::write(segment, &vec![0; usize::from(segment.payload_bytes)])
}

pub fn offer(number: u64, port: u16, admission: Admission) -> Vec<u8> {
    offer_to(SERVICE, number, port, admission)
}

pub fn offer_to(service: &str, number: u64, port: u16, admission: Admission) -> Vec<u8> {
    let datagram = packet(&syn(port));
    Message::Offer { number, service: service.to_owned(), admission, datagram }.encode()
}

/// Takes an agent's outputs. The uptime in its lookup replies is set to 0; a separate test checks
/// it.
pub fn outputs(agent: &mut CarriedAgent) -> Vec<Output> {
    let without_uptime = |output| match output {
        Output::ToPeer { to, message: Message::LookupReply { answers, .. } } => {
            Output::ToPeer { to, message: Message::LookupReply { uptime_ms: 0, answers } }
        }
        output => output,
    };
    std::iter::from_fn(|| agent.take_output()).map(without_uptime).collect()
}

pub fn declined(outputs: &[Output]) -> Option<DeclineReason> {
    outputs.iter().find_map(|output| match output {
        Output::ToPeer { message: Message::Declined { reason, .. }, .. } => Some(*reason),
        _ => None,
    })
}

pub fn sent_to_backend(outputs: &[Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, Output::ToBackend(_))).count()
}

/// Opens a flow at the agent: it is offered, and the back end answers with sequence number
/// `sequence`.
pub fn open(agent: &mut CarriedAgent, now: Duration, port: u16, sequence: u32) {
    agent.handle_peer(now, balancer_address(), &offer(u64::from(port), port, Admission::FreeSlot));
    let syn_ack = Segment { syn: true, ..answer(port, sequence) };
    agent.handle_backend(now, packet(&syn_ack));
}

/// Sends a balancer the load report of an agent in zone `a`.
pub fn send(balancer: &mut CarriedBalancer, now: Duration, agent: u8, report: LoadReport) {
    send_load(balancer, now, agent_address(agent), report);
}

/// Sends a balancer the load report of an agent in a given zone.
pub fn send_report_from_zone(
    balancer: &mut CarriedBalancer,
    now: Duration,
    agent: u8,
    zone: &str,
    report: LoadReport,
) {
    let message = heartbeat(zone, report);
    balancer.handle_peer(now, agent_address(agent), &message.encode());
}

fn heartbeat(zone: &str, report: LoadReport) -> Message {
    Message::Heartbeat(Heartbeat {
        role: NodeRole::Agent,
        zone: zone.to_owned(),
        region: "r".to_owned(),
        incarnation: 1,
        link_mbps: 1_000,
        configuration: at(1),
        digest: 0,
        confirmation: None,
        store_recoveries: 0,
        report: Some(report),
        wants_reply: false,
    })
}

/// Heartbeat of a balancer in a given zone, with its view of the store.
pub fn heartbeat_of(
    zone: &str,
    confirmation: Option<Confirmation>,
    store_recoveries: u32,
) -> Heartbeat {
    Heartbeat {
        role: NodeRole::Balancer,
        zone: zone.to_owned(),
        region: "r".to_owned(),
        incarnation: 1,
        link_mbps: 1_000,
        configuration: at(1),
        digest: 0,
        confirmation,
        store_recoveries,
        report: None,
        wants_reply: false,
    }
}

/// Sends a balancer the load report of the agent at an address, in zone `a`.
pub fn send_load(
    balancer: &mut CarriedBalancer,
    now: Duration,
    agent: SocketAddrV4,
    report: LoadReport,
) {
    balancer.handle_peer(now, agent, &heartbeat("a", report).encode());
}

pub fn outputs_of(balancer: &mut CarriedBalancer) -> Vec<Output> {
    std::iter::from_fn(|| balancer.take_output()).collect()
}

pub fn offers(outputs: &[Output]) -> Vec<(SocketAddrV4, u64)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            Output::ToPeer { to, message: Message::Offer { number, .. } } => Some((*to, *number)),
            _ => None,
        })
        .collect()
}

/// Settings of the balancer at [`balancer_address`].
pub fn balancer_settings(seed: u64) -> CarriedBalancerSettings {
    let node = node(balancer_address(), NodeRole::Balancer);
    CarriedBalancerSettings {
        node,
        seed,
        configuration_bound: CONFIGURATION_BOUND,
        policies: Policies::default(),
    }
}

/// A balancer that knows no other node and has a route to [`SERVICE`].
pub fn new_balancer(seed: u64) -> CarriedBalancer {
    let mut balancer = CarriedBalancer::new(balancer_settings(seed), PlainFormat);
    balancer.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
    balancer
}

/// A flow from [`caller`] to [`service_address`].
pub fn flow_named(port: u16) -> FlowName {
    FlowName { caller: caller(port), service: service_address() }
}

/// Lookup message that asks whether an agent owns a flow.
pub fn lookup(port: u16, acknowledged: u32) -> Vec<u8> {
    let acknowledged = Some(acknowledged);
    let queries = vec![FlowQuery { flow: flow_named(port), acknowledged }];
    Message::Lookup { queries }.encode()
}

pub fn to_balancer(message: Message) -> Output {
    Output::ToPeer { to: balancer_address(), message }
}

/// An agent's lookup reply about one flow.
pub fn reply(port: u16, status: FlowStatus) -> Message {
    Message::LookupReply {
        uptime_ms: 0,
        answers: vec![FlowAnswer { flow: flow_named(port), status }],
    }
}

/// Output that sends a balancer an agent's lookup reply about one flow.
pub fn replies(port: u16, status: FlowStatus) -> Output {
    to_balancer(reply(port, status))
}

/// The agents that are asked whether they own a flow.
pub fn asked(outputs: &[Output]) -> Vec<SocketAddrV4> {
    let asked = outputs.iter().filter_map(|output| match output {
        Output::ToPeer { to, message: Message::Lookup { .. } } => Some(*to),
        _ => None,
    });
    asked.collect()
}

/// The agents that get a packet on trial, for their back ends to decide whose flow it is.
pub fn tried(outputs: &[Output]) -> Vec<SocketAddrV4> {
    trials(outputs).into_iter().map(|(agent, _)| agent).collect()
}

/// The packets on trial, each with the agent that gets it.
pub fn trials(outputs: &[Output]) -> Vec<(SocketAddrV4, Vec<u8>)> {
    let mut trials = Vec::new();
    for output in outputs {
        match output {
            Output::ToPeer { to, message: Message::TryForward { datagram } } => {
                trials.push((*to, datagram.clone()));
            }
            Output::ToPeer { to, message: Message::TryForwardBatch { packets } } => {
                trials.extend(packets.iter().map(|packet| (*to, packet.datagram.clone())));
            }
            _ => {}
        }
    }
    trials
}

/// Number of callers that are reset.
pub fn resets(outputs: &[Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, Output::ToCaller { .. })).count()
}
