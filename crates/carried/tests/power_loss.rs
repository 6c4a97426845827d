//! What a balancer concludes from a presumed power loss of the whole system: flows from before are
//! over, for a short time and only at agents that presume it as well.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, FlowAnswer, FlowKnowledge, FlowStatus, LoadReport, Message,
    NodeRole, Output,
};
use support::restarts::{AGENTS, balancer_with_reports, load, request, run_timers};
use support::*;

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
