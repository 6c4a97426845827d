//! A few balancers of each zone wait at the shared store; the others hear of it from them.

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

fn hear(
    balancer: &mut CarriedBalancer,
    now: Duration,
    number: u8,
    zone: &str,
    confirmation: Option<Confirmation>,
) {
    let heartbeat = Message::Heartbeat(heartbeat_of(zone, confirmation, 0));
    balancer.handle_peer(now, balancer_number(number), &heartbeat.encode());
}

/// The same while the balancers before `number` of one zone go on saying that they live.
fn readings_beside(balancer: &mut CarriedBalancer, number: u8, from: u64, to: u64) -> Vec<u64> {
    let mut made = Vec::new();
    for at in (from..to).step_by(1_000) {
        for peer in 1..number {
            hear(balancer, milliseconds(at), peer, "a", None);
        }
        made.extend(readings(balancer, at, to.min(at + 1_000)));
    }
    made
}

/// Does what is due until `to`; when the store is to be read, the moments of that.
fn readings(balancer: &mut CarriedBalancer, from: u64, to: u64) -> Vec<u64> {
    let mut made = Vec::new();
    for at in (from..to).step_by(10) {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(balancer);
        made.extend(outputs.iter().filter(|output| **output == Output::ReadStore).map(|_| at));
    }
    made
}

/// Which of `zones` (a zone for each balancer, by number) wait at the store.
fn watchers(zones: &[&str]) -> Vec<usize> {
    let waits = |number: &usize| {
        let mut balancer = balancer_at(*number as u8 + 1, zones[*number]);
        for (peer, zone) in zones.iter().enumerate().filter(|(peer, _)| peer != number) {
            hear(&mut balancer, milliseconds(100), peer as u8 + 1, zone, None);
        }
        readings(&mut balancer, 100, 2_000);
        balancer.watches_store(milliseconds(2_000))
    };
    (0..zones.len()).filter(waits).collect()
}

#[test]
fn six_of_one_zone_wait_and_two_of_each_of_many() {
    assert_eq!(watchers(&["a"; 4]), [0, 1, 2, 3], "a small system has all of them wait");
    assert_eq!(watchers(&["a"; 20]), [0, 1, 2, 3, 4, 5]);
    let zones: Vec<&str> = (0..40).map(|number| ["a", "b", "c", "d", "e"][number % 5]).collect();
    assert_eq!(watchers(&zones), (0..10).collect::<Vec<_>>());
}

/// Of a thousand that start together and know nobody yet all would take themselves for the first.
#[test]
fn a_balancer_that_has_not_read_who_there_is_waits_for_nothing_for_five_seconds() {
    let mut balancer = new_balancer(1);
    assert_eq!(readings(&mut balancer, 0, 4_900), []);
    assert!(!balancer.watches_store(milliseconds(4_900)));
    readings(&mut balancer, 4_900, 5_600);
    assert!(balancer.watches_store(milliseconds(5_600)), "the store may have refused it the list");
    let mut with_list = new_balancer(1);
    with_list.learn_members(milliseconds(500), &[]);
    readings(&mut with_list, 500, 1_100);
    assert!(with_list.watches_store(milliseconds(1_100)));
}

#[test]
fn those_with_the_fastest_links_wait_first() {
    // By address the first twelve are slow.
    let link = |number: u8| if number > 12 { 200 } else { 10 };
    let waits = |number: &u8| {
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
        readings(&mut balancer, 100, 2_000);
        balancer.watches_store(milliseconds(2_000))
    };
    assert_eq!((1..=20).filter(waits).collect::<Vec<_>>(), (13..=18).collect::<Vec<_>>());
}

#[test]
fn a_heartbeat_takes_no_more_bytes_than_its_interval_is_reckoned_with() {
    assert!(heartbeat_bytes(None) <= 106, "{} are reckoned with", heartbeat_bytes(None));
    // 3,300 a second, and as many received, while every process is young.
    let young = heartbeat_bytes(Some(59_999));
    assert!(young * 3_300 * 2 / 106 <= 7_000, "{young}");
}

/// Bytes of a long heartbeat, addresses included, of an agent that has run for so many milliseconds
/// with its back end, or for long.
fn heartbeat_bytes(young_ms: Option<u32>) -> usize {
    let load = LoadReport {
        service: "service-a".to_owned(),
        service_time_us: 40_000,
        measured_ms_ago: 5_000,
        backend_age_ms: young_ms,
        uptime_ms: young_ms,
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
    // Heads of UDP and IP take 28 bytes.
    Message::Heartbeat(heartbeat).encode().len() + 28
}

#[test]
fn a_balancer_that_is_the_only_one_heard_waits() {
    assert_eq!(watchers(&["a"]), [0]);
}

#[test]
fn whoever_does_not_wait_reads_for_itself_when_nobody_tells_of_the_store() {
    let mut last = balancer_at(20, "a");
    let made = readings_beside(&mut last, 20, 100, 14_000);
    // A second of silence, then its turn: 19 of 50 ms each; within the bound of 3 s, and each 3 s.
    assert_eq!(made.first(), Some(&1_950), "{made:?}");
    assert_eq!(made.len(), 5, "{made:?}");
    last.note_store(milliseconds(14_000), true);
    let made = readings_beside(&mut last, 20, 14_000, 15_500);
    assert_eq!(made, [], "the store has answered it");
}

/// When one of four balancers, which all wait at the store, reads for itself after the store's last word.
fn readings_of_watchers(number: u8) -> Vec<u64> {
    let mut balancer = balancer_at(number, "a");
    let others = |balancer: &mut CarriedBalancer, at: u64| {
        for peer in (1..=4).filter(|peer| *peer != number) {
            hear(balancer, milliseconds(at), peer, "a", None);
        }
    };
    others(&mut balancer, 100);
    readings(&mut balancer, 100, 2_000);
    assert!(balancer.watches_store(milliseconds(2_000)));
    balancer.note_store(milliseconds(2_000), true);
    let mut made = Vec::new();
    for at in (2_000..9_000).step_by(1_000) {
        others(&mut balancer, at);
        made.extend(readings(&mut balancer, at, at + 1_000));
    }
    made
}

#[test]
fn a_balancer_whose_wait_at_the_store_hangs_reads_for_itself_in_time() {
    for number in [1, 4] {
        let made = readings_of_watchers(number);
        let two_thirds = 2_000 + CONFIGURATION_BOUND.as_millis() as u64 * 2 / 3;
        assert!(made.first().is_some_and(|at| *at <= two_thirds), "{number}: {made:?}");
        assert!(made.len() <= 3, "{number}: {made:?}");
    }
}

/// The dead stand in the order for minutes, and the fleet may be of any size: whoever comes last must
/// still have read in time.
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
        let made = readings(&mut last, 100, 3 * third);
        let in_time = made.first().is_some_and(|at| *at <= 2 * third);
        assert!(in_time, "{balancers} balancers: {made:?}");
    }
}

#[test]
fn a_confirmation_that_a_peer_tells_of_keeps_a_balancer_from_reading() {
    let mut last = balancer_at(20, "a");
    for number in 1..20 {
        hear(&mut last, milliseconds(100), number, "a", None);
    }
    for at in (1_000..30_000).step_by(1_000) {
        let confirmation = Some(Confirmation { ms_ago: 500, hops: 3 });
        hear(&mut last, milliseconds(at), 1, "a", confirmation);
        assert_eq!(readings_beside(&mut last, 20, at, at + 1_000), []);
    }
}

#[test]
fn a_confirmation_grows_old_while_it_goes_round() {
    let mut nodes = [balancer_at(19, "a"), balancer_at(20, "a")];
    for balancer in &mut nodes {
        for number in 1..19 {
            hear(balancer, milliseconds(100), number, "a", None);
        }
    }
    let first = Some(Confirmation { ms_ago: 0, hops: 0 });
    hear(&mut nodes[0], milliseconds(200), 1, "a", first);
    let mut made = Vec::new();
    // Both tell each other all the time, each message 20 ms on its way.
    for at in (200..6_000).step_by(20) {
        if at % 1_000 == 0 {
            for balancer in &mut nodes {
                (1..19).for_each(|peer| hear(balancer, milliseconds(at), peer, "a", None));
            }
        }
        for (from, to) in [(0, 1), (1, 0)] {
            made.extend(readings(&mut nodes[from], at, at + 10));
            let told = confirmation_told(&mut nodes[from], milliseconds(at));
            hear(&mut nodes[to], milliseconds(at + 20), 19 + from as u8, "a", told);
        }
    }
    // A second of silence and a turn of 0.9 s after the confirmation, and little more.
    assert!(made.first().is_some_and(|at| *at < 2_700), "{:?}", made.first());
}

fn confirmation_told(balancer: &mut CarriedBalancer, now: Duration) -> Option<Confirmation> {
    let wanted = Heartbeat { wants_reply: true, ..heartbeat_of("a", None, 0) };
    balancer.handle_peer(now, balancer_number(1), &Message::Heartbeat(wanted).encode());
    balancer.handle_timeout(now);
    outputs_of(balancer).into_iter().find_map(|output| match output {
        Output::ToPeer { message: Message::Heartbeat(heartbeat), .. } => heartbeat.confirmation,
        _ => None,
    })
}

#[test]
fn a_balancer_that_the_store_does_not_answer_rests_ever_longer() {
    let mut balancer = balancer_at(1, "a");
    for number in 2..30 {
        hear(&mut balancer, milliseconds(100), number, "b", None);
    }
    readings(&mut balancer, 100, 2_000);
    assert!(balancer.watches_store(milliseconds(2_000)));
    let mut now = 2_000;
    let mut rests = Vec::new();
    for _ in 0..8 {
        balancer.note_store(milliseconds(now), false);
        let began = now;
        while !balancer.watches_store(milliseconds(now)) {
            now += 10;
        }
        rests.push(now - began);
    }
    assert!(rests[0] <= 130, "{rests:?}");
    assert!(rests.iter().all(|rest| *rest <= 7_500), "{rests:?}");
    assert!(rests[7] > rests[0] * 8, "{rests:?}");
}

#[test]
fn a_return_of_the_store_is_counted_once_and_told() {
    let mut balancer = balancer_at(1, "a");
    balancer.note_store(milliseconds(10), true);
    assert_eq!(balancer.store_returns(), 0);
    balancer.note_store(milliseconds(1_000), false);
    balancer.note_store(milliseconds(2_000), false);
    balancer.note_store(milliseconds(3_000), true);
    balancer.note_store(milliseconds(4_000), true);
    assert_eq!(balancer.store_returns(), 1);
    // Another one has told of the return before this one's own call is answered.
    balancer.note_store(milliseconds(5_000), false);
    let told = Message::Heartbeat(heartbeat_of("a", None, 2));
    balancer.handle_peer(milliseconds(5_500), balancer_number(2), &told.encode());
    balancer.note_store(milliseconds(6_000), true);
    assert_eq!(balancer.store_returns(), 2);
}
