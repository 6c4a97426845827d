//! Flows for which no agent has room and which wait in an agent's wait queue, and flows that arrive
//! before any configuration is known.

mod support;

use loftdrift_carried::{
    Admission, BackendCondition, CarriedBalancer, DeclineReason, LoadReport, Message, Output,
    PlainFormat, Segment,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

/// Slots of each back end, as reported by its agent.
const SLOTS: u16 = 4;

fn load(waiting: u16) -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: SLOTS,
        waiting,
        service_time_us: 50_000,
        ..LoadReport::default()
    }
}

fn balancer_with(agents: u8) -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    for agent in 1..=agents {
        send(&mut balancer, milliseconds(0), agent, load(8));
    }
    outputs_of(&mut balancer);
    balancer
}

fn first_offer(outputs: &[Output]) -> Option<(SocketAddrV4, u64, Admission)> {
    outputs.iter().find_map(|output| match output {
        Output::ToPeer { to, message: Message::Offer { number, admission, .. } } => {
            Some((*to, *number, *admission))
        }
        _ => None,
    })
}

fn resets(outputs: &[Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, Output::ToCaller { .. })).count()
}

/// Declines offers until one asks for a place in a wait queue, and returns that one: its agent, its
/// number, and the rest of the caller's attempt in milliseconds. No caller may be reset meanwhile.
fn decline_until_wait_queue(balancer: &mut CarriedBalancer, now: u64) -> (SocketAddrV4, u64, u16) {
    loop {
        let outputs = outputs_of(balancer);
        assert_eq!(resets(&outputs), 0);
        let (to, number, admission) = first_offer(&outputs).expect("an offer");
        if let Admission::WaitQueue { attempt_remaining_ms, .. } = admission {
            return (to, number, attempt_remaining_ms);
        }
        let declined = Message::Declined { number, reason: DeclineReason::Busy, report: load(8) };
        balancer.handle_peer(milliseconds(now), to, &declined.encode());
    }
}

#[test]
fn a_flow_without_room_waits_at_one_agent_and_its_caller_is_not_reset() {
    let mut balancer = balancer_with(3);
    balancer.handle_caller(milliseconds(1), &packet(&syn(1)));
    let (agent, number, remaining_ms) = decline_until_wait_queue(&mut balancer, 2);
    assert!(
        (1_250..=1_320).contains(&remaining_ms),
        "{remaining_ms} ms of the 1.4 s of an attempt"
    );
    let queued = Message::Queued { number, report: load(8) };
    balancer.handle_peer(milliseconds(3), agent, &queued.encode());
    for at in 3..1_200 {
        balancer.handle_timeout(milliseconds(at));
        if at == 200 || at == 600 {
            let retransmission = Segment { acknowledgement: (at / 200 + 1) as u32 / 2, ..syn(1) };
            balancer.handle_caller(milliseconds(at), &packet(&retransmission));
        }
        let outputs = outputs_of(&mut balancer);
        assert_eq!((first_offer(&outputs), resets(&outputs)), (None, 0), "at {at}");
        if at % 100 == 0 {
            (1..=3).for_each(|agent| send(&mut balancer, milliseconds(at), agent, load(8)));
            outputs_of(&mut balancer);
        }
    }
    let placed = Message::Placed { number, report: load(4) };
    balancer.handle_peer(milliseconds(1_200), agent, &placed.encode());
    assert_eq!(balancer.counters(milliseconds(1_200)).openings_placed, 1);
}

#[test]
fn a_flow_that_no_wait_queue_accepts_is_refused_at_once() {
    let mut balancer = balancer_with(3);
    balancer.handle_caller(milliseconds(1), &packet(&syn(1)));
    for at in [2, 3] {
        let (agent, number, _) = decline_until_wait_queue(&mut balancer, at);
        let declined = Message::Declined { number, reason: DeclineReason::Busy, report: load(8) };
        balancer.handle_peer(milliseconds(at), agent, &declined.encode());
    }
    assert_eq!(
        resets(&outputs_of(&mut balancer)),
        1,
        "at once after two wait queues have declined"
    );
}

#[test]
fn a_flow_whose_agent_is_suspect_is_offered_to_another_at_the_next_retransmission() {
    let mut balancer = balancer_with(3);
    balancer.handle_caller(milliseconds(1), &packet(&syn(1)));
    let (agent, number, _) = decline_until_wait_queue(&mut balancer, 2);
    let queued = Message::Queued { number, report: load(8) };
    balancer.handle_peer(milliseconds(3), agent, &queued.encode());
    // Only the other agents send reports from here on.
    for at in (100..=1_100).step_by(100) {
        for other in (1..=3).filter(|other| agent_address(*other) != agent) {
            send(&mut balancer, milliseconds(at), other, load(8));
        }
    }
    outputs_of(&mut balancer);
    let retransmission = Segment { acknowledgement: 2, ..syn(1) };
    balancer.handle_caller(milliseconds(1_110), &packet(&retransmission));
    let next = first_offer(&outputs_of(&mut balancer)).expect("an offer").0;
    assert_ne!(next, agent);
}

#[test]
fn a_flow_that_the_last_wait_queue_declines_is_offered_to_a_failing_back_end() {
    let mut balancer = new_balancer(1);
    send(&mut balancer, milliseconds(0), 1, load(8));
    send(&mut balancer, milliseconds(0), 2, failing());
    outputs_of(&mut balancer);
    let retransmission = Segment { acknowledgement: 1, ..syn(1) };
    balancer.handle_caller(milliseconds(1), &packet(&retransmission));
    let (agent, number, _) = decline_until_wait_queue(&mut balancer, 2);
    assert_eq!(agent, agent_address(1));
    let leaving = LoadReport { condition: BackendCondition::Leaving, ..load(8) };
    let reason = DeclineReason::NotAccepting;
    let declined = Message::Declined { number, reason, report: leaving };
    balancer.handle_peer(milliseconds(3), agent, &declined.encode());
    let (to, _, admission) = first_offer(&outputs_of(&mut balancer)).expect("an offer");
    assert_eq!(to, agent_address(2));
    assert!(matches!(admission, Admission::Failing(_)), "{admission:?}");
}

fn failing() -> LoadReport {
    LoadReport { condition: BackendCondition::Failing, ..load(0) }
}

/// A balancer that has no configuration yet.
fn unconfigured() -> CarriedBalancer {
    CarriedBalancer::new(balancer_settings(1), PlainFormat)
}

fn configure(balancer: &mut CarriedBalancer, now: u64) {
    let routes = vec![route(service_address(), SERVICE)];
    balancer.adopt(milliseconds(now), configuration(1, routes));
}

#[test]
fn callers_from_before_the_first_configuration_are_served_when_it_arrives() {
    let mut balancer = unconfigured();
    for (at, retransmission) in [(100, 0), (300, 1), (700, 2)] {
        let segment = Segment { acknowledgement: retransmission, ..syn(1) };
        balancer.handle_caller(milliseconds(at), &packet(&segment));
        balancer.handle_timeout(milliseconds(at));
    }
    assert_eq!(resets(&outputs_of(&mut balancer)), 0, "a route may be configured");
    configure(&mut balancer, 1_000);
    balancer.handle_timeout(milliseconds(1_000));
    assert_eq!(first_offer(&outputs_of(&mut balancer)), None, "no agent is known yet");
    send(&mut balancer, milliseconds(1_150), 1, load(0));
    balancer.handle_timeout(milliseconds(1_160));
    let (_, _, admission) = first_offer(&outputs_of(&mut balancer)).expect("an offer");
    let Admission::WaitQueue { attempt_remaining_ms, .. } = admission else {
        panic!("{admission:?}")
    };
    assert!(attempt_remaining_ms <= 270, "{attempt_remaining_ms}: its attempt began at 100 ms");
}

#[test]
fn callers_whose_attempt_is_over_are_not_served_when_a_configuration_arrives() {
    let mut balancer = unconfigured();
    balancer.handle_caller(milliseconds(100), &packet(&syn(1)));
    balancer.handle_caller(milliseconds(1_400), &packet(&syn(2)));
    configure(&mut balancer, 1_600);
    send(&mut balancer, milliseconds(1_600), 1, load(0));
    balancer.handle_timeout(milliseconds(1_600));
    assert_eq!(offers(&outputs_of(&mut balancer)).len(), 1);
}

#[test]
fn a_caller_of_which_only_the_last_retransmission_arrived_is_not_served_after_its_attempt() {
    let mut balancer = unconfigured();
    let retransmission = Segment { acknowledgement: 2, ..syn(1) };
    balancer.handle_caller(milliseconds(100), &packet(&retransmission));
    // This retransmission is sent 0.6 s after the first SYN. The attempt ends 0.8 s later, and the
    // caller may then reuse its port.
    configure(&mut balancer, 1_000);
    send(&mut balancer, milliseconds(1_000), 1, load(0));
    balancer.handle_timeout(milliseconds(1_000));
    assert_eq!(offers(&outputs_of(&mut balancer)), []);
}

#[test]
fn many_callers_from_before_the_first_configuration_are_offered_a_few_at_a_time() {
    let mut balancer = unconfigured();
    (1..=200).for_each(|port| balancer.handle_caller(milliseconds(100), &packet(&syn(port))));
    configure(&mut balancer, 200);
    (1..=20).for_each(|agent| send(&mut balancer, milliseconds(200), agent, load(0)));
    let mut most = 0;
    let mut all = 0;
    for at in 200..400 {
        balancer.handle_timeout(milliseconds(at));
        let made = offers(&outputs_of(&mut balancer)).len();
        most = most.max(made);
        all += made;
    }
    assert!(most <= 8 && all >= 200, "{most} at once, {all} in all");
}

/// Longer than any flow may wait.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

#[test]
fn a_queued_flow_without_a_result_is_dropped_without_a_reset() {
    let mut balancer = balancer_with(1);
    balancer.handle_caller(milliseconds(1), &packet(&syn(1)));
    let (agent, number, _) = decline_until_wait_queue(&mut balancer, 2);
    let queued = Message::Queued { number, report: load(8) };
    balancer.handle_peer(milliseconds(3), agent, &queued.encode());
    let mut reset_count = 0;
    let mut at = milliseconds(3);
    while at < MAX_WAIT {
        at += milliseconds(1);
        balancer.handle_timeout(at);
        reset_count += resets(&outputs_of(&mut balancer));
    }
    assert_eq!(reset_count, 0, "the flow may have been placed");
    assert_eq!(balancer.counters(at).openings_left_to_copies, 1);
}
