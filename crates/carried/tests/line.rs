//! Flows that wait at an agent until its back end has room.

mod support;

use loftdrift_carried::{
    Admission, CarriedAgent, DeclineReason, Message, Output, PlainFormat, Segment,
};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use support::*;

/// Slots of the back end, as its report tells.
const SLOTS: u16 = 4;
/// Requests beyond the slots that overlap with others by their handshakes.
const OVERLAP: u16 = 1;

fn line(attempt_remaining_ms: u16, priority: u8) -> Admission {
    Admission::WaitQueue { within_ms: 0, attempt_remaining_ms, priority }
}

fn offer_line(agent: &mut CarriedAgent, now: u64, port: u16, patience_ms: u16, priority: u8) {
    let offer = offer(u64::from(port), port, line(patience_ms, priority));
    agent.handle_peer(milliseconds(now), balancer_address(), &offer);
}

/// An agent whose back end has all that it can take from the line.
fn full_agent() -> CarriedAgent {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    for port in 1..=SLOTS + OVERLAP {
        offer_line(&mut agent, 1, port, 1_300, 1);
    }
    assert_eq!(sent_to_backend(&outputs(&mut agent)), usize::from(SLOTS + OVERLAP));
    (1..=SLOTS + OVERLAP).for_each(|port| begin(&mut agent, 1, port));
    outputs(&mut agent);
    agent
}

/// The back end answers the opening packet of a flow, whose caller sends its request.
fn begin(agent: &mut CarriedAgent, now: u64, port: u16) {
    let now = milliseconds(now);
    let sequence = 500 + u32::from(port);
    agent.handle_backend(now, packet(&Segment { syn: true, ..answer(port, sequence) }));
    let request = Message::Forward { datagram: packet(&data(port, 101, sequence + 1)) };
    agent.handle_peer(now, balancer_address(), &request.encode());
}

/// The back end answers the request of a flow, which then rests.
fn finish(agent: &mut CarriedAgent, now: u64, port: u16) {
    let now = milliseconds(now);
    let sequence = 500 + u32::from(port);
    let answered = Segment { payload_bytes: 10, ..answer(port, sequence + 1) };
    agent.handle_backend(now, packet(&answered));
}

/// Callers' ports whose opening packets were given to the back end.
fn opened(outputs: &[Output]) -> Vec<u16> {
    let opened = outputs.iter().filter_map(|output| match output {
        Output::ToBackend(datagram) => {
            use loftdrift_carried::SegmentFormat;
            let segment = PlainFormat.parse(datagram).expect("a packet");
            segment.is_syn().then(|| segment.source.port())
        }
        _ => None,
    });
    opened.collect()
}

fn queued(outputs: &[Output]) -> Vec<(SocketAddrV4, u64)> {
    let queued = outputs.iter().filter_map(|output| match output {
        Output::ToPeer { to, message: Message::Queued { number, .. } } => Some((*to, *number)),
        _ => None,
    });
    queued.collect()
}

fn declines(outputs: &[Output]) -> Vec<(u64, DeclineReason)> {
    let declines = outputs.iter().filter_map(|output| match output {
        Output::ToPeer { message: Message::Declined { number, reason, .. }, .. } => {
            Some((*number, *reason))
        }
        _ => None,
    });
    declines.collect()
}

#[test]
fn a_flow_waits_and_is_given_to_the_back_end_when_a_request_has_ended() {
    let mut agent = full_agent();
    offer_line(&mut agent, 2, 20, 1_300, 1);
    let told = outputs(&mut agent);
    assert_eq!(queued(&told), [(balancer_address(), 20)]);
    assert_eq!(opened(&told), []);
    finish(&mut agent, 40, 1);
    assert_eq!(opened(&outputs(&mut agent)), [20]);
    assert_eq!(agent.counters(milliseconds(40)).in_line, 0);
}

#[test]
fn a_new_flow_that_can_be_answered_in_time_goes_before_those_that_wait() {
    let mut agent = full_agent();
    offer_line(&mut agent, 2, 20, 1_300, 1);
    outputs(&mut agent);
    let in_time = offer(30, 30, Admission::Within(125));
    agent.handle_peer(milliseconds(3), balancer_address(), &in_time);
    assert_eq!(opened(&outputs(&mut agent)), [30]);
    // Two more than the line's limit are at work: the first that ends makes no room for it.
    finish(&mut agent, 40, 1);
    assert_eq!(opened(&outputs(&mut agent)), []);
    finish(&mut agent, 41, 2);
    assert_eq!(opened(&outputs(&mut agent)), [20]);
}

#[test]
fn a_flow_that_has_waited_in_vain_is_declined_when_its_caller_s_try_is_over() {
    let mut agent = full_agent();
    offer_line(&mut agent, 2, 20, 300, 1);
    outputs(&mut agent);
    assert!(agent.next_timeout().is_some_and(|at| at <= milliseconds(302)));
    agent.handle_timeout(milliseconds(301));
    assert_eq!(declines(&outputs(&mut agent)), []);
    agent.handle_timeout(milliseconds(302));
    assert_eq!(declines(&outputs(&mut agent)), [(20, DeclineReason::Busy)]);
    finish(&mut agent, 303, 1);
    assert_eq!(opened(&outputs(&mut agent)), [], "nothing of it runs later");
}

#[test]
fn whoever_is_to_leave_gives_the_back_end_nothing_of_its_line() {
    type Change = fn(&mut CarriedAgent);
    let changes: [(Change, DeclineReason); 5] = [
        (
            |agent| {
                agent.take_report(milliseconds(9), &report("one", 2, false));
            },
            DeclineReason::NotAccepting,
        ),
        (
            |agent| agent.take_departure(milliseconds(9), &departed("one")),
            DeclineReason::NotAccepting,
        ),
        (|agent| agent.start_draining(milliseconds(9)), DeclineReason::NotAccepting),
        (
            |agent| {
                agent.take_report(milliseconds(9), &report("two", 1, true));
            },
            DeclineReason::NotAccepting,
        ),
        (
            |agent| {
                let mut evacuating = configuration(2, vec![route(service_address(), SERVICE)]);
                evacuating.evacuated = BTreeSet::from(["a".to_owned()]);
                agent.adopt(milliseconds(9), evacuating);
            },
            DeclineReason::Evacuated,
        ),
    ];
    for (change, reason) in changes {
        let mut agent = full_agent();
        offer_line(&mut agent, 2, 20, 1_300, 1);
        outputs(&mut agent);
        change(&mut agent);
        let told = outputs(&mut agent);
        assert_eq!(declines(&told), [(20, reason)]);
        assert_eq!(opened(&told), []);
    }
}

#[test]
fn a_copy_through_another_balancer_keeps_its_place_and_the_end_of_its_try() {
    let mut agent = full_agent();
    offer_line(&mut agent, 2, 20, 300, 1);
    outputs(&mut agent);
    let other = address("10.1.0.2:7720");
    for admission in [Admission::FreeSlot, line(1_000, 1)] {
        agent.handle_peer(milliseconds(100), other, &offer(77, 20, admission));
        assert_eq!(queued(&outputs(&mut agent)), [(other, 77)]);
    }
    assert_eq!(agent.counters(milliseconds(100)).in_line, 1);
    agent.handle_timeout(milliseconds(302));
    assert_eq!(declines(&outputs(&mut agent)), [(77, DeclineReason::Busy)]);
}

#[test]
fn a_copy_of_a_flow_that_is_over_reaches_the_back_end_no_more() {
    let mut agent = full_agent();
    finish(&mut agent, 40, 1);
    let finish_of_1 = Segment { fin: true, payload_bytes: 0, ..answer(1, 511) };
    agent.handle_backend(milliseconds(41), packet(&finish_of_1));
    outputs(&mut agent);
    // Through another balancer, late: the caller's port may stand for another flow by now.
    for admission in [Admission::FreeSlot, line(800, 1)] {
        agent.handle_peer(milliseconds(600), address("10.1.0.2:7720"), &offer(77, 1, admission));
        assert_eq!(opened(&outputs(&mut agent)), []);
    }
}

#[test]
fn urgent_flows_overtake_others_by_a_bounded_time() {
    let mut agent = full_agent();
    offer_line(&mut agent, 2, 20, 1_050, 2);
    offer_line(&mut agent, 2, 21, 1_000, 1);
    offer_line(&mut agent, 2, 22, 1_200, 4);
    outputs(&mut agent);
    let mut order = Vec::new();
    for port in 1..=3 {
        finish(&mut agent, 40, port);
        order.extend(opened(&outputs(&mut agent)));
    }
    assert_eq!(order, [22, 21, 20], "the last that came, and 50 ms are overtaken by a step");
}

/// Load: requests of 50 ms on 4 slots, 80 a second. Of those that wait for 1.3 s 104 are answered;
/// nothing tells yet that fewer are, and those that wait in vain have their next try left.
#[test]
fn when_too_many_wait_the_one_that_has_waited_longest_is_declined_at_once() {
    let mut agent = full_agent();
    for port in 100..500 {
        offer_line(&mut agent, 2, port, 1_300, 1);
    }
    let told = outputs(&mut agent);
    assert_eq!(agent.counters(milliseconds(2)).in_line, 312);
    let declined: Vec<u64> = declines(&told).iter().map(|(number, _)| *number).collect();
    assert_eq!(declined, (100..188).collect::<Vec<_>>());
}

/// Load: new flows that can be answered in time take all slots for more than three seconds. Nothing is
/// served from the line, and whoever comes to it is told soon.
#[test]
fn in_an_overload_that_lasts_few_wait_for_nothing() {
    let mut agent = full_agent();
    let mut at_once = 0;
    for at in 2..3_500 {
        if at % 10 == 0 {
            offer_line(&mut agent, at, 1_000 + at as u16, 1_300, 1);
            let told = outputs(&mut agent);
            at_once += usize::from(at > 3_100 && !declines(&told).is_empty());
        }
    }
    assert_eq!(agent.counters(milliseconds(3_500)).in_line, u64::from(SLOTS) * 2);
    assert!(at_once >= 38, "{at_once} of 39 that came in the last 0.4 s made another one go");
}

#[test]
fn an_agent_that_stood_still_gives_its_back_end_no_flow_whose_caller_has_gone() {
    let mut agent = full_agent();
    (20..30).for_each(|port| offer_line(&mut agent, 2, port, 1_300, 1));
    outputs(&mut agent);
    agent.resume(milliseconds(4_000));
    finish(&mut agent, 4_000, 1);
    let told = outputs(&mut agent);
    assert_eq!((opened(&told), declines(&told).len()), (Vec::new(), 10));
}

/// What callers got: how many were answered within 300 ms, later, and never.
#[derive(Debug, Default, PartialEq)]
struct Served {
    in_time: usize,
    late: usize,
    never: usize,
}

/// Has the back end begin with the flows that it was given; it queues what its slots do not hold.
fn take_opened(agent: &mut CarriedAgent, at: u64, work: &mut Vec<(u64, u16)>) {
    for port in opened(&outputs(agent)) {
        let slot = work.iter().rev().nth(usize::from(SLOTS) - 1).map_or(at, |(end, _)| *end);
        work.push((slot.max(at) + 70, port));
        begin(agent, at, port);
    }
}

/// Load: a service is back. At each agent 60 callers wait and 25 a second come anew, half of what its
/// back end of four slots and 70 ms works off; a caller goes on for 1.3 s. Plays two seconds.
fn play_return(with_line: bool) -> Served {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    let mut served = Served::default();
    let mut work: Vec<(u64, u16)> = Vec::new();
    let mut asked_at = std::collections::BTreeMap::new();
    for at in 0..2_000_u64 {
        let late = if at == 0 { 0..60 } else { 0..0 };
        for port in late {
            asked_at.insert(port, None);
            let admission = if with_line { line(1_300, 1) } else { Admission::Spare };
            agent.handle_peer(
                milliseconds(at),
                balancer_address(),
                &offer(u64::from(port), port, admission),
            );
        }
        if at % 40 == 0 {
            let port = 1_000 + (at / 40) as u16;
            asked_at.insert(port, Some(at));
            let admission = Admission::Within(150);
            agent.handle_peer(
                milliseconds(at),
                balancer_address(),
                &offer(u64::from(port), port, admission),
            );
        }
        agent.handle_timeout(milliseconds(at));
        take_opened(&mut agent, at, &mut work);
        let done: Vec<u16> =
            work.iter().filter(|(end, _)| *end == at).map(|(_, port)| *port).collect();
        for port in done {
            finish(&mut agent, at, port);
            match asked_at.remove(&port) {
                Some(Some(asked)) if at - asked <= 300 => served.in_time += 1,
                _ => served.late += 1,
            }
            take_opened(&mut agent, at, &mut work);
        }
    }
    served.never = asked_at.len();
    served
}

#[test]
fn after_a_return_callers_that_waited_are_served_beside_new_ones() {
    let with_line = play_return(true);
    let without = play_return(false);
    // 50 come anew. There is room for 74 in the 1.3 s for which the others go on, 33 of it for new ones.
    assert!(with_line.in_time >= 48, "{with_line:?}");
    assert!(with_line.late >= 41, "{with_line:?}");
    assert!(without.late < 15, "{without:?}");
}
