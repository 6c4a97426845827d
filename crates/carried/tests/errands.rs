//! The shared store refuses a balancer: agents read it for the balancer.

mod support;

use loftdrift_carried::{
    CarriedBalancer, CarriedBalancerSettings, LoadReport, Message, NodeRole, Output, PlainFormat,
    Policies,
};
use std::net::SocketAddrV4;
use support::*;

fn balancer() -> CarriedBalancer {
    let node = node(balancer_address(), NodeRole::Balancer);
    let mut balancer = CarriedBalancer::new(
        CarriedBalancerSettings { node, seed: 1, policies: Policies::default() },
        PlainFormat,
    );
    for agent in 1..=3 {
        let report = LoadReport { service: SERVICE.to_owned(), ..LoadReport::default() };
        tell(&mut balancer, milliseconds(0), agent, report);
    }
    outputs_of(&mut balancer);
    balancer
}

fn errands(balancer: &mut CarriedBalancer, from: u64, to: u64) -> Vec<(u64, SocketAddrV4)> {
    let mut made = Vec::new();
    for at in (from..to).step_by(10) {
        balancer.handle_timeout(milliseconds(at));
        for output in outputs_of(balancer) {
            if let Output::ToPeer { to, message: Message::ReadStore } = output {
                made.push((at, to));
            }
        }
    }
    made
}

#[test]
fn a_balancer_that_the_store_refuses_asks_one_agent_a_second() {
    let mut balancer = balancer();
    assert_eq!(errands(&mut balancer, 0, 1_000), []);
    balancer.note_store(milliseconds(1_000), false);
    balancer.note_store(milliseconds(1_100), false);
    for agent in 1..=3 {
        let report = LoadReport { service: SERVICE.to_owned(), ..LoadReport::default() };
        tell(&mut balancer, milliseconds(1_000), agent, report);
    }
    let made = errands(&mut balancer, 1_000, 2_000);
    assert_eq!(made.len(), 1, "{made:?}");
    assert!((1_300..1_400).contains(&made[0].0), "{made:?}");
    balancer.note_store(milliseconds(2_000), true);
    assert_eq!(errands(&mut balancer, 2_000, 5_000), []);
}

#[test]
fn an_agent_reads_the_store_and_tells_whoever_asked_of_a_newer_configuration() {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
    agent.handle_peer(milliseconds(1), balancer_address(), &Message::ReadStore.encode());
    assert_eq!(outputs(&mut agent), [Output::ReadStore]);
    agent.adopt(milliseconds(5), configuration(1, vec![route(service_address(), SERVICE)]));
    assert_eq!(outputs(&mut agent), [], "nothing newer, nothing to tell");
    agent.adopt(milliseconds(9), configuration(2, vec![route(service_address(), "sheets")]));
    let told: Vec<_> = outputs(&mut agent)
        .into_iter()
        .filter_map(|output| match output {
            Output::ToPeer { to, message: Message::Heartbeat(heartbeat) } => {
                Some((to, heartbeat.configuration))
            }
            _ => None,
        })
        .collect();
    assert_eq!(told, [(balancer_address(), 2)]);
}
