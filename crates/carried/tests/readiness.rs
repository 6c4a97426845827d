//! What an agent concludes from its back end's reports when they arrive late, after its own
//! restart, or out of order.

mod support;

use loftdrift_carried::{Admission, CarriedAgent, ReportOutcome};
use support::*;

/// Heartbeats are delayed by less than this.
const MAX_DELAY_MS: u64 = 5_000;

fn takes_flows(agent: &mut CarriedAgent, now: u64) -> bool {
    let port = (now % 60_000) as u16;
    agent.handle_peer(
        milliseconds(now),
        balancer_address(),
        &offer(now, port, Admission::FreeSlot),
    );
    sent_to_backend(&outputs(agent)) == 1
}

fn receive(agent: &mut CarriedAgent, now: u64, id: &str, sequence: u64) -> ReportOutcome {
    agent.take_report(milliseconds(now), &report(id, sequence, true))
}

fn depart(agent: &mut CarriedAgent, now: u64, id: &str) {
    agent.take_departure(milliseconds(now), &departed(id));
}

/// Guards against new flows to a back end whose departure was acknowledged: the agent's process was
/// replaced, and the new one took late heartbeats for the present.
#[test]
fn late_heartbeats_do_not_make_a_restarted_agent_accept_flows_for_a_departed_back_end() {
    let mut agent = agent(false);
    for (at, sequence) in [(2_400, 6), (3_600, 7), (4_800, 8)] {
        assert_eq!(receive(&mut agent, at, "departed", sequence), ReportOutcome::Updated);
        assert!(!takes_flows(&mut agent, at + 1));
    }
    assert!(!takes_flows(&mut agent, 12_000), "it sends no more heartbeats");
}

#[test]
fn a_heartbeat_that_was_sent_after_the_restart_makes_the_agent_accept_flows() {
    let mut agent = agent(false);
    receive(&mut agent, 600, "one", 6);
    assert!(!takes_flows(&mut agent, MAX_DELAY_MS - 1));
    receive(&mut agent, MAX_DELAY_MS, "one", 10);
    assert!(takes_flows(&mut agent, MAX_DELAY_MS));
}

#[test]
fn the_health_page_makes_a_restarted_agent_accept_flows_at_once() {
    let mut agent = agent(false);
    agent.adopt(milliseconds(5), configuration(1, Vec::new()));
    receive(&mut agent, 10, "one", 6);
    assert!(!takes_flows(&mut agent, 11));
    answer_health_check(&mut agent, milliseconds(12));
    assert!(takes_flows(&mut agent, 13));
    assert_eq!(agent.health_check(), None, "one answer is enough");
}

#[test]
fn a_health_check_that_was_requested_before_a_departure_notice_does_not_count() {
    let mut agent = agent(false);
    agent.adopt(milliseconds(5), configuration(1, Vec::new()));
    receive(&mut agent, 10, "one", 6);
    let (before, _) = agent.health_check().expect("the state of the back end is not known");
    depart(&mut agent, 20, "two");
    agent.take_healthy(milliseconds(30), before);
    assert!(!takes_flows(&mut agent, 31));
    answer_health_check(&mut agent, milliseconds(40));
    assert!(takes_flows(&mut agent, 41), "the notice was another start's");
}

/// Guards against new flows to a departed back end: two late heartbeats of the start before it made
/// that one the current start again.
#[test]
fn late_heartbeats_of_the_start_before_do_not_revoke_a_departure() {
    let mut agent = agent(true);
    receive(&mut agent, 0, "former", 5);
    receive(&mut agent, 2_000, "departing", 1);
    receive(&mut agent, 3_200, "departing", 2);
    depart(&mut agent, 4_000, "departing");
    for (at, sequence) in [(4_500, 6), (5_700, 7)] {
        receive(&mut agent, at, "former", sequence);
        assert!(!takes_flows(&mut agent, at + 1), "heartbeat {sequence}");
    }
    assert!(!takes_flows(&mut agent, 14_000));
}

/// Guards against new flows to a departed back end whose only heartbeat had not arrived: the start
/// before it stayed in force.
#[test]
fn a_departure_notice_of_a_start_that_was_not_heard_stops_new_flows() {
    let mut agent = agent(true);
    receive(&mut agent, 0, "former", 5);
    depart(&mut agent, 1_000, "departing");
    assert!(!takes_flows(&mut agent, 1_001));
    receive(&mut agent, 2_000, "former", 6);
    assert!(!takes_flows(&mut agent, 2_001), "a late heartbeat");
    receive(&mut agent, 1_000 + MAX_DELAY_MS, "former", 10);
    assert!(takes_flows(&mut agent, 1_001 + MAX_DELAY_MS), "it lives: the notice was late");
}
