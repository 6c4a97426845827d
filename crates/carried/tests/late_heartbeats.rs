//! Heartbeats that were held up on their way and come after their sender's crash.

mod support;

use loftdrift_carried::{Admission, CarriedAgent, ReportOutcome};
use support::*;

/// Time between two heartbeats of a start that lives.
const BEAT: u64 = 1_200;

fn takes_flows(agent: &mut CarriedAgent, now: u64, port: u16) -> bool {
    let offer = offer(u64::from(port), port, Admission::FreeSlot);
    agent.handle_peer(milliseconds(now), balancer_address(), &offer);
    sent_to_backend(&outputs(agent)) == 1
}

fn beat(
    agent: &mut CarriedAgent,
    now: u64,
    id: &str,
    sequence: u64,
    is_ready: bool,
) -> ReportOutcome {
    agent.take_report(milliseconds(now), &report(id, sequence, is_ready))
}

#[test]
fn a_late_heartbeat_of_a_start_that_this_process_never_saw_retires_nobody() {
    let mut agent = agent(false);
    beat(&mut agent, 10, "living", 5, true);
    assert_eq!(beat(&mut agent, 400, "crashed", 37, true), ReportOutcome::Unconfirmed);
    for round in 1..=3 {
        let outcome = beat(&mut agent, 10 + round * BEAT, "living", 5 + round, true);
        assert_eq!(outcome, ReportOutcome::Updated, "the living one's word goes on counting");
    }
    assert!(takes_flows(&mut agent, 4_000, 1));
}

#[test]
fn one_that_comes_before_the_living_start_is_heard_is_put_right_within_two_heartbeats() {
    let mut agent = agent(false);
    beat(&mut agent, 10, "crashed", 37, true);
    assert_eq!(beat(&mut agent, 300, "living", 5, true), ReportOutcome::Unconfirmed);
    assert_eq!(beat(&mut agent, 300 + BEAT, "living", 6, true), ReportOutcome::Started);
    assert_eq!(beat(&mut agent, 300 + 2 * BEAT, "living", 7, true), ReportOutcome::Updated);
}

#[test]
fn several_that_were_held_up_together_are_believed_no_more_than_one() {
    let mut agent = agent(false);
    beat(&mut agent, 10, "living", 5, true);
    for (at, sequence) in [(400, 36), (410, 37), (430, 38)] {
        assert_eq!(beat(&mut agent, at, "crashed", sequence, true), ReportOutcome::Unconfirmed);
    }
    assert_eq!(beat(&mut agent, 10 + BEAT, "living", 6, true), ReportOutcome::Updated);
}

#[test]
fn the_late_first_heartbeat_of_a_start_that_crashed_at_once_retires_the_living_one_for_two_at_most()
{
    let mut agent = agent(false);
    beat(&mut agent, 10, "living", 5, true);
    beat(&mut agent, 400, "crashed", 1, true);
    beat(&mut agent, 10 + BEAT, "living", 6, true);
    assert_eq!(beat(&mut agent, 10 + 2 * BEAT, "living", 7, true), ReportOutcome::Started);
    assert_eq!(beat(&mut agent, 10 + 3 * BEAT, "living", 8, true), ReportOutcome::Updated);
}

#[test]
fn no_late_heartbeat_ends_the_leave_of_a_start_that_lives() {
    let mut agent = agent(false);
    beat(&mut agent, 10, "leaving", 5, false);
    for (at, id, sequence) in [(20, "crashed", 37), (30, "other", 1)] {
        assert_eq!(beat(&mut agent, at, id, sequence, true), ReportOutcome::Unconfirmed);
        assert!(!takes_flows(&mut agent, at, 1), "{id}");
    }
}

#[test]
fn a_start_that_says_that_it_leaves_gets_nothing_new_though_it_is_doubted() {
    let mut agent = agent(false);
    beat(&mut agent, 10, "crashed", 37, true);
    assert!(takes_flows(&mut agent, 11, 1));
    beat(&mut agent, 300, "leaving", 5, false);
    assert!(!takes_flows(&mut agent, 301, 2), "at once, not a heartbeat later");
}

#[test]
fn a_new_start_is_taken_at_its_first_heartbeat() {
    let mut agent = agent(false);
    beat(&mut agent, 10, "first", 40, true);
    assert_eq!(beat(&mut agent, 2_000, "second", 1, true), ReportOutcome::Started);
    // After a planned end too.
    beat(&mut agent, 3_000, "second", 2, false);
    agent.take_departure(milliseconds(8_000), &gone("second"));
    assert_eq!(beat(&mut agent, 8_500, "third", 1, true), ReportOutcome::Started);
    assert_eq!(beat(&mut agent, 8_600, "second", 3, true), ReportOutcome::Outdated, "it is gone");
    assert!(takes_flows(&mut agent, 8_700, 1));
}
