//! A cold back end gets no more new flows within any second than the limit of its service.

mod support;

use loftdrift_carried::{
    Admission, BackendReport, CarriedAgent, CarriedConfiguration, DeclineReason,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

/// New flows per second that the configuration allows for a cold back end.
const FLOWS_PER_SECOND: usize = 7;
const BALANCERS: u8 = 24;

fn configuration_with_limit() -> CarriedConfiguration {
    let mut limited = configuration(1, vec![route(service_address(), SERVICE)]);
    limited.services[0].cold_flows_milli = FLOWS_PER_SECOND as u32 * 1_000;
    limited
}

fn cold_report(sequence: u64, warm_up_left: Duration) -> BackendReport {
    BackendReport { capacity: 64, warm_up_left, ..report("one", sequence, true) }
}

fn nth_balancer_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, 0, number].into(), 7720)
}

/// Times, in milliseconds, at which the back end got a new flow while every balancer offers some.
fn admission_times(agent: &mut CarriedAgent, from: u64, to: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for at in (from..to).step_by(7) {
        let port = (at % 60_000) as u16 + 1;
        let from = nth_balancer_address((at % u64::from(BALANCERS)) as u8 + 1);
        let offered = offer(at, port, Admission::Within(500));
        agent.handle_peer(milliseconds(at), from, &offered);
        times.extend((0..sent_to_backend(&outputs(agent))).map(|_| at));
    }
    times
}

/// The largest number of the given times that fall within one second.
fn max_per_second(times: &[u64]) -> usize {
    let within = |from: &u64| times.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn no_second_of_a_cold_back_end_has_more_new_flows_than_the_limit() {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), configuration_with_limit());
    agent.take_report(milliseconds(0), &cold_report(1, Duration::from_secs(60)));
    let times = admission_times(&mut agent, 0, 10_000);
    assert_eq!(max_per_second(&times), FLOWS_PER_SECOND);
    assert!(times.len() >= 9 * FLOWS_PER_SECOND, "{}", times.len());
}

#[test]
fn a_warm_back_end_has_no_limit() {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), configuration_with_limit());
    agent.take_report(milliseconds(0), &cold_report(1, Duration::ZERO));
    assert!(max_per_second(&admission_times(&mut agent, 0, 1_000)) > 2 * FLOWS_PER_SECOND);
}

#[test]
fn a_restarted_agent_admits_no_flow_to_a_cold_back_end_in_its_first_second() {
    let mut agent = agent(false);
    agent.adopt(milliseconds(0), configuration_with_limit());
    agent.take_earlier_departures(milliseconds(0), Some(&[]));
    answer_health_check(&mut agent, milliseconds(0));
    agent.take_report(milliseconds(0), &cold_report(9, Duration::from_secs(60)));
    assert_eq!(admission_times(&mut agent, 0, 1_000), []);
    assert_eq!(max_per_second(&admission_times(&mut agent, 1_001, 3_000)), FLOWS_PER_SECOND);
}

#[test]
fn an_agent_without_a_heartbeat_assumes_a_cold_back_end() {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), configuration_with_limit());
    agent.take_healthy(milliseconds(0));
    assert_eq!(max_per_second(&admission_times(&mut agent, 0, 3_000)), FLOWS_PER_SECOND);
}

#[test]
fn balancers_receive_the_reason_for_a_decline() {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), configuration_with_limit());
    agent.take_report(milliseconds(0), &cold_report(1, Duration::from_secs(60)));
    admission_times(&mut agent, 0, 500);
    agent.handle_peer(
        milliseconds(501),
        nth_balancer_address(1),
        &offer(1, 60_001, Admission::FreeSlot),
    );
    assert_eq!(declined(&outputs(&mut agent)), Some(DeclineReason::Cold));
}
