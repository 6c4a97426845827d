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
