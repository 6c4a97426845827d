//! A back end that starts again under the id that it had.

mod support;

use loftdrift_carried::{
    Admission, BackendReport, CarriedAgent, Incarnation, Message, Output, ReportOutcome, Segment,
};
use loftdrift_testkit::check_fixed_seeds;
use support::*;

/// Time between two heartbeats of a start that lives.
const BEAT: u64 = 1_200;
/// Births of three starts under one id.
const BIRTHS: [u64; 3] = [1_700_000_000_000, 1_700_000_004_000, 1_700_000_009_000];
/// Slots enough for every flow that a test opens.
const SLOTS: u16 = 1_000;

fn life(born_ms: u64) -> Incarnation {
    Incarnation { id: "one".to_owned(), born_ms: Some(born_ms) }
}

fn word(incarnation: &Incarnation, sequence: u64, is_ready: bool) -> BackendReport {
    let said = report("one", sequence, is_ready);
    BackendReport { incarnation: incarnation.clone(), capacity: SLOTS, ..said }
}

fn beat(
    agent: &mut CarriedAgent,
    now: u64,
    born_ms: u64,
    sequence: u64,
    is_ready: bool,
) -> ReportOutcome {
    agent.take_report(milliseconds(now), &word(&life(born_ms), sequence, is_ready))
}

fn takes_flows(agent: &mut CarriedAgent, now: u64, port: u16) -> bool {
    let offer = offer(u64::from(port), port, Admission::FreeSlot);
    agent.handle_peer(milliseconds(now), balancer_address(), &offer);
    sent_to_backend(&outputs(agent)) == 1
}

#[test]
fn a_back_end_serves_again_at_the_first_heartbeat_after_a_crash() {
    for knows_first in [true, false] {
        let mut agent = agent(knows_first);
        for sequence in 1..=90 {
            beat(&mut agent, sequence * BEAT, BIRTHS[0], sequence, true);
        }
        let back = 91 * BEAT;
        assert_eq!(beat(&mut agent, back, BIRTHS[1], 1, true), ReportOutcome::Started);
        assert_eq!(beat(&mut agent, back + BEAT, BIRTHS[1], 2, true), ReportOutcome::Updated);
        assert!(takes_flows(&mut agent, back + BEAT, 1));
    }
}

#[test]
fn an_agent_that_started_after_the_crash_takes_either_start_first() {
    let mut agent = agent(false);
    assert_eq!(beat(&mut agent, 10, BIRTHS[0], 40, true), ReportOutcome::Updated, "a late one");
    assert_eq!(beat(&mut agent, 20, BIRTHS[1], 7, true), ReportOutcome::Started);
    assert_eq!(beat(&mut agent, 30, BIRTHS[0], 41, false), ReportOutcome::Outdated);
    assert!(takes_flows(&mut agent, 40, 1));
}

#[test]
fn late_heartbeats_of_the_start_before_change_nothing() {
    let mut agent = agent(false);
    beat(&mut agent, 10, BIRTHS[1], 1, true);
    for (at, sequence) in [(400, 80), (1_000, 81), (2_200, 82)] {
        assert_eq!(beat(&mut agent, at, BIRTHS[0], sequence, false), ReportOutcome::Outdated);
        assert!(
            takes_flows(&mut agent, at, sequence as u16),
            "a leave binds the start that told it"
        );
        assert_eq!(
            beat(&mut agent, at + 1, BIRTHS[1], sequence, true),
            ReportOutcome::Updated,
            "the living one's word goes on counting"
        );
    }
}

#[test]
fn an_acknowledged_leave_ends_with_the_start_that_told_it() {
    let mut agent = agent(false);
    beat(&mut agent, 10, BIRTHS[0], 5, false);
    assert!(!takes_flows(&mut agent, 20, 1));
    beat(&mut agent, 10 + BEAT, BIRTHS[0], 6, true);
    assert!(!takes_flows(&mut agent, 20 + BEAT, 2), "it does not come back");
    assert_eq!(beat(&mut agent, 2 * BEAT, BIRTHS[1], 1, true), ReportOutcome::Started);
    assert!(takes_flows(&mut agent, 2 * BEAT, 3));
}

#[test]
fn a_departure_ends_the_start_that_it_names_and_those_before() {
    let mut agent = agent(false);
    beat(&mut agent, 10, BIRTHS[1], 5, true);
    agent.take_departure(milliseconds(20), &life(BIRTHS[0]));
    assert!(takes_flows(&mut agent, 30, 1), "the start before was meant");
    agent.take_departure(milliseconds(40), &life(BIRTHS[1]));
    assert!(!takes_flows(&mut agent, 50, 2));
    assert_eq!(beat(&mut agent, 60, BIRTHS[1], 6, true), ReportOutcome::Outdated);
    assert_eq!(beat(&mut agent, 70, BIRTHS[0], 90, true), ReportOutcome::Outdated);
    assert_eq!(beat(&mut agent, 80, BIRTHS[2], 1, true), ReportOutcome::Started);
    assert!(takes_flows(&mut agent, 90, 3));
}

#[test]
fn a_departure_without_a_birth_means_the_start_that_is_known() {
    let mut agent = agent(false);
    beat(&mut agent, 10, BIRTHS[0], 5, true);
    agent.take_departure(milliseconds(20), &gone("one"));
    assert!(!takes_flows(&mut agent, 30, 1));
    assert_eq!(beat(&mut agent, 40, BIRTHS[0], 6, true), ReportOutcome::Outdated);
    assert_eq!(beat(&mut agent, 50, BIRTHS[1], 1, true), ReportOutcome::Started);
    assert!(takes_flows(&mut agent, 60, 2));
}

#[test]
fn a_word_without_a_birth_under_an_id_that_tells_one_changes_nothing() {
    let mut agent = agent(false);
    beat(&mut agent, 10, BIRTHS[0], 5, true);
    let foreign = report("one", 99, false);
    assert_eq!(agent.take_report(milliseconds(20), &foreign), ReportOutcome::Outdated);
    assert!(takes_flows(&mut agent, 30, 1));
    assert_eq!(beat(&mut agent, 40, BIRTHS[0], 6, true), ReportOutcome::Updated);
}

#[test]
fn a_back_end_that_never_tells_a_birth_is_named_by_its_id() {
    let mut agent = agent(false);
    agent.take_report(milliseconds(10), &report("one", 5, true));
    let earlier = report("one", 3, false);
    assert_eq!(agent.take_report(milliseconds(20), &earlier), ReportOutcome::Outdated);
    assert!(takes_flows(&mut agent, 30, 1));
    let next = report("one", 6, true);
    assert_eq!(agent.take_report(milliseconds(40), &next), ReportOutcome::Updated);
}

#[test]
fn two_crashes_within_a_heartbeat_leave_the_third_start() {
    let mut agent = agent(false);
    beat(&mut agent, 10, BIRTHS[0], 12, true);
    assert_eq!(beat(&mut agent, 500, BIRTHS[2], 1, true), ReportOutcome::Started);
    assert_eq!(beat(&mut agent, 510, BIRTHS[1], 1, true), ReportOutcome::Outdated);
    assert!(takes_flows(&mut agent, 520, 1));
}

#[test]
fn a_start_whose_clock_was_set_back_serves_once_no_late_heartbeat_can_be_under_way() {
    let mut agent = agent(false);
    beat(&mut agent, 0, BIRTHS[1], 30, true);
    let outcomes: Vec<ReportOutcome> = (1..=5)
        .map(|sequence| beat(&mut agent, sequence * BEAT, BIRTHS[0], sequence, true))
        .collect();
    assert_eq!(outcomes[..4], [ReportOutcome::Outdated; 4]);
    // Heard since 1.2 s.
    assert_eq!(outcomes[4], ReportOutcome::Outdated);
    assert_eq!(beat(&mut agent, 6 * BEAT, BIRTHS[0], 6, true), ReportOutcome::Started);
    assert_eq!(beat(&mut agent, 7 * BEAT, BIRTHS[0], 7, true), ReportOutcome::Updated);
}

#[test]
fn a_request_that_was_under_way_at_the_crash_is_not_run_again() {
    let mut agent = agent(false);
    beat(&mut agent, 10, BIRTHS[0], 5, true);
    open(&mut agent, milliseconds(20), 1, 500);
    let request = packet(&data(1, 101, 501));
    let forward = Message::Forward { datagram: request.clone() }.encode();
    agent.handle_peer(milliseconds(30), balancer_address(), &forward);
    outputs(&mut agent);
    beat(&mut agent, 400, BIRTHS[1], 1, true);
    // The caller repeats it; the new start holds no such flow and sends it back.
    agent.handle_peer(milliseconds(420), balancer_address(), &forward);
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1, "as it came, for the back end to judge");
    let returned = Segment { returned: true, ..data(1, 101, 501) };
    agent.handle_backend(milliseconds(425), packet(&returned));
    let said = outputs(&mut agent);
    let resets = said.iter().filter(|output| matches!(output, Output::ToCaller { .. })).count();
    assert_eq!((resets, sent_to_backend(&said)), (1, 0), "its caller is told, once: {said:?}");
}

#[test]
fn a_heartbeat_of_another_service_names_no_back_end() {
    let mut agent = agent(false);
    let foreign = |sequence| BackendReport {
        service: "sheets".to_owned(),
        ..word(&life(BIRTHS[2]), sequence, true)
    };
    assert_eq!(agent.take_report(milliseconds(5), &foreign(1)), ReportOutcome::OtherService);
    assert!(!agent.knows_backend(), "nothing was learned of it");
    beat(&mut agent, 10, BIRTHS[0], 5, true);
    for sequence in 2..=9 {
        let now = milliseconds(sequence * BEAT);
        assert_eq!(agent.take_report(now, &foreign(sequence)), ReportOutcome::OtherService);
    }
    let sheets = offer_to("sheets", 1, 1, Admission::FreeSlot);
    agent.handle_peer(milliseconds(9 * BEAT), balancer_address(), &sheets);
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 0, "no packet of another service");
    assert!(takes_flows(&mut agent, 9 * BEAT, 2), "the back end's own service goes on");
    assert_eq!(agent.counters(milliseconds(9 * BEAT)).backend_reports_foreign, 9);
}

/// What one of three starts under one id says.
#[derive(Clone, Copy, Debug)]
enum Said {
    Ready,
    Leaving,
    Gone,
}

#[test]
fn in_whatever_order_words_of_three_starts_arrive_the_last_start_decides() {
    check_fixed_seeds(|input| {
        let mut agent = agent(false);
        let mut now = 10;
        let mut last_leaves = false;
        let mut last_heard = 0;
        for _ in 0..input.int_in_range(1..=40)? {
            now += input.int_in_range(1..=120)?;
            let start: usize = input.int_in_range(0..=2)?;
            let sequence = input.int_in_range(1..=60)?;
            let said = *input.choose(&[Said::Ready, Said::Leaving, Said::Gone])?;
            match said {
                Said::Gone if start == 2 => continue,
                Said::Gone => agent.take_departure(milliseconds(now), &life(BIRTHS[start])),
                _ => {
                    let is_ready = matches!(said, Said::Ready);
                    beat(&mut agent, now, BIRTHS[start], sequence, is_ready);
                    let counts = start == 2 && sequence > last_heard;
                    last_leaves |= counts && !is_ready;
                    last_heard = if counts { sequence } else { last_heard };
                }
            }
            if last_heard > 0 {
                let takes = takes_flows(&mut agent, now, now as u16);
                assert_eq!(takes, !last_leaves, "after {said:?} of start {start}");
            }
        }
        Ok(())
    });
}
