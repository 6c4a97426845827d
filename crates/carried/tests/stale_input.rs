//! Opening packets that have waited in a socket of a process that stood still or ran late.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, InputAge, LoadReport, Message, Output, Segment,
};
use support::*;

/// A balancer with one agent that takes new flows.
fn balancer() -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    let condition = BackendCondition::Accepting;
    let report =
        LoadReport { service: SERVICE.to_owned(), condition, capacity: 4, ..LoadReport::default() };
    tell(&mut balancer, milliseconds(0), 1, report);
    outputs_of(&mut balancer);
    balancer
}

fn receive_copy(balancer: &mut CarriedBalancer, copy: u32, waited: u64) -> Vec<Output> {
    balancer.note_input_age(milliseconds(waited));
    let opening = Segment { acknowledgement: copy, ..opening(1) };
    balancer.handle_caller(milliseconds(1_000), &packet(&opening));
    outputs_of(balancer)
}

#[test]
fn a_copy_is_passed_over_once_its_caller_has_sent_the_next() {
    for (copy, in_time, late) in [(0, 150, 170), (1, 350, 370), (2, 690, 710)] {
        assert_eq!(offers(&receive_copy(&mut balancer(), copy, in_time)).len(), 1, "copy {copy}");
        let mut balancer = balancer();
        assert_eq!(receive_copy(&mut balancer, copy, late), [], "copy {copy}");
        assert_eq!(balancer.counters(milliseconds(1_000)).openings_stale, 1);
    }
}

#[test]
fn an_old_copy_does_not_end_the_flow_that_uses_its_port_now() {
    let mut balancer = balancer();
    let made = offers(&receive_copy(&mut balancer, 0, 0));
    let report = LoadReport { service: SERVICE.to_owned(), ..LoadReport::default() };
    let placed = Message::Placed { number: made[0].1, report };
    balancer.handle_peer(milliseconds(1_001), made[0].0, &placed.encode());
    assert_eq!(receive_copy(&mut balancer, 0, 3_000), [], "of an earlier flow");
    balancer.handle_caller(milliseconds(1_002), &packet(&data(1, 101, 500)));
    let forwarded = outputs_of(&mut balancer)
        .into_iter()
        .any(|output| matches!(output, Output::ToPeer { message: Message::Forward { .. }, .. }));
    assert!(forwarded, "the flow goes on");
}

#[test]
fn a_caller_is_not_reset_for_a_packet_that_may_be_as_old_as_its_next_copy() {
    let mut balancer = new_balancer(1);
    balancer.note_input_age(milliseconds(150));
    balancer.handle_caller(milliseconds(1_000), &packet(&opening(1)));
    // Nobody is there to ask; by the time that is given up the next copy has gone out.
    let resets = (1_000..1_400).flat_map(|at| {
        balancer.handle_timeout(milliseconds(at));
        outputs_of(&mut balancer)
    });
    assert_eq!(resets.filter(|output| matches!(output, Output::ToCaller { .. })).count(), 0);
    assert_eq!(balancer.counters(milliseconds(1_400)).openings_left_to_copies, 1);
}

#[test]
fn what_comes_after_a_pause_was_read_has_not_waited() {
    let mut age = InputAge::default();
    assert_eq!(age.waited(milliseconds(500)), milliseconds(0));
    age.note_pause(milliseconds(500));
    assert_eq!(age.waited(milliseconds(900)), milliseconds(400), "it may have come at any moment");
    age.note_batch(milliseconds(900), true);
    assert_eq!(age.waited(milliseconds(4_000)), milliseconds(0), "it came just now");
}

#[test]
fn what_was_left_in_a_socket_has_waited_since_the_batch_before_began() {
    let mut age = InputAge::default();
    age.note_batch(milliseconds(100), false);
    age.note_batch(milliseconds(160), false);
    assert_eq!(age.waited(milliseconds(220)), milliseconds(120));
    age.note_batch(milliseconds(220), true);
    assert_eq!(age.waited(milliseconds(230)), milliseconds(0));
}
