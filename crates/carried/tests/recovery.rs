//! Overload after the recovery of a service: the requests made during its outage arrive all at
//! once.

mod support;

use loftdrift_carried::{
    Admission, BackendCondition, CarriedBalancer, CarriedBalancerSettings, DeclineReason,
    LoadReport, Message, Output, PlainFormat, Policies, Policy, Segment,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

/// Number of agents, each of whose back ends has four slots.
const AGENTS: u8 = 3;

fn full_report() -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        waiting: 8,
        service_time_us: 50_000,
        ..LoadReport::default()
    }
}

/// A balancer that has just started and whose agents have just appeared and are full.
fn balancer() -> CarriedBalancer {
    with_agents(configured(Policies::default()))
}

fn configured(policies: Policies) -> CarriedBalancer {
    let settings = CarriedBalancerSettings { policies, ..balancer_settings(1) };
    let mut balancer = CarriedBalancer::new(settings, PlainFormat);
    balancer.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
    balancer
}

/// The same balancer without a limit on repeated offers.
fn balancer_without_budget() -> CarriedBalancer {
    let policies = Policies::default().without(Policy::OfferBudget);
    with_agents(configured(policies))
}

fn with_agents(mut balancer: CarriedBalancer) -> CarriedBalancer {
    for agent in 1..=AGENTS {
        send(&mut balancer, milliseconds(0), agent, full_report());
    }
    outputs_of(&mut balancer);
    balancer
}

/// Declines every offer until no more are made. Returns the requested admissions and the number of
/// callers reset.
fn decline_all(balancer: &mut CarriedBalancer, now: Duration) -> (Vec<Admission>, usize) {
    let (mut asked, mut resets) = (Vec::new(), 0);
    loop {
        let outputs = outputs_of(balancer);
        resets += outputs.iter().filter(|output| matches!(output, Output::ToCaller { .. })).count();
        let made: Vec<_> = outputs.iter().filter_map(offer_of).collect();
        if made.is_empty() {
            return (asked, resets);
        }
        for (to, number, admission) in made {
            asked.push(admission);
            let reason = DeclineReason::Busy;
            let message = Message::Declined { number, reason, report: full_report() };
            balancer.handle_peer(now, to, &message.encode());
        }
    }
}

fn offer_of(output: &Output) -> Option<(SocketAddrV4, u64, Admission)> {
    match output {
        Output::ToPeer { to, message: Message::Offer { number, admission, .. } } => {
            Some((*to, *number, *admission))
        }
        _ => None,
    }
}

#[test]
fn a_late_flow_goes_to_a_wait_queue_and_takes_no_slot_from_a_timely_one() {
    let mut balancer = balancer();
    let retransmission = Segment { acknowledgement: 1, ..syn(1) };
    balancer.handle_caller(milliseconds(20), &packet(&retransmission));
    balancer.handle_timeout(milliseconds(40));
    let (asked, _) = decline_all(&mut balancer, milliseconds(41));
    assert!(!asked.is_empty());
    let is_late_wait_queue =
        |admission: &Admission| matches!(admission, Admission::WaitQueue { within_ms: 0, .. });
    assert!(asked.iter().all(is_late_wait_queue), "{asked:?}");
}

/// Delivers a SYN. Agents decline offers after `decline_after` ms each, but do not answer when
/// asked for a place in their wait queue. Returns when the last offer was made and when the caller
/// was reset.
fn run_with_silent_wait_queues(
    decline_after: u64,
    has_retransmission: bool,
) -> (Duration, Option<Duration>) {
    let mut balancer = balancer();
    balancer.handle_caller(milliseconds(1), &packet(&syn(1)));
    let (mut last_offer, mut reset_at) = (Duration::ZERO, None);
    let mut declines = Vec::new();
    for at in 1..700 {
        let now = milliseconds(at);
        balancer.handle_timeout(now);
        if at == 201 && has_retransmission {
            let retransmission = Segment { acknowledgement: 1, ..syn(1) };
            balancer.handle_caller(now, &packet(&retransmission));
        }
        for output in outputs_of(&mut balancer) {
            if matches!(output, Output::ToCaller { .. }) {
                reset_at = reset_at.or(Some(now));
            }
            let Some((to, number, admission)) = offer_of(&output) else { continue };
            last_offer = now;
            if !matches!(admission, Admission::WaitQueue { .. }) {
                declines.push((at + decline_after, to, number));
            }
        }
        for (_, to, number) in declines.extract_if(.., |(due, ..)| *due <= at) {
            let message =
                Message::Declined { number, reason: DeclineReason::Busy, report: full_report() };
            balancer.handle_peer(now, to, &message.encode());
        }
    }
    assert_eq!(balancer.counters(milliseconds(700)).openings_queued, 0);
    (last_offer, reset_at)
}

#[test]
fn a_caller_is_reset_once_no_silent_agent_can_have_placed_its_flow() {
    let (last_offer, reset_at) = run_with_silent_wait_queues(1, true);
    let reset_at =
        reset_at.expect("the time in which it may be reset after its retransmission is not over");
    assert!(reset_at >= last_offer + milliseconds(130), "{last_offer:?} {reset_at:?}");
    assert!(
        reset_at <= milliseconds(201 + 360),
        "the caller retransmits its SYN soon: {reset_at:?}"
    );
}

#[test]
fn a_caller_is_not_reset_if_its_retransmission_may_have_reached_another_balancer() {
    let (last_offer, reset_at) = run_with_silent_wait_queues(25, false);
    assert!(last_offer > milliseconds(61), "{last_offer:?}");
    assert_eq!(
        reset_at, None,
        "its retransmission at 200 ms may open the flow through another balancer"
    );
}

/// Counts the offers made for flows that arrive every two milliseconds and are all declined.
fn offers_in_overload(mut balancer: CarriedBalancer, flows: u16) -> usize {
    let mut made = 0;
    for port in 1..=flows {
        let now = milliseconds(2_000 + 2 * u64::from(port));
        for agent in 1..=AGENTS {
            send(&mut balancer, now, agent, full_report());
        }
        balancer.handle_timeout(now);
        balancer.handle_caller(now, &packet(&syn(port)));
        // Agents known to be full are asked for a place in their queue.
        made += decline_all(&mut balancer, now).0.len();
    }
    made
}

#[test]
fn in_overload_a_flow_is_offered_about_twice_and_not_to_every_agent() {
    let flows = 400;
    let without = offers_in_overload(balancer_without_budget(), flows);
    assert!(without >= 3 * usize::from(flows), "{without}");
    let within = offers_in_overload(balancer(), flows);
    // Two offers for each flow, and the retry budget that was saved up and earned within 0.8 s.
    assert!(within <= 2 * usize::from(flows) + 50, "{within}");
    assert!(within >= usize::from(flows), "{within}");
}
