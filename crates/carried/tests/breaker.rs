//! The circuit breaker stops new requests to a back end that fails them, and lets it be tried again
//! after a while.

mod support;

use loftdrift_carried::{
    Admission, BackendCondition, CarriedAgent, DeclineReason, Message, Output, PlainFormat, Segment,
};
use std::time::Duration;
use support::*;

const START: Duration = Duration::ZERO;

fn ready_agent() -> CarriedAgent {
    let mut agent = agent(true);
    agent.take_report(START, &report("one", 1, true));
    agent
}

/// Offers a new flow and, if the agent takes it, sends its request. Returns the reason if the agent
/// declines.
fn send_request(agent: &mut CarriedAgent, now: Duration, port: u16) -> Option<DeclineReason> {
    // Each flow that uses the same port needs an initial sequence number of its own, as real
    // callers choose.
    let sequence = agent.counters(now).offers_received as u32;
    let opening = Segment { sequence, ..syn(port) };
    let message = Message::Offer {
        number: 1,
        service: SERVICE.to_owned(),
        admission: Admission::FreeSlot,
        datagram: packet(&opening),
    };
    agent.handle_peer(now, balancer_address(), &message.encode());
    if let Some(reason) = declined(&outputs(agent)) {
        return Some(reason);
    }
    agent.handle_backend(now, packet(&Segment { syn: true, ..answer(port, 500) }));
    let request = Message::Forward { datagram: packet(&data(port, 101, 501)) }.encode();
    agent.handle_peer(now, balancer_address(), &request);
    outputs(agent);
    None
}

fn reply(agent: &mut CarriedAgent, now: Duration, port: u16, text: &[u8]) {
    let segment = answer(port, 501);
    agent.handle_backend(now, PlainFormat::write(&segment, text));
    outputs(agent);
}

/// Sends requests, each answered with `text`, until the agent declines one; returns the number of
/// requests it took before that, at most 40.
fn requests_until_declined(agent: &mut CarriedAgent, now: Duration, text: &[u8]) -> u32 {
    for admitted in 0..40 {
        let port = 1_000 + admitted;
        match send_request(agent, now, port) {
            Some(reason) => {
                assert_eq!(reason, DeclineReason::Failing);
                return u32::from(admitted);
            }
            None => reply(agent, now, port, text),
        }
    }
    40
}

fn reported_conditions(outputs: &[Output]) -> Vec<BackendCondition> {
    let condition = |output: &Output| match output {
        Output::ToPeer { message: Message::Heartbeat(heartbeat), .. } => {
            heartbeat.report.as_ref().map(|report| report.condition)
        }
        _ => None,
    };
    outputs.iter().filter_map(condition).collect()
}

#[test]
fn a_back_end_that_fails_at_once_gets_a_few_requests_and_no_more() {
    let mut agent = ready_agent();
    assert_eq!(requests_until_declined(&mut agent, milliseconds(10), PlainFormat::FAILED), 2);
    assert_eq!(agent.counters(START).breaker_openings, 1);
}

#[test]
fn refusals_with_free_slots_count_as_failures() {
    let mut agent = ready_agent();
    assert_eq!(requests_until_declined(&mut agent, milliseconds(10), PlainFormat::REFUSED), 2);
}

#[test]
fn one_failure_among_many_answers_changes_nothing() {
    let mut agent = ready_agent();
    for port in 1..=100 {
        assert_eq!(send_request(&mut agent, milliseconds(10), port), None);
        let text = if port % 20 == 0 { PlainFormat::FAILED } else { b"whole" };
        reply(&mut agent, milliseconds(11), port, text);
    }
    assert_eq!(agent.counters(START).breaker_openings, 0);
    assert_eq!(agent.counters(START).requests_failed, 5);
}

#[test]
fn the_breaker_of_a_failing_back_end_stays_open_longer_each_time() {
    let mut agent = ready_agent();
    requests_until_declined(&mut agent, milliseconds(10), PlainFormat::FAILED);
    let mut trials = Vec::new();
    for at in (0..16_000).step_by(100) {
        let now = milliseconds(10 + at);
        if requests_until_declined(&mut agent, now, PlainFormat::FAILED) > 0 {
            trials.push(at);
        }
    }
    assert_eq!(trials, [1_000, 3_000, 7_000, 11_000, 15_000]);
}

#[test]
fn a_half_open_breaker_admits_one_request_at_a_time_until_five_are_answered() {
    let mut agent = ready_agent();
    requests_until_declined(&mut agent, milliseconds(10), PlainFormat::FAILED);
    let now = milliseconds(1_100);
    for port in 1..=5 {
        assert_eq!(send_request(&mut agent, now, port), None);
        assert_eq!(send_request(&mut agent, now, 100 + port), Some(DeclineReason::Failing));
        reply(&mut agent, now, port, b"whole");
    }
    for port in 11..=14 {
        assert_eq!(send_request(&mut agent, now, port), None, "all slots are available again");
    }
}

#[test]
fn an_unanswered_request_is_a_failure_long_before_it_is_given_up() {
    let mut agent = ready_agent();
    for port in 1..=2 {
        assert_eq!(send_request(&mut agent, milliseconds(10), port), None);
    }
    agent.handle_timeout(milliseconds(600));
    assert_eq!(agent.counters(START).requests_failed, 0);
    agent.handle_timeout(milliseconds(720));
    assert_eq!(agent.counters(START).requests_failed, 2);
    assert_eq!(agent.counters(START).waiting, 2, "the back end may still be processing them");
    assert_eq!(send_request(&mut agent, milliseconds(721), 3), Some(DeclineReason::Failing));
    reply(&mut agent, milliseconds(730), 1, b"whole");
    assert_eq!(agent.counters(START).waiting, 1);
}

#[test]
fn flows_reset_by_the_back_end_are_failures() {
    let mut agent = ready_agent();
    for port in 1..=2 {
        assert_eq!(send_request(&mut agent, milliseconds(10), port), None);
        agent.handle_backend(
            milliseconds(12),
            packet(&Segment { rst: true, ack: false, ..answer(port, 501) }),
        );
        outputs(&mut agent);
    }
    assert_eq!(send_request(&mut agent, milliseconds(13), 3), Some(DeclineReason::Failing));
}

#[test]
fn balancers_are_notified_when_the_breaker_opens_and_when_it_is_half_open() {
    let mut agent = ready_agent();
    agent.learn_members(START, &[(balancer_address(), loftdrift_carried::NodeRole::Balancer)]);
    agent.handle_timeout(milliseconds(5));
    outputs(&mut agent);
    requests_until_declined(&mut agent, milliseconds(10), PlainFormat::FAILED);
    agent.handle_timeout(milliseconds(11));
    assert_eq!(reported_conditions(&outputs(&mut agent)), [BackendCondition::Failing]);
    assert!(agent.next_timeout().is_some_and(|at| at <= milliseconds(1_010)));
    let mut reported = Vec::new();
    for at in (20..=1_100).step_by(10) {
        agent.handle_timeout(milliseconds(at));
        reported.extend(reported_conditions(&outputs(&mut agent)));
    }
    assert_eq!(reported.last(), Some(&BackendCondition::Accepting));
}

#[test]
fn a_new_start_of_the_back_end_is_not_blamed_for_the_old_one() {
    let mut agent = ready_agent();
    requests_until_declined(&mut agent, milliseconds(10), PlainFormat::FAILED);
    agent.take_report(milliseconds(20), &report("two", 1, true));
    assert_eq!(send_request(&mut agent, milliseconds(21), 1), None);
}

#[test]
fn a_failing_back_end_takes_flows_as_a_last_resort() {
    let mut agent = ready_agent();
    requests_until_declined(&mut agent, milliseconds(10), PlainFormat::FAILED);
    let last_resort = offer(1, 1, Admission::Failing(100));
    agent.handle_peer(milliseconds(11), balancer_address(), &last_resort);
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
}

#[test]
fn an_answer_that_arrives_after_the_end_of_its_flow_still_counts() {
    let mut agent = ready_agent();
    for port in 1..=2 {
        assert_eq!(send_request(&mut agent, milliseconds(10), port), None);
        let end = 501 + PlainFormat::FAILED.len() as u32;
        let finish = Segment { fin: true, ..answer(port, end) };
        agent.handle_backend(milliseconds(11), packet(&finish));
        reply(&mut agent, milliseconds(12), port, PlainFormat::FAILED);
    }
    assert_eq!(agent.counters(START).requests_failed, 2);
    assert_eq!(send_request(&mut agent, milliseconds(13), 3), Some(DeclineReason::Failing));
}

#[test]
fn a_flow_that_ends_without_an_answer_is_a_failure() {
    let mut agent = ready_agent();
    assert_eq!(send_request(&mut agent, milliseconds(10), 1), None);
    agent.handle_backend(milliseconds(11), packet(&Segment { fin: true, ..answer(1, 501) }));
    assert_eq!(agent.counters(START).requests_failed, 1);
    assert_eq!(agent.counters(START).waiting, 0);
}

#[test]
fn a_caller_that_gives_up_does_not_count_as_a_failure() {
    let mut agent = ready_agent();
    for port in 1..=4 {
        assert_eq!(send_request(&mut agent, milliseconds(10), port), None);
        let finish = Segment { fin: true, payload_bytes: 0, ..data(port, 111, 501) };
        let forwarded = Message::Forward { datagram: packet(&finish) }.encode();
        agent.handle_peer(milliseconds(50), balancer_address(), &forwarded);
        let end = Segment { fin: true, ..answer(port, 501) };
        agent.handle_backend(milliseconds(51), packet(&end));
        outputs(&mut agent);
    }
    assert_eq!(agent.counters(START).requests_failed, 0);
}
