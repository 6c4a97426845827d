//! Delegated reads: agents read the shared store for a balancer that the store refuses.

mod support;

use loftdrift_carried::{
    CarriedAgent, CarriedBalancer, CarriedBalancerSettings, Heartbeat, LoadReport, Message,
    NodeRole, Output, PlainFormat,
};
use std::net::SocketAddrV4;
use support::*;

fn balancer() -> CarriedBalancer {
    let node = node(balancer_address(), NodeRole::Balancer);
    let mut balancer =
        CarriedBalancer::new(CarriedBalancerSettings { node, ..balancer_settings(1) }, PlainFormat);
    for agent in 1..=3 {
        let report = LoadReport { service: SERVICE.to_owned(), ..LoadReport::default() };
        send(&mut balancer, milliseconds(0), agent, report);
    }
    outputs_of(&mut balancer);
    balancer
}

fn read_requests(balancer: &mut CarriedBalancer, from: u64, to: u64) -> Vec<(u64, SocketAddrV4)> {
    let mut requests = Vec::new();
    for at in (from..to).step_by(10) {
        balancer.handle_timeout(milliseconds(at));
        for output in outputs_of(balancer) {
            if let Output::ToPeer { to, message: Message::ReadStore } = output {
                requests.push((at, to));
            }
        }
    }
    requests
}

#[test]
fn a_balancer_that_the_store_refuses_asks_one_agent_a_second() {
    let mut balancer = balancer();
    assert_eq!(read_requests(&mut balancer, 0, 2_000), []);
    balancer.note_store(milliseconds(2_000), false);
    balancer.note_store(milliseconds(2_100), false);
    for agent in 1..=3 {
        let report = LoadReport { service: SERVICE.to_owned(), ..LoadReport::default() };
        send(&mut balancer, milliseconds(2_000), agent, report);
    }
    let requests = read_requests(&mut balancer, 2_000, 3_000);
    assert_eq!(requests.len(), 1, "{requests:?}");
    assert!((2_300..2_400).contains(&requests[0].0), "{requests:?}");
    balancer.note_store(milliseconds(3_000), true);
    assert_eq!(read_requests(&mut balancer, 3_000, 6_000), []);
}

#[test]
fn a_refused_balancer_asks_no_agent_while_the_last_confirmation_is_fresh() {
    let mut balancer = balancer();
    balancer.note_store(milliseconds(1_000), true);
    balancer.note_store(milliseconds(1_100), false);
    assert_eq!(read_requests(&mut balancer, 1_100, 2_400), [], "the confirmation is recent");
    for agent in 1..=3 {
        let report = LoadReport { service: SERVICE.to_owned(), ..LoadReport::default() };
        send(&mut balancer, milliseconds(2_400), agent, report);
    }
    let requests = read_requests(&mut balancer, 2_400, 3_400);
    assert!((1..=2).contains(&requests.len()), "{requests:?}");
}

#[test]
fn an_agent_is_asked_in_time_while_a_balancers_own_read_is_unanswered() {
    let mut balancer = balancer();
    balancer.learn_members(milliseconds(0), &[]);
    read_requests(&mut balancer, 0, 2_000);
    balancer.note_store(milliseconds(2_000), true);
    for agent in 1..=3 {
        let report = LoadReport { service: SERVICE.to_owned(), ..LoadReport::default() };
        send(&mut balancer, milliseconds(3_000), agent, report);
    }
    let requests = read_requests(&mut balancer, 2_000, 5_000);
    let two_thirds = 2_000 + CONFIGURATION_BOUND.as_millis() as u64 * 2 / 3;
    assert!(requests.first().is_some_and(|(at, _)| *at <= two_thirds), "{requests:?}");
}

#[test]
fn an_agent_reads_the_store_and_reports_a_newer_configuration_to_the_requester() {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
    agent.handle_peer(milliseconds(1), balancer_address(), &Message::ReadStore.encode());
    assert_eq!(outputs(&mut agent), [Output::ReadStore]);
    agent.adopt(milliseconds(9), configuration(2, vec![route(service_address(), "sheets")]));
    agent.note_store(milliseconds(9), true);
    let sent = sent_heartbeats(&mut agent);
    assert_eq!(sent.len(), 1, "{sent:?}");
    let (to, heartbeat) = &sent[0];
    assert_eq!((*to, heartbeat.configuration), (balancer_address(), at(2)));
    let confirmed = heartbeat.confirmation.map(|confirmation| confirmation.ms_ago);
    assert_eq!(confirmed, Some(0));
}

#[test]
fn an_agent_whose_read_failed_reports_nothing() {
    let mut agent = agent(true);
    agent.handle_peer(milliseconds(1), balancer_address(), &Message::ReadStore.encode());
    agent.note_store(milliseconds(9), false);
    assert_eq!(sent_heartbeats(&mut agent), []);
}

fn sent_heartbeats(agent: &mut CarriedAgent) -> Vec<(SocketAddrV4, Heartbeat)> {
    let sent = outputs(agent).into_iter().filter_map(|output| match output {
        Output::ToPeer { to, message: Message::Heartbeat(heartbeat) } => Some((to, heartbeat)),
        _ => None,
    });
    sent.collect()
}
