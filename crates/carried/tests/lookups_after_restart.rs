//! Lookups after restarts: their limit in a delayed process, and what agents that have just started
//! know of their back ends' flows.

mod support;

use loftdrift_carried::{
    BackendReport, CarriedAgent, FlowKnowledge, FlowStatus, Message, Output, Segment,
};
use std::time::Duration;
use support::restarts::{balancer_with_reports, load, request};
use support::*;

#[test]
fn agents_that_may_have_lost_flows_are_tried_without_a_query() {
    let mut balancer = balancer_with_reports(|_| load(FlowKnowledge::Partial, 60_000));
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    balancer.handle_timeout(milliseconds(101));
    let outputs = outputs_of(&mut balancer);
    assert_eq!(asked(&outputs), [], "each would answer that it does not know");
    assert_eq!(tried(&outputs).len(), 4, "the likeliest owners are tried at once");
}

/// After a restart every open flow sends packets within a second, 150 per balancer in the largest
/// installation, while no agent answers yet. New flows arrive in the same second, and a process
/// that is delayed by its lookups would make them wait, so it may start only a few lookups.
#[test]
fn a_delayed_process_starts_fewer_lookups() {
    let flows = 1_000;
    let tried_flows = |delay_ms: u64| {
        let mut balancer = balancer_with_reports(|_| load(FlowKnowledge::Partial, 60_000));
        let mut at = 101;
        for port in 1..=flows {
            balancer.handle_caller(milliseconds(at), &packet(&request(port)));
        }
        let mut flows_tried = std::collections::BTreeSet::new();
        while at < 1_101 {
            let due = balancer.next_timeout().unwrap_or_default();
            at = at.max(due.as_millis() as u64 + delay_ms).max(at + 1);
            balancer.handle_timeout(milliseconds(at));
            let tried_now = trials(&outputs_of(&mut balancer));
            flows_tried.extend(tried_now.into_iter().map(|(_, datagram)| datagram));
        }
        (flows_tried.len(), balancer.counters(milliseconds(at)).lookup_window)
    };
    let (tried_on_time, _) = tried_flows(0);
    let (tried_when_delayed, window) = tried_flows(40);
    assert!(tried_on_time > 500, "{tried_on_time} of {flows}");
    assert!(tried_when_delayed < 300, "{tried_when_delayed} of {flows}");
    assert!((4..=16).contains(&window), "{window}");
}

#[test]
fn lookups_whose_callers_wait_for_an_answer_start_first() {
    let mut balancer = balancer_with_reports(|_| load(FlowKnowledge::Complete, 60_000));
    let silent = |port| Segment { payload_bytes: 0, ..request(port) };
    (1..=300).for_each(|port| {
        balancer.handle_caller(milliseconds(101), &packet(&silent(port)));
    });
    balancer.handle_caller(milliseconds(101), &packet(&request(900)));
    let mut order = Vec::new();
    for at in 101..500 {
        balancer.handle_timeout(milliseconds(at));
        for output in outputs_of(&mut balancer) {
            if let Output::ToPeer { message: Message::Lookup { queries }, .. } = output {
                order.extend(queries.iter().map(|query| query.flow.caller.port()));
            }
        }
    }
    order.dedup();
    let place = |port| order.iter().position(|asked| *asked == port).expect("asked for");
    assert!(place(900) < place(300), "it starts before lookups that were added earlier");
}

fn heartbeat(sequence: u64, warm_up_left: u64) -> BackendReport {
    BackendReport { warm_up_left: milliseconds(warm_up_left), ..report("one", sequence, true) }
}

/// The flow knowledge that an agent reports which received `received` from its back end
/// `started_ms` after its own start.
fn flow_knowledge_after(started_ms: u64, received: &BackendReport) -> FlowKnowledge {
    let mut agent = agent(false);
    agent.take_report(milliseconds(started_ms), received);
    flow_knowledge_at(&mut agent, started_ms)
}

fn flow_knowledge_at(agent: &mut CarriedAgent, now: u64) -> FlowKnowledge {
    let offer = offer_to("other", 1, 1, loftdrift_carried::Admission::FreeSlot);
    agent.handle_peer(milliseconds(now), balancer_address(), &offer);
    let report = outputs(agent).into_iter().find_map(|output| match output {
        Output::ToPeer { message: Message::Declined { report, .. }, .. } => Some(report),
        _ => None,
    });
    let report = report.expect("an offer of another service is declined");
    assert_eq!(report.uptime_ms, Some(now as u32));
    report.flow_knowledge
}

/// Guards against denials of flows that an earlier process placed at a back end that is still cold:
/// its first heartbeats also reach a process that was replaced beside it.
#[test]
fn an_agent_knows_every_flow_only_of_a_back_end_that_has_certainly_started_after_it() {
    let first = heartbeat(1, 2_000);
    assert_eq!(
        flow_knowledge_after(6_500, &first),
        FlowKnowledge::Complete,
        "the very first heartbeat, sent after the process's start"
    );
    assert_eq!(flow_knowledge_after(6_499, &first), FlowKnowledge::Partial, "it may be late");
    for (started_ms, sequence, warm_up_left) in [
        (0, 1, 2_000),
        (1_500, 1, 2_000),
        (40, 2, 1_950),
        (40, 2, 0),
        (40, 9, 500),
        (900, 2, 1_950),
    ] {
        assert_eq!(
            flow_knowledge_after(started_ms, &heartbeat(sequence, warm_up_left)),
            FlowKnowledge::Partial,
            "number {sequence} after {started_ms} ms, {warm_up_left} ms of warm-up left"
        );
    }
}

#[test]
fn answers_report_how_long_the_agent_has_run() {
    let mut agent = agent(false);
    agent.take_report(milliseconds(0), &report("one", 40, true));
    agent.handle_peer(milliseconds(250), balancer_address(), &lookup(1, 501));
    let ages: Vec<u32> = std::iter::from_fn(|| agent.take_output())
        .filter_map(|output| match output {
            Output::ToPeer { message: Message::LookupReply { uptime_ms, .. }, .. } => {
                Some(uptime_ms)
            }
            _ => None,
        })
        .collect();
    assert_eq!(ages, [250]);
}

/// Maximum time until an agent without a back end reports that: callers give a flow up after 1.4 s.
const MAX_DETECTION_TIME: Duration = Duration::from_millis(1_000);

#[test]
fn an_agent_whose_back_end_answers_no_probe_reports_that_it_has_ended() {
    let mut agent = agent(false);
    let mut at = 0;
    for _ in 0..4 {
        at = (at..1_000)
            .find(|at| {
                agent.handle_timeout(milliseconds(*at));
                outputs(&mut agent).contains(&Output::ProbeBackend)
            })
            .expect("it probes until it knows");
        assert!(!agent.backend_has_ended());
        // An unanswered probe takes 150 ms.
        at += 150;
        agent.take_probe(milliseconds(at), loftdrift_carried::ProbeOutcome::TimedOut);
    }
    assert!(agent.backend_has_ended());
    assert!(milliseconds(at) <= MAX_DETECTION_TIME, "{at} ms");
    agent.handle_peer(milliseconds(at), balancer_address(), &lookup(1, 501));
    assert!(outputs(&mut agent).contains(&replies(1, FlowStatus::Absent)));
    agent.take_report(milliseconds(at + 1), &report("two", 1, true));
    assert!(!agent.backend_has_ended(), "a back end that starts later is accepted");
}

#[test]
fn a_back_end_that_has_reported_is_not_ended_by_unanswered_probes() {
    let mut agent = agent(false);
    agent.take_report(milliseconds(0), &report("one", 40, true));
    agent.start_draining(milliseconds(10));
    for at in [10, 200, 400, 600, 800, 1_000] {
        agent.handle_timeout(milliseconds(at));
        agent.take_probe(milliseconds(at), loftdrift_carried::ProbeOutcome::TimedOut);
    }
    assert!(!agent.backend_has_ended());
}
