//! A few balancers of each zone watch the shared store; the others learn of changes from them.

mod support;

use loftdrift_carried::{
    CarriedBalancer, Confirmation, Heartbeat, LoadReport, Message, Node, NodeRole, Output,
    PlainFormat, Position, Version,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

fn balancer_at(number: u8, zone: &str) -> CarriedBalancer {
    let address = balancer_number(number);
    let node = Node { zone: zone.to_owned(), ..node(address, NodeRole::Balancer) };
    let settings = loftdrift_carried::CarriedBalancerSettings { node, ..balancer_settings(1) };
    let mut balancer = CarriedBalancer::new(settings, PlainFormat);
    balancer.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
    balancer.learn_members(milliseconds(0), &[]);
    balancer
}

fn balancer_number(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, 0, number].into(), 7720)
}

fn receive(
    balancer: &mut CarriedBalancer,
    now: Duration,
    number: u8,
    zone: &str,
    confirmation: Option<Confirmation>,
) {
    let heartbeat = Message::Heartbeat(heartbeat_of(zone, confirmation, 0));
    balancer.handle_peer(now, balancer_number(number), &heartbeat.encode());
}

/// Like [`store_reads`], while the balancers of the zone with lower numbers go on sending
/// heartbeats.
fn reads_among_peers(balancer: &mut CarriedBalancer, number: u8, from: u64, to: u64) -> Vec<u64> {
    let mut reads = Vec::new();
    for at in (from..to).step_by(1_000) {
        for peer in 1..number {
            receive(balancer, milliseconds(at), peer, "a", None);
        }
        reads.extend(store_reads(balancer, at, to.min(at + 1_000)));
    }
    reads
}

/// Runs timers until `to` and returns the times at which the store is to be read.
fn store_reads(balancer: &mut CarriedBalancer, from: u64, to: u64) -> Vec<u64> {
    let mut reads = Vec::new();
    for at in (from..to).step_by(10) {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(balancer);
        reads.extend(outputs.iter().filter(|output| **output == Output::ReadStore).map(|_| at));
    }
    reads
}

/// Indices of the balancers that watch the store, where `zones` holds each balancer's zone.
fn watchers(zones: &[&str]) -> Vec<usize> {
    let watches = |number: &usize| {
        let mut balancer = balancer_at(*number as u8 + 1, zones[*number]);
        for (peer, zone) in zones.iter().enumerate().filter(|(peer, _)| peer != number) {
            receive(&mut balancer, milliseconds(100), peer as u8 + 1, zone, None);
        }
        store_reads(&mut balancer, 100, 2_000);
        balancer.watches_store(milliseconds(2_000))
    };
    (0..zones.len()).filter(watches).collect()
}

#[test]
fn six_balancers_of_one_zone_watch_or_two_of_each_of_five_zones() {
    assert_eq!(watchers(&["a"; 4]), [0, 1, 2, 3], "in a small system all of them watch");
    assert_eq!(watchers(&["a"; 20]), [0, 1, 2, 3, 4, 5]);
    let zones: Vec<&str> = (0..40).map(|number| ["a", "b", "c", "d", "e"][number % 5]).collect();
    assert_eq!(watchers(&zones), (0..10).collect::<Vec<_>>());
}

/// Otherwise each of a thousand balancers that start together without knowing any other would rank
/// itself first.
#[test]
fn a_balancer_without_the_list_of_nodes_watches_only_after_five_seconds() {
    let mut balancer = new_balancer(1);
    assert_eq!(store_reads(&mut balancer, 0, 4_900), []);
    assert!(!balancer.watches_store(milliseconds(4_900)));
    store_reads(&mut balancer, 4_900, 5_600);
    assert!(
        balancer.watches_store(milliseconds(5_600)),
        "the store may have refused to return the list"
    );
    let mut with_list = new_balancer(1);
    with_list.learn_members(milliseconds(500), &[]);
    store_reads(&mut with_list, 500, 1_100);
    assert!(with_list.watches_store(milliseconds(1_100)));
}

#[test]
fn balancers_with_the_fastest_links_watch_first() {
    // The twelve balancers with the lowest addresses have slow links.
    let link = |number: u8| if number > 12 { 200 } else { 10 };
    let watches = |number: &u8| {
        let mut settings = balancer_settings(1);
        settings.node.address = balancer_number(*number);
        settings.node.link_mbps = link(*number);
        let mut balancer = CarriedBalancer::new(settings, PlainFormat);
        balancer.learn_members(milliseconds(0), &[]);
        balancer.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
        for peer in (1..=20).filter(|peer| peer != number) {
            let heartbeat = Heartbeat { link_mbps: link(peer), ..heartbeat_of("a", None, 0) };
            let message = Message::Heartbeat(heartbeat).encode();
            balancer.handle_peer(milliseconds(100), balancer_number(peer), &message);
        }
        store_reads(&mut balancer, 100, 2_000);
        balancer.watches_store(milliseconds(2_000))
    };
    assert_eq!((1..=20).filter(watches).collect::<Vec<_>>(), (13..=18).collect::<Vec<_>>());
}

#[test]
fn a_heartbeat_is_no_larger_than_its_interval_assumes() {
    assert!(heartbeat_bytes(None) <= 106, "{} are assumed", heartbeat_bytes(None));
    // 3,300 heartbeats a second are sent, and as many received, while every process has just
    // started.
    let young_bytes = heartbeat_bytes(Some(59_999));
    assert!(young_bytes * 3_300 * 2 / 106 <= 7_000, "{young_bytes}");
}

/// Size of a heartbeat with long fields, headers included, of an agent that started `uptime_ms` ago
/// together with its back end, or long ago if that is `None`.
fn heartbeat_bytes(uptime_ms: Option<u32>) -> usize {
    let load = LoadReport {
        service: "service-a".to_owned(),
        service_time_us: 40_000,
        measured_ms_ago: 5_000,
        backend_age_ms: uptime_ms,
        uptime_ms,
        queued: 200,
        ..LoadReport::default()
    };
    let heartbeat = Heartbeat {
        zone: "a-zone".to_owned(),
        region: "reg".to_owned(),
        incarnation: u64::MAX,
        configuration: Version {
            number: 70_000,
            position: Position { era: 70, revision: u32::MAX.into() },
        },
        digest: u64::MAX,
        confirmation: Some(Confirmation { ms_ago: 9_000, hops: 12 }),
        report: Some(load),
        ..heartbeat_of("", None, 3)
    };
    // The UDP and IP headers take 28 bytes.
    Message::Heartbeat(heartbeat).encode().len() + 28
}

#[test]
fn the_only_known_balancer_watches() {
    assert_eq!(watchers(&["a"]), [0]);
}

#[test]
fn a_balancer_that_does_not_watch_reads_the_store_itself_without_confirmations() {
    let mut last = balancer_at(20, "a");
    let reads = reads_among_peers(&mut last, 20, 100, 14_000);
    // It reads after one second without a confirmation and 19 turns of 50 ms each, which is within
    // the bound of 3 s, and then every 3 s.
    assert_eq!(reads.first(), Some(&1_950), "{reads:?}");
    assert_eq!(reads.len(), 5, "{reads:?}");
    last.note_store(milliseconds(14_000), true);
    let reads = reads_among_peers(&mut last, 20, 14_000, 15_500);
    assert_eq!(reads, [], "the store has answered its read");
}

/// When one of four balancers, which all watch the store, reads it itself after the store's last
/// answer.
fn reads_of_watcher(number: u8) -> Vec<u64> {
    let mut balancer = balancer_at(number, "a");
    let others = |balancer: &mut CarriedBalancer, at: u64| {
        for peer in (1..=4).filter(|peer| *peer != number) {
            receive(balancer, milliseconds(at), peer, "a", None);
        }
    };
    others(&mut balancer, 100);
    store_reads(&mut balancer, 100, 2_000);
    assert!(balancer.watches_store(milliseconds(2_000)));
    balancer.note_store(milliseconds(2_000), true);
    let mut reads = Vec::new();
    for at in (2_000..9_000).step_by(1_000) {
        others(&mut balancer, at);
        reads.extend(store_reads(&mut balancer, at, at + 1_000));
    }
    reads
}

#[test]
fn a_balancer_whose_watch_hangs_reads_the_store_itself_in_time() {
    for number in [1, 4] {
        let reads = reads_of_watcher(number);
        let two_thirds = 2_000 + CONFIGURATION_BOUND.as_millis() as u64 * 2 / 3;
        assert!(reads.first().is_some_and(|at| *at <= two_thirds), "{number}: {reads:?}");
        assert!(reads.len() <= 3, "{number}: {reads:?}");
    }
}

/// Dead balancers keep their rank for minutes, and there may be any number of balancers: the last
/// one in turn must still read in time.
#[test]
fn the_last_of_any_number_of_balancers_reads_within_two_thirds_of_the_bound() {
    let third = CONFIGURATION_BOUND.as_millis() as u64 / 3;
    for balancers in [30_u16, 304, 460] {
        let address = |number: u16| {
            let [high, low] = number.to_be_bytes();
            SocketAddrV4::new([10, 1, high, low].into(), 7720)
        };
        let mut settings = balancer_settings(1);
        settings.node.address = address(balancers);
        let mut last = CarriedBalancer::new(settings, PlainFormat);
        last.learn_members(milliseconds(0), &[]);
        last.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
        for number in 1..balancers {
            let heartbeat = Message::Heartbeat(heartbeat_of("a", None, 0));
            last.handle_peer(milliseconds(100), address(number), &heartbeat.encode());
        }
        let reads = store_reads(&mut last, 100, 3 * third);
        let in_time = reads.first().is_some_and(|at| *at <= 2 * third);
        assert!(in_time, "{balancers} balancers: {reads:?}");
    }
}

#[test]
fn a_confirmation_from_a_peer_keeps_a_balancer_from_reading() {
    let mut last = balancer_at(20, "a");
    for number in 1..20 {
        receive(&mut last, milliseconds(100), number, "a", None);
    }
    for at in (1_000..30_000).step_by(1_000) {
        let confirmation = Some(Confirmation { ms_ago: 500, hops: 3 });
        receive(&mut last, milliseconds(at), 1, "a", confirmation);
        assert_eq!(reads_among_peers(&mut last, 20, at, at + 1_000), []);
    }
}

#[test]
fn a_confirmation_ages_while_it_is_passed_around() {
    let mut nodes = [balancer_at(19, "a"), balancer_at(20, "a")];
    for balancer in &mut nodes {
        for number in 1..19 {
            receive(balancer, milliseconds(100), number, "a", None);
        }
    }
    let first = Some(Confirmation { ms_ago: 0, hops: 0 });
    receive(&mut nodes[0], milliseconds(200), 1, "a", first);
    let mut reads = Vec::new();
    // Both balancers send heartbeats to each other all the time, each with a delay of 20 ms.
    for at in (200..6_000).step_by(20) {
        if at % 1_000 == 0 {
            for balancer in &mut nodes {
                (1..19).for_each(|peer| receive(balancer, milliseconds(at), peer, "a", None));
            }
        }
        for (from, to) in [(0, 1), (1, 0)] {
            reads.extend(store_reads(&mut nodes[from], at, at + 10));
            let sent = sent_confirmation(&mut nodes[from], milliseconds(at));
            receive(&mut nodes[to], milliseconds(at + 20), 19 + from as u8, "a", sent);
        }
    }
    // Due one second after the confirmation plus a turn of 0.9 s; only a little more is allowed.
    assert!(reads.first().is_some_and(|at| *at < 2_700), "{:?}", reads.first());
}

fn sent_confirmation(balancer: &mut CarriedBalancer, now: Duration) -> Option<Confirmation> {
    let wanted = Heartbeat { wants_reply: true, ..heartbeat_of("a", None, 0) };
    balancer.handle_peer(now, balancer_number(1), &Message::Heartbeat(wanted).encode());
    balancer.handle_timeout(now);
    outputs_of(balancer).into_iter().find_map(|output| match output {
        Output::ToPeer { message: Message::Heartbeat(heartbeat), .. } => heartbeat.confirmation,
        _ => None,
    })
}

#[test]
fn a_balancer_that_the_store_does_not_answer_backs_off_with_growing_delays() {
    let mut balancer = balancer_at(1, "a");
    for number in 2..30 {
        receive(&mut balancer, milliseconds(100), number, "b", None);
    }
    store_reads(&mut balancer, 100, 2_000);
    assert!(balancer.watches_store(milliseconds(2_000)));
    let mut now = 2_000;
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        balancer.note_store(milliseconds(now), false);
        let began = now;
        while !balancer.watches_store(milliseconds(now)) {
            now += 10;
        }
        backoffs.push(now - began);
    }
    assert!(backoffs[0] <= 130, "{backoffs:?}");
    assert!(backoffs.iter().all(|backoff| *backoff <= 7_500), "{backoffs:?}");
    assert!(backoffs[7] > backoffs[0] * 8, "{backoffs:?}");
}

#[test]
fn a_recovery_of_the_store_is_counted_once() {
    let mut balancer = balancer_at(1, "a");
    balancer.note_store(milliseconds(10), true);
    assert_eq!(balancer.store_recoveries(), 0);
    balancer.note_store(milliseconds(1_000), false);
    balancer.note_store(milliseconds(2_000), false);
    balancer.note_store(milliseconds(3_000), true);
    balancer.note_store(milliseconds(4_000), true);
    assert_eq!(balancer.store_recoveries(), 1);
    // Another balancer reports the return before this one's own call is answered.
    balancer.note_store(milliseconds(5_000), false);
    let sent = Message::Heartbeat(heartbeat_of("a", None, 2));
    balancer.handle_peer(milliseconds(5_500), balancer_number(2), &sent.encode());
    balancer.note_store(milliseconds(6_000), true);
    assert_eq!(balancer.store_recoveries(), 2);
}
