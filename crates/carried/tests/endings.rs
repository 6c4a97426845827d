//! Flows whose back end has lost them: what the agent beside it knows, and says.

mod support;

use loftdrift_carried::{
    Admission, BackendCondition, CarriedAgent, DeclineReason, Message, Output, ProbeOutcome,
    Segment, Word,
};
use std::time::Duration;
use support::*;

fn forward(port: u16, sequence: u32) -> Vec<u8> {
    Message::Forward { datagram: packet(&data(port, sequence, 501)) }.encode()
}

fn returned(port: u16, sequence: u32) -> Vec<u8> {
    packet(&Segment { returned: true, ..data(port, sequence, 501) })
}

fn resets(outputs: &[Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, Output::ToCaller { .. })).count()
}

fn ended(port: u16) -> Output {
    to_balancer(Message::Ended { flow: flow_named(port) })
}

/// An agent that has known its back end from the start, with an open flow that waits for nothing.
fn agent_with_flow() -> CarriedAgent {
    let mut agent = agent(false);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    open(&mut agent, milliseconds(1), 1, 500);
    agent.handle_peer(milliseconds(2), balancer_address(), &forward(1, 91));
    agent.handle_backend(milliseconds(2), packet(&Segment { payload_bytes: 10, ..answer(1, 501) }));
    outputs(&mut agent);
    agent
}

#[test]
fn a_back_end_that_restarted_has_its_callers_told_at_their_next_packet() {
    let mut agent = agent_with_flow();
    // The agent need not have heard of the new start.
    agent.handle_peer(milliseconds(100), balancer_address(), &forward(1, 101));
    outputs(&mut agent);
    agent.handle_backend(milliseconds(100), returned(1, 101));
    let told = outputs(&mut agent);
    assert_eq!(resets(&told), 1);
    assert!(told.contains(&ended(1)));
    assert_eq!(agent.counters(milliseconds(100)).flows_reset, 1);
    agent.handle_peer(milliseconds(101), balancer_address(), &find(1, 501));
    assert_eq!(outputs(&mut agent), [says(1, Word::Absent)]);
}

#[test]
fn a_back_end_that_restarted_and_said_so_has_its_callers_told_as_well() {
    let mut agent = agent_with_flow();
    agent.take_report(milliseconds(50), &report("two", 1, true));
    agent.handle_peer(milliseconds(100), balancer_address(), &find(1, 501));
    assert_eq!(outputs(&mut agent), [says(1, Word::Unsure)], "its back end is to tell");
    let tried = Message::Try { datagram: packet(&data(1, 101, 501)) }.encode();
    agent.handle_peer(milliseconds(101), balancer_address(), &tried);
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
    agent.handle_backend(milliseconds(101), returned(1, 101));
    assert_eq!(resets(&outputs(&mut agent)), 1);
}

#[test]
fn an_agent_that_restarted_beside_a_living_back_end_resets_nobody() {
    let mut agent = agent(false);
    agent.take_report(milliseconds(0), &report("one", 40, true));
    agent.handle_peer(milliseconds(1), balancer_address(), &find(1, 501));
    assert_eq!(outputs(&mut agent), [says(1, Word::Unsure)]);
    // Its own flow: the back end answers.
    agent.handle_peer(milliseconds(2), balancer_address(), &forward(1, 101));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
    agent.handle_backend(milliseconds(3), packet(&Segment { payload_bytes: 10, ..answer(1, 501) }));
    assert!(outputs(&mut agent).contains(&says(1, Word::Held)));
    // Another back end's flow: sent back once, and known from then on.
    agent.handle_peer(milliseconds(4), balancer_address(), &forward(2, 101));
    outputs(&mut agent);
    agent.handle_backend(milliseconds(4), returned(2, 101));
    assert_eq!(outputs(&mut agent), [says(2, Word::Absent)]);
    agent.handle_peer(milliseconds(5), balancer_address(), &forward(2, 101));
    let after = outputs(&mut agent);
    assert_eq!((sent_to_backend(&after), resets(&after)), (0, 0));
}

#[test]
fn both_restarted_and_the_balancer_is_told_that_the_flow_is_not_here() {
    let mut agent = agent(false);
    agent.handle_peer(milliseconds(1), balancer_address(), &find(1, 501));
    assert_eq!(outputs(&mut agent), [says(1, Word::Early)], "not before the back end is known");
    agent.take_report(milliseconds(10), &report("two", 1, true));
    agent.handle_peer(milliseconds(11), balancer_address(), &find(1, 501));
    assert_eq!(outputs(&mut agent), [says(1, Word::Absent)]);
}

#[test]
fn an_agent_that_came_after_its_back_ends_first_heartbeat_is_not_sure() {
    let mut agent = agent(false);
    // An earlier process of the agent may have placed flows in between.
    agent.take_report(milliseconds(0), &report("one", 2, true));
    agent.handle_peer(milliseconds(1), balancer_address(), &find(1, 501));
    assert_eq!(outputs(&mut agent), [says(1, Word::Unsure)]);
}

#[test]
fn a_packet_that_comes_back_late_does_not_end_the_port_s_next_flow() {
    let mut agent = agent_with_flow();
    agent.handle_peer(milliseconds(2), balancer_address(), &forward(1, 101));
    let finish = Segment { finishes: true, ..answer(1, 501) };
    agent.handle_backend(milliseconds(3), packet(&finish));
    // The caller uses its port again; the back end's numbers are far from the first flow's.
    agent.handle_peer(milliseconds(10), balancer_address(), &offer(9, 1, Admission::FreeSlot));
    outputs(&mut agent);
    agent.handle_backend(milliseconds(10), returned(1, 101));
    assert_eq!(outputs(&mut agent), [], "while the next one is being opened");
    let syn_ack = Segment { opens: true, ..answer(1, 2_000_000_000) };
    agent.handle_backend(milliseconds(11), packet(&syn_ack));
    outputs(&mut agent);
    agent.handle_backend(milliseconds(12), returned(1, 101));
    assert_eq!(outputs(&mut agent), [], "once it is open");
    let here = Message::Forward { datagram: packet(&data(1, 101, 2_000_000_001)) }.encode();
    agent.handle_peer(milliseconds(13), balancer_address(), &here);
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
}

#[test]
fn a_packet_returned_after_the_back_end_closed_the_flow_resets_nobody() {
    let mut agent = agent_with_flow();
    agent.handle_backend(milliseconds(3), packet(&Segment { finishes: true, ..answer(1, 501) }));
    agent.handle_peer(milliseconds(4), balancer_address(), &forward(1, 101));
    outputs(&mut agent);
    agent.handle_backend(milliseconds(4), returned(1, 101));
    assert_eq!(outputs(&mut agent), []);
}

/// Passes the time until the agent asks for its back end, and gives when it did.
fn until_probed(agent: &mut CarriedAgent, from: u64, to: u64) -> Option<u64> {
    (from..to).find(|at| {
        agent.handle_timeout(milliseconds(*at));
        outputs(agent).contains(&Output::ProbeBackend)
    })
}

#[test]
fn a_back_end_whose_port_refuses_has_ended_and_waiting_callers_are_told_at_once() {
    let mut agent = agent_with_flow();
    agent.handle_peer(milliseconds(100), balancer_address(), &forward(1, 101));
    let first = until_probed(&mut agent, 100, 1_000).expect("silence is doubted");
    assert_eq!(first, 550, "a repetition would have been answered by then");
    agent.take_probe(milliseconds(first), ProbeOutcome::Refused);
    assert_eq!(resets(&outputs(&mut agent)), 0, "once may be chance");
    let second = until_probed(&mut agent, first, 1_000).expect("and again");
    agent.take_probe(milliseconds(second), ProbeOutcome::Refused);
    let told = outputs(&mut agent);
    assert_eq!(resets(&told), 1);
    assert!(told.contains(&ended(1)));
    agent.handle_peer(milliseconds(700), balancer_address(), &offer(3, 3, Admission::FreeSlot));
    assert_eq!(declined(&outputs(&mut agent)), Some(DeclineReason::NotAccepting));
    // A flow that waited for nothing is told at its next packet.
    agent.handle_peer(milliseconds(701), balancer_address(), &find(2, 501));
    assert_eq!(outputs(&mut agent), [says(2, Word::Absent)]);
    agent.take_report(milliseconds(900), &report("two", 1, true));
    agent.handle_peer(milliseconds(901), balancer_address(), &offer(4, 4, Admission::FreeSlot));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1, "its next start is taken");
}

#[test]
fn a_slow_back_end_that_takes_connections_keeps_its_flows() {
    let mut agent = agent_with_flow();
    agent.handle_peer(milliseconds(100), balancer_address(), &forward(1, 101));
    let mut probes = 0;
    let mut from = 100;
    while let Some(at) = until_probed(&mut agent, from, 4_000) {
        probes += 1;
        agent.take_probe(milliseconds(at), ProbeOutcome::NotRefused);
        from = at;
    }
    assert!((2..=4).contains(&probes), "{probes}: about one a second");
    agent.handle_peer(milliseconds(4_000), balancer_address(), &find(1, 501));
    assert_eq!(outputs(&mut agent), [says(1, Word::Held)]);
}

#[test]
fn a_stop_waits_until_balancers_have_heard_that_the_back_end_has_ended() {
    let mut agent = agent_with_flow();
    let heartbeat = loftdrift_carried::Heartbeat {
        role: loftdrift_carried::NodeRole::Balancer,
        zone: "a".to_owned(),
        region: "r".to_owned(),
        incarnation: 1,
        link_mbps: 1_000,
        configuration: at(0),
        digest: 0,
        confirmation: None,
        store_returns: 0,
        report: None,
        wants_reply: false,
    };
    agent.handle_peer(milliseconds(2), balancer_address(), &Message::Heartbeat(heartbeat).encode());
    assert!(!agent.is_drained(milliseconds(3)), "no stop was asked for");
    agent.start_draining(milliseconds(10));
    assert!(!agent.is_drained(milliseconds(10)));
    let mut at = 10;
    for _ in 0..2 {
        at = until_probed(&mut agent, at, 200).expect("a stop asks at once");
        agent.take_probe(milliseconds(at), ProbeOutcome::Refused);
    }
    agent.handle_timeout(milliseconds(at));
    let says_ended = outputs(&mut agent).into_iter().any(|output| match output {
        Output::ToPeer { message: Message::Heartbeat(heartbeat), .. } => {
            heartbeat.report.is_some_and(|report| report.condition == BackendCondition::Ended)
        }
        _ => false,
    });
    assert!(says_ended);
    assert!(agent.backend_has_ended());
    assert!(!agent.is_drained(milliseconds(at)));
    assert!(agent.is_drained(milliseconds(at + 60)));
}

#[test]
fn a_stop_beside_a_living_back_end_is_no_good_bye() {
    let mut agent = agent_with_flow();
    agent.start_draining(milliseconds(10));
    let at = until_probed(&mut agent, 10, 200).expect("a stop asks at once");
    agent.take_probe(milliseconds(at), ProbeOutcome::NotRefused);
    assert!(!agent.backend_has_ended());
    assert!(agent.is_drained(milliseconds(at)));
}

#[test]
fn an_agent_beside_which_nobody_starts_says_so() {
    let mut agent = agent(false);
    let mut at = 0;
    for _ in 0..2 {
        at = until_probed(&mut agent, at, 1_000).expect("nothing was heard");
        agent.take_probe(milliseconds(at), ProbeOutcome::Refused);
    }
    assert!(Duration::from_millis(at) < milliseconds(200));
    agent.handle_peer(milliseconds(at), balancer_address(), &find(1, 501));
    assert!(outputs(&mut agent).contains(&says(1, Word::Absent)));
}

#[test]
fn a_late_copy_of_an_opening_packet_does_not_end_the_flow_that_it_opened() {
    let mut agent = agent_with_flow();
    // Through a balancer that is far behind; no slot is free by now.
    for port in 2..=5 {
        open(&mut agent, milliseconds(900), port, 500);
    }
    outputs(&mut agent);
    agent.handle_peer(milliseconds(900), balancer_address(), &offer(77, 1, Admission::FreeSlot));
    let said = outputs(&mut agent);
    assert_eq!(sent_to_backend(&said), 0);
    assert!(matches!(
        said[..],
        [Output::ToPeer { message: Message::Placed { number: 77, .. }, .. }]
    ));
    agent.handle_peer(milliseconds(901), balancer_address(), &find(1, 511));
    assert_eq!(outputs(&mut agent), [says(1, Word::Held)]);
}

#[test]
fn a_port_that_is_used_again_opens_another_flow() {
    let mut agent = agent_with_flow();
    let again = Segment { sequence: 9_000_000, ..opening(1) };
    let message = Message::Offer {
        number: 78,
        service: SERVICE.to_owned(),
        admission: Admission::FreeSlot,
        datagram: packet(&again),
    };
    agent.handle_peer(milliseconds(900), balancer_address(), &message.encode());
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
}

#[test]
fn a_flow_that_rested_for_less_than_an_earlier_limit_is_not_forgotten_when_the_limit_falls() {
    let mut agent = agent(false);
    let idle = |version, idle_timeout_ms| loftdrift_carried::CarriedConfiguration {
        idle_timeout_ms,
        ..configuration(version, vec![route(service_address(), SERVICE)])
    };
    agent.adopt(milliseconds(0), idle(1, 15_000));
    agent.take_report(milliseconds(0), &report("one", 1, true));
    open(&mut agent, milliseconds(1), 1, 500);
    agent.handle_timeout(milliseconds(500));
    agent.adopt(milliseconds(600), idle(2, 2_000));
    agent.handle_timeout(milliseconds(9_000));
    outputs(&mut agent);
    agent.handle_peer(milliseconds(9_000), balancer_address(), &find(1, 501));
    assert_eq!(outputs(&mut agent), [says(1, Word::Held)]);
}
