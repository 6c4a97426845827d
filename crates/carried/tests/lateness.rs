//! A balancer that gets too little of its processor blames nobody else for it.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, CarriedBalancerSettings, LoadReport, Message, Output,
    PlainFormat, Policies, Policy,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

const AGENTS: u8 = 12;
/// New flows in a turn.
const FLOWS: u16 = 3;
/// An agent answers within this time.
const ANSWERS_AFTER: Duration = Duration::from_millis(3);

fn idle() -> LoadReport {
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
        tell(&mut balancer, milliseconds(0), agent, idle());
    }
    balancer.handle_timeout(milliseconds(0));
    outputs_of(&mut balancer);
    balancer
}

/// Plays three seconds in which the balancer has a turn each `turn` only: new flows come, living
/// agents answer at once, and in each turn it reads `reads` answers, serves its timers, and takes the
/// flows that came. Gives how many agents it suspected and how many flows it reset.
fn play(balancer: &mut CarriedBalancer, turn: Duration, reads: usize) -> (u64, u64) {
    let mut waiting: Vec<(Duration, SocketAddrV4, u64)> = Vec::new();
    let (mut now, mut resets, mut port) = (milliseconds(10), 0, 0);
    while now < milliseconds(3_000) {
        now += turn;
        let ready: Vec<_> =
            waiting.iter().filter(|(at, ..)| *at <= now).take(reads).copied().collect();
        waiting.retain(|answer| !ready.contains(answer));
        for (_, agent, number) in ready {
            let placed = Message::Placed { number, report: idle() };
            balancer.handle_peer(now, agent, &placed.encode());
        }
        balancer.handle_timeout(now);
        for _ in 0..FLOWS {
            port += 1;
            balancer.handle_caller(now, &packet(&syn(port)));
        }
        for output in outputs_of(balancer) {
            match output {
                Output::ToPeer { to, message: Message::Offer { number, .. } } => {
                    waiting.push((now + ANSWERS_AFTER, to, number));
                }
                Output::ToCaller { .. } => resets += 1,
                _ => {}
            }
        }
    }
    (balancer.counters(now).suspicions, resets)
}

#[test]
fn a_starved_balancer_among_living_agents_suspects_and_resets_nobody() {
    for turn in [60, 150, 400] {
        // It reads one answer a turn, so that some wait for a turn or two.
        let (suspected, resets) = play(&mut balancer(Policies::default()), milliseconds(turn), 1);
        assert_eq!((suspected, resets), (0, 0), "turns of {turn} ms");
    }
}

#[test]
fn without_its_own_lateness_it_suspects_living_agents() {
    let policies = Policies::default().without(Policy::SchedulingDelay);
    let (suspected, resets) = play(&mut balancer(policies), milliseconds(60), 2);
    assert!(suspected > 0, "{suspected} {resets}");
}

#[test]
fn an_agent_that_is_silent_in_calm_is_still_suspected_soon() {
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
