//! A service that comes back: what was asked while it was away comes all at once.

mod support;

use loftdrift_carried::{
    Admission, BackendCondition, CarriedBalancer, CarriedBalancerSettings, DeclineReason,
    LoadReport, Message, Output, PlainFormat, Policies, Policy, Segment,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

/// Agents, each with four slots.
const AGENTS: u8 = 3;

fn full() -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        waiting: 8,
        service_time_us: 50_000,
        ..LoadReport::default()
    }
}

/// A balancer that has just started; its agents have just come and are full.
fn balancer() -> CarriedBalancer {
    meet_agents(configured(Policies::default()))
}

fn configured(policies: Policies) -> CarriedBalancer {
    let settings = CarriedBalancerSettings { policies, ..balancer_settings(1) };
    let mut balancer = CarriedBalancer::new(settings, PlainFormat);
    balancer.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
    balancer
}

/// The same, whose flows are offered as often as they like.
fn balancer_without_budget() -> CarriedBalancer {
    let policies = Policies::default().without(Policy::OfferBudget);
    meet_agents(configured(policies))
}

fn meet_agents(mut balancer: CarriedBalancer) -> CarriedBalancer {
    for agent in 1..=AGENTS {
        tell(&mut balancer, milliseconds(0), agent, full());
    }
    outputs_of(&mut balancer);
    balancer
}

/// Has every offer declined until none is made; tells the admissions asked for and whether a caller
/// was reset.
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
            let message = Message::Declined { number, reason, report: full() };
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
fn a_flow_that_is_late_goes_to_a_line_and_takes_no_slot_from_one_that_is_not() {
    let mut balancer = balancer();
    let copy = Segment { acknowledgement: 1, ..syn(1) };
    balancer.handle_caller(milliseconds(20), &packet(&copy));
    balancer.handle_timeout(milliseconds(40));
    let (asked, _) = decline_all(&mut balancer, milliseconds(41));
    assert!(!asked.is_empty());
    let is_late_line =
        |admission: &Admission| matches!(admission, Admission::WaitQueue { within_ms: 0, .. });
    assert!(asked.iter().all(is_late_line), "{asked:?}");
}

/// A caller's opening packet comes; agents decline after `decline_after` ms each, and say nothing when
/// they are asked for a place in their lines. Tells when the last offer was made, and when the caller
/// was reset.
fn fall_silent(decline_after: u64, has_copy: bool) -> (Duration, Option<Duration>) {
    let mut balancer = balancer();
    balancer.handle_caller(milliseconds(1), &packet(&syn(1)));
    let (mut last_offer, mut reset_at) = (Duration::ZERO, None);
    let mut declines = Vec::new();
    for at in 1..700 {
        let now = milliseconds(at);
        balancer.handle_timeout(now);
        if at == 201 && has_copy {
            let copy = Segment { acknowledgement: 1, ..syn(1) };
            balancer.handle_caller(now, &packet(&copy));
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
            let message = Message::Declined { number, reason: DeclineReason::Busy, report: full() };
            balancer.handle_peer(now, to, &message.encode());
        }
    }
    assert_eq!(balancer.counters(milliseconds(700)).openings_queued, 0);
    (last_offer, reset_at)
}

#[test]
fn a_caller_is_reset_once_no_silent_line_can_have_placed_its_flow() {
    let (last_offer, reset_at) = fall_silent(1, true);
    let reset_at = reset_at.expect("its copies' time is not over yet");
    assert!(reset_at >= last_offer + milliseconds(130), "{last_offer:?} {reset_at:?}");
    assert!(reset_at <= milliseconds(201 + 360), "a caller repeats its packet soon: {reset_at:?}");
}

#[test]
fn a_caller_is_not_reset_when_its_copy_may_have_gone_elsewhere_meanwhile() {
    let (last_offer, reset_at) = fall_silent(25, false);
    assert!(last_offer > milliseconds(61), "{last_offer:?}");
    assert_eq!(
        reset_at, None,
        "its next copy, at 200 ms, may open the flow through another balancer"
    );
}

/// Offers made for flows that come one each two milliseconds and are all declined.
fn offers_in_overload(mut balancer: CarriedBalancer, flows: u16) -> usize {
    let mut made = 0;
    for port in 1..=flows {
        let now = milliseconds(2_000 + 2 * u64::from(port));
        for agent in 1..=AGENTS {
            tell(&mut balancer, now, agent, full());
        }
        balancer.handle_timeout(now);
        balancer.handle_caller(now, &packet(&syn(port)));
        // Full agents are asked for a place in their queue.
        made += decline_all(&mut balancer, now).0.len();
    }
    made
}

#[test]
fn in_overload_a_flow_is_offered_twice_and_not_to_everybody() {
    let flows = 400;
    let without = offers_in_overload(balancer_without_budget(), flows);
    assert!(without >= 3 * usize::from(flows), "{without}");
    let within = offers_in_overload(balancer(), flows);
    // Two for each flow, and what was saved and earned in 0.8 s.
    assert!(within <= 2 * usize::from(flows) + 50, "{within}");
    assert!(within >= usize::from(flows), "{within}");
}
