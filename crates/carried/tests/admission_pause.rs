//! After a stall of its process a balancer admits no new flow until it knows that its configuration
//! is current, or a short time has passed.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, Heartbeat, LoadReport, Message, NodeRole, Output,
};
use std::time::Duration;
use support::*;

/// Time at which the stalled process resumes.
const RESUMED_AT: Duration = Duration::from_secs(9);

fn load() -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        ..LoadReport::default()
    }
}

fn resumed_balancer() -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    for agent in 1..=20 {
        send(&mut balancer, milliseconds(0), agent, load());
    }
    outputs_of(&mut balancer);
    balancer.resume(RESUMED_AT);
    balancer
}

fn receive_heartbeat(balancer: &mut CarriedBalancer, now: Duration, configuration: u64) {
    let heartbeat = Heartbeat {
        role: NodeRole::Agent,
        zone: "a".to_owned(),
        region: "r".to_owned(),
        incarnation: 1,
        link_mbps: 1_000,
        configuration: at(configuration),
        digest: 0,
        confirmation: None,
        store_recoveries: 0,
        report: Some(load()),
        wants_reply: false,
    };
    balancer.handle_peer(now, agent_address(1), &Message::Heartbeat(heartbeat).encode());
}

fn count_offers(balancer: &mut CarriedBalancer, now: Duration, port: u16) -> usize {
    outputs_of(balancer);
    balancer.handle_caller(now, &packet(&syn(port)));
    offers(&outputs_of(balancer)).len()
}

#[test]
fn a_few_peers_are_asked_for_a_heartbeat_at_once() {
    let mut balancer = resumed_balancer();
    let asked = outputs_of(&mut balancer);
    let wants = |output: &Output| match output {
        Output::ToPeer { message: Message::Heartbeat(heartbeat), .. } => heartbeat.wants_reply,
        _ => false,
    };
    assert_eq!(asked.iter().filter(|output| wants(output)).count(), 8);
}

#[test]
fn no_flow_is_admitted_before_a_peer_reports_no_newer_configuration() {
    let mut balancer = resumed_balancer();
    assert_eq!(count_offers(&mut balancer, RESUMED_AT, 1), 0);
    receive_heartbeat(&mut balancer, RESUMED_AT + milliseconds(22), 1);
    assert_eq!(
        count_offers(&mut balancer, RESUMED_AT + milliseconds(23), 1),
        1,
        "the retransmitted SYN"
    );
    assert_eq!(balancer.counters(RESUMED_AT).openings_fenced, 1);
}

#[test]
fn heartbeats_that_waited_in_the_socket_do_not_end_the_pause() {
    let mut balancer = resumed_balancer();
    receive_heartbeat(&mut balancer, RESUMED_AT, 1);
    receive_heartbeat(&mut balancer, RESUMED_AT + milliseconds(2), 1);
    assert_eq!(count_offers(&mut balancer, RESUMED_AT + milliseconds(3), 1), 0);
}

#[test]
fn a_newer_configuration_is_adopted_before_flows_are_admitted() {
    let mut balancer = resumed_balancer();
    receive_heartbeat(&mut balancer, RESUMED_AT + milliseconds(22), 2);
    assert_eq!(count_offers(&mut balancer, RESUMED_AT + milliseconds(23), 1), 0);
    let newer = configuration(2, vec![route(service_address(), SERVICE)]);
    balancer.adopt(RESUMED_AT + milliseconds(25), newer);
    assert_eq!(count_offers(&mut balancer, RESUMED_AT + milliseconds(26), 1), 1);
}

#[test]
fn without_a_heartbeat_the_pause_is_short_and_open_flows_are_still_handled() {
    let mut balancer = resumed_balancer();
    balancer.handle_caller(RESUMED_AT, &packet(&data(7, 101, 501)));
    balancer.handle_timeout(RESUMED_AT);
    let outputs = outputs_of(&mut balancer);
    assert!(
        outputs
            .iter()
            .any(|output| matches!(output, Output::ToPeer { message: Message::Lookup { .. }, .. }))
    );
    assert_eq!(count_offers(&mut balancer, RESUMED_AT + milliseconds(100), 1), 0);
    // All agents are suspect by then, so the flow is offered to the one that reported last.
    assert_eq!(count_offers(&mut balancer, RESUMED_AT + milliseconds(200), 1), 1);
}
