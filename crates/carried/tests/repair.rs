//! Searches after a loss: what they may take of a process, and what a loss of all power settles.

mod support;

use loftdrift_carried::{
    BackendCondition, BackendReport, CarriedBalancer, FlowMemory, FlowWord, LoadReport, Message,
    NodeRole, Output, Segment, Word,
};
use std::time::Duration;
use support::*;

const AGENTS: u8 = 20;

fn load(memory: FlowMemory, up_ms: u32) -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        memory,
        up_ms: Some(up_ms),
        ..LoadReport::default()
    }
}

/// A balancer that has read the list of nodes and heard all agents of `report` at 100 ms.
fn hearing(report: impl Fn(u8) -> LoadReport) -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    let list: Vec<_> = (1..=AGENTS).map(|agent| (agent_address(agent), NodeRole::Agent)).collect();
    balancer.learn_members(milliseconds(0), &list);
    serve(&mut balancer, 0, 100);
    for agent in 1..=AGENTS {
        tell(&mut balancer, milliseconds(100), agent, report(agent));
    }
    outputs_of(&mut balancer);
    balancer
}

/// Serves timers when they are due.
fn serve(balancer: &mut CarriedBalancer, from: u64, to: u64) {
    (from..=to).for_each(|at| balancer.handle_timeout(milliseconds(at)));
}

fn request(port: u16) -> Segment {
    data(port, 101, 501)
}

fn word_of(port: u16, up_ms: u32, word: Word) -> Vec<u8> {
    Message::Found { up_ms, words: vec![FlowWord { flow: flow_named(port), word }] }.encode()
}

/// Has every agent that is asked for a flow say the same; gives all outputs.
fn say_all(balancer: &mut CarriedBalancer, up_ms: u32, word: Word) -> Vec<Output> {
    let mut all = Vec::new();
    for at in 101..160 {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(balancer);
        for agent in asked(&outputs) {
            balancer.handle_peer(milliseconds(at), agent, &word_of(1, up_ms, word));
        }
        all.extend(outputs);
    }
    all.extend(outputs_of(balancer));
    all
}

#[test]
fn agents_that_have_forgotten_are_not_asked_what_they_cannot_know() {
    let mut balancer = hearing(|_| load(FlowMemory::Partial, 60_000));
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    balancer.handle_timeout(milliseconds(101));
    let outputs = outputs_of(&mut balancer);
    assert_eq!(asked(&outputs), [], "each would be unsure");
    assert_eq!(tried(&outputs).len(), 4, "the likeliest are tried at once");
}

#[test]
fn after_a_loss_of_all_power_a_flow_of_before_is_told_to_be_over_without_a_trial() {
    let mut balancer = hearing(|_| load(FlowMemory::Presumed, 90));
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    let outputs = say_all(&mut balancer, 95, Word::Unsure);
    assert_eq!(tried(&outputs), [], "no back end of before lives");
    assert_eq!(resets(&outputs), 1);
}

#[test]
fn processes_that_are_killed_together_beside_living_back_ends_are_no_loss_of_power() {
    let mut balancer = hearing(|agent| match agent {
        // One in five heard a regular heartbeat as soon as if the back end had just started.
        1..=4 => load(FlowMemory::Presumed, 90),
        _ => load(FlowMemory::Partial, 90),
    });
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    let outputs = say_all(&mut balancer, 95, Word::Unsure);
    assert_eq!(resets(&outputs), 0);
    assert!(!tried(&outputs).is_empty(), "back ends are to tell");
}

#[test]
fn back_ends_that_restart_at_different_times_are_no_loss_of_power() {
    let up_ms = |agent: u8| 90 + 500 * u32::from(agent);
    let mut balancer = hearing(|agent| load(FlowMemory::Presumed, up_ms(agent)));
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    let outputs = say_all(&mut balancer, 95, Word::Unsure);
    assert_eq!(resets(&outputs), 0);
}

#[test]
fn an_agent_that_was_killed_once_more_after_the_loss_of_power_stays_unsure() {
    let mut balancer = hearing(|_| load(FlowMemory::Presumed, 90));
    // Three seconds later one process is replaced; balancers hold its earlier word.
    serve(&mut balancer, 101, 3_100);
    for agent in 1..=AGENTS {
        tell(&mut balancer, milliseconds(3_100), agent, load(FlowMemory::Presumed, 3_090));
    }
    let killed = agent_address(7);
    outputs_of(&mut balancer);
    balancer.handle_caller(milliseconds(3_101), &packet(&request(1)));
    let mut told = 0;
    for at in 3_101..3_160 {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        told += resets(&outputs);
        for agent in asked(&outputs) {
            let up_ms = if agent == killed { 40 } else { 3_090 };
            balancer.handle_peer(milliseconds(at), agent, &word_of(1, up_ms, Word::Unsure));
        }
        assert!(tried(&outputs).iter().all(|agent| *agent == killed));
    }
    assert_eq!(told, 0, "its back end may hold the flow");
}

#[test]
fn a_machine_that_came_back_without_a_back_end_and_went_holds_up_no_answer() {
    let mut balancer = hearing(|agent| match agent {
        3 => LoadReport { condition: BackendCondition::Unknown, ..load(FlowMemory::Partial, 90) },
        _ => load(FlowMemory::Presumed, 90),
    });
    balancer.handle_caller(milliseconds(101), &packet(&request(1)));
    let mut told = 0;
    for at in 101..180 {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        told += resets(&outputs);
        for agent in asked(&outputs).into_iter().filter(|agent| *agent != agent_address(3)) {
            balancer.handle_peer(milliseconds(at), agent, &word_of(1, 95, Word::Unsure));
        }
    }
    assert_eq!(told, 1);
}

/// Load: every flow of a small balancer speaks within a second of its return, 150 a balancer on the
/// users' largest site; nobody answers yet. Callers of new flows come in the same second. A process
/// that runs late for its searches makes those wait, so it may begin few.
#[test]
fn a_process_that_runs_late_begins_few_searches_and_more_once_it_keeps_up() {
    let flows = 1_000;
    let begun = |lateness_ms: u64| {
        let mut balancer = hearing(|_| load(FlowMemory::Partial, 60_000));
        let mut at = 101;
        for port in 1..=flows {
            balancer.handle_caller(milliseconds(at), &packet(&request(port)));
        }
        let mut flows_tried = std::collections::BTreeSet::new();
        while at < 1_101 {
            let due = balancer.next_timeout().unwrap_or_default();
            at = at.max(due.as_millis() as u64 + lateness_ms).max(at + 1);
            balancer.handle_timeout(milliseconds(at));
            for output in outputs_of(&mut balancer) {
                if let Output::ToPeer { message: Message::Try { datagram }, .. } = output {
                    flows_tried.insert(datagram);
                }
            }
        }
        (flows_tried.len(), balancer.counters(milliseconds(at)).lookup_window)
    };
    let (in_calm, _) = begun(0);
    let (when_late, window) = begun(40);
    assert!(in_calm > 500, "{in_calm} of {flows}");
    assert!(when_late < 300, "{when_late} of {flows}");
    assert!((4..=16).contains(&window), "{window}");
}

#[test]
fn flows_whose_callers_wait_are_searched_for_first() {
    let mut balancer = hearing(|_| load(FlowMemory::Whole, 60_000));
    let silent = |port| Segment { payload_bytes: 0, ..request(port) };
    (1..=300).for_each(|port| {
        balancer.handle_caller(milliseconds(101), &packet(&silent(port)));
    });
    balancer.handle_caller(milliseconds(101), &packet(&request(900)));
    let mut order = Vec::new();
    for at in 101..500 {
        balancer.handle_timeout(milliseconds(at));
        for output in outputs_of(&mut balancer) {
            if let Output::ToPeer { message: Message::Find { questions }, .. } = output {
                order.extend(questions.iter().map(|question| question.flow.caller.port()));
            }
        }
    }
    order.dedup();
    let place = |port| order.iter().position(|asked| *asked == port).expect("asked for");
    assert!(place(900) < place(300), "it overtakes those that began to wait before it");
}

fn heartbeat(sequence: u64, warm_up_left: u64) -> BackendReport {
    BackendReport { warm_up_left: milliseconds(warm_up_left), ..report("one", sequence, true) }
}

/// What an agent of this back end says of its memory to a balancer that greets it.
fn memory_after(started_ms: u64, heard: &BackendReport) -> FlowMemory {
    let mut agent = agent(false);
    agent.take_report(milliseconds(started_ms), heard);
    agent.handle_peer(
        milliseconds(started_ms),
        balancer_address(),
        &offer_to("other", 1, 1, loftdrift_carried::Admission::FreeSlot),
    );
    let report = outputs(&mut agent).into_iter().find_map(|output| match output {
        Output::ToPeer { message: Message::Declined { report, .. }, .. } => Some(report),
        _ => None,
    });
    let report = report.expect("an offer of another service is declined");
    assert_eq!(report.up_ms, Some(started_ms as u32));
    report.memory
}

#[test]
fn an_agent_presumes_to_know_every_flow_of_a_cold_back_end_that_is_heard_at_once() {
    let first = heartbeat(1, 2_000);
    assert_eq!(memory_after(900, &first), FlowMemory::Whole, "the very first heartbeat");
    assert_eq!(memory_after(40, &heartbeat(2, 1_950)), FlowMemory::Presumed);
    assert_eq!(memory_after(40, &heartbeat(2, 0)), FlowMemory::Partial, "warm: it has run before");
    assert_eq!(memory_after(40, &heartbeat(9, 500)), FlowMemory::Partial, "not its first ones");
    assert_eq!(memory_after(900, &heartbeat(2, 1_950)), FlowMemory::Partial, "heard late");
}

#[test]
fn words_tell_how_long_the_agent_has_run() {
    let mut agent = agent(false);
    agent.take_report(milliseconds(0), &report("one", 40, true));
    agent.handle_peer(milliseconds(250), balancer_address(), &find(1, 501));
    let ages: Vec<u32> = std::iter::from_fn(|| agent.take_output())
        .filter_map(|output| match output {
            Output::ToPeer { message: Message::Found { up_ms, .. }, .. } => Some(up_ms),
            _ => None,
        })
        .collect();
    assert_eq!(ages, [250]);
}

/// Longest time until an agent beside no back end has said so: callers give a flow up after 1.4 s.
const NOBODY_WITHIN: Duration = Duration::from_millis(1_000);

#[test]
fn an_agent_whose_back_end_answers_nothing_says_that_it_has_ended() {
    let mut agent = agent(false);
    let mut at = 0;
    for _ in 0..4 {
        at = (at..1_000)
            .find(|at| {
                agent.handle_timeout(milliseconds(*at));
                outputs(&mut agent).contains(&Output::ProbeBackend)
            })
            .expect("it asks until it knows");
        assert!(!agent.backend_has_ended());
        // A question without an answer takes 150 ms.
        at += 150;
        agent.take_probe(milliseconds(at), loftdrift_carried::ProbeOutcome::TimedOut);
    }
    assert!(agent.backend_has_ended());
    assert!(milliseconds(at) <= NOBODY_WITHIN, "{at} ms");
    agent.handle_peer(milliseconds(at), balancer_address(), &find(1, 501));
    assert!(outputs(&mut agent).contains(&says(1, Word::Absent)));
    agent.take_report(milliseconds(at + 1), &report("two", 1, true));
    assert!(!agent.backend_has_ended(), "one that starts later is taken");
}

#[test]
fn a_back_end_that_was_heard_is_not_ended_by_questions_without_answers() {
    let mut agent = agent(false);
    agent.take_report(milliseconds(0), &report("one", 40, true));
    agent.start_draining(milliseconds(10));
    for at in [10, 200, 400, 600, 800, 1_000] {
        agent.handle_timeout(milliseconds(at));
        agent.take_probe(milliseconds(at), loftdrift_carried::ProbeOutcome::TimedOut);
    }
    assert!(!agent.backend_has_ended());
}
