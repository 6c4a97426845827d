//! A balancer whose process stood still takes no new flow before it knows better.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, Heartbeat, LoadReport, Message, NodeRole, Output,
};
use std::time::Duration;
use support::*;

/// When the process goes on.
const RESUMED: Duration = Duration::from_secs(9);

fn load() -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        ..LoadReport::default()
    }
}

fn balancer() -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    for agent in 1..=20 {
        tell(&mut balancer, milliseconds(0), agent, load());
    }
    outputs_of(&mut balancer);
    balancer.resume(RESUMED);
    balancer
}

fn hear(balancer: &mut CarriedBalancer, now: Duration, configuration: u64) {
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

fn offers_of(balancer: &mut CarriedBalancer, now: Duration, port: u16) -> usize {
    outputs_of(balancer);
    balancer.handle_caller(now, &packet(&syn(port)));
    offers(&outputs_of(balancer)).len()
}

#[test]
fn a_few_peers_are_asked_for_their_word_at_once() {
    let mut balancer = balancer();
    let asked = outputs_of(&mut balancer);
    let wants = |output: &Output| match output {
        Output::ToPeer { message: Message::Heartbeat(heartbeat), .. } => heartbeat.wants_reply,
        _ => false,
    };
    assert_eq!(asked.iter().filter(|output| wants(output)).count(), 8);
}

#[test]
fn no_flow_is_taken_before_a_peer_has_said_that_nothing_was_missed() {
    let mut balancer = balancer();
    assert_eq!(offers_of(&mut balancer, RESUMED, 1), 0);
    hear(&mut balancer, RESUMED + milliseconds(22), 1);
    assert_eq!(offers_of(&mut balancer, RESUMED + milliseconds(23), 1), 1, "its copy");
    assert_eq!(balancer.counters(RESUMED).openings_fenced, 1);
}

#[test]
fn words_that_waited_in_the_socket_all_the_while_do_not_count() {
    let mut balancer = balancer();
    hear(&mut balancer, RESUMED, 1);
    hear(&mut balancer, RESUMED + milliseconds(2), 1);
    assert_eq!(offers_of(&mut balancer, RESUMED + milliseconds(3), 1), 0);
}

#[test]
fn a_peer_that_is_ahead_is_followed_first() {
    let mut balancer = balancer();
    hear(&mut balancer, RESUMED + milliseconds(22), 2);
    assert_eq!(offers_of(&mut balancer, RESUMED + milliseconds(23), 1), 0);
    let newer = configuration(2, vec![route(service_address(), SERVICE)]);
    balancer.adopt(RESUMED + milliseconds(25), newer);
    assert_eq!(offers_of(&mut balancer, RESUMED + milliseconds(26), 1), 1);
}

#[test]
fn without_any_word_the_fence_is_short_and_open_flows_go_on() {
    let mut balancer = balancer();
    balancer.handle_caller(RESUMED, &packet(&data(7, 101, 501)));
    balancer.handle_timeout(RESUMED);
    let located = outputs_of(&mut balancer);
    assert!(
        located
            .iter()
            .any(|output| matches!(output, Output::ToPeer { message: Message::Lookup { .. }, .. }))
    );
    assert_eq!(offers_of(&mut balancer, RESUMED + milliseconds(100), 1), 0);
    // All agents are suspect by then, which asks the last one heard.
    assert_eq!(offers_of(&mut balancer, RESUMED + milliseconds(200), 1), 1);
}
