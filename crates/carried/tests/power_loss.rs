//! No sign that the whole system has lost power ends a flow: what an agent does not know, its back
//! end decides.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, FlowAnswer, FlowKnowledge, FlowStatus, LoadReport, Message,
    NodeRole, Output,
};
use support::restarts::{AGENTS, balancer_with_reports, load, request, run_timers};
use support::*;

/// When the caller's packet arrives.
const ASKED_AT: u64 = 101;

/// Runs the balancer until `until`. Agents answer queries with `Unknown` and trial packets with
/// `after_trial`, but for those that `is_silent` names. Returns all outputs.
fn answer_all(
    balancer: &mut CarriedBalancer,
    until: u64,
    after_trial: FlowStatus,
    is_silent: impl Fn(u8) -> bool,
) -> Vec<Output> {
    let mut all = Vec::new();
    for at in ASKED_AT..until {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(balancer);
        let unknown = asked(&outputs).into_iter().map(|agent| (agent, FlowStatus::Unknown));
        let tried = tried(&outputs).into_iter().map(|agent| (agent, after_trial));
        for (agent, status) in unknown.chain(tried) {
            if !is_silent(agent.ip().octets()[3]) {
                balancer.handle_peer(milliseconds(at), agent, &reply(1, status).encode());
            }
        }
        all.extend(outputs);
    }
    all.extend(outputs_of(balancer));
    all
}

/// A balancer that started along with all agents, which heard their cold back ends at once.
fn balancer_after_joint_start() -> CarriedBalancer {
    balancer_with_reports(|_| LoadReport { is_cold: true, ..load(FlowKnowledge::Partial, 90) })
}

/// Guards against resets of open flows after a loss of power and a kill of all processes, which
/// leaves the same signs as the loss alone: every back end is asked before a caller is reset.
#[test]
fn after_a_joint_start_a_caller_is_reset_only_once_every_back_end_has_returned_its_packet() {
    let mut balancer = balancer_after_joint_start();
    balancer.handle_caller(milliseconds(ASKED_AT), &packet(&request(1)));
    let outputs = answer_all(&mut balancer, 200, FlowStatus::Absent, |_| false);
    let mut tried = tried(&outputs);
    tried.sort_unstable();
    assert_eq!(tried, (1..=AGENTS).map(agent_address).collect::<Vec<_>>(), "each one once");
    assert_eq!(resets(&outputs), 1);
}

/// Guards against the same where one back end does not react, whose flow it may be.
#[test]
fn after_a_joint_start_no_caller_is_reset_while_a_back_end_has_not_reacted() {
    for silent in [1, 5, AGENTS] {
        let mut balancer = balancer_after_joint_start();
        balancer.handle_caller(milliseconds(ASKED_AT), &packet(&request(1)));
        let outputs = answer_all(&mut balancer, 1_000, FlowStatus::Absent, |agent| agent == silent);
        assert_eq!(resets(&outputs), 0, "agent {silent}");
    }
}

/// Guards against resets of flows of a listed agent that was not heard since the joint start: it may
/// be frozen or cut off beside a back end that goes on.
#[test]
fn after_a_joint_start_no_caller_is_reset_while_a_listed_agent_was_not_heard() {
    let mut balancer = balancer_after_joint_start();
    let unheard = (agent_address(AGENTS + 1), NodeRole::Agent);
    balancer.learn_members(milliseconds(100), &[unheard]);
    run_timers(&mut balancer, 100, ASKED_AT - 1);
    balancer.handle_caller(milliseconds(ASKED_AT), &packet(&request(1)));
    let outputs = answer_all(&mut balancer, 1_000, FlowStatus::Absent, |agent| agent == AGENTS + 1);
    assert_eq!(resets(&outputs), 0);
}

/// Guards against lookups that wait 15 s for a machine which has returned without its back end, has
/// said so, and has vanished again.
#[test]
fn an_agent_that_has_reported_the_end_of_its_back_end_holds_no_lookup_up() {
    let mut balancer = balancer_with_reports(|agent| match agent {
        5 => LoadReport { condition: BackendCondition::Ended, ..load(FlowKnowledge::Partial, 90) },
        _ => load(FlowKnowledge::Partial, 90),
    });
    balancer.handle_caller(milliseconds(ASKED_AT), &packet(&request(1)));
    let outputs = answer_all(&mut balancer, 250, FlowStatus::Absent, |agent| agent == 5);
    assert!(!tried(&outputs).contains(&agent_address(5)), "there is no back end to try");
    assert_eq!(resets(&outputs), 1);
}

/// Guards against resets of flows of a restarted agent that has fallen silent: a departure notice of
/// its earlier process counted, although the new one had answered that it was unsure.
#[test]
fn a_departure_notice_of_an_earlier_process_rules_no_later_one_out() {
    let ended =
        LoadReport { condition: BackendCondition::Ended, ..load(FlowKnowledge::Complete, 30_000) };
    let mut balancer = balancer_with_reports(|agent| match agent {
        5 => ended.clone(),
        _ => load(FlowKnowledge::Complete, 30_000),
    });
    run_timers(&mut balancer, 101, 900);
    outputs_of(&mut balancer);
    let answer = |status, uptime_ms| {
        let answers = vec![FlowAnswer { flow: flow_named(2), status }];
        Message::LookupReply { uptime_ms, answers }.encode()
    };
    balancer.handle_peer(milliseconds(900), agent_address(5), &answer(FlowStatus::Unknown, 60));
    for agent in (1..=AGENTS).filter(|agent| *agent != 5) {
        send(&mut balancer, milliseconds(900), agent, load(FlowKnowledge::Complete, 30_800));
    }
    outputs_of(&mut balancer);
    balancer.handle_caller(milliseconds(901), &packet(&request(1)));
    let mut reset_count = 0;
    for at in 901..1_200 {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        reset_count += resets(&outputs);
        for agent in asked(&outputs).into_iter().filter(|agent| *agent != agent_address(5)) {
            let denial = reply(1, FlowStatus::Absent).encode();
            balancer.handle_peer(milliseconds(at), agent, &denial);
        }
    }
    assert_eq!(reset_count, 0);
}

/// Guards against waits for an owner that has answered: the flow goes on at once.
#[test]
fn after_a_joint_start_a_flow_goes_on_at_the_back_end_that_holds_it() {
    let mut balancer = balancer_after_joint_start();
    balancer.handle_caller(milliseconds(ASKED_AT), &packet(&request(1)));
    balancer.handle_timeout(milliseconds(ASKED_AT));
    let outputs = outputs_of(&mut balancer);
    let owner = *tried(&outputs).first().expect("a back end is tried at once");
    let owned = reply(1, FlowStatus::Owned).encode();
    balancer.handle_peer(milliseconds(ASKED_AT + 1), owner, &owned);
    outputs_of(&mut balancer);
    let datagram = packet(&request(1));
    balancer.handle_caller(milliseconds(ASKED_AT + 200), &datagram);
    let message = Message::Forward { datagram };
    assert_eq!(outputs_of(&mut balancer), [Output::ToPeer { to: owner, message }]);
}
