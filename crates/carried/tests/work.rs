//! What an agent makes of its back end's answers: how long a request keeps a slot, and how many it
//! lets in.

mod support;

use loftdrift_carried::{Admission, CarriedAgent, Message, Output};
use support::*;

const SLOTS: u64 = 2;

/// An agent beside a back end with two slots.
fn fresh() -> CarriedAgent {
    let mut agent = agent(true);
    let told =
        loftdrift_carried::BackendReport { capacity: SLOTS as u16, ..report("one", 1, true) };
    agent.take_report(milliseconds(0), &told);
    agent
}

/// Opens a flow and sends its request.
fn begin(agent: &mut CarriedAgent, at: u64, port: u16) {
    open(agent, milliseconds(at), port, 500);
    let request = Message::Forward { datagram: packet(&data(port, 101, 501)) };
    agent.handle_peer(milliseconds(at), balancer_address(), &request.encode());
}

/// The back end answers a request whole.
fn finish(agent: &mut CarriedAgent, at: u64, port: u16) {
    let segment = loftdrift_carried::Segment { fin: true, payload_bytes: 10, ..answer(port, 501) };
    agent.handle_backend(milliseconds(at), packet(&segment));
}

fn work_ms(agent: &mut CarriedAgent, at: u64) -> u64 {
    outputs(agent);
    let wrong = offer_to("another", 1, 60_000, Admission::FreeSlot);
    agent.handle_peer(milliseconds(at), balancer_address(), &wrong);
    let told = outputs(agent).into_iter().find_map(|output| match output {
        Output::ToPeer { message: Message::Declined { report, .. }, .. } => {
            Some(report.service_time_us)
        }
        _ => None,
    });
    (u64::from(told.expect("an answer")) + 500) / 1_000
}

#[test]
fn what_is_still_at_work_counts_beside_the_first_answers() {
    let mut agent = fresh();
    // One slot works on a long request; the other one answers short ones.
    begin(&mut agent, 0, 1);
    for round in 0..4 {
        begin(&mut agent, 10 * round, 2 + round as u16);
        finish(&mut agent, 10 * round + 10, 2 + round as u16);
    }
    // 80 ms of two slots for four answers, not the 10 ms of those.
    assert_eq!(work_ms(&mut agent, 40), 20);
}

#[test]
fn waiting_for_a_slot_is_no_work() {
    let mut agent = fresh();
    for port in 1..=8 {
        begin(&mut agent, 0, port);
    }
    for port in 1..=8 {
        finish(&mut agent, (u64::from(port) + 1) / SLOTS * 30, port);
    }
    assert_eq!(work_ms(&mut agent, 120), 30);
}

#[test]
fn rest_is_no_work() {
    let mut agent = fresh();
    for round in 0..20_u64 {
        let port = round as u16 + 1;
        begin(&mut agent, 1_000 * round, port);
        finish(&mut agent, 1_000 * round + 25, port);
    }
    assert_eq!(work_ms(&mut agent, 20_000), 25);
}
