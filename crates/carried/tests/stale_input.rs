//! SYNs that have waited in the socket of a process that stalled or had a high scheduling delay.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, InputAge, LoadReport, Message, Output, Segment,
};
use support::*;

/// A balancer with one agent that accepts new flows.
fn balancer() -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    let condition = BackendCondition::Accepting;
    let report =
        LoadReport { service: SERVICE.to_owned(), condition, capacity: 4, ..LoadReport::default() };
    send(&mut balancer, milliseconds(0), 1, report);
    outputs_of(&mut balancer);
    balancer
}

fn receive_syn(balancer: &mut CarriedBalancer, number: u32, waited: u64) -> Vec<Output> {
    balancer.note_input_age(milliseconds(waited));
    let segment = Segment { acknowledgement: number, ..syn(1) };
    balancer.handle_caller(milliseconds(1_000), &packet(&segment));
    outputs_of(balancer)
}

#[test]
fn a_syn_is_ignored_once_its_caller_has_sent_the_next_retransmission() {
    for (number, in_time, late) in [(0, 150, 170), (1, 350, 370), (2, 690, 710)] {
        assert_eq!(
            offers(&receive_syn(&mut balancer(), number, in_time)).len(),
            1,
            "retransmission {number}"
        );
        let mut balancer = balancer();
        assert_eq!(receive_syn(&mut balancer, number, late), [], "retransmission {number}");
        assert_eq!(balancer.counters(milliseconds(1_000)).openings_stale, 1);
    }
}

#[test]
fn an_old_syn_does_not_end_the_flow_that_now_uses_its_port() {
    let mut balancer = balancer();
    let made = offers(&receive_syn(&mut balancer, 0, 0));
    let report = LoadReport { service: SERVICE.to_owned(), ..LoadReport::default() };
    let placed = Message::Placed { number: made[0].1, report };
    balancer.handle_peer(milliseconds(1_001), made[0].0, &placed.encode());
    assert_eq!(receive_syn(&mut balancer, 0, 3_000), [], "the SYN of an earlier flow is ignored");
    balancer.handle_caller(milliseconds(1_002), &packet(&data(1, 101, 500)));
    let forwarded = outputs_of(&mut balancer)
        .into_iter()
        .any(|output| matches!(output, Output::ToPeer { message: Message::Forward { .. }, .. }));
    assert!(forwarded, "packets of the open flow are forwarded");
}

#[test]
fn a_caller_is_not_reset_for_a_syn_that_it_may_have_retransmitted() {
    let mut balancer = new_balancer(1);
    balancer.note_input_age(milliseconds(150));
    balancer.handle_caller(milliseconds(1_000), &packet(&syn(1)));
    // There is no agent to ask; when the balancer gives up, the next retransmission has been sent.
    let resets = (1_000..1_400).flat_map(|at| {
        balancer.handle_timeout(milliseconds(at));
        outputs_of(&mut balancer)
    });
    assert_eq!(resets.filter(|output| matches!(output, Output::ToCaller { .. })).count(), 0);
    assert_eq!(balancer.counters(milliseconds(1_400)).openings_left_to_copies, 1);
}

#[test]
fn input_that_arrives_after_a_pause_was_handled_has_not_waited() {
    let mut age = InputAge::default();
    assert_eq!(age.max_wait(milliseconds(500)), milliseconds(0));
    age.note_pause(milliseconds(500));
    assert_eq!(
        age.max_wait(milliseconds(900)),
        milliseconds(400),
        "it may have arrived at any time in the pause"
    );
    age.note_batch(milliseconds(900), true);
    assert_eq!(age.max_wait(milliseconds(4_000)), milliseconds(0), "it arrived just now");
}

#[test]
fn input_left_in_a_socket_has_waited_since_the_previous_batch_began() {
    let mut age = InputAge::default();
    age.note_batch(milliseconds(100), false);
    age.note_batch(milliseconds(160), false);
    assert_eq!(age.max_wait(milliseconds(220)), milliseconds(120));
    age.note_batch(milliseconds(220), true);
    assert_eq!(age.max_wait(milliseconds(230)), milliseconds(0));
}
