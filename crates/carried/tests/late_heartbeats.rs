//! Heartbeats that were delayed in transit and arrive after their sender has crashed.

mod support;

use loftdrift_carried::{Admission, CarriedAgent, ReportOutcome};
use support::*;

/// Milliseconds between two heartbeats of a live start.
const PERIOD_MS: u64 = 1_200;

fn takes_flows(agent: &mut CarriedAgent, now: u64, port: u16) -> bool {
    let offer = offer(u64::from(port), port, Admission::FreeSlot);
    agent.handle_peer(milliseconds(now), balancer_address(), &offer);
    sent_to_backend(&outputs(agent)) == 1
}

/// Has the agent receive a heartbeat of its back end.
fn receive(
    agent: &mut CarriedAgent,
    now: u64,
    id: &str,
    sequence: u64,
    is_ready: bool,
) -> ReportOutcome {
    agent.take_report(milliseconds(now), &report(id, sequence, is_ready))
}

#[test]
fn a_late_heartbeat_of_an_unknown_start_does_not_replace_the_live_one() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, "living", 5, true);
    assert_eq!(receive(&mut agent, 400, "crashed", 37, true), ReportOutcome::Unconfirmed);
    for round in 1..=3 {
        let outcome = receive(&mut agent, 10 + round * PERIOD_MS, "living", 5 + round, true);
        assert_eq!(outcome, ReportOutcome::Updated, "heartbeats of the live start still count");
    }
    assert!(takes_flows(&mut agent, 4_000, 1));
}

#[test]
fn a_late_heartbeat_taken_for_the_live_start_is_corrected_within_two_heartbeats() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, "crashed", 37, true);
    assert_eq!(receive(&mut agent, 300, "living", 5, true), ReportOutcome::Unconfirmed);
    assert_eq!(receive(&mut agent, 300 + PERIOD_MS, "living", 6, true), ReportOutcome::Started);
    assert_eq!(receive(&mut agent, 300 + 2 * PERIOD_MS, "living", 7, true), ReportOutcome::Updated);
}

#[test]
fn several_heartbeats_delayed_together_count_no_more_than_one() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, "living", 5, true);
    for (at, sequence) in [(400, 36), (410, 37), (430, 38)] {
        assert_eq!(receive(&mut agent, at, "crashed", sequence, true), ReportOutcome::Unconfirmed);
    }
    assert_eq!(receive(&mut agent, 10 + PERIOD_MS, "living", 6, true), ReportOutcome::Updated);
}

#[test]
fn a_late_first_heartbeat_of_a_crashed_start_replaces_the_live_one_for_two_heartbeats_at_most() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, "living", 5, true);
    receive(&mut agent, 400, "crashed", 1, true);
    receive(&mut agent, 10 + PERIOD_MS, "living", 6, true);
    assert_eq!(receive(&mut agent, 10 + 2 * PERIOD_MS, "living", 7, true), ReportOutcome::Started);
    assert_eq!(receive(&mut agent, 10 + 3 * PERIOD_MS, "living", 8, true), ReportOutcome::Updated);
}

#[test]
fn no_late_heartbeat_cancels_the_leaving_of_a_live_start() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, "leaving", 5, false);
    for (at, id, sequence) in [(20, "crashed", 37), (30, "other", 1)] {
        assert_eq!(receive(&mut agent, at, id, sequence, true), ReportOutcome::Unconfirmed);
        assert!(!takes_flows(&mut agent, at, 1), "{id}");
    }
}

#[test]
fn a_start_that_reports_leaving_gets_no_new_flows_even_while_unconfirmed() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, "crashed", 37, true);
    assert!(takes_flows(&mut agent, 11, 1));
    receive(&mut agent, 300, "leaving", 5, false);
    assert!(!takes_flows(&mut agent, 301, 2), "at once, not one heartbeat later");
}

#[test]
fn a_new_start_is_accepted_at_its_first_heartbeat() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, "first", 40, true);
    assert_eq!(receive(&mut agent, 2_000, "second", 1, true), ReportOutcome::Started);
    // The same holds after a planned shutdown, once nothing of the starts before can be on its way.
    receive(&mut agent, 3_000, "second", 2, false);
    agent.take_departure(milliseconds(5_000), &departed("second"));
    assert_eq!(receive(&mut agent, 6_900, "third", 1, true), ReportOutcome::Started);
    assert!(!takes_flows(&mut agent, 6_901, 1), "it may be a late one of a start before");
    answer_health_check(&mut agent, milliseconds(6_910));
    assert!(!takes_flows(&mut agent, 6_911, 2), "the health page may lie");
    assert_eq!(
        receive(&mut agent, 6_950, "second", 3, true),
        ReportOutcome::Outdated,
        "it has departed"
    );
    receive(&mut agent, 7_000, "third", 2, true);
    assert!(takes_flows(&mut agent, 7_001, 3), "`second` was first heard 5 s ago");
}
