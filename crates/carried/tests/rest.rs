//! How long an agent remembers a flow that rests, and from which packet on a rest counts.

mod support;

use loftdrift_carried::{CarriedAgent, FlowStatus, Message, Segment};
use support::*;

/// Idle timeout of the configuration, in milliseconds.
const IDLE_MS: u64 = 15_000;
/// Back end's initial sequence number.
const SEQUENCE: u32 = 500;

/// An agent that knows all flows of its back end, with one flow whose request is answered at 10 ms.
fn agent_with_answered_flow() -> CarriedAgent {
    let mut agent = agent(true);
    agent.adopt(milliseconds(0), configuration(1, Vec::new()));
    agent.take_report(milliseconds(0), &report("one", 1, true));
    open(&mut agent, milliseconds(1), 1, SEQUENCE);
    from_caller(&mut agent, 2, data(1, 101, SEQUENCE + 1));
    from_backend(&mut agent, 10, answer_bytes(SEQUENCE + 1));
    agent
}

fn from_caller(agent: &mut CarriedAgent, now: u64, segment: Segment) {
    let forward = Message::Forward { datagram: packet(&segment) };
    agent.handle_peer(milliseconds(now), balancer_address(), &forward.encode());
}

fn from_backend(agent: &mut CarriedAgent, now: u64, segment: Segment) {
    agent.handle_backend(milliseconds(now), packet(&segment));
}

fn answer_bytes(sequence: u32) -> Segment {
    Segment { payload_bytes: 10, ..answer(1, sequence) }
}

fn acknowledgement() -> Segment {
    Segment { payload_bytes: 0, ..data(1, 111, SEQUENCE + 11) }
}

/// What the agent answers a balancer that asks for the flow, after all timers until then have run.
fn status(agent: &mut CarriedAgent, now: u64) -> FlowStatus {
    while let Some(due) = agent.next_timeout().filter(|due| *due <= milliseconds(now)) {
        agent.handle_timeout(due);
    }
    outputs(agent);
    agent.handle_peer(milliseconds(now), balancer_address(), &lookup(1, SEQUENCE + 11));
    let known = [FlowStatus::Owned, FlowStatus::Absent];
    let sent = outputs(agent);
    known.into_iter().find(|status| sent.contains(&replies(1, *status))).expect("an answer")
}

/// Guards against resets of flows whose answer took long: a rest counted from the answer's first
/// packet.
#[test]
fn a_flow_rests_from_the_last_packet_of_its_answer() {
    let mut agent = agent_with_answered_flow();
    from_backend(&mut agent, 1_400, answer_bytes(SEQUENCE + 1));
    assert_eq!(status(&mut agent, 1_399 + IDLE_MS), FlowStatus::Owned);
}

/// Guards against resets of flows whose caller acknowledged late: only data counted as use.
#[test]
fn a_flow_rests_from_its_callers_last_acknowledgement() {
    let mut agent = agent_with_answered_flow();
    from_caller(&mut agent, 1_400, acknowledgement());
    assert_eq!(status(&mut agent, 1_399 + IDLE_MS), FlowStatus::Owned);
}

/// Guards against resets at the end of a rest: the packet that ends it in time can be lost and sent
/// again for seconds, while a balancer is frozen.
#[test]
fn a_packet_that_ends_a_rest_in_time_may_arrive_late() {
    let mut agent = agent_with_answered_flow();
    assert_eq!(status(&mut agent, 10 + IDLE_MS + 3_500), FlowStatus::Owned);
}

/// Guards against resets of flows that only the caller has finished: they were forgotten after 3 s,
/// while the back end still had an answer to send.
#[test]
fn a_flow_that_only_its_caller_has_finished_is_remembered_like_an_open_one() {
    let mut agent = agent_with_answered_flow();
    from_caller(&mut agent, 20, Segment { fin: true, ..acknowledgement() });
    assert_eq!(status(&mut agent, 19 + IDLE_MS), FlowStatus::Owned);
}

/// Guards against a table that grows: what is certainly over is forgotten within seconds.
#[test]
fn flows_that_are_over_are_forgotten() {
    let mut rested = agent_with_answered_flow();
    assert_eq!(status(&mut rested, 2 * IDLE_MS), FlowStatus::Absent, "rested for twice the limit");

    let mut finished = agent_with_answered_flow();
    from_caller(&mut finished, 20, Segment { fin: true, ..acknowledgement() });
    from_backend(&mut finished, 21, Segment { fin: true, ..answer(1, SEQUENCE + 11) });
    assert_eq!(status(&mut finished, 4_000), FlowStatus::Absent, "both ends have finished");

    let mut reset = agent_with_answered_flow();
    from_caller(&mut reset, 20, Segment { rst: true, ..acknowledgement() });
    assert_eq!(status(&mut reset, 4_000), FlowStatus::Absent, "the caller has reset it");
}
