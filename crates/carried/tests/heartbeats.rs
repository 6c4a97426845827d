//! How often a node speaks to its peers.

mod support;

use loftdrift_carried::{CarriedBalancer, NodeRole, Output};
use std::net::SocketAddrV4;
use support::*;

fn fleet(agents: u16) -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    let member = |number: u16| {
        let [high, low] = number.to_be_bytes();
        (SocketAddrV4::new([10, 2, high, low].into(), 7720), NodeRole::Agent)
    };
    let members: Vec<_> = (1..=agents).map(member).collect();
    balancer.learn_members(milliseconds(0), &members);
    balancer
}

/// Peers that never speak are spoken to less often after 20 intervals, 60 s at 100 peers.
const SECONDS: usize = 45;

/// Heartbeats sent in each second of some.
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
fn after_the_greeting_a_node_speaks_at_a_steady_rate_within_its_budget() {
    for agents in [100, 985, 3_859] {
        let mut balancer = fleet(agents);
        let seconds = sent(&mut balancer, SECONDS);
        assert!(seconds[0] >= usize::from(agents), "all are greeted");
        let later = &seconds[1..];
        let mean = later.iter().sum::<usize>() as f64 / later.len() as f64;
        // 3,300 B a second at 100 B each; a peer's first interval is shorter than the others.
        assert!(mean <= 33.0 * 1.1, "{agents} agents: {mean} a second");
        let most = *later.iter().max().unwrap();
        assert!(most <= 66, "{agents} agents: {most} in one second, {seconds:?}");
        let least = *later.iter().min().unwrap();
        assert!(least >= 10, "{agents} agents: {least} in one second, {seconds:?}");
    }
}
