//! A cold back end is given no more new flows in any second than its service's limit.

mod support;

use loftdrift_carried::{
    Admission, BackendReport, CarriedAgent, CarriedConfiguration, DeclineReason,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

/// New flows a second that the configuration tells.
const LIMIT: usize = 7;
const BALANCERS: u8 = 24;

fn with_limit() -> CarriedConfiguration {
    let mut told = configuration(1, vec![route(service_address(), SERVICE)]);
    told.services[0].cold_flows_milli = LIMIT as u32 * 1_000;
    told
}

fn cold(sequence: u64, left: Duration) -> BackendReport {
    BackendReport { capacity: 64, warm_up_left: left, ..report("one", sequence, true) }
}

fn balancer_number(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, 0, number].into(), 7720)
}

/// Moments at which the back end got a new flow while every balancer offers some.
fn taken(agent: &mut CarriedAgent, from: u64, to: u64) -> Vec<u64> {
    let mut moments = Vec::new();
    for at in (from..to).step_by(7) {
        let port = (at % 60_000) as u16 + 1;
        let from = balancer_number((at % u64::from(BALANCERS)) as u8 + 1);
        let offered = offer(at, port, Admission::Within(500));
        agent.handle_peer(milliseconds(at), from, &offered);
        moments.extend((0..sent_to_backend(&outputs(agent))).map(|_| at));
    }
    moments
}

/// The most of some moments within one second.
fn most_a_second(moments: &[u64]) -> usize {
    let within =
        |from: &u64| moments.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
    moments.iter().map(within).max().unwrap_or(0)
}

#[test]
fn no_second_of_a_cold_back_end_has_more_new_flows_than_the_limit() {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), with_limit());
    agent.take_report(milliseconds(0), &cold(1, Duration::from_secs(60)));
    let moments = taken(&mut agent, 0, 10_000);
    assert_eq!(most_a_second(&moments), LIMIT);
    assert!(moments.len() >= 9 * LIMIT, "{}", moments.len());
}

#[test]
fn a_warm_back_end_has_no_limit() {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), with_limit());
    agent.take_report(milliseconds(0), &cold(1, Duration::ZERO));
    assert!(most_a_second(&taken(&mut agent, 0, 1_000)) > 2 * LIMIT);
}

#[test]
fn an_agent_that_was_started_again_gives_none_in_its_first_second() {
    let mut agent = agent(false);
    agent.adopt(milliseconds(0), with_limit());
    agent.take_report(milliseconds(0), &cold(9, Duration::from_secs(60)));
    assert_eq!(taken(&mut agent, 0, 1_000), []);
    assert_eq!(most_a_second(&taken(&mut agent, 1_001, 3_000)), LIMIT);
}

#[test]
fn an_agent_that_has_not_heard_its_back_end_yet_takes_it_for_cold() {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), with_limit());
    agent.take_health(milliseconds(0), true);
    assert_eq!(most_a_second(&taken(&mut agent, 0, 3_000)), LIMIT);
}

#[test]
fn balancers_are_told_why() {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), with_limit());
    agent.take_report(milliseconds(0), &cold(1, Duration::from_secs(60)));
    taken(&mut agent, 0, 500);
    agent.handle_peer(
        milliseconds(501),
        balancer_number(1),
        &offer(1, 60_001, Admission::FreeSlot),
    );
    assert_eq!(declined(&outputs(&mut agent)), Some(DeclineReason::Cold));
}
