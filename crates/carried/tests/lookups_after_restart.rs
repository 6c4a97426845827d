//! Lookups after restarts: their limit in a delayed process, and what follows from a power loss of
//! the whole system.

mod support;

use loftdrift_carried::{
    BackendCondition, BackendReport, CarriedAgent, CarriedBalancer, FlowAnswer, FlowKnowledge,
    FlowStatus, LoadReport, Message, NodeRole, Output, Segment,
};
use std::time::Duration;
use support::*;

const AGENTS: u8 = 20;

fn load(flow_knowledge: FlowKnowledge, uptime_ms: u32) -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        flow_knowledge,
        uptime_ms: Some(uptime_ms),
        ..LoadReport::default()
    }
}

/// A balancer that has read the list of nodes and has received each agent's `report` at 100 ms.
fn balancer_with_reports(report: impl Fn(u8) -> LoadReport) -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    let list: Vec<_> = (1..=AGENTS).map(|agent| (agent_address(agent), NodeRole::Agent)).collect();
    balancer.learn_members(milliseconds(0), &list);
    run_timers(&mut balancer, 0, 100);
    for agent in 1..=AGENTS {
        send(&mut balancer, milliseconds(100), agent, report(agent));
    }
    outputs_of(&mut balancer);
    balancer
}

/// Runs timers every millisecond, so that none is late.
fn run_timers(balancer: &mut CarriedBalancer, from: u64, to: u64) {
    (from..=to).for_each(|at| balancer.handle_timeout(milliseconds(at)));
}

fn request(port: u16) -> Segment {
    data(port, 101, 501)
}

fn encoded_answer(port: u16, uptime_ms: u32, status: FlowStatus) -> Vec<u8> {
    Message::LookupReply { uptime_ms, answers: vec![FlowAnswer { flow: flow_named(port), status }] }
        .encode()
}

/// Has every agent that is asked about a flow give the same answer, and returns all outputs.
fn answer_all(balancer: &mut CarriedBalancer, uptime_ms: u32, status: FlowStatus) -> Vec<Output> {
    let mut all = Vec::new();
    for at in 101..160 {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(balancer);
        for agent in asked(&outputs) {
            balancer.handle_peer(milliseconds(at), agent, &encoded_answer(1, uptime_ms, status));
        }
        all.extend(outputs);
    }
    all.extend(outputs_of(balancer));
    all
}

#[test]
fn agents_that_may_have_lost_flows_are_tried_without_a_query() {
    let mut balancer = balancer_with_reports(|_| load(FlowKnowledge::Partial, 60_000));
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    balancer.handle_timeout(milliseconds(101));
    let outputs = outputs_of(&mut balancer);
    assert_eq!(asked(&outputs), [], "each would answer that it does not know");
    assert_eq!(tried(&outputs).len(), 4, "the likeliest owners are tried at once");
}

#[test]
fn after_a_power_loss_of_the_whole_system_a_caller_is_reset_without_a_trial() {
    let mut balancer = balancer_with_reports(|_| load(FlowKnowledge::PresumedComplete, 90));
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    let outputs = answer_all(&mut balancer, 95, FlowStatus::Unknown);
    assert_eq!(tried(&outputs), [], "no back end from before is running");
    assert_eq!(resets(&outputs), 1);
}

#[test]
fn agents_killed_together_beside_running_back_ends_are_no_power_loss() {
    let mut balancer = balancer_with_reports(|agent| match agent {
        // One in five received a regular heartbeat so early that its back end seems to have just
        // started.
        1..=4 => load(FlowKnowledge::PresumedComplete, 90),
        _ => load(FlowKnowledge::Partial, 90),
    });
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    let outputs = answer_all(&mut balancer, 95, FlowStatus::Unknown);
    assert_eq!(resets(&outputs), 0);
    assert!(!tried(&outputs).is_empty(), "the back ends' reactions decide");
}

/// Guards against resets of flows of an agent that has heard of two starts of its back end after
/// the power loss, and has to try its flows: its own doubt counts more than what the others presume.
#[test]
fn an_agent_that_does_not_presume_a_power_loss_is_tried() {
    let unsure = agent_address(5);
    let mut balancer = balancer_with_reports(|agent| match agent {
        5 => load(FlowKnowledge::Partial, 90),
        _ => load(FlowKnowledge::PresumedComplete, 90),
    });
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    let outputs = answer_all(&mut balancer, 95, FlowStatus::Unknown);
    assert_eq!((tried(&outputs), resets(&outputs)), (vec![unsure], 0));
}

#[test]
fn back_ends_that_restart_at_different_times_are_no_power_loss() {
    let uptime_ms = |agent: u8| 90 + 500 * u32::from(agent);
    let mut balancer =
        balancer_with_reports(|agent| load(FlowKnowledge::PresumedComplete, uptime_ms(agent)));
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    let outputs = answer_all(&mut balancer, 95, FlowStatus::Unknown);
    assert_eq!(resets(&outputs), 0);
}

#[test]
fn an_agent_that_is_killed_again_after_the_power_loss_stays_undecided() {
    let mut balancer = balancer_with_reports(|_| load(FlowKnowledge::PresumedComplete, 90));
    // Two seconds later one agent's process is replaced; the balancer has its earlier report.
    run_timers(&mut balancer, 101, 2_100);
    for agent in 1..=AGENTS {
        send(
            &mut balancer,
            milliseconds(2_100),
            agent,
            load(FlowKnowledge::PresumedComplete, 2_090),
        );
    }
    let killed = agent_address(7);
    outputs_of(&mut balancer);
    balancer.handle_caller(milliseconds(2_101), &packet(&request(1)));
    let mut reset_count = 0;
    for at in 2_101..2_160 {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        reset_count += resets(&outputs);
        for agent in asked(&outputs) {
            let uptime_ms = if agent == killed { 40 } else { 2_090 };
            balancer.handle_peer(
                milliseconds(at),
                agent,
                &encoded_answer(1, uptime_ms, FlowStatus::Unknown),
            );
        }
        assert!(tried(&outputs).iter().all(|agent| *agent == killed));
    }
    assert_eq!(reset_count, 0, "its back end may have the flow");
}

/// Guards against resets of flows that were opened between the return of the power and a kill of
/// all processes: back ends that are still cold seem to have started along with the new processes.
#[test]
fn seconds_after_a_presumed_power_loss_the_back_ends_decide_about_flows() {
    let mut balancer = balancer_with_reports(|_| load(FlowKnowledge::PresumedComplete, 90));
    run_timers(&mut balancer, 101, 3_100);
    for agent in 1..=AGENTS {
        let report = load(FlowKnowledge::PresumedComplete, 3_090);
        send(&mut balancer, milliseconds(3_100), agent, report);
    }
    outputs_of(&mut balancer);
    balancer.handle_caller(milliseconds(3_101), &packet(&request(1)));
    balancer.handle_timeout(milliseconds(3_101));
    let outputs = outputs_of(&mut balancer);
    assert_eq!((resets(&outputs), tried(&outputs).len()), (0, 4));
}

/// Number of callers that are reset by a balancer that received `report` from all agents at 100 ms
/// and nothing from one listed agent. The others do not know the flow that it looks up at 401 ms.
fn resets_beside_a_silent_agent(report: LoadReport) -> usize {
    let uptime_ms = report.uptime_ms.unwrap_or_default();
    let mut balancer = balancer_with_reports(|_| report.clone());
    let silent = (agent_address(AGENTS + 1), NodeRole::Agent);
    balancer.learn_members(milliseconds(100), &[silent]);
    run_timers(&mut balancer, 101, 400);
    balancer.handle_caller(milliseconds(401), &packet(&request(1)));
    let mut reset_count = 0;
    for at in 401..480 {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        reset_count += resets(&outputs);
        for agent in asked(&outputs).into_iter().filter(|agent| *agent != silent.0) {
            let unknown = encoded_answer(1, uptime_ms + 300, FlowStatus::Unknown);
            balancer.handle_peer(milliseconds(at), agent, &unknown);
        }
    }
    reset_count
}

#[test]
fn after_a_power_loss_of_the_whole_system_a_missing_machine_does_not_block_a_lookup() {
    assert_eq!(resets_beside_a_silent_agent(load(FlowKnowledge::PresumedComplete, 90)), 1);
}

/// Guards against resets of flows of a frozen agent by a balancer that starts, as planned, seconds
/// after the power has returned: it took the agents' joint start for its own.
#[test]
fn a_balancer_that_starts_after_a_power_loss_waits_for_silent_agents() {
    let joint_start = load(FlowKnowledge::PresumedComplete, 2_500);
    let report = LoadReport { backend_age_ms: Some(2_400), ..joint_start };
    assert_eq!(resets_beside_a_silent_agent(report), 0);
}

#[test]
fn a_machine_that_returned_without_a_back_end_and_left_does_not_block_a_lookup() {
    let mut balancer = balancer_with_reports(|agent| match agent {
        3 => {
            LoadReport { condition: BackendCondition::Unknown, ..load(FlowKnowledge::Partial, 90) }
        }
        _ => load(FlowKnowledge::PresumedComplete, 90),
    });
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    let mut reset_count = 0;
    for at in 101..180 {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        reset_count += resets(&outputs);
        for agent in asked(&outputs).into_iter().filter(|agent| *agent != agent_address(3)) {
            balancer.handle_peer(
                milliseconds(at),
                agent,
                &encoded_answer(1, 95, FlowStatus::Unknown),
            );
        }
    }
    assert_eq!(reset_count, 1);
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
            for output in outputs_of(&mut balancer) {
                if let Output::ToPeer { message: Message::TryForward { datagram }, .. } = output {
                    flows_tried.insert(datagram);
                }
            }
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

/// Guards against a presumption that stands although the back end has contradicted it.
#[test]
fn a_packet_of_an_unknown_flow_shows_that_the_back_end_was_running_before() {
    let mut agent = agent(false);
    agent.take_report(milliseconds(40), &heartbeat(2, 1_950));
    assert_eq!(flow_knowledge_at(&mut agent, 41), FlowKnowledge::PresumedComplete);
    agent.handle_backend(milliseconds(42), packet(&answer(7, 501)));
    assert_eq!(flow_knowledge_at(&mut agent, 43), FlowKnowledge::Partial);
}

#[test]
fn an_agent_presumes_to_know_every_flow_of_a_cold_back_end_that_reports_at_once() {
    let first = heartbeat(1, 2_000);
    assert_eq!(
        flow_knowledge_after(6_500, &first),
        FlowKnowledge::Complete,
        "the very first heartbeat, sent after the process's start"
    );
    assert_eq!(flow_knowledge_after(6_499, &first), FlowKnowledge::Partial, "it may be late");
    assert_eq!(flow_knowledge_after(40, &heartbeat(2, 1_950)), FlowKnowledge::PresumedComplete);
    assert_eq!(
        flow_knowledge_after(40, &heartbeat(2, 0)),
        FlowKnowledge::Partial,
        "warm: it has been running before"
    );
    assert_eq!(
        flow_knowledge_after(40, &heartbeat(9, 500)),
        FlowKnowledge::Partial,
        "not one of its first heartbeats"
    );
    assert_eq!(
        flow_knowledge_after(900, &heartbeat(2, 1_950)),
        FlowKnowledge::Partial,
        "received late"
    );
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
