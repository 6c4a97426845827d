//! Which agents a balancer chooses when its load reports are old or missing.

mod support;

use loftdrift_carried::{BackendCondition, CarriedBalancer, DeclineReason, LoadReport, Message};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

const WORK_US: u32 = 50_000;

fn load_report(waiting: u16, service_time_us: u32) -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        waiting,
        service_time_us,
        ..LoadReport::default()
    }
}

fn first_offer(balancer: &mut CarriedBalancer, now: Duration, port: u16) -> (SocketAddrV4, u64) {
    outputs_of(balancer);
    balancer.handle_caller(now, &packet(&syn(port)));
    offers(&outputs_of(balancer))[0]
}

#[test]
fn an_agent_that_has_measured_nothing_is_not_taken_for_the_fastest() {
    let mut balancer = new_balancer(1);
    let now = milliseconds(10);
    for agent in 1..=6 {
        send(&mut balancer, now, agent, load_report(1, WORK_US));
    }
    send(&mut balancer, now, 7, load_report(3, 0));
    for port in 1..=12 {
        let chosen = first_offer(&mut balancer, now, port).0;
        assert_ne!(chosen, agent_address(7), "flow {port} went to a busier agent");
    }
}

#[test]
fn an_agent_with_an_old_measurement_is_not_taken_for_the_fastest() {
    let mut balancer = new_balancer(1);
    let now = milliseconds(10);
    for agent in 1..=6 {
        send(&mut balancer, now, agent, load_report(1, WORK_US));
    }
    let outdated = LoadReport { measured_ms_ago: 60_000, ..load_report(3, WORK_US) };
    send(&mut balancer, now, 7, outdated);
    for port in 1..=12 {
        let chosen = first_offer(&mut balancer, now, port).0;
        assert_ne!(chosen, agent_address(7), "flow {port} went to a busier agent");
    }
}

#[test]
fn an_old_report_of_an_idle_back_end_does_not_attract_the_flows_of_all_balancers() {
    let now = milliseconds(1_010);
    let mut chosen: HashMap<SocketAddrV4, u32> = HashMap::new();
    for seed in 0..100 {
        let mut balancer = new_balancer(seed);
        for agent in 1..=20 {
            send(
                &mut balancer,
                milliseconds(10),
                agent,
                load_report(u16::from(agent > 1) * 2, WORK_US),
            );
        }
        *chosen.entry(first_offer(&mut balancer, now, 1).0).or_default() += 1;
    }
    let busiest = chosen.values().max().copied().unwrap_or_default();
    assert!(busiest <= 20, "{busiest} of 100 balancers chose one of 20 agents");
}

#[test]
fn a_fresh_report_of_an_idle_back_end_is_followed_in_a_small_pool() {
    for seed in 0..20 {
        let mut balancer = new_balancer(seed);
        for agent in 1..=7 {
            send(
                &mut balancer,
                milliseconds(10),
                agent,
                load_report(u16::from(agent > 1) * 2, WORK_US),
            );
        }
        assert_eq!(first_offer(&mut balancer, milliseconds(11), 1).0, agent_address(1));
    }
}

#[test]
fn slots_of_agents_that_are_not_the_fastest_are_found_before_a_queue_is() {
    let mut balancer = new_balancer(1);
    let now = milliseconds(10);
    for agent in 1..=10 {
        send(&mut balancer, now, agent, load_report(4, WORK_US / 2));
    }
    for agent in 11..=14 {
        send(&mut balancer, now, agent, load_report(0, WORK_US));
    }
    let mut offer = first_offer(&mut balancer, milliseconds(11), 1);
    let mut asked = vec![offer.0];
    while offer.0.ip().octets()[3] <= 10 {
        let report = load_report(4, WORK_US / 2);
        let message = Message::Declined { number: offer.1, reason: DeclineReason::Busy, report };
        balancer.handle_peer(milliseconds(12), offer.0, &message.encode());
        let next = offers(&outputs_of(&mut balancer));
        offer = *next.first().expect("the caller was refused though slots are free");
        asked.push(offer.0);
    }
    assert!(asked.len() <= 3, "{asked:?}");
}

/// A balancer in zone `a` with agents in two zones; those numbered up to `own_zone` are in its own.
fn balancer_with_two_zones(own_zone: u8, all: u8, waiting: impl Fn(u8) -> u16) -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    for agent in 1..=all {
        let zone = if agent <= own_zone { "a" } else { "b" };
        let report = load_report(waiting(agent), WORK_US);
        send_report_from_zone(&mut balancer, milliseconds(10), agent, zone, report);
    }
    balancer
}

#[test]
fn a_zones_own_back_ends_are_used_while_they_have_slots_to_spare() {
    for waiting in 0..=2 {
        let mut balancer =
            balancer_with_two_zones(2, 8, |agent| if agent <= 2 { waiting } else { 0 });
        let chosen = first_offer(&mut balancer, milliseconds(10), 1).0;
        let own = [agent_address(1), agent_address(2)];
        assert!(own.contains(&chosen), "{waiting} of 4 slots are used: {chosen}");
    }
    for waiting in [5, 6, 8] {
        let mut balancer =
            balancer_with_two_zones(2, 8, |agent| if agent <= 2 { waiting } else { 0 });
        let chosen = first_offer(&mut balancer, milliseconds(10), 1).0;
        assert_ne!(chosen, agent_address(1), "{waiting} requests wait for 4 slots");
        assert_ne!(chosen, agent_address(2), "{waiting} requests wait for 4 slots");
    }
}

#[test]
fn in_a_large_service_a_zones_own_back_ends_are_among_those_compared() {
    // One agent in twenty is in the balancer's zone: most samples of eight out of all agents would
    // contain none of them.
    let mut balancer = balancer_with_two_zones(10, 200, |_| 0);
    for port in 1..=100 {
        let (chosen, number) = first_offer(&mut balancer, milliseconds(10), port);
        assert!((1..=10).any(|agent| agent_address(agent) == chosen), "flow {port} to {chosen}");
        let message = Message::Placed { number, report: load_report(0, WORK_US) };
        balancer.handle_peer(milliseconds(10), chosen, &message.encode());
    }
}

#[test]
fn an_agent_that_is_much_slower_is_given_nothing_while_others_have_room() {
    let work_us = |agent: u8| if agent == 1 { 3 * WORK_US } else { WORK_US };
    let mut balancer = new_balancer(1);
    for agent in 1..=6 {
        send(&mut balancer, milliseconds(10), agent, load_report(0, work_us(agent)));
    }
    for port in 1..=30 {
        let (chosen, number) = first_offer(&mut balancer, milliseconds(11), port);
        assert_ne!(chosen, agent_address(1), "flow {port}");
        let report = load_report(0, work_us(chosen.ip().octets()[3]));
        let message = Message::Placed { number, report };
        balancer.handle_peer(milliseconds(11), chosen, &message.encode());
    }
}
