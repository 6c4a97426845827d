//! The shared store's list of nodes is compared with those that live.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, ListedNode, LoadReport, Message, NodeList, NodeRole, Output,
    PlainFormat,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

const SECOND: u64 = 1_000;
/// An audit takes place at least so often.
const LATEST_AUDIT: u64 = 76 * SECOND;

fn listed(address: SocketAddrV4, role: NodeRole) -> ListedNode {
    ListedNode { address, role }
}

/// A list that may be seconds old.
fn old(nodes: &[ListedNode]) -> NodeList {
    NodeList { nodes: nodes.to_vec(), is_newest: false }
}

fn newest(nodes: &[ListedNode]) -> NodeList {
    NodeList { is_newest: true, ..old(nodes) }
}

/// Alone it waits at the store.
fn balancer_alone() -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    balancer.learn_members(milliseconds(0), &[]);
    balancer
}

/// Has agents be heard each second while what is due is done, and collects what the balancer asks for.
fn run(balancer: &mut CarriedBalancer, agents: &[u8], from: u64, to: u64) -> Vec<(u64, Output)> {
    let mut seen = Vec::new();
    for at in (from..to).step_by(100) {
        if at % SECOND == 0 {
            for agent in agents {
                let report = LoadReport {
                    service: SERVICE.to_owned(),
                    condition: BackendCondition::Accepting,
                    ..LoadReport::default()
                };
                tell(balancer, milliseconds(at), *agent, report);
            }
        }
        balancer.handle_timeout(milliseconds(at));
        balancer.note_store(milliseconds(at), true);
        seen.extend(outputs_of(balancer).into_iter().map(|output| (at, output)));
    }
    seen
}

fn audits(seen: &[(u64, Output)]) -> Vec<(u64, bool)> {
    let of = |(at, output): &(u64, Output)| match output {
        Output::ReadMembers { is_urgent } => Some((*at, *is_urgent)),
        _ => None,
    };
    seen.iter().filter_map(of).collect()
}

fn told(outputs: &[Output]) -> Vec<SocketAddrV4> {
    let of = |output: &Output| match output {
        Output::ToPeer { to, message: Message::NotListed } => Some(*to),
        _ => None,
    };
    outputs.iter().filter_map(of).collect()
}

#[test]
fn balancers_that_wait_at_the_store_audit_about_once_a_minute() {
    let mut balancer = balancer_alone();
    let seen = audits(&run(&mut balancer, &[1], 0, 10 * LATEST_AUDIT));
    assert!((8..=17).contains(&seen.len()), "{seen:?}");
    assert!(seen.iter().all(|(_, is_urgent)| !is_urgent), "{seen:?}");
}

#[test]
fn balancers_that_wait_for_nothing_audit_nothing() {
    let mut settings = balancer_settings(1);
    settings.node.address = address("10.1.0.99:7720");
    let mut balancer = CarriedBalancer::new(settings, PlainFormat);
    balancer.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
    for at in (0..3 * LATEST_AUDIT).step_by(500) {
        for number in 1..=20 {
            balancer.handle_peer(milliseconds(at), balancer_of(number), &heard(0));
        }
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        assert!(!outputs.iter().any(|output| matches!(output, Output::ReadMembers { .. })));
    }
}

fn heard(store_returns: u32) -> Vec<u8> {
    Message::Heartbeat(heartbeat_of("a", None, store_returns)).encode()
}

fn balancer_of(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, 0, number].into(), 7720)
}

/// The store has refused some for a while: entries may have gone meanwhile.
#[test]
fn the_newest_list_is_compared_at_once_when_the_store_is_back() {
    let mut balancer = balancer_alone();
    run(&mut balancer, &[1], 0, 5 * SECOND);
    balancer.handle_peer(milliseconds(5_000), address("10.1.0.2:7720"), &heard(1));
    let seen = audits(&run(&mut balancer, &[1], 5 * SECOND, 6 * SECOND));
    assert!(matches!(seen[..], [(_, true)]), "{seen:?}");
}

#[test]
fn a_node_that_lives_and_is_not_listed_is_told() {
    let mut balancer = balancer_alone();
    let now = 20 * SECOND;
    run(&mut balancer, &[1, 2], 0, now);
    let list =
        [listed(balancer_address(), NodeRole::Balancer), listed(agent_address(1), NodeRole::Agent)];
    assert_eq!(balancer.audit_members(milliseconds(now), &old(&list)), []);
    let outputs = outputs_of(&mut balancer);
    assert_eq!(told(&outputs), [agent_address(2)]);
    assert!(!outputs.contains(&Output::WriteEntry), "its own entry stands");
    balancer.audit_members(milliseconds(now), &old(&list[1..]));
    assert!(outputs_of(&mut balancer).contains(&Output::WriteEntry));
}

#[test]
fn one_that_has_only_just_come_is_told_by_the_newest_list_only() {
    let mut balancer = balancer_alone();
    let now = 2 * SECOND;
    run(&mut balancer, &[1], 0, now);
    let list = [listed(balancer_address(), NodeRole::Balancer)];
    balancer.audit_members(milliseconds(now), &old(&list));
    assert_eq!(told(&outputs_of(&mut balancer)), [], "the list may be older than its entry");
    balancer.audit_members(milliseconds(now), &newest(&list));
    assert_eq!(told(&outputs_of(&mut balancer)), [agent_address(1)], "the store has lost it");
}

#[test]
fn the_entry_of_a_node_that_nobody_has_heard_for_nine_minutes_is_removed() {
    let mut balancer = balancer_alone();
    let dead = listed(agent_address(9), NodeRole::Agent);
    let list = [
        listed(balancer_address(), NodeRole::Balancer),
        listed(agent_address(1), NodeRole::Agent),
        dead,
    ];
    // Found at its first audit; until then nobody knows how long it has been silent.
    assert_eq!(balancer.audit_members(milliseconds(0), &old(&list)), []);
    for minute in 1..9 {
        run(&mut balancer, &[1], (minute - 1) * 60 * SECOND, minute * 60 * SECOND);
        assert_eq!(balancer.audit_members(milliseconds(minute * 60 * SECOND), &old(&list)), []);
    }
    run(&mut balancer, &[1], 8 * 60 * SECOND, 9 * 60 * SECOND);
    let removed = balancer.audit_members(milliseconds(9 * 60 * SECOND), &old(&list));
    assert_eq!(removed, [dead.address]);
}

/// The store may refuse a node that leaves; after a restart of all nobody would remember that it has.
#[test]
fn the_entry_of_an_agent_that_said_good_bye_is_removed_once_it_is_silent() {
    let mut balancer = balancer_alone();
    run(&mut balancer, &[1, 2], 0, 20 * SECOND);
    let ended = LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Ended,
        ..LoadReport::default()
    };
    tell(&mut balancer, milliseconds(20 * SECOND), 2, ended);
    let list = [
        listed(balancer_address(), NodeRole::Balancer),
        listed(agent_address(1), NodeRole::Agent),
        listed(agent_address(2), NodeRole::Agent),
    ];
    run(&mut balancer, &[1], 20 * SECOND, 21 * SECOND);
    assert_eq!(
        balancer.audit_members(milliseconds(21 * SECOND), &old(&list)),
        [],
        "it may speak again"
    );
    run(&mut balancer, &[1], 21 * SECOND, 23 * SECOND);
    assert_eq!(balancer.audit_members(milliseconds(23 * SECOND), &old(&list)), [agent_address(2)]);
}

#[test]
fn a_node_that_was_told_enters_itself_again() {
    let mut agent = agent(false);
    agent.handle_peer(Duration::ZERO, balancer_address(), &Message::NotListed.encode());
    assert_eq!(outputs(&mut agent), [Output::WriteEntry]);
    let mut balancer = balancer_alone();
    balancer.handle_peer(Duration::ZERO, balancer_of(2), &Message::NotListed.encode());
    assert!(outputs_of(&mut balancer).contains(&Output::WriteEntry));
}

/// An absence of a moment may pass unnoticed; the era that answers bear does not.
#[test]
fn a_store_that_has_gone_back_is_audited_at_once_with_its_newest_list() {
    let mut balancer = balancer_alone();
    run(&mut balancer, &[1], 0, 5 * SECOND);
    let mut restored = configuration(1, vec![route(service_address(), SERVICE)]);
    restored.version.position.era = 2;
    balancer.adopt(milliseconds(5 * SECOND), restored);
    let seen = audits(&run(&mut balancer, &[1], 5 * SECOND, 6 * SECOND));
    assert!(matches!(seen[..], [(_, true)]), "{seen:?}");
}
