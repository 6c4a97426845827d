//! The wait queue: new flows that wait at an agent until its back end has room.

mod support;

use loftdrift_carried::{
    Admission, BackendReport, CarriedAgent, DeclineReason, Message, Output, PlainFormat, Segment,
};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use support::*;

/// Slots of the back end, as its heartbeat reports.
const SLOTS: u16 = 4;
/// Flows that the back end is given beyond its slots, since their handshakes overlap with the
/// requests of others.
const HANDSHAKING: u16 = 1;
/// Flows that may wait at one agent, whatever its back end reports: each keeps its SYN in memory.
const MAX_WAITING: u64 = 512;

fn queueing(attempt_remaining_ms: u16, priority: u8) -> Admission {
    Admission::WaitQueue { within_ms: 0, attempt_remaining_ms, priority }
}

fn offer_queued(agent: &mut CarriedAgent, now: u64, port: u16, patience_ms: u16, priority: u8) {
    let offer = offer(u64::from(port), port, queueing(patience_ms, priority));
    agent.handle_peer(milliseconds(now), balancer_address(), &offer);
}

/// An agent whose back end has no room for further waiting flows.
fn agent_without_room() -> CarriedAgent {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    for port in 1..=SLOTS + HANDSHAKING {
        offer_queued(&mut agent, 1, port, 1_300, 1);
    }
    assert_eq!(sent_to_backend(&outputs(&mut agent)), usize::from(SLOTS + HANDSHAKING));
    (1..=SLOTS + HANDSHAKING).for_each(|port| begin(&mut agent, 1, port));
    outputs(&mut agent);
    agent
}

/// The back end answers the SYN of a flow, whose caller then sends its request.
fn begin(agent: &mut CarriedAgent, now: u64, port: u16) {
    let now = milliseconds(now);
    let sequence = 500 + u32::from(port);
    agent.handle_backend(now, packet(&Segment { syn: true, ..answer(port, sequence) }));
    let request = Message::Forward { datagram: packet(&data(port, 101, sequence + 1)) };
    agent.handle_peer(now, balancer_address(), &request.encode());
}

/// The back end answers the request of a flow, which is idle afterwards.
fn finish(agent: &mut CarriedAgent, now: u64, port: u16) {
    let now = milliseconds(now);
    let sequence = 500 + u32::from(port);
    let answered = Segment { payload_bytes: 10, ..answer(port, sequence + 1) };
    agent.handle_backend(now, packet(&answered));
}

/// Caller ports of the SYNs that were passed to the back end.
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
fn a_waiting_flow_is_passed_to_the_back_end_when_a_request_ends() {
    let mut agent = agent_without_room();
    offer_queued(&mut agent, 2, 20, 1_300, 1);
    let sent = outputs(&mut agent);
    assert_eq!(queued(&sent), [(balancer_address(), 20)]);
    assert_eq!(opened(&sent), []);
    finish(&mut agent, 40, 1);
    assert_eq!(opened(&outputs(&mut agent)), [20]);
    assert_eq!(agent.counters(milliseconds(40)).in_line, 0);
}

#[test]
fn a_new_flow_that_can_be_answered_in_time_goes_before_those_that_wait() {
    let mut agent = agent_without_room();
    offer_queued(&mut agent, 2, 20, 1_300, 1);
    outputs(&mut agent);
    let in_time = offer(30, 30, Admission::Within(125));
    agent.handle_peer(milliseconds(3), balancer_address(), &in_time);
    assert_eq!(opened(&outputs(&mut agent)), [30]);
    // One flow more than the limit for waiting flows is in work: the first request that ends makes
    // no room for a waiting flow.
    finish(&mut agent, 40, 1);
    assert_eq!(opened(&outputs(&mut agent)), []);
    finish(&mut agent, 41, 2);
    assert_eq!(opened(&outputs(&mut agent)), [20]);
}

#[test]
fn a_waiting_flow_is_declined_when_its_callers_attempt_times_out() {
    let mut agent = agent_without_room();
    offer_queued(&mut agent, 2, 20, 300, 1);
    outputs(&mut agent);
    assert!(agent.next_timeout().is_some_and(|at| at <= milliseconds(302)));
    agent.handle_timeout(milliseconds(301));
    assert_eq!(declines(&outputs(&mut agent)), []);
    agent.handle_timeout(milliseconds(302));
    assert_eq!(declines(&outputs(&mut agent)), [(20, DeclineReason::Busy)]);
    finish(&mut agent, 303, 1);
    assert_eq!(opened(&outputs(&mut agent)), [], "the declined flow does not reach the back end");
}

#[test]
fn waiting_flows_are_declined_when_the_back_end_no_longer_accepts() {
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
        let mut agent = agent_without_room();
        offer_queued(&mut agent, 2, 20, 1_300, 1);
        outputs(&mut agent);
        change(&mut agent);
        let sent = outputs(&mut agent);
        assert_eq!(declines(&sent), [(20, reason)]);
        assert_eq!(opened(&sent), []);
    }
}

#[test]
fn a_syn_retransmitted_through_another_balancer_keeps_its_position_and_expiry() {
    let mut agent = agent_without_room();
    offer_queued(&mut agent, 2, 20, 300, 1);
    outputs(&mut agent);
    let other = address("10.1.0.2:7720");
    for admission in [Admission::FreeSlot, queueing(1_000, 1)] {
        agent.handle_peer(milliseconds(100), other, &offer(77, 20, admission));
        assert_eq!(queued(&outputs(&mut agent)), [(other, 77)]);
    }
    assert_eq!(agent.counters(milliseconds(100)).in_line, 1);
    agent.handle_timeout(milliseconds(302));
    assert_eq!(declines(&outputs(&mut agent)), [(77, DeclineReason::Busy)]);
}

#[test]
fn a_retransmitted_syn_of_a_closed_flow_does_not_reach_the_back_end() {
    let mut agent = agent_without_room();
    finish(&mut agent, 40, 1);
    let finish_of_1 = Segment { fin: true, payload_bytes: 0, ..answer(1, 511) };
    agent.handle_backend(milliseconds(41), packet(&finish_of_1));
    outputs(&mut agent);
    // The SYN arrives late through another balancer. The caller may use the port for another flow
    // by now, which would receive the back end's answer.
    for admission in [Admission::FreeSlot, queueing(800, 1)] {
        agent.handle_peer(milliseconds(600), address("10.1.0.2:7720"), &offer(77, 1, admission));
        assert_eq!(opened(&outputs(&mut agent)), []);
    }
}

#[test]
fn urgent_flows_overtake_others_by_a_bounded_time() {
    let mut agent = agent_without_room();
    offer_queued(&mut agent, 2, 20, 1_050, 2);
    offer_queued(&mut agent, 2, 21, 1_000, 1);
    offer_queued(&mut agent, 2, 22, 1_200, 4);
    outputs(&mut agent);
    let mut order = Vec::new();
    for port in 1..=3 {
        finish(&mut agent, 40, port);
        order.extend(opened(&outputs(&mut agent)));
    }
    assert_eq!(
        order,
        [22, 21, 20],
        "22 expires last; one priority step outweighs the 50 ms by which 20 expires later than 21"
    );
}

/// Load: requests of 50 ms on 4 slots, 80 per second, so that 104 waiting flows could be served
/// within 1.3 s. The service rate is not known yet, so the queue holds three times as many (312):
/// flows that get no slot still have their callers' other two attempts.
#[test]
fn when_too_many_wait_the_one_that_has_waited_longest_is_declined_at_once() {
    let mut agent = agent_without_room();
    for port in 100..500 {
        offer_queued(&mut agent, 2, port, 1_300, 1);
    }
    let sent = outputs(&mut agent);
    assert_eq!(agent.counters(milliseconds(2)).in_line, 312);
    let declined: Vec<u64> = declines(&sent).iter().map(|(number, _)| *number).collect();
    assert_eq!(declined, (100..188).collect::<Vec<_>>());
}

/// Load: other flows occupy all slots for more than three seconds, as new flows that can be
/// answered in time do in an overload, and nothing is served from the queue. Once that rate is
/// known, the queue is short, and each new flow has another one declined at once.
#[test]
fn in_a_lasting_overload_few_flows_wait_without_getting_a_slot() {
    let mut agent = agent_without_room();
    let mut at_once = 0;
    for at in 2..3_500 {
        if at % 10 == 0 {
            offer_queued(&mut agent, at, 1_000 + at as u16, 1_300, 1);
            let sent = outputs(&mut agent);
            at_once += usize::from(at > 3_100 && !declines(&sent).is_empty());
        }
    }
    assert_eq!(agent.counters(milliseconds(3_500)).in_line, u64::from(SLOTS) * 2);
    assert!(
        at_once >= 38,
        "{at_once} of the 39 flows of the last 0.4 s had another one declined at once"
    );
}

#[test]
fn after_a_stall_expired_flows_are_not_passed_to_the_back_end() {
    let mut agent = agent_without_room();
    (20..30).for_each(|port| offer_queued(&mut agent, 2, port, 1_300, 1));
    outputs(&mut agent);
    agent.resume(milliseconds(4_000));
    finish(&mut agent, 4_000, 1);
    let sent = outputs(&mut agent);
    assert_eq!((opened(&sent), declines(&sent).len()), (Vec::new(), 10));
}

/// Number of callers that were answered within 300 ms, later, and never.
#[derive(Debug, Default, PartialEq)]
struct Served {
    in_time: usize,
    late: usize,
    never: usize,
}

/// Opens the flows that the back end was given, and plans when it answers: `work` holds the end of
/// each request with its port. Requests beyond the slots wait for a slot.
fn start_requests(agent: &mut CarriedAgent, at: u64, work: &mut Vec<(u64, u16)>) {
    for port in opened(&outputs(agent)) {
        let slot = work.iter().rev().nth(usize::from(SLOTS) - 1).map_or(at, |(end, _)| *end);
        work.push((slot.max(at) + 70, port));
        begin(agent, at, port);
    }
}

/// Load: a service comes back after an outage. At each agent 60 callers wait and 25 new ones arrive
/// per second, half of what its back end with four slots and 70 ms per request can serve. A
/// caller's attempt lasts for 1.3 s. Simulates two seconds.
fn serve_after_outage(with_queue: bool) -> Served {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    let mut served = Served::default();
    let mut work: Vec<(u64, u16)> = Vec::new();
    let mut arrived_at = std::collections::BTreeMap::new();
    for at in 0..2_000_u64 {
        let late = if at == 0 { 0..60 } else { 0..0 };
        for port in late {
            arrived_at.insert(port, None);
            let admission = if with_queue { queueing(1_300, 1) } else { Admission::Spare };
            agent.handle_peer(
                milliseconds(at),
                balancer_address(),
                &offer(u64::from(port), port, admission),
            );
        }
        if at % 40 == 0 {
            let port = 1_000 + (at / 40) as u16;
            arrived_at.insert(port, Some(at));
            let admission = Admission::Within(150);
            agent.handle_peer(
                milliseconds(at),
                balancer_address(),
                &offer(u64::from(port), port, admission),
            );
        }
        agent.handle_timeout(milliseconds(at));
        start_requests(&mut agent, at, &mut work);
        let done: Vec<u16> =
            work.iter().filter(|(end, _)| *end == at).map(|(_, port)| *port).collect();
        for port in done {
            finish(&mut agent, at, port);
            match arrived_at.remove(&port) {
                Some(Some(arrived)) if at - arrived <= 300 => served.in_time += 1,
                _ => served.late += 1,
            }
            start_requests(&mut agent, at, &mut work);
        }
    }
    served.never = arrived_at.len();
    served
}

#[test]
fn after_an_outage_waiting_callers_are_served_beside_new_ones() {
    let with_queue = serve_after_outage(true);
    let without = serve_after_outage(false);
    // 50 new callers arrive. The back end serves 74 in the 1.3 s for which the attempts of the
    // others last, 33 of them new ones.
    assert!(with_queue.in_time >= 48, "{with_queue:?}");
    assert!(with_queue.late >= 41, "{with_queue:?}");
    assert!(without.late < 15, "{without:?}");
}

/// Guards against an agent that hangs for good: the first flow that had to wait beside a back end of
/// more than 256 slots ended the task of its core, since the least and the most that may wait crossed.
#[test]
fn flows_wait_beside_back_ends_of_any_capacity() {
    for capacity in [0, 1, 256, 257, 260, u16::MAX] {
        let mut agent = agent(true);
        let slots = BackendReport { capacity, ..report("one", 1, true) };
        agent.take_report(milliseconds(0), &slots);
        let offers = u64::from(capacity) + u64::from(HANDSHAKING) + 1_000;
        for number in 1..=offers {
            let from = SocketAddrV4::new([100, 64, (number >> 16) as u8, 7].into(), number as u16);
            let datagram = packet(&Segment { source: from, ..syn(1) });
            let admission = queueing(1_300, 1);
            let offer = Message::Offer { number, service: SERVICE.to_owned(), admission, datagram };
            agent.handle_peer(milliseconds(1), balancer_address(), &offer.encode());
        }
        let counters = agent.counters(milliseconds(1));
        assert!(counters.in_line > 0, "flows wait at capacity {capacity}");
        assert!(counters.in_line <= MAX_WAITING, "{} wait", counters.in_line);
        assert_eq!(counters.in_line + counters.declined_busy + counters.offers_taken, offers);
    }
}
