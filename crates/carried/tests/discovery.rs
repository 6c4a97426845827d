//! What a balancer that has just started must have learned before it resets a caller because no
//! agent owns its flow.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, FlowStatus, LoadReport, Message, NodeRole, Output, Snapshot,
};
use std::net::SocketAddrV4;
use support::*;

/// The agent that the store's list names.
const LISTED: u8 = 1;
/// An agent whose entry is still to be written. Other balancers know it.
const UNLISTED: u8 = 2;
/// Milliseconds after its start at which a balancer has received heartbeats of all peers.
const DISCOVERED_MS: u64 = 5_000;

fn peer() -> SocketAddrV4 {
    address("10.1.0.2:7720")
}

/// A balancer that has read the list, which names an agent and `balancers`, and hears them.
fn balancer_with_list(balancers: &[SocketAddrV4]) -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    let agents = [(agent_address(LISTED), NodeRole::Agent)];
    let balancers: Vec<_> = balancers.iter().map(|at| (*at, NodeRole::Balancer)).collect();
    balancer.learn_members(milliseconds(0), &[&agents[..], &balancers].concat());
    let condition = BackendCondition::Accepting;
    let load = LoadReport { service: SERVICE.to_owned(), condition, ..LoadReport::default() };
    send(&mut balancer, milliseconds(1), LISTED, load);
    balancer
}

/// Runs timers, and denies every flow that an agent is asked about; returns all outputs.
fn run(balancer: &mut CarriedBalancer, from: u64, to: u64) -> Vec<Output> {
    let mut all = Vec::new();
    for at in from..to {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(balancer);
        for agent in asked(&outputs) {
            balancer.handle_peer(milliseconds(at), agent, &reply(1, FlowStatus::Absent).encode());
        }
        all.extend(outputs);
    }
    all
}

/// Delivers a packet of a flow that the balancer does not know, and runs it for 100 ms.
fn deliver(balancer: &mut CarriedBalancer, at: u64) -> Vec<Output> {
    balancer.handle_caller(milliseconds(at), &packet(&data(1, 101, 501)));
    run(balancer, at, at + 100)
}

fn hear_peer(balancer: &mut CarriedBalancer, at: u64) -> Vec<Output> {
    let heartbeat = Message::Heartbeat(heartbeat_of("a", None, 0)).encode();
    balancer.handle_peer(milliseconds(at), peer(), &heartbeat);
    outputs_of(balancer)
}

fn fetches(outputs: &[Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, Output::FetchSnapshot { .. })).count()
}

/// Guards against resets of flows of an agent that runs but has no entry in the store's list: a
/// balancer that had just started took the list for complete.
#[test]
fn the_flow_of_an_unlisted_agent_is_kept_by_a_balancer_that_has_just_started() {
    let mut balancer = balancer_with_list(&[peer()]);
    assert_eq!(resets(&deliver(&mut balancer, 10)), 0, "another balancer may know more");
    run(&mut balancer, 110, 200);
    assert_eq!(fetches(&hear_peer(&mut balancer, 200)), 1);
    assert_eq!(fetches(&hear_peer(&mut balancer, 210)), 0, "it is on its way");
    assert_eq!(fetches(&hear_peer(&mut balancer, 600)), 1, "it did not arrive");
    let members = vec![(peer(), NodeRole::Balancer), (agent_address(UNLISTED), NodeRole::Agent)];
    balancer.take_snapshot(milliseconds(610), Snapshot { configuration: None, members });
    let outputs = deliver(&mut balancer, 620);
    assert!(asked(&outputs).contains(&agent_address(UNLISTED)));
    assert_eq!(fetches(&hear_peer(&mut balancer, 1_000)), 0, "one is enough");
}

/// Guards against resets of all flows after a kill of all processes while the store is away: balancers
/// that knew one agent of five took it for the only one after 5 s.
#[test]
fn without_the_list_no_caller_is_reset_however_long_the_balancer_has_run() {
    let mut balancer = new_balancer(1);
    let condition = BackendCondition::Accepting;
    let load = LoadReport { service: SERVICE.to_owned(), condition, ..LoadReport::default() };
    for at in [1, DISCOVERED_MS, 2 * DISCOVERED_MS, 60_000] {
        send(&mut balancer, milliseconds(at), LISTED, load.clone());
        assert_eq!(resets(&deliver(&mut balancer, at + 50)), 0, "{at} ms after the start");
    }
    let agents = [LISTED, UNLISTED].map(|agent| (agent_address(agent), NodeRole::Agent));
    balancer.learn_members(milliseconds(60_200), &agents);
    let outputs = deliver(&mut balancer, 60_250);
    assert!(asked(&outputs).contains(&agent_address(UNLISTED)));
    assert_eq!(resets(&outputs), 1);
}

#[test]
fn a_caller_is_reset_once_another_balancer_was_asked() {
    let mut balancer = balancer_with_list(&[peer()]);
    let snapshot = |from, role| Snapshot { configuration: None, members: vec![(from, role)] };
    let of_agent = snapshot(agent_address(LISTED), NodeRole::Agent);
    balancer.take_snapshot(milliseconds(5), of_agent);
    assert_eq!(resets(&deliver(&mut balancer, 10)), 0, "agents do not know each other");
    balancer.take_snapshot(milliseconds(110), snapshot(peer(), NodeRole::Balancer));
    assert_eq!(resets(&run(&mut balancer, 110, 800)), 1);
}

#[test]
fn a_caller_is_reset_if_no_other_balancer_answers_or_is_listed() {
    let mut unanswered = balancer_with_list(&[peer()]);
    run(&mut unanswered, 2, DISCOVERED_MS - 200);
    assert_eq!(resets(&deliver(&mut unanswered, DISCOVERED_MS - 200)), 0);
    assert_eq!(resets(&run(&mut unanswered, DISCOVERED_MS - 100, DISCOVERED_MS + 700)), 1);

    let mut alone = balancer_with_list(&[]);
    assert_eq!(resets(&deliver(&mut alone, 10)), 1);
}
