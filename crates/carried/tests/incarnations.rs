//! A back end that restarts under the same id.

mod support;

use loftdrift_carried::{
    Admission, BackendReport, CarriedAgent, Incarnation, Message, Output, ReportOutcome, Segment,
};
use loftdrift_testkit::check_fixed_seeds;
use support::*;

/// Milliseconds between two heartbeats of a live start.
const PERIOD_MS: u64 = 1_200;
/// Start times of three starts under one id.
const STARTS_MS: [u64; 3] = [1_700_000_000_000, 1_700_000_004_000, 1_700_000_009_000];
/// Enough slots for every flow that a test opens.
const SLOTS: u16 = 1_000;

fn start_at(started_at_ms: u64) -> Incarnation {
    Incarnation { id: "one".to_owned(), started_at_ms: Some(started_at_ms) }
}

fn heartbeat(incarnation: &Incarnation, sequence: u64, is_ready: bool) -> BackendReport {
    let base = report("one", sequence, is_ready);
    BackendReport { incarnation: incarnation.clone(), capacity: SLOTS, ..base }
}

/// Has the agent receive a heartbeat of its back end.
fn receive(
    agent: &mut CarriedAgent,
    now: u64,
    started_at_ms: u64,
    sequence: u64,
    is_ready: bool,
) -> ReportOutcome {
    agent.take_report(milliseconds(now), &heartbeat(&start_at(started_at_ms), sequence, is_ready))
}

fn takes_flows(agent: &mut CarriedAgent, now: u64, port: u16) -> bool {
    let offer = offer(u64::from(port), port, Admission::FreeSlot);
    agent.handle_peer(milliseconds(now), balancer_address(), &offer);
    sent_to_backend(&outputs(agent)) == 1
}

#[test]
fn a_back_end_serves_again_at_the_first_heartbeat_after_a_crash() {
    for is_first_start in [true, false] {
        let mut agent = agent(is_first_start);
        agent.take_earlier_departures(milliseconds(0), Some(&[]));
        for sequence in 1..=90 {
            receive(&mut agent, sequence * PERIOD_MS, STARTS_MS[0], sequence, true);
        }
        let back = 91 * PERIOD_MS;
        assert_eq!(receive(&mut agent, back, STARTS_MS[1], 1, true), ReportOutcome::Started);
        assert_eq!(
            receive(&mut agent, back + PERIOD_MS, STARTS_MS[1], 2, true),
            ReportOutcome::Updated
        );
        assert!(takes_flows(&mut agent, back + PERIOD_MS, 1));
    }
}

#[test]
fn an_agent_that_started_after_the_crash_takes_either_start_first() {
    let mut agent = restarted_agent();
    assert_eq!(
        receive(&mut agent, 10, STARTS_MS[0], 40, true),
        ReportOutcome::Updated,
        "a late heartbeat of the earlier start"
    );
    assert_eq!(receive(&mut agent, 20, STARTS_MS[1], 7, true), ReportOutcome::Started);
    assert_eq!(receive(&mut agent, 30, STARTS_MS[0], 41, false), ReportOutcome::Outdated);
    assert!(takes_flows(&mut agent, 40, 1));
}

#[test]
fn late_heartbeats_of_the_previous_start_change_nothing() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, STARTS_MS[1], 1, true);
    for (at, sequence) in [(400, 80), (1_000, 81), (2_200, 82)] {
        assert_eq!(receive(&mut agent, at, STARTS_MS[0], sequence, false), ReportOutcome::Outdated);
        assert!(
            takes_flows(&mut agent, at, sequence as u16),
            "only the start that reported leaving is leaving"
        );
        assert_eq!(
            receive(&mut agent, at + 1, STARTS_MS[1], sequence, true),
            ReportOutcome::Updated,
            "heartbeats of the live start still count"
        );
    }
}

#[test]
fn leaving_ends_with_the_start_that_reported_it() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, STARTS_MS[0], 5, false);
    assert!(!takes_flows(&mut agent, 20, 1));
    receive(&mut agent, 10 + PERIOD_MS, STARTS_MS[0], 6, true);
    assert!(
        !takes_flows(&mut agent, 20 + PERIOD_MS, 2),
        "a start that has reported leaving does not serve again"
    );
    assert_eq!(receive(&mut agent, 2 * PERIOD_MS, STARTS_MS[1], 1, true), ReportOutcome::Started);
    assert!(takes_flows(&mut agent, 2 * PERIOD_MS, 3));
}

#[test]
fn a_departure_notice_ends_the_named_start_and_earlier_ones() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, STARTS_MS[1], 5, true);
    agent.take_departure(milliseconds(20), &start_at(STARTS_MS[0]));
    assert!(takes_flows(&mut agent, 30, 1), "the notice names the previous start");
    agent.take_departure(milliseconds(40), &start_at(STARTS_MS[1]));
    assert!(!takes_flows(&mut agent, 50, 2));
    assert_eq!(receive(&mut agent, 60, STARTS_MS[1], 6, true), ReportOutcome::Outdated);
    assert_eq!(receive(&mut agent, 70, STARTS_MS[0], 90, true), ReportOutcome::Outdated);
    assert_eq!(receive(&mut agent, 80, STARTS_MS[2], 1, true), ReportOutcome::Started);
    assert!(takes_flows(&mut agent, 90, 3));
}

#[test]
fn a_departure_notice_without_a_start_time_means_the_known_start() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, STARTS_MS[0], 5, true);
    agent.take_departure(milliseconds(20), &departed("one"));
    assert!(!takes_flows(&mut agent, 30, 1));
    assert_eq!(receive(&mut agent, 40, STARTS_MS[0], 6, true), ReportOutcome::Outdated);
    assert_eq!(receive(&mut agent, 50, STARTS_MS[1], 1, true), ReportOutcome::Started);
    assert!(takes_flows(&mut agent, 60, 2));
}

#[test]
fn a_report_without_a_start_time_is_ignored_if_the_known_start_has_one() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, STARTS_MS[0], 5, true);
    let foreign = report("one", 99, false);
    assert_eq!(agent.take_report(milliseconds(20), &foreign), ReportOutcome::Outdated);
    assert!(takes_flows(&mut agent, 30, 1));
    assert_eq!(receive(&mut agent, 40, STARTS_MS[0], 6, true), ReportOutcome::Updated);
}

#[test]
fn a_back_end_without_start_times_is_identified_by_its_id() {
    let mut agent = restarted_agent();
    agent.take_report(milliseconds(10), &report("one", 5, true));
    let earlier = report("one", 3, false);
    assert_eq!(agent.take_report(milliseconds(20), &earlier), ReportOutcome::Outdated);
    assert!(takes_flows(&mut agent, 30, 1));
    let next = report("one", 6, true);
    assert_eq!(agent.take_report(milliseconds(40), &next), ReportOutcome::Updated);
}

#[test]
fn after_two_crashes_within_a_heartbeat_the_third_start_counts() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, STARTS_MS[0], 12, true);
    assert_eq!(receive(&mut agent, 500, STARTS_MS[2], 1, true), ReportOutcome::Started);
    assert_eq!(receive(&mut agent, 510, STARTS_MS[1], 1, true), ReportOutcome::Outdated);
    assert!(takes_flows(&mut agent, 520, 1));
}

#[test]
fn a_start_whose_clock_was_set_back_serves_once_no_late_heartbeat_can_be_in_flight() {
    let mut agent = restarted_agent();
    receive(&mut agent, 0, STARTS_MS[1], 30, true);
    let outcomes: Vec<ReportOutcome> = (1..=5)
        .map(|sequence| receive(&mut agent, sequence * PERIOD_MS, STARTS_MS[0], sequence, true))
        .collect();
    assert_eq!(outcomes[..4], [ReportOutcome::Outdated; 4]);
    // Its heartbeats have arrived since 1.2 s.
    assert_eq!(outcomes[4], ReportOutcome::Outdated);
    assert_eq!(receive(&mut agent, 6 * PERIOD_MS, STARTS_MS[0], 6, true), ReportOutcome::Started);
    assert_eq!(receive(&mut agent, 7 * PERIOD_MS, STARTS_MS[0], 7, true), ReportOutcome::Updated);
}

#[test]
fn a_request_in_flight_at_the_crash_is_not_run_again() {
    let mut agent = restarted_agent();
    receive(&mut agent, 10, STARTS_MS[0], 5, true);
    open(&mut agent, milliseconds(20), 1, 500);
    let request = packet(&data(1, 101, 501));
    let forward = Message::Forward { datagram: request.clone() }.encode();
    agent.handle_peer(milliseconds(30), balancer_address(), &forward);
    outputs(&mut agent);
    receive(&mut agent, 400, STARTS_MS[1], 1, true);
    // The caller retransmits it; the new start has no such flow and returns the packet.
    agent.handle_peer(milliseconds(420), balancer_address(), &forward);
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1, "unchanged, for the back end to decide");
    let returned = Segment { returned: true, ..data(1, 101, 501) };
    agent.handle_backend(milliseconds(425), packet(&returned));
    let sent = outputs(&mut agent);
    let resets = sent.iter().filter(|output| matches!(output, Output::ToCaller { .. })).count();
    assert_eq!((resets, sent_to_backend(&sent)), (1, 0), "its caller is reset once: {sent:?}");
}

#[test]
fn a_heartbeat_of_another_service_is_ignored() {
    let mut agent = agent(true);
    let foreign = |sequence| BackendReport {
        service: "sheets".to_owned(),
        ..heartbeat(&start_at(STARTS_MS[2]), sequence, true)
    };
    assert_eq!(agent.take_report(milliseconds(5), &foreign(1)), ReportOutcome::OtherService);
    assert!(!agent.knows_backend(), "it is not taken for the back end");
    receive(&mut agent, 10, STARTS_MS[0], 5, true);
    for sequence in 2..=9 {
        let now = milliseconds(sequence * PERIOD_MS);
        assert_eq!(agent.take_report(now, &foreign(sequence)), ReportOutcome::OtherService);
    }
    let sheets = offer_to("sheets", 1, 1, Admission::FreeSlot);
    agent.handle_peer(milliseconds(9 * PERIOD_MS), balancer_address(), &sheets);
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 0, "no packet of another service");
    assert!(
        takes_flows(&mut agent, 9 * PERIOD_MS, 2),
        "the back end's own service still accepts flows"
    );
    assert_eq!(agent.counters(milliseconds(9 * PERIOD_MS)).backend_reports_foreign, 9);
}

/// What one of three starts under one id reports.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Ready,
    Leaving,
    Gone,
}

#[test]
fn in_whatever_order_reports_of_three_starts_arrive_the_last_start_decides() {
    check_fixed_seeds(|input| {
        let mut agent = restarted_agent();
        let mut now = 10;
        let mut is_last_leaving = false;
        let mut last_sequence = 0;
        for _ in 0..input.int_in_range(1..=40)? {
            now += input.int_in_range(1..=120)?;
            let start: usize = input.int_in_range(0..=2)?;
            let sequence = input.int_in_range(1..=60)?;
            let kind = *input.choose(&[Kind::Ready, Kind::Leaving, Kind::Gone])?;
            match kind {
                Kind::Gone if start == 2 => continue,
                Kind::Gone => agent.take_departure(milliseconds(now), &start_at(STARTS_MS[start])),
                _ => {
                    let is_ready = matches!(kind, Kind::Ready);
                    receive(&mut agent, now, STARTS_MS[start], sequence, is_ready);
                    let counts = start == 2 && sequence > last_sequence;
                    is_last_leaving |= counts && !is_ready;
                    last_sequence = if counts { sequence } else { last_sequence };
                }
            }
            if !is_last_leaving {
                // The page is that of the last start, which is the live one.
                answer_health_check(&mut agent, milliseconds(now));
            }
            if last_sequence > 0 {
                let takes = takes_flows(&mut agent, now, now as u16);
                assert_eq!(takes, !is_last_leaving, "after {kind:?} of start {start}");
            }
        }
        Ok(())
    });
}
