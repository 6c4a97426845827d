//! A balancer that gets too little processor time does not take live agents to be silent.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, CarriedBalancerSettings, LoadReport, Message, Output,
    PlainFormat, Policies, Policy,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

const AGENTS: u8 = 12;
/// New flows in each loop iteration.
const FLOWS_PER_TURN: u16 = 3;
/// Time until an agent answers an offer.
const ANSWER_DELAY: Duration = Duration::from_millis(3);

fn idle_report() -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        service_time_us: 50_000,
        ..LoadReport::default()
    }
}

fn balancer(policies: Policies) -> CarriedBalancer {
    let settings = CarriedBalancerSettings { policies, ..balancer_settings(1) };
    let mut balancer = CarriedBalancer::new(settings, PlainFormat);
    balancer.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
    for agent in 1..=AGENTS {
        send(&mut balancer, milliseconds(0), agent, idle_report());
    }
    balancer.handle_timeout(milliseconds(0));
    outputs_of(&mut balancer);
    balancer
}

/// Simulates three seconds in which the balancer's event loop runs only once every `turn`, while
/// live agents answer promptly. In each iteration it reads up to `reads` answers, runs its timers,
/// and handles new flows. Returns how many suspicions it raised and how many callers it reset.
fn simulate(balancer: &mut CarriedBalancer, turn: Duration, reads: usize) -> (u64, u64) {
    let mut waiting: Vec<(Duration, SocketAddrV4, u64)> = Vec::new();
    let (mut now, mut resets, mut port) = (milliseconds(10), 0, 0);
    while now < milliseconds(3_000) {
        now += turn;
        let ready: Vec<_> =
            waiting.iter().filter(|(at, ..)| *at <= now).take(reads).copied().collect();
        waiting.retain(|answer| !ready.contains(answer));
        for (_, agent, number) in ready {
            let placed = Message::Placed { number, report: idle_report() };
            balancer.handle_peer(now, agent, &placed.encode());
        }
        balancer.handle_timeout(now);
        for _ in 0..FLOWS_PER_TURN {
            port += 1;
            balancer.handle_caller(now, &packet(&syn(port)));
        }
        for output in outputs_of(balancer) {
            match output {
                Output::ToPeer { to, message: Message::Offer { number, .. } } => {
                    waiting.push((now + ANSWER_DELAY, to, number));
                }
                Output::ToCaller { .. } => resets += 1,
                _ => {}
            }
        }
    }
    (balancer.counters(now).suspicions, resets)
}

#[test]
fn a_starved_balancer_suspects_no_live_agent_and_resets_no_caller() {
    for turn in [60, 150, 400] {
        // It reads one answer in each iteration, so that some wait for one or two iterations.
        let (suspected, resets) =
            simulate(&mut balancer(Policies::default()), milliseconds(turn), 1);
        assert_eq!((suspected, resets), (0, 0), "turns of {turn} ms");
    }
}

#[test]
fn without_the_policy_a_starved_balancer_suspects_live_agents() {
    let policies = Policies::default().without(Policy::SchedulingDelay);
    let (suspected, resets) = simulate(&mut balancer(policies), milliseconds(60), 2);
    assert!(suspected > 0, "{suspected} {resets}");
}

#[test]
fn a_balancer_that_is_not_delayed_still_suspects_a_silent_agent() {
    let mut balancer = balancer(Policies::default());
    let mut now = milliseconds(10);
    for port in 1..=60 {
        balancer.handle_caller(now, &packet(&syn(port)));
        for _ in 0..20 {
            now += milliseconds(2);
            balancer.handle_timeout(now);
        }
        outputs_of(&mut balancer);
    }
    assert!(balancer.counters(now).suspicions > 0);
}
