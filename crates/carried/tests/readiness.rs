//! What an agent concludes from its back end's reports when they arrive late, after its own
//! restart, or out of order.

mod support;

use loftdrift_carried::{Admission, CarriedAgent, Incarnation, ReportOutcome};
use loftdrift_testkit::check_fixed_seeds;
use support::*;

/// Milliseconds between two heartbeats of a live start.
const PERIOD_MS: u64 = 1_200;
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

/// An agent's process that follows another one, which has acknowledged no departure.
fn restarted() -> CarriedAgent {
    let mut agent = agent(false);
    agent.adopt(milliseconds(0), configuration(1, Vec::new()));
    agent.take_earlier_departures(milliseconds(0), Some(&[]));
    agent
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
    let mut agent = restarted();
    for (at, sequence) in [(2_400, 6), (3_600, 7), (4_800, 8)] {
        assert_eq!(receive(&mut agent, at, "departed", sequence), ReportOutcome::Updated);
        assert!(!takes_flows(&mut agent, at + 1));
    }
    assert!(!takes_flows(&mut agent, 12_000), "it sends no more heartbeats");
}

#[test]
fn a_heartbeat_that_was_sent_after_the_restart_makes_the_agent_accept_flows() {
    let mut agent = restarted();
    receive(&mut agent, 600, "one", 6);
    assert!(!takes_flows(&mut agent, MAX_DELAY_MS - 1));
    receive(&mut agent, MAX_DELAY_MS, "one", 10);
    assert!(takes_flows(&mut agent, MAX_DELAY_MS));
}

#[test]
fn the_health_page_makes_a_restarted_agent_accept_flows_at_once() {
    let mut agent = restarted();
    receive(&mut agent, 10, "one", 6);
    assert!(!takes_flows(&mut agent, 11));
    answer_health_check(&mut agent, milliseconds(12));
    assert!(takes_flows(&mut agent, 13));
    assert_eq!(agent.health_check(), None, "one answer is enough");
}

/// The health page may lie, also about a back end that leaves.
#[test]
fn after_a_departure_notice_the_health_page_counts_for_nothing() {
    let mut agent = restarted();
    receive(&mut agent, 10, "one", 6);
    depart(&mut agent, 20, "two");
    agent.take_healthy(milliseconds(30));
    assert!(!takes_flows(&mut agent, 31));
    assert_eq!(agent.health_check(), None, "it is not asked");
    receive(&mut agent, 19 + MAX_DELAY_MS, "one", 9);
    assert!(!takes_flows(&mut agent, 20 + MAX_DELAY_MS), "it may have been sent before the notice");
    receive(&mut agent, 20 + MAX_DELAY_MS, "one", 10);
    assert!(takes_flows(&mut agent, 21 + MAX_DELAY_MS), "the notice was another start's");
}

/// Guards against new flows to a departed back end: its departure was known to the earlier process
/// alone.
#[test]
fn a_restarted_agent_accepts_flows_only_once_it_knows_of_earlier_departures() {
    let mut agent = agent(false);
    agent.adopt(milliseconds(0), configuration(1, Vec::new()));
    answer_health_check(&mut agent, milliseconds(1));
    receive(&mut agent, 2, "departed", 6);
    assert!(!takes_flows(&mut agent, 3), "the record is being read");
    agent.take_earlier_departures(milliseconds(4), Some(&[departed("departed")]));
    for at in [5, 2_000, 4_000, 10_000] {
        receive(&mut agent, at, "departed", at);
        assert!(!takes_flows(&mut agent, at + 1));
    }
    receive(&mut agent, 10_100, "next", 1);
    assert!(takes_flows(&mut agent, 10_101));
    assert_eq!(agent.acknowledged_departures(), [], "the record is not needed any more");
}

#[test]
fn leaving_that_was_acknowledged_is_to_be_recorded_once() {
    let mut agent = agent(true);
    receive(&mut agent, 0, "one", 5);
    assert_eq!(agent.acknowledged_departures(), []);
    agent.take_report(milliseconds(100), &report("one", 6, false));
    assert_eq!(agent.acknowledged_departures(), [departed("one")]);
    depart(&mut agent, 200, "one");
    assert_eq!(agent.acknowledged_departures(), [departed("one")]);
}

/// Without the store nothing is known of departures. A live back end keeps sending heartbeats.
#[test]
fn without_the_record_the_health_page_is_relied_on_while_heartbeats_arrive() {
    let mut agent = agent(false);
    agent.adopt(milliseconds(0), configuration(1, Vec::new()));
    agent.take_earlier_departures(milliseconds(10), None);
    answer_health_check(&mut agent, milliseconds(20));
    assert!(takes_flows(&mut agent, 21));
    receive(&mut agent, 2_900, "late", 6);
    agent.handle_timeout(milliseconds(3_100));
    assert!(takes_flows(&mut agent, 3_101));
    agent.handle_timeout(milliseconds(6_000));
    assert!(!takes_flows(&mut agent, 6_001), "no heartbeat since");
    assert_eq!(agent.health_check(), None, "the page has answered");
    // Once the store answers, the record decides.
    agent.take_earlier_departures(milliseconds(6_100), Some(&[departed("late")]));
    receive(&mut agent, 12_000, "late", 7);
    assert!(!takes_flows(&mut agent, 12_001));
}

/// A back end that is replaced after a long life needs no verification: nothing of the starts before
/// it can be under way any more.
#[test]
fn the_start_after_a_departure_takes_flows_at_its_first_heartbeat() {
    let mut agent = agent(true);
    receive(&mut agent, 0, "one", 1);
    depart(&mut agent, MAX_DELAY_MS, "one");
    receive(&mut agent, MAX_DELAY_MS + 500, "two", 1);
    assert!(takes_flows(&mut agent, MAX_DELAY_MS + 501));
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

/// Guards against new flows to a draining back end in the time until its next heartbeat.
#[test]
fn a_late_heartbeat_of_the_current_start_does_not_revoke_the_leaving_of_an_unconfirmed_one() {
    let mut agent = agent(true);
    receive(&mut agent, 0, "former", 5);
    agent.take_report(milliseconds(1_000), &report("draining", 4, false));
    assert!(!takes_flows(&mut agent, 1_001));
    receive(&mut agent, 1_500, "former", 6);
    assert!(!takes_flows(&mut agent, 1_501));
}

/// One start of a back end in a drawn timeline.
#[derive(Clone, Debug)]
struct Start {
    id: String,
    begins: u64,
    /// When it says that it leaves: at once with a departure notice, or first by draining.
    leaves: Option<(u64, bool)>,
    ends: u64,
}

impl Start {
    fn takes_flows(&self, now: u64) -> bool {
        let is_leaving = self.leaves.is_some_and(|(at, _)| at <= now);
        self.begins <= now && now < self.ends && !is_leaving
    }
}

/// A message of a back end and when it arrives.
#[derive(Clone, Debug)]
struct Arrival {
    at: u64,
    start: usize,
    sequence: u64,
    kind: Kind,
}

/// What the health page of a live back end answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Page {
    Silent,
    Truthful,
    /// It says that all is well, also while the back end leaves.
    AlwaysFavourable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Ready,
    Draining,
    Departure,
}

/// The messages of one start, each with its delay from `delay`.
fn arrivals(
    number: usize,
    start: &Start,
    mut delay: impl FnMut() -> arbtest::arbitrary::Result<u64>,
) -> arbtest::arbitrary::Result<Vec<Arrival>> {
    let mut arrivals = Vec::new();
    let (leaves, departs_first) = start.leaves.unwrap_or((start.ends, true));
    let sent_at = (start.begins + 50..start.ends).step_by(PERIOD_MS as usize);
    for (sequence, sent) in (1..).zip(sent_at) {
        if sent >= leaves && departs_first {
            break;
        }
        let kind = if sent >= leaves { Kind::Draining } else { Kind::Ready };
        arrivals.push(Arrival { at: sent + delay()?, start: number, sequence, kind });
    }
    if start.leaves.is_some() && departs_first {
        let at = leaves + delay()?;
        arrivals.push(Arrival { at, start: number, sequence: 0, kind: Kind::Departure });
    }
    Ok(arrivals)
}

/// Guards against the whole class: whatever is late, and however often the agent's process is
/// replaced, a live back end that has said that it leaves, and got that acknowledged, gets no new
/// flow; and one that takes flows gets them again once nothing late can be under way.
#[test]
fn no_order_of_late_reports_and_restarts_revokes_an_acknowledged_leaving() {
    check_fixed_seeds(|input| {
        let mut starts: Vec<Start> = Vec::new();
        let mut begins = 0;
        for number in 0..input.int_in_range(1..=3)? {
            let leaves_at = begins + input.int_in_range(300..=4_000)?;
            let leaves =
                if input.arbitrary()? { Some((leaves_at, input.arbitrary()?)) } else { None };
            let ends = leaves_at + input.int_in_range(0..=9_000)?;
            starts.push(Start { id: format!("start-{number}"), begins, leaves, ends });
            begins = ends + input.int_in_range(100..=800)?;
        }
        // What is late arrives within one such delay, and is in doubt for another one.
        let end = begins + 2 * (MAX_DELAY_MS + PERIOD_MS);
        starts.push(Start { id: "last".to_owned(), begins, leaves: None, ends: end });
        let page = [Page::Silent, Page::Truthful, Page::AlwaysFavourable];
        let page = page[input.int_in_range(0..=2)?];
        // Only the record tells a departed back end from a live one whose page is favourable.
        let has_record = page == Page::AlwaysFavourable || input.arbitrary()?;
        let mut messages = Vec::new();
        for (number, start) in starts.iter().enumerate() {
            let is_last = number + 1 == starts.len();
            messages.extend(arrivals(number, start, || {
                let is_late = !is_last && input.ratio(2, 3)?;
                input.int_in_range(1..=if is_late { MAX_DELAY_MS - 1 } else { 20 })
            })?);
        }
        let kills: Vec<u64> = (0..input.int_in_range(0..=3)?)
            .map(|_| input.int_in_range(100..=begins.max(200)))
            .collect::<Result<_, _>>()?;
        play(&starts, messages, &kills, page, has_record);
        Ok(())
    });
}

/// Runs an agent through a timeline, and checks after each 100 ms what it accepts.
/// `has_record`: the store answers, so that each process knows what earlier ones acknowledged.
fn play(starts: &[Start], mut messages: Vec<Arrival>, kills: &[u64], page: Page, has_record: bool) {
    const STEP_MS: u64 = 100;
    messages.sort_by_key(|message| message.at);
    let mut messages = messages.into_iter().peekable();
    let end = starts.last().expect("at least one start").ends;
    let mut process_began = 0;
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), configuration(1, Vec::new()));
    let mut record = Vec::new();
    let mut acknowledged: Vec<bool> = vec![false; starts.len()];
    for step in (0..end).step_by(STEP_MS as usize) {
        if kills.iter().any(|kill| (step..step + STEP_MS).contains(kill)) {
            process_began = step;
            agent = self::agent(false);
            agent.adopt(milliseconds(0), configuration(1, Vec::new()));
            let record: Option<&[Incarnation]> = has_record.then_some(&record);
            agent.take_earlier_departures(milliseconds(0), record);
        }
        let now = |at: u64| at.saturating_sub(process_began);
        while let Some(message) = messages.next_if(|message| message.at < step + STEP_MS) {
            let Arrival { at, start, sequence, kind } = message;
            let id = starts[start].id.as_str();
            match kind {
                Kind::Departure => depart(&mut agent, now(at), id),
                _ => {
                    let report = report(id, sequence, kind == Kind::Ready);
                    agent.take_report(milliseconds(now(at)), &report);
                }
            }
            acknowledged[start] |= kind != Kind::Ready;
            record = agent.acknowledged_departures();
        }
        let at = step + STEP_MS;
        agent.handle_timeout(milliseconds(now(at)));
        let live = starts.iter().position(|start| start.begins <= at && at < start.ends);
        let is_ready = live.is_some_and(|live| starts[live].takes_flows(at));
        let is_favourable = match page {
            Page::Silent => false,
            Page::Truthful => is_ready,
            Page::AlwaysFavourable => live.is_some(),
        };
        if is_favourable {
            answer_health_check(&mut agent, milliseconds(now(at)));
        }
        if let Some(live) = live.filter(|live| acknowledged[*live]) {
            assert!(!takes_flows(&mut agent, now(at)), "at {at}: {:?}", starts[live]);
        }
    }
    assert!(takes_flows(&mut agent, end - process_began), "the last start takes flows");
}
