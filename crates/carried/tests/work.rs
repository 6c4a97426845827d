//! How an agent measures the time per request from its back end's answers: which time counts as
//! work, with requests in progress, requests that wait for a slot, and idle times.

mod support;

use loftdrift_carried::{Admission, CarriedAgent, Message, Output};
use support::*;

const SLOTS: u64 = 2;

/// An agent beside a back end with two slots.
fn agent_with_two_slots() -> CarriedAgent {
    let mut agent = agent(true);
    let backend_report =
        loftdrift_carried::BackendReport { capacity: SLOTS as u16, ..report("one", 1, true) };
    agent.take_report(milliseconds(0), &backend_report);
    agent
}

/// Opens a flow and sends its request.
fn send_request(agent: &mut CarriedAgent, at: u64, port: u16) {
    open(agent, milliseconds(at), port, 500);
    let request = Message::Forward { datagram: packet(&data(port, 101, 501)) };
    agent.handle_peer(milliseconds(at), balancer_address(), &request.encode());
}

/// Lets the back end send its whole answer to a request.
fn answer_request(agent: &mut CarriedAgent, at: u64, port: u16) {
    let segment = loftdrift_carried::Segment { fin: true, payload_bytes: 10, ..answer(port, 501) };
    agent.handle_backend(milliseconds(at), packet(&segment));
}

fn reported_work_ms(agent: &mut CarriedAgent, at: u64) -> u64 {
    outputs(agent);
    let other_service = offer_to("another", 1, 60_000, Admission::FreeSlot);
    agent.handle_peer(milliseconds(at), balancer_address(), &other_service);
    let reported = outputs(agent).into_iter().find_map(|output| match output {
        Output::ToPeer { message: Message::Declined { report, .. }, .. } => {
            Some(report.service_time_us)
        }
        _ => None,
    });
    (u64::from(reported.expect("an answer")) + 500) / 1_000
}

#[test]
fn requests_in_progress_count_beside_the_first_answers() {
    let mut agent = agent_with_two_slots();
    // One slot processes a long request while the other one answers short ones.
    send_request(&mut agent, 0, 1);
    for round in 0..4 {
        send_request(&mut agent, 10 * round, 2 + round as u16);
        answer_request(&mut agent, 10 * round + 10, 2 + round as u16);
    }
    // Two slots were busy for 40 ms each: 80 ms for four answers, not 10 ms as for the short ones
    // alone.
    assert_eq!(reported_work_ms(&mut agent, 40), 20);
}

#[test]
fn waiting_for_a_slot_does_not_count_as_work() {
    let mut agent = agent_with_two_slots();
    for port in 1..=8 {
        send_request(&mut agent, 0, port);
    }
    for port in 1..=8 {
        answer_request(&mut agent, (u64::from(port) + 1) / SLOTS * 30, port);
    }
    assert_eq!(reported_work_ms(&mut agent, 120), 30);
}

#[test]
fn idle_time_does_not_count_as_work() {
    let mut agent = agent_with_two_slots();
    for round in 0..20_u64 {
        let port = round as u16 + 1;
        send_request(&mut agent, 1_000 * round, port);
        answer_request(&mut agent, 1_000 * round + 25, port);
    }
    assert_eq!(reported_work_ms(&mut agent, 20_000), 25);
}
