//! Lookups of unknown flows: the balancer asks agents for the owner, waits, or resets the caller.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, FlowStatus, LoadReport, Message, NodeRole, Output, Segment,
};
use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

/// The packet of an open flow that most tests here send.
fn request() -> Segment {
    data(1, 101, 501)
}

fn load() -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        ..LoadReport::default()
    }
}

/// A balancer that knows `agents` agents and has read the list of nodes.
fn informed_balancer(agents: u8) -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    let list: Vec<_> = (1..=agents).map(|agent| (agent_address(agent), NodeRole::Agent)).collect();
    balancer.learn_members(milliseconds(0), &list);
    for agent in 1..=agents {
        send(&mut balancer, milliseconds(0), agent, load());
    }
    outputs_of(&mut balancer);
    balancer
}

fn forwarded(outputs: &[Output]) -> Vec<SocketAddrV4> {
    let forwarded = outputs.iter().filter_map(|output| match output {
        Output::ToPeer { to, message: Message::Forward { .. } } => Some(*to),
        _ => None,
    });
    forwarded.collect()
}

/// Runs timers every millisecond, on time: a delayed process would extend its timeouts.
fn run_timers(balancer: &mut CarriedBalancer, from: u64, to: u64) {
    (from..=to).for_each(|at| balancer.handle_timeout(milliseconds(at)));
}

/// Runs the timers due within 8 ms, in which nothing arrives, and returns all outputs.
fn settle(balancer: &mut CarriedBalancer, now: Duration) -> Vec<Output> {
    let until = now + milliseconds(8);
    while let Some(at) = balancer.next_timeout().filter(|at| *at <= until) {
        balancer.handle_timeout(at.max(now));
    }
    outputs_of(balancer)
}

/// Delivers a caller's packet to a balancer and returns the outputs.
fn receive(balancer: &mut CarriedBalancer, now: Duration, segment: &Segment) -> Vec<Output> {
    balancer.handle_caller(now, &packet(segment));
    settle(balancer, now)
}

fn answer(
    balancer: &mut CarriedBalancer,
    now: Duration,
    agent: SocketAddrV4,
    status: FlowStatus,
) -> Vec<Output> {
    balancer.handle_peer(now, agent, &reply(1, status).encode());
    settle(balancer, now)
}

/// Answers every query as given by `status_of`, until no more are sent, and returns all outputs.
fn answer_all(
    balancer: &mut CarriedBalancer,
    now: Duration,
    status_of: impl Fn(SocketAddrV4) -> Option<FlowStatus>,
) -> Vec<Output> {
    let mut all = Vec::new();
    let mut now = now;
    let mut open = settle(balancer, now);
    while !open.is_empty() {
        now += milliseconds(8);
        all.extend(open.iter().cloned());
        let mut next = Vec::new();
        for agent in asked(&open) {
            if let Some(status) = status_of(agent) {
                next.extend(answer(balancer, now, agent, status));
            }
        }
        open = next;
    }
    all
}

#[test]
fn a_caller_is_reset_at_the_last_answer_if_no_agent_owns_its_flow() {
    let mut balancer = informed_balancer(20);
    let mut open = asked(&receive(&mut balancer, milliseconds(1), &request()));
    assert_eq!(open.len(), 16, "the first batch");
    let mut answered = 0;
    while let Some(agent) = open.pop() {
        let outputs = answer(&mut balancer, milliseconds(3), agent, FlowStatus::Absent);
        answered += 1;
        open.extend(asked(&outputs));
        assert_eq!(resets(&outputs), usize::from(answered == 20), "after {answered}");
    }
    assert_eq!(balancer.counters(milliseconds(3)).flows_told_over, 1);
    // The reset was lost: the caller's retransmission is reset at once.
    balancer.handle_caller(milliseconds(203), &packet(&request()));
    assert_eq!(resets(&outputs_of(&mut balancer)), 1);
}

#[test]
fn no_caller_is_reset_while_one_agent_has_not_answered() {
    let mut balancer = informed_balancer(7);
    balancer.handle_caller(milliseconds(1), &packet(&request()));
    let silent = agent_address(3);
    let deny = |agent| (agent != silent).then_some(FlowStatus::Absent);
    let outputs = answer_all(&mut balancer, milliseconds(3), deny);
    assert_eq!(resets(&outputs), 0);
    // The silent agent may be partitioned or frozen, its flows still open. The others report.
    for at in (100..14_000).step_by(100) {
        for agent in (1..=7).filter(|agent| agent_address(*agent) != silent) {
            send(&mut balancer, milliseconds(at), agent, load());
        }
        if at % 1_000 == 0 {
            balancer.handle_caller(milliseconds(at), &packet(&request()));
        }
        balancer.handle_timeout(milliseconds(at));
        let outputs = answer_all(&mut balancer, milliseconds(at), deny);
        assert_eq!(resets(&outputs), 0, "after {at} ms");
    }
    let held = reply(1, FlowStatus::Owned);
    balancer.handle_peer(milliseconds(14_000), silent, &held.encode());
    assert!(!forwarded(&outputs_of(&mut balancer)).is_empty(), "found once the agent is back");
}

#[test]
fn a_departed_agent_does_not_block_a_lookup() {
    let mut balancer = informed_balancer(7);
    let ended = LoadReport { condition: BackendCondition::Ended, ..load() };
    send(&mut balancer, milliseconds(1), 3, ended);
    balancer.handle_caller(milliseconds(2), &packet(&request()));
    let gone = agent_address(3);
    let deny = |agent| (agent != gone).then_some(FlowStatus::Absent);
    assert_eq!(resets(&answer_all(&mut balancer, milliseconds(3), deny)), 0, "it may still answer");
    run_timers(&mut balancer, 3, 40);
    assert_eq!(resets(&settle(&mut balancer, milliseconds(40))), 1, "within 40 ms");
    let known: Vec<_> = balancer.snapshot().members;
    assert!(known.iter().all(|(address, _)| *address != agent_address(3)), "not in snapshots");
}

#[test]
fn an_agent_whose_departure_notice_is_old_is_asked() {
    let mut balancer = informed_balancer(7);
    let ended = LoadReport { condition: BackendCondition::Ended, ..load() };
    send(&mut balancer, milliseconds(1), 3, ended);
    // The balancer's process was stalled; meanwhile the agent's next back end has accepted flows.
    balancer.resume(milliseconds(4_000));
    outputs_of(&mut balancer);
    balancer.handle_caller(milliseconds(4_001), &packet(&request()));
    let back = agent_address(3);
    let deny = |agent| (agent != back).then_some(FlowStatus::Absent);
    let outputs = answer_all(&mut balancer, milliseconds(4_002), deny);
    assert!(asked(&outputs).contains(&back));
    assert_eq!(resets(&outputs), 0);
    balancer.handle_peer(milliseconds(4_012), back, &reply(1, FlowStatus::Owned).encode());
    assert_eq!(forwarded(&outputs_of(&mut balancer)), [back]);
}

#[test]
fn an_agent_known_only_from_the_list_may_own_the_flow() {
    let mut balancer = informed_balancer(3);
    balancer.learn_members(milliseconds(1), &[(agent_address(9), NodeRole::Agent)]);
    balancer.handle_caller(milliseconds(2), &packet(&request()));
    let deny = |agent| (agent != agent_address(9)).then_some(FlowStatus::Absent);
    let outputs = answer_all(&mut balancer, milliseconds(3), deny);
    assert!(asked(&outputs).contains(&agent_address(9)));
    assert_eq!(resets(&outputs), 0);
}

/// Guards against resets after a time alone: what is missing is the list, not time.
#[test]
fn a_balancer_resets_no_caller_before_it_has_read_the_list() {
    let mut balancer = new_balancer(1);
    for agent in 1..=3 {
        send(&mut balancer, milliseconds(0), agent, load());
    }
    balancer.handle_caller(milliseconds(1), &packet(&request()));
    let outputs = answer_all(&mut balancer, milliseconds(3), |_| Some(FlowStatus::Absent));
    assert_eq!(resets(&outputs), 0, "there may be other agents");
    for agent in 1..=3 {
        send(&mut balancer, milliseconds(5_100), agent, load());
    }
    balancer.handle_caller(milliseconds(5_100), &packet(&request()));
    let outputs = answer_all(&mut balancer, milliseconds(5_101), |_| Some(FlowStatus::Absent));
    assert_eq!(resets(&outputs), 0, "there still may be");
    let list: Vec<_> = (1..=3).map(|agent| (agent_address(agent), NodeRole::Agent)).collect();
    balancer.learn_members(milliseconds(5_200), &list);
    balancer.handle_caller(milliseconds(5_200), &packet(&request()));
    let outputs = answer_all(&mut balancer, milliseconds(5_201), |_| Some(FlowStatus::Absent));
    assert_eq!(resets(&outputs), 1);
}

#[test]
fn a_packet_is_tried_at_no_back_end_before_all_agents_that_know_have_denied() {
    let mut balancer = informed_balancer(7);
    balancer.handle_caller(milliseconds(1), &packet(&request()));
    let undecided = agent_address(2);
    let status_of = |agent| match agent == undecided {
        true => Some(FlowStatus::Unknown),
        false => Some(FlowStatus::Absent),
    };
    let outputs = answer_all(&mut balancer, milliseconds(3), status_of);
    assert_eq!(tried(&outputs), [undecided]);
    assert_eq!(forwarded(&outputs), []);
    assert_eq!(resets(&outputs), 0, "the back end's reaction decides");
    let outputs = answer(&mut balancer, milliseconds(4), undecided, FlowStatus::Absent);
    assert_eq!(resets(&outputs), 1);
}

#[test]
fn while_a_silent_agent_may_own_the_flow_only_two_trials_are_made() {
    let mut balancer = informed_balancer(7);
    let silent = agent_address(7);
    let status_of = |agent| (agent != silent).then_some(FlowStatus::Unknown);
    let mut given = HashSet::new();
    let mut trials = 0;
    for at in (1..3_900).step_by(20) {
        if at % 200 == 1 {
            balancer.handle_caller(milliseconds(at), &packet(&request()));
        }
        balancer.handle_timeout(milliseconds(at));
        let outputs = answer_all(&mut balancer, milliseconds(at), status_of);
        let now_tried = tried(&outputs);
        trials += now_tried.len();
        given.extend(now_tried);
        assert_eq!(resets(&outputs), 0);
    }
    assert_eq!((trials, given.len()), (2, 2));
}

#[test]
fn an_agent_without_a_report_of_its_back_end_is_asked_again_without_a_trial() {
    let mut balancer = informed_balancer(3);
    balancer.handle_caller(milliseconds(1), &packet(&request()));
    let early = |agent| match agent == agent_address(1) {
        true => Some(FlowStatus::NotReady),
        false => Some(FlowStatus::Absent),
    };
    let outputs = answer_all(&mut balancer, milliseconds(3), early);
    assert_eq!((tried(&outputs).len(), resets(&outputs)), (0, 0));
    balancer.handle_timeout(milliseconds(50));
    let outputs = answer_all(&mut balancer, milliseconds(51), |_| Some(FlowStatus::Absent));
    assert_eq!(asked(&outputs), [agent_address(1)]);
    assert_eq!(resets(&outputs), 1);
}

/// Guards against resets of flows of a listed agent that was not heard since all others started
/// together: it may be frozen or cut off. It is presumed gone after 15 s, as at any other time.
#[test]
fn after_a_restart_of_the_whole_system_a_missing_agent_is_waited_for() {
    let restarted = LoadReport { backend_age_ms: Some(100), ..load() };
    let mut balancer = informed_balancer(0);
    balancer.learn_members(milliseconds(10), &[(agent_address(9), NodeRole::Agent)]);
    let deny = |agent| (agent != agent_address(9)).then_some(FlowStatus::Absent);
    for at in [120, 320, 5_000, 14_900, 15_100] {
        for agent in 1..=3 {
            send(&mut balancer, milliseconds(at - 20), agent, restarted.clone());
        }
        run_timers(&mut balancer, at - 20, at - 1);
        balancer.handle_caller(milliseconds(at), &packet(&request()));
        let outputs = answer_all(&mut balancer, milliseconds(at + 1), deny);
        assert_eq!(resets(&outputs), usize::from(at > 15_000), "at {at} ms");
    }
}

#[test]
fn a_balancer_that_was_partitioned_at_its_start_waits_for_missing_agents() {
    let restarted = LoadReport { backend_age_ms: Some(900), ..load() };
    let mut balancer = informed_balancer(0);
    balancer.learn_members(milliseconds(10), &[(agent_address(9), NodeRole::Agent)]);
    // All started together. The agents report 0.9 s later, but one of them is missing by then.
    for agent in 1..=3 {
        send(&mut balancer, milliseconds(900), agent, restarted.clone());
    }
    balancer.handle_caller(milliseconds(950), &packet(&request()));
    let deny = |agent| (agent != agent_address(9)).then_some(FlowStatus::Absent);
    assert_eq!(resets(&answer_all(&mut balancer, milliseconds(951), deny)), 0);
}

#[test]
fn a_balancer_that_started_later_than_the_rest_waits_for_missing_agents() {
    // The whole system restarted three seconds ago, and this balancer once more just now.
    let restarted = LoadReport { backend_age_ms: Some(3_000), ..load() };
    let mut balancer = informed_balancer(0);
    balancer.learn_members(milliseconds(10), &[(agent_address(9), NodeRole::Agent)]);
    for agent in 1..=3 {
        send(&mut balancer, milliseconds(100), agent, restarted.clone());
    }
    balancer.handle_caller(milliseconds(800), &packet(&request()));
    let deny = |agent| (agent != agent_address(9)).then_some(FlowStatus::Absent);
    assert_eq!(resets(&answer_all(&mut balancer, milliseconds(801), deny)), 0);
}

#[test]
fn one_older_back_end_shows_that_not_the_whole_system_has_restarted() {
    let restarted = LoadReport { backend_age_ms: Some(100), ..load() };
    let mut balancer = informed_balancer(0);
    balancer.learn_members(milliseconds(10), &[(agent_address(9), NodeRole::Agent)]);
    send(&mut balancer, milliseconds(100), 1, restarted.clone());
    send(&mut balancer, milliseconds(100), 2, restarted);
    send(&mut balancer, milliseconds(100), 3, LoadReport { backend_age_ms: Some(9_000), ..load() });
    balancer.handle_caller(milliseconds(400), &packet(&request()));
    let deny = |agent| (agent != agent_address(9)).then_some(FlowStatus::Absent);
    assert_eq!(resets(&answer_all(&mut balancer, milliseconds(401), deny)), 0);
}

#[test]
fn packets_whose_callers_expect_no_answer_are_never_reset() {
    let finish = Segment { fin: true, payload_bytes: 0, ..request() };
    let acknowledgement = Segment { payload_bytes: 0, ..request() };
    for segment in [finish, acknowledgement, Segment { fin: true, ..request() }] {
        let mut balancer = informed_balancer(3);
        balancer.handle_caller(milliseconds(1), &packet(&segment));
        let outputs = answer_all(&mut balancer, milliseconds(3), |_| Some(FlowStatus::Absent));
        assert_eq!(asked(&outputs).len(), 3);
        assert_eq!(resets(&outputs), 0, "{segment:?}");
    }
}

#[test]
fn answers_of_unknown_nodes_and_unrequested_answers_change_nothing() {
    let mut balancer = informed_balancer(1);
    balancer.handle_caller(milliseconds(1), &packet(&request()));
    outputs_of(&mut balancer);
    let unknown = address("10.9.9.9:7720");
    for message in [reply(1, FlowStatus::Owned), Message::Ended { flow: flow_named(1) }] {
        balancer.handle_peer(milliseconds(2), unknown, &message.encode());
        assert_eq!(outputs_of(&mut balancer), []);
    }
    assert_eq!(resets(&answer(&mut balancer, milliseconds(2), unknown, FlowStatus::Absent)), 0);
    balancer.handle_peer(milliseconds(2), agent_address(1), &reply(2, FlowStatus::Absent).encode());
    assert_eq!(outputs_of(&mut balancer), []);
    assert_eq!(balancer.counters(milliseconds(2)).answers_unexpected, 4);
}

#[test]
fn a_reused_port_ends_the_lookup_of_its_earlier_flow() {
    let mut balancer = informed_balancer(3);
    balancer.handle_caller(milliseconds(1), &packet(&request()));
    outputs_of(&mut balancer);
    balancer.handle_caller(milliseconds(2), &packet(&syn(1)));
    for agent in 1..=3 {
        let agent = agent_address(agent);
        assert_eq!(resets(&answer(&mut balancer, milliseconds(3), agent, FlowStatus::Absent)), 0);
    }
}

#[test]
fn answers_about_a_ports_earlier_flow_do_not_apply_to_its_next_flow() {
    for age in [20, 2_500] {
        let mut balancer = informed_balancer(3);
        balancer.handle_caller(milliseconds(1), &packet(&request()));
        let outputs = answer_all(&mut balancer, milliseconds(2), |_| Some(FlowStatus::Absent));
        assert_eq!(resets(&outputs), 1);
        // The next flow was opened through another balancer, and its sequence numbers differ.
        let next = data(1, 77_000_000, 2_000_000_000);
        balancer.handle_caller(milliseconds(40 + age), &packet(&next));
        let outputs = answer_all(&mut balancer, milliseconds(40 + age), |agent| {
            (agent != agent_address(2)).then_some(FlowStatus::Absent)
        });
        assert_eq!(asked(&outputs).len(), 3, "all are asked again");
        assert_eq!(resets(&outputs), 0);
    }
}

#[test]
fn answers_are_requested_again_once_they_are_old() {
    let mut balancer = informed_balancer(3);
    balancer.handle_caller(milliseconds(1), &packet(&request()));
    answer_all(&mut balancer, milliseconds(2), |_| Some(FlowStatus::Absent));
    balancer.handle_caller(milliseconds(1_600), &packet(&request()));
    let outputs = answer_all(&mut balancer, milliseconds(1_600), |_| Some(FlowStatus::Absent));
    assert_eq!((asked(&outputs).len(), resets(&outputs)), (3, 1));
}

#[test]
fn packets_wait_for_the_answer_and_are_forwarded_in_order() {
    let mut balancer = informed_balancer(3);
    let parts: Vec<Vec<u8>> = (0..40).map(|part| packet(&data(1, 101 + 10 * part, 501))).collect();
    for part in &parts {
        balancer.handle_caller(milliseconds(1), part);
    }
    outputs_of(&mut balancer);
    let held = reply(1, FlowStatus::Owned);
    balancer.handle_peer(milliseconds(2), agent_address(2), &held.encode());
    let sent: Vec<Vec<u8>> = outputs_of(&mut balancer)
        .into_iter()
        .filter_map(|output| match output {
            Output::ToPeer { message: Message::Forward { datagram }, .. } => Some(datagram),
            _ => None,
        })
        .collect();
    assert_eq!(sent, parts[..16], "as many as a caller has in flight");
}

/// The agent that a new flow is offered to first.
fn first_offered(balancer: &mut CarriedBalancer, port: u16) -> SocketAddrV4 {
    balancer.handle_caller(milliseconds(1), &packet(&syn(port)));
    offers(&outputs_of(balancer))[0].0
}

#[test]
fn the_first_queries_include_the_agent_with_which_another_balancer_placed_the_flow() {
    const AGENTS: u8 = 200;
    let mut places = informed_balancer(AGENTS);
    for port in 1..=100 {
        let placed_at = first_offered(&mut places, port);
        let mut searches = informed_balancer(AGENTS);
        searches.handle_caller(milliseconds(1), &packet(&data(port, 101, 501)));
        searches.handle_timeout(milliseconds(1));
        let first_batch = asked(&outputs_of(&mut searches));
        assert_eq!(first_batch.len(), 16);
        assert!(first_batch.contains(&placed_at), "flow {port}");
    }
}

#[test]
fn with_too_many_agents_no_caller_is_reset_and_queries_are_bounded() {
    let mut balancer = new_balancer(1);
    let agent = |number: u16| {
        let [high, low] = number.to_be_bytes();
        SocketAddrV4::new([10, 3, high, low].into(), 7720)
    };
    let list: Vec<_> = (0..3_400).map(|number| (agent(number), NodeRole::Agent)).collect();
    balancer.learn_members(milliseconds(0), &list);
    for (address, _) in &list {
        send_load(&mut balancer, milliseconds(0), *address, load());
    }
    outputs_of(&mut balancer);
    balancer.handle_caller(milliseconds(1), &packet(&request()));
    let outputs = answer_all(&mut balancer, milliseconds(2), |_| Some(FlowStatus::Absent));
    assert_eq!(asked(&outputs).len(), 512);
    assert_eq!(resets(&outputs), 0);
}

#[test]
fn queries_about_many_flows_share_their_messages() {
    let mut balancer = informed_balancer(3);
    // The first query is sent at once; the others wait for the next batch.
    receive(&mut balancer, milliseconds(1), &data(1_000, 101, 501));
    for port in 1..=100 {
        balancer.handle_caller(milliseconds(3), &packet(&data(port, 101, 501)));
    }
    balancer.handle_timeout(milliseconds(3));
    assert_eq!(asked(&outputs_of(&mut balancer)), []);
    balancer.handle_timeout(milliseconds(5));
    let outputs = outputs_of(&mut balancer);
    assert_eq!(asked(&outputs).len(), 6, "two messages per agent");
    for output in outputs {
        if let Output::ToPeer { message, .. } = output {
            assert!(message.encode().len() <= loftdrift_carried::MAX_MESSAGE_BYTES);
        }
    }
}

#[test]
fn back_ends_of_agents_that_may_have_forgotten_are_tried_a_few_at_a_time() {
    let mut balancer = informed_balancer(12);
    balancer.handle_caller(milliseconds(1), &packet(&request()));
    let outputs = answer_all(&mut balancer, milliseconds(3), |_| Some(FlowStatus::Unknown));
    let first = tried(&outputs);
    assert_eq!(first.len(), 4);
    let mut open = first;
    let mut all = 0;
    while let Some(agent) = open.pop() {
        all += 1;
        // Further trials wait for the next batch.
        let now = milliseconds(5 + 4 * all as u64);
        let outputs = answer(&mut balancer, now, agent, FlowStatus::Absent);
        assert_eq!(resets(&outputs), usize::from(all == 12), "after {all}");
        open.extend(tried(&outputs));
    }
    assert_eq!(all, 12);
}
