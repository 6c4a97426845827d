//! Audits of the shared store's list of nodes against the live nodes.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, ListedNode, LoadReport, Message, NodeList, NodeRole, Output,
    PlainFormat, ProbeOutcome,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

const SECOND: u64 = 1_000;
/// Upper bound of the interval between two audits.
const MAX_AUDIT_INTERVAL: u64 = 76 * SECOND;

fn listed(address: SocketAddrV4, role: NodeRole) -> ListedNode {
    ListedNode { address, role }
}

/// A list that may be seconds old.
fn stale_list(nodes: &[ListedNode]) -> NodeList {
    NodeList { nodes: nodes.to_vec(), is_newest: false }
}

fn newest_list(nodes: &[ListedNode]) -> NodeList {
    NodeList { is_newest: true, ..stale_list(nodes) }
}

/// The only balancer of its zone, which therefore watches the store.
fn balancer_alone() -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    balancer.learn_members(milliseconds(0), &[]);
    balancer
}

/// Delivers a heartbeat of each agent every second, runs the balancer's timers, and collects its
/// outputs.
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
                send(balancer, milliseconds(at), *agent, report);
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

fn notified(outputs: &[Output]) -> Vec<SocketAddrV4> {
    let of = |output: &Output| match output {
        Output::ToPeer { to, message: Message::NotListed } => Some(*to),
        _ => None,
    };
    outputs.iter().filter_map(of).collect()
}

#[test]
fn balancers_that_watch_the_store_audit_about_once_a_minute() {
    let mut balancer = balancer_alone();
    let seen = audits(&run(&mut balancer, &[1], 0, 10 * MAX_AUDIT_INTERVAL));
    assert!((8..=17).contains(&seen.len()), "{seen:?}");
    assert!(seen.iter().all(|(_, is_urgent)| !is_urgent), "{seen:?}");
}

#[test]
fn balancers_that_do_not_watch_the_store_do_not_audit() {
    let mut settings = balancer_settings(1);
    settings.node.address = address("10.1.0.99:7720");
    let mut balancer = CarriedBalancer::new(settings, PlainFormat);
    balancer.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
    for at in (0..3 * MAX_AUDIT_INTERVAL).step_by(500) {
        for number in 1..=20 {
            balancer.handle_peer(milliseconds(at), balancer_of(number), &encoded_heartbeat(0));
        }
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        assert!(!outputs.iter().any(|output| matches!(output, Output::ReadMembers { .. })));
    }
}

fn encoded_heartbeat(store_recoveries: u32) -> Vec<u8> {
    Message::Heartbeat(heartbeat_of("a", None, store_recoveries)).encode()
}

fn balancer_of(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, 0, number].into(), 7720)
}

/// Entries may be lost while the store refuses some nodes.
#[test]
fn the_newest_list_is_audited_soon_after_the_store_recovers() {
    let mut balancer = balancer_alone();
    run(&mut balancer, &[1], 0, 5 * SECOND);
    balancer.handle_peer(milliseconds(5_000), address("10.1.0.2:7720"), &encoded_heartbeat(1));
    let seen = audits(&run(&mut balancer, &[1], 5 * SECOND, 6 * SECOND));
    assert!(matches!(seen[..], [(_, true)]), "{seen:?}");
}

#[test]
fn a_live_node_without_an_entry_is_notified() {
    let mut balancer = balancer_alone();
    let now = 20 * SECOND;
    run(&mut balancer, &[1, 2], 0, now);
    let list =
        [listed(balancer_address(), NodeRole::Balancer), listed(agent_address(1), NodeRole::Agent)];
    assert_eq!(balancer.audit_members(milliseconds(now), &stale_list(&list)), []);
    let outputs = outputs_of(&mut balancer);
    assert_eq!(notified(&outputs), [agent_address(2)]);
    assert!(!outputs.contains(&Output::WriteEntry), "its own entry is listed");
    balancer.audit_members(milliseconds(now), &stale_list(&list[1..]));
    assert!(outputs_of(&mut balancer).contains(&Output::WriteEntry));
}

#[test]
fn a_node_that_has_just_joined_is_notified_only_if_the_newest_list_lacks_it() {
    let mut balancer = balancer_alone();
    let now = 2 * SECOND;
    run(&mut balancer, &[1], 0, now);
    let list = [listed(balancer_address(), NodeRole::Balancer)];
    balancer.audit_members(milliseconds(now), &stale_list(&list));
    assert_eq!(notified(&outputs_of(&mut balancer)), [], "the list may be older than its entry");
    balancer.audit_members(milliseconds(now), &newest_list(&list));
    assert_eq!(notified(&outputs_of(&mut balancer)), [agent_address(1)], "the store has lost it");
}

#[test]
fn the_entry_of_a_node_that_was_silent_for_nine_minutes_is_removed() {
    let mut balancer = balancer_alone();
    let dead = listed(agent_address(9), NodeRole::Agent);
    let list = [
        listed(balancer_address(), NodeRole::Balancer),
        listed(agent_address(1), NodeRole::Agent),
        dead,
    ];
    // The node's silence counts from the first audit, in which the balancer learns of it.
    assert_eq!(balancer.audit_members(milliseconds(0), &stale_list(&list)), []);
    for minute in 1..9 {
        run(&mut balancer, &[1], (minute - 1) * 60 * SECOND, minute * 60 * SECOND);
        assert_eq!(
            balancer.audit_members(milliseconds(minute * 60 * SECOND), &stale_list(&list)),
            []
        );
    }
    run(&mut balancer, &[1], 8 * 60 * SECOND, 9 * 60 * SECOND);
    let removed = balancer.audit_members(milliseconds(9 * 60 * SECOND), &stale_list(&list));
    assert_eq!(removed, [dead.address]);
}

/// The store may refuse the removal by the leaving node itself, and after a restart of the whole
/// system no balancer would know of its departure notice.
#[test]
fn the_entry_of_an_agent_is_removed_after_its_departure_notice_and_silence() {
    let mut balancer = balancer_alone();
    run(&mut balancer, &[1, 2], 0, 20 * SECOND);
    let ended = LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Ended,
        ..LoadReport::default()
    };
    send(&mut balancer, milliseconds(20 * SECOND), 2, ended);
    let list = [
        listed(balancer_address(), NodeRole::Balancer),
        listed(agent_address(1), NodeRole::Agent),
        listed(agent_address(2), NodeRole::Agent),
    ];
    run(&mut balancer, &[1], 20 * SECOND, 21 * SECOND);
    assert_eq!(
        balancer.audit_members(milliseconds(21 * SECOND), &stale_list(&list)),
        [],
        "it may still send something"
    );
    run(&mut balancer, &[1], 21 * SECOND, 23 * SECOND);
    assert_eq!(
        balancer.audit_members(milliseconds(23 * SECOND), &stale_list(&list)),
        [agent_address(2)]
    );
}

/// Guards against a live agent without an entry: silent for seconds after the report that its back
/// end had ended, it lost its entry and was notified only by the next audit, up to 75 s later.
#[test]
fn a_node_whose_entry_was_removed_is_notified_at_its_next_heartbeat() {
    let mut balancer = balancer_alone();
    run(&mut balancer, &[1, 2], 0, 20 * SECOND);
    let report = |condition| LoadReport { condition, ..LoadReport::default() };
    send(&mut balancer, milliseconds(20 * SECOND), 2, report(BackendCondition::Ended));
    run(&mut balancer, &[1], 20 * SECOND, 23 * SECOND);
    let list = stale_list(&[
        listed(balancer_address(), NodeRole::Balancer),
        listed(agent_address(1), NodeRole::Agent),
        listed(agent_address(2), NodeRole::Agent),
    ]);
    assert_eq!(balancer.audit_members(milliseconds(23 * SECOND), &list), [agent_address(2)]);
    outputs_of(&mut balancer);
    for (at, notices) in [(24, vec![agent_address(2)]), (25, vec![])] {
        let back = report(BackendCondition::Accepting);
        send(&mut balancer, milliseconds(at * SECOND), 2, back);
        assert_eq!(notified(&outputs_of(&mut balancer)), notices, "once");
    }
}

/// Guards against the same where the auditor ends before the agent is heard again.
#[test]
fn an_agent_whose_ended_back_end_returns_late_writes_its_entry_again() {
    let writes_entry = |ended_ms: u64, back_ms: u64| {
        let mut agent = agent(false);
        agent.take_report(milliseconds(0), &report("one", 5, true));
        agent.start_draining(milliseconds(ended_ms));
        for at in [ended_ms, ended_ms + 50] {
            agent.handle_timeout(milliseconds(at));
            agent.take_probe(milliseconds(at), ProbeOutcome::Refused);
        }
        assert!(agent.backend_has_ended());
        agent.take_report(milliseconds(back_ms), &report("two", 1, true));
        outputs(&mut agent).contains(&Output::WriteEntry)
    };
    assert!(writes_entry(1_000, 3_200), "it may have been removed");
    assert!(!writes_entry(1_000, 2_500), "no auditor removes it so soon");
}

#[test]
fn a_node_that_is_notified_writes_its_entry_again() {
    let mut agent = agent(false);
    agent.handle_peer(Duration::ZERO, balancer_address(), &Message::NotListed.encode());
    assert_eq!(outputs(&mut agent), [Output::WriteEntry]);
    let mut balancer = balancer_alone();
    balancer.handle_peer(Duration::ZERO, balancer_of(2), &Message::NotListed.encode());
    assert!(outputs_of(&mut balancer).contains(&Output::WriteEntry));
}

/// A short outage of the store may go unnoticed, but its answers carry the era, which a restore
/// changes.
#[test]
fn a_restored_store_is_audited_soon_with_its_newest_list() {
    let mut balancer = balancer_alone();
    run(&mut balancer, &[1], 0, 5 * SECOND);
    let mut restored = configuration(1, vec![route(service_address(), SERVICE)]);
    restored.version.position.era = 2;
    balancer.adopt(milliseconds(5 * SECOND), restored);
    let seen = audits(&run(&mut balancer, &[1], 5 * SECOND, 6 * SECOND));
    assert!(matches!(seen[..], [(_, true)]), "{seen:?}");
}
