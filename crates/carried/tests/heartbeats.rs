//! Rate and distribution of a node's heartbeats to its peers.

mod support;

use loftdrift_carried::{CarriedBalancer, NodeRole, Output, PlainFormat};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use support::*;

fn members(agents: u16) -> Vec<(SocketAddrV4, NodeRole)> {
    let member = |number: u16| {
        let [high, low] = number.to_be_bytes();
        (SocketAddrV4::new([10, 2, high, low].into(), 7720), NodeRole::Agent)
    };
    (1..=agents).map(member).collect()
}

fn balancer_with_agents(agents: u16) -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    balancer.learn_members(milliseconds(0), &members(agents));
    balancer
}

/// Stays below the 20 intervals, 60 s with 100 peers, after which silent peers get fewer
/// heartbeats.
const TEST_SECONDS: usize = 45;

/// Number of heartbeats sent in each of the next `seconds` seconds.
fn sent(balancer: &mut CarriedBalancer, seconds: usize) -> Vec<usize> {
    (0..seconds)
        .map(|second| {
            let mut count = 0;
            for at in (0..1_000).step_by(5) {
                balancer.handle_timeout(milliseconds(second as u64 * 1_000 + at));
                let outputs = outputs_of(balancer);
                count +=
                    outputs.iter().filter(|output| matches!(output, Output::ToPeer { .. })).count();
            }
            count
        })
        .collect()
}

#[test]
fn after_the_first_heartbeats_a_node_sends_at_a_steady_rate_within_its_budget() {
    for agents in [100, 985, 3_859] {
        let mut balancer = balancer_with_agents(agents);
        let seconds = sent(&mut balancer, TEST_SECONDS);
        assert!(seconds[0] >= usize::from(agents), "every agent gets a first heartbeat");
        let later = &seconds[1..];
        let mean = later.iter().sum::<usize>() as f64 / later.len() as f64;
        // 3,300 B per second at 100 B each; a peer's first interval is shorter than the others.
        assert!(mean <= 33.0 * 1.1, "{agents} agents: {mean} per second");
        let most = *later.iter().max().unwrap();
        assert!(most <= 66, "{agents} agents: {most} in one second, {seconds:?}");
        let least = *later.iter().min().unwrap();
        assert!(least >= 10, "{agents} agents: {least} in one second, {seconds:?}");
    }
}

/// The peers that a node notifies at once when it has adopted a configuration.
fn notified_at_once(number: u8, agents: u16) -> Vec<SocketAddrV4> {
    let mut settings = balancer_settings(1);
    settings.node.address = SocketAddrV4::new([10, 1, 0, number].into(), 7720);
    let mut balancer = CarriedBalancer::new(settings, PlainFormat);
    balancer.learn_members(milliseconds(0), &members(agents));
    sent(&mut balancer, 1);
    let now = milliseconds(1_000);
    balancer.adopt(now, configuration(2, vec![route(service_address(), SERVICE)]));
    balancer.handle_timeout(now);
    let outputs = outputs_of(&mut balancer);
    let to = |output: &Output| match output {
        Output::ToPeer { to, .. } => Some(*to),
        _ => None,
    };
    outputs.iter().filter_map(to).collect()
}

#[test]
fn balancers_send_news_to_different_peers_so_that_the_first_few_reach_all() {
    for agents in [300, 985] {
        let mut reached = BTreeSet::new();
        // The nodes that watch the store, and as many again that were notified by them.
        for number in 1..=100 {
            let notified = notified_at_once(number, agents);
            assert!(notified.len() <= 40, "{} of {agents}", notified.len());
            reached.extend(notified);
        }
        let share = reached.len() as f64 / f64::from(agents);
        // With 32 of 985 peers each, a hundred nodes miss (1 - 32/985)^100 = 3.7 %.
        assert!(share >= 0.94, "{agents} agents: {share}");
    }
}
