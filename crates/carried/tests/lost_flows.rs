//! Flows that a back end has lost: what its agent knows about them, and which callers it resets.

mod support;

use loftdrift_carried::{
    Admission, BackendCondition, CarriedAgent, DeclineReason, FlowStatus, Message, Output,
    ProbeOutcome, Segment,
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

/// An agent that has received its back end's first heartbeat, with an open flow that has no
/// outstanding request.
fn agent_with_flow() -> CarriedAgent {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    open(&mut agent, milliseconds(1), 1, 500);
    agent.handle_peer(milliseconds(2), balancer_address(), &forward(1, 91));
    agent.handle_backend(milliseconds(2), packet(&Segment { payload_bytes: 10, ..answer(1, 501) }));
    outputs(&mut agent);
    agent
}

#[test]
fn callers_of_a_restarted_back_end_are_reset_at_their_next_packet() {
    let mut agent = agent_with_flow();
    // This works even if the agent has received no heartbeat of the new start.
    agent.handle_peer(milliseconds(100), balancer_address(), &forward(1, 101));
    outputs(&mut agent);
    agent.handle_backend(milliseconds(100), returned(1, 101));
    let sent = outputs(&mut agent);
    assert_eq!(resets(&sent), 1);
    assert!(sent.contains(&ended(1)));
    assert_eq!(agent.counters(milliseconds(100)).flows_reset, 1);
    agent.handle_peer(milliseconds(101), balancer_address(), &lookup(1, 501));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Absent)]);
}

#[test]
fn callers_are_reset_after_a_restart_that_the_back_end_reported() {
    let mut agent = agent_with_flow();
    agent.take_report(milliseconds(50), &report("two", 1, true));
    agent.handle_peer(milliseconds(100), balancer_address(), &lookup(1, 501));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Unknown)], "only the back end knows");
    let tried = Message::TryForward { datagram: packet(&data(1, 101, 501)) }.encode();
    agent.handle_peer(milliseconds(101), balancer_address(), &tried);
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
    agent.handle_backend(milliseconds(101), returned(1, 101));
    assert_eq!(resets(&outputs(&mut agent)), 1);
}

#[test]
fn an_agent_restarted_beside_a_live_back_end_resets_no_caller() {
    let mut agent = agent(false);
    agent.take_report(milliseconds(0), &report("one", 40, true));
    agent.handle_peer(milliseconds(1), balancer_address(), &lookup(1, 501));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Unknown)]);
    // A flow of this back end: it answers.
    agent.handle_peer(milliseconds(2), balancer_address(), &forward(1, 101));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
    agent.handle_backend(milliseconds(3), packet(&Segment { payload_bytes: 10, ..answer(1, 501) }));
    assert!(outputs(&mut agent).contains(&replies(1, FlowStatus::Owned)));
    // A flow of another back end: returned once, and remembered as absent.
    agent.handle_peer(milliseconds(4), balancer_address(), &forward(2, 101));
    outputs(&mut agent);
    agent.handle_backend(milliseconds(4), returned(2, 101));
    assert_eq!(outputs(&mut agent), [replies(2, FlowStatus::Absent)]);
    agent.handle_peer(milliseconds(5), balancer_address(), &forward(2, 101));
    let after = outputs(&mut agent);
    assert_eq!((sent_to_backend(&after), resets(&after)), (0, 0));
}

/// The heartbeat may be a late one, and an earlier process may have placed flows since it was sent.
#[test]
fn after_a_first_heartbeat_that_may_be_late_the_back_end_decides_about_the_flow() {
    let mut agent = agent(false);
    agent.handle_peer(milliseconds(1), balancer_address(), &lookup(1, 501));
    assert_eq!(
        outputs(&mut agent),
        [replies(1, FlowStatus::NotReady)],
        "the back end is not known yet"
    );
    agent.take_report(milliseconds(10), &report("two", 1, true));
    agent.handle_peer(milliseconds(11), balancer_address(), &lookup(1, 501));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Unknown)]);
    agent.handle_peer(milliseconds(12), balancer_address(), &forward(1, 101));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
    agent.handle_backend(milliseconds(13), returned(1, 101));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Absent)]);
}

/// Guards against resets of flows that an earlier process of the agent placed: a first heartbeat
/// that came seconds late counted as proof that the back end had just started.
#[test]
fn a_flow_is_reported_absent_only_if_the_back_end_has_certainly_started_since() {
    let status_after = |heard_ms: u64, refused: bool| {
        let mut agent = agent(false);
        for at in [120, 160].into_iter().filter(|_| refused) {
            agent.handle_timeout(milliseconds(at));
            agent.take_probe(milliseconds(at), ProbeOutcome::Refused);
        }
        agent.take_report(milliseconds(heard_ms), &report("two", 1, true));
        outputs(&mut agent);
        agent.handle_peer(milliseconds(heard_ms + 1), balancer_address(), &lookup(1, 501));
        outputs(&mut agent)
    };
    assert_eq!(status_after(10, false), [replies(1, FlowStatus::Unknown)]);
    assert_eq!(status_after(6_499, false), [replies(1, FlowStatus::Unknown)]);
    assert_eq!(status_after(6_500, false), [replies(1, FlowStatus::Absent)], "it was sent since");
    assert_eq!(status_after(200, true), [replies(1, FlowStatus::Absent)], "its port was closed");
}

/// Guards against machines that return without their back ends after a loss of power and vanish
/// within a second: lookups waited 15 s for agents that had concluded nothing.
#[test]
fn a_port_that_refuses_at_the_agents_start_proves_that_flows_from_before_are_over() {
    let mut agent = agent(false);
    assert_eq!(until_probed(&mut agent, 0, 10), Some(0), "it is probed at once");
    agent.take_probe(milliseconds(1), ProbeOutcome::Refused);
    agent.handle_peer(milliseconds(10), balancer_address(), &forward(2, 101));
    outputs(&mut agent);
    // The packet comes back although no process listens.
    agent.handle_backend(milliseconds(20), returned(2, 101));
    outputs(&mut agent);
    let probed_at = until_probed(&mut agent, 20, 60).expect("probed again");
    agent.take_probe(milliseconds(probed_at), ProbeOutcome::Refused);
    assert!(agent.backend_has_ended(), "at {probed_at} ms");
    outputs(&mut agent);
    agent.handle_peer(milliseconds(61), balancer_address(), &lookup(1, 501));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Absent)]);
    // The next back end has started since, whatever its heartbeat's number.
    agent.take_report(milliseconds(900), &report("two", 3, true));
    outputs(&mut agent);
    agent.handle_peer(milliseconds(901), balancer_address(), &lookup(1, 501));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Absent)]);
}

/// Guards against flows ended by a port that refuses once, as a back end does that is just starting.
#[test]
fn a_port_that_has_refused_only_once_proves_nothing() {
    let mut agent = agent(false);
    until_probed(&mut agent, 0, 10);
    agent.take_probe(milliseconds(1), ProbeOutcome::Refused);
    let probed_at = until_probed(&mut agent, 2, 60).expect("probed again");
    agent.take_probe(milliseconds(probed_at), ProbeOutcome::NotRefused);
    agent.take_report(milliseconds(60), &report("one", 2, true));
    outputs(&mut agent);
    agent.handle_peer(milliseconds(61), balancer_address(), &lookup(1, 501));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Unknown)]);
}

#[test]
fn an_agent_started_after_its_back_ends_first_heartbeat_reports_unknown() {
    let mut agent = agent(false);
    // Between the first heartbeat and this one, an earlier agent process may have placed flows.
    agent.take_report(milliseconds(0), &report("one", 2, true));
    agent.handle_peer(milliseconds(1), balancer_address(), &lookup(1, 501));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Unknown)]);
}

#[test]
fn a_packet_returned_late_does_not_end_the_next_flow_of_the_port() {
    let mut agent = agent_with_flow();
    agent.handle_peer(milliseconds(2), balancer_address(), &forward(1, 101));
    let finish = Segment { fin: true, ..answer(1, 501) };
    agent.handle_backend(milliseconds(3), packet(&finish));
    // The caller reuses its port; the back end's sequence numbers are far from the first flow's.
    agent.handle_peer(milliseconds(10), balancer_address(), &offer(9, 1, Admission::FreeSlot));
    outputs(&mut agent);
    agent.handle_backend(milliseconds(10), returned(1, 101));
    assert_eq!(outputs(&mut agent), [], "while the next flow is being opened");
    let syn_ack = Segment { syn: true, ..answer(1, 2_000_000_000) };
    agent.handle_backend(milliseconds(11), packet(&syn_ack));
    outputs(&mut agent);
    agent.handle_backend(milliseconds(12), returned(1, 101));
    assert_eq!(outputs(&mut agent), [], "when the next flow is open");
    let here = Message::Forward { datagram: packet(&data(1, 101, 2_000_000_001)) }.encode();
    agent.handle_peer(milliseconds(13), balancer_address(), &here);
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
}

#[test]
fn a_packet_returned_after_the_back_end_closed_the_flow_resets_no_caller() {
    let mut agent = agent_with_flow();
    agent.handle_backend(milliseconds(3), packet(&Segment { fin: true, ..answer(1, 501) }));
    agent.handle_peer(milliseconds(4), balancer_address(), &forward(1, 101));
    outputs(&mut agent);
    agent.handle_backend(milliseconds(4), returned(1, 101));
    assert_eq!(outputs(&mut agent), []);
}

/// Lets time pass until the agent probes its back end, and returns when it did.
fn until_probed(agent: &mut CarriedAgent, from: u64, to: u64) -> Option<u64> {
    (from..to).find(|at| {
        agent.handle_timeout(milliseconds(*at));
        outputs(agent).contains(&Output::ProbeBackend)
    })
}

#[test]
fn when_its_port_refuses_the_back_end_has_ended_and_waiting_callers_are_reset_at_once() {
    let mut agent = agent_with_flow();
    agent.handle_peer(milliseconds(100), balancer_address(), &forward(1, 101));
    let first =
        until_probed(&mut agent, 100, 1_000).expect("a back end that does not react is probed");
    assert_eq!(first, 550, "a retransmission would have been answered by then");
    agent.take_probe(milliseconds(first), ProbeOutcome::Refused);
    assert_eq!(resets(&outputs(&mut agent)), 0, "one refusal is not enough");
    let second =
        until_probed(&mut agent, first, 1_000).expect("a refusal is followed by another probe");
    agent.take_probe(milliseconds(second), ProbeOutcome::Refused);
    let sent = outputs(&mut agent);
    assert_eq!(resets(&sent), 1);
    assert!(sent.contains(&ended(1)));
    agent.handle_peer(milliseconds(700), balancer_address(), &offer(3, 3, Admission::FreeSlot));
    assert_eq!(declined(&outputs(&mut agent)), Some(DeclineReason::NotAccepting));
    // A flow without an outstanding request is reported absent at its next lookup.
    agent.handle_peer(milliseconds(701), balancer_address(), &lookup(2, 501));
    assert_eq!(outputs(&mut agent), [replies(2, FlowStatus::Absent)]);
    agent.take_report(milliseconds(900), &report("two", 1, true));
    agent.handle_peer(milliseconds(901), balancer_address(), &offer(4, 4, Admission::FreeSlot));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1, "the next start accepts flows");
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
    assert!((2..=4).contains(&probes), "{probes} probes, expected about one per second");
    agent.handle_peer(milliseconds(4_000), balancer_address(), &lookup(1, 501));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Owned)]);
}

#[test]
fn a_stop_waits_until_balancers_were_notified_that_the_back_end_has_ended() {
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
        store_recoveries: 0,
        report: None,
        wants_reply: false,
    };
    agent.handle_peer(milliseconds(2), balancer_address(), &Message::Heartbeat(heartbeat).encode());
    assert!(!agent.is_drained(milliseconds(3)), "no stop was requested");
    agent.start_draining(milliseconds(10));
    assert!(!agent.is_drained(milliseconds(10)));
    let mut at = 10;
    for _ in 0..2 {
        at = until_probed(&mut agent, at, 200).expect("a stop probes at once");
        agent.take_probe(milliseconds(at), ProbeOutcome::Refused);
    }
    agent.handle_timeout(milliseconds(at));
    let reports_end = outputs(&mut agent).into_iter().any(|output| match output {
        Output::ToPeer { message: Message::Heartbeat(heartbeat), .. } => {
            heartbeat.report.is_some_and(|report| report.condition == BackendCondition::Ended)
        }
        _ => false,
    });
    assert!(reports_end);
    assert!(agent.backend_has_ended());
    assert!(!agent.is_drained(milliseconds(at)));
    assert!(agent.is_drained(milliseconds(at + 60)));
}

#[test]
fn a_stop_beside_a_live_back_end_does_not_report_its_end() {
    let mut agent = agent_with_flow();
    agent.start_draining(milliseconds(10));
    let at = until_probed(&mut agent, 10, 200).expect("a stop probes at once");
    agent.take_probe(milliseconds(at), ProbeOutcome::NotRefused);
    assert!(!agent.backend_has_ended());
    assert!(agent.is_drained(milliseconds(at)));
}

#[test]
fn an_agent_without_a_back_end_reports_flows_absent() {
    let mut agent = agent(false);
    let mut at = 0;
    for _ in 0..2 {
        at = until_probed(&mut agent, at, 1_000).expect("no heartbeat was received");
        agent.take_probe(milliseconds(at), ProbeOutcome::Refused);
    }
    assert!(Duration::from_millis(at) < milliseconds(200));
    agent.handle_peer(milliseconds(at), balancer_address(), &lookup(1, 501));
    assert!(outputs(&mut agent).contains(&replies(1, FlowStatus::Absent)));
}

#[test]
fn a_late_syn_retransmission_does_not_end_the_flow_that_it_opened() {
    let mut agent = agent_with_flow();
    // The SYN arrives again through a balancer that delayed it; no slot is free by now.
    for port in 2..=5 {
        open(&mut agent, milliseconds(900), port, 500);
    }
    outputs(&mut agent);
    agent.handle_peer(milliseconds(900), balancer_address(), &offer(77, 1, Admission::FreeSlot));
    let sent = outputs(&mut agent);
    assert_eq!(sent_to_backend(&sent), 0);
    assert!(matches!(
        sent[..],
        [Output::ToPeer { message: Message::Placed { number: 77, .. }, .. }]
    ));
    agent.handle_peer(milliseconds(901), balancer_address(), &lookup(1, 511));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Owned)]);
}

#[test]
fn a_reused_port_opens_another_flow() {
    let mut agent = agent_with_flow();
    let again = Segment { sequence: 9_000_000, ..syn(1) };
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
fn a_flow_idle_for_less_than_the_old_timeout_is_kept_when_the_timeout_is_lowered() {
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
    agent.handle_peer(milliseconds(9_000), balancer_address(), &lookup(1, 501));
    assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Owned)]);
}

/// Guards against resets of flows that are open elsewhere: an agent whose back end had crashed and
/// never answered the SYN took the caller's next packets for its own, and reset the caller.
#[test]
fn a_flow_whose_syn_the_back_end_never_answered_is_not_owned() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.handle_peer(milliseconds(1), balancer_address(), &offer(1, 1, Admission::FreeSlot));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
    for at in [40, 90] {
        agent.handle_peer(milliseconds(at), balancer_address(), &lookup(1, 501));
        assert_eq!(outputs(&mut agent), [replies(1, FlowStatus::Absent)], "at {at} ms");
        agent.handle_timeout(milliseconds(at + 30));
        outputs(&mut agent);
    }
    agent.handle_peer(milliseconds(130), balancer_address(), &forward(1, 101));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 0);
    agent.start_draining(milliseconds(140));
    for at in [140, 190] {
        agent.handle_timeout(milliseconds(at));
        agent.take_probe(milliseconds(at), ProbeOutcome::Refused);
    }
    assert!(agent.backend_has_ended());
    assert_eq!(resets(&outputs(&mut agent)), 0);
}
