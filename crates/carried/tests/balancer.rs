//! The balancer offers new flows to agents, looks up unknown flows, and refuses callers.

mod support;

use loftdrift_carried::{
    BackendCondition, CarriedBalancer, DeclineReason, FlowKnowledge, FlowStatus, LoadReport,
    Message, Output, PlainFormat, Segment,
};
use std::net::SocketAddrV4;
use std::time::Duration;
use support::*;

fn load(service: &str, waiting: u16) -> LoadReport {
    LoadReport {
        service: service.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        waiting,
        queued: 0,
        service_time_us: 20_000,
        measured_ms_ago: 0,
        is_cold: false,
        cold_allowance: None,
        backend_age_ms: None,
        flow_knowledge: FlowKnowledge::Complete,
        uptime_ms: None,
    }
}

/// A balancer with a route to `SERVICE`, which has that many agents.
fn balancer(agents: u8) -> CarriedBalancer {
    let mut balancer = new_balancer(1);
    for agent in 1..=agents {
        send(&mut balancer, milliseconds(0), agent, load(SERVICE, 0));
    }
    outputs_of(&mut balancer);
    balancer
}

/// Time by which the agents of [`settled_balancer`] no longer count as newly arrived.
const SETTLED_AT: Duration = Duration::from_secs(5);

/// A balancer whose agents are accepting flows since long before [`SETTLED_AT`].
fn settled_balancer(agents: u8) -> CarriedBalancer {
    let mut balancer = balancer(agents);
    for agent in 1..=agents {
        send(&mut balancer, SETTLED_AT, agent, load(SERVICE, 0));
    }
    outputs_of(&mut balancer);
    balancer
}

fn has_reset(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| matches!(output, Output::ToCaller { .. }))
}

fn asked_agents(outputs: &[Output]) -> Vec<SocketAddrV4> {
    outputs
        .iter()
        .filter_map(|output| match output {
            Output::ToPeer { to, message: Message::Lookup { .. } } => Some(*to),
            _ => None,
        })
        .collect()
}

fn decline(balancer: &mut CarriedBalancer, now: Duration, offer: (SocketAddrV4, u64)) {
    let reason = DeclineReason::Busy;
    let message = Message::Declined { number: offer.1, reason, report: load(SERVICE, 4) };
    balancer.handle_peer(now, offer.0, &message.encode());
}

#[test]
fn a_flow_is_offered_for_a_slot_then_to_each_queue_then_to_two_wait_queues_then_refused() {
    let mut balancer = settled_balancer(3);
    balancer.handle_caller(SETTLED_AT, &packet(&syn(1)));
    let mut asked = Vec::new();
    loop {
        let outputs = outputs_of(&mut balancer);
        let Some(offer) = offers(&outputs).first().copied() else {
            assert!(has_reset(&outputs), "the last decline is passed on to the caller at once");
            break;
        };
        assert!(!has_reset(&outputs));
        asked.push((offer.0, requested_admission(&outputs)));
        decline(&mut balancer, SETTLED_AT + milliseconds(1), offer);
    }
    let kinds: Vec<&str> = asked.iter().map(|(_, wanted)| *wanted).collect();
    assert_eq!(kinds, ["slot", "queue", "queue", "queue", "line", "line"]);
    let mut queues: Vec<SocketAddrV4> = asked[1..4].iter().map(|(agent, _)| *agent).collect();
    queues.sort_unstable();
    assert_eq!(queues, [1, 2, 3].map(agent_address), "each queue once");
    assert_ne!(asked[4].0, asked[5].0, "each wait queue once");
}

/// What the first offer among the outputs asks for.
fn requested_admission(outputs: &[Output]) -> &'static str {
    let admission = outputs.iter().find_map(|output| match output {
        Output::ToPeer { message: Message::Offer { admission, .. }, .. } => Some(*admission),
        _ => None,
    });
    match admission {
        Some(loftdrift_carried::Admission::FreeSlot) => "slot",
        Some(loftdrift_carried::Admission::Within(_)) => "queue",
        Some(loftdrift_carried::Admission::WaitQueue { .. }) => "line",
        _ => "other",
    }
}

#[test]
fn a_flow_is_placed_with_its_second_offer_where_slots_are_taken_and_queues_are_not() {
    let mut balancer = settled_balancer(20);
    let mut refused = 0;
    for port in 1..=200 {
        let now = SETTLED_AT + milliseconds(u64::from(port));
        balancer.handle_caller(now, &packet(&syn(port)));
        for _ in 0..2 {
            let outputs = outputs_of(&mut balancer);
            let Some(offer) = offers(&outputs).first().copied() else { break };
            match requested_admission(&outputs) == "slot" {
                true => decline(&mut balancer, now, offer),
                false => {
                    let placed = Message::Placed { number: offer.1, report: load(SERVICE, 5) };
                    balancer.handle_peer(now, offer.0, &placed.encode());
                }
            }
        }
        refused += usize::from(has_reset(&outputs_of(&mut balancer)));
    }
    assert_eq!(refused, 0);
    assert_eq!(balancer.counters(SETTLED_AT).openings_placed, 200);
}

#[test]
fn an_agent_that_does_not_answer_is_skipped_within_milliseconds() {
    let mut balancer = balancer(2);
    balancer.handle_caller(milliseconds(1), &packet(&syn(1)));
    let first = offers(&outputs_of(&mut balancer));
    balancer.handle_timeout(milliseconds(40));
    let outputs = outputs_of(&mut balancer);
    let second = offers(&outputs);
    assert_ne!(first[0].0, second[0].0);
    assert!(!has_reset(&outputs), "the first may still place the flow");
}

#[test]
fn an_answer_from_an_agent_that_was_not_asked_places_nothing() {
    let mut balancer = balancer(2);
    send(&mut balancer, milliseconds(0), 9, load("sheets", 0));
    balancer.handle_caller(milliseconds(1), &packet(&syn(1)));
    let offer = offers(&outputs_of(&mut balancer))[0];
    let placed = Message::Placed { number: offer.1, report: load("sheets", 1) };
    balancer.handle_peer(milliseconds(2), agent_address(9), &placed.encode());
    assert_eq!(balancer.counters(milliseconds(2)).openings_placed, 0);
    assert_eq!(balancer.counters(milliseconds(2)).answers_unexpected, 1);
}

#[test]
fn a_retransmitted_syn_never_goes_to_an_agent_of_another_service() {
    let mut balancer = balancer(1);
    send(&mut balancer, milliseconds(0), 9, load("sheets", 0));
    // A wrong record: an agent of another service is taken to own the flow.
    let held = reply(1, FlowStatus::Owned);
    balancer.handle_peer(milliseconds(1), agent_address(9), &held.encode());
    let copy = Segment { acknowledgement: 1, ..syn(1) };
    balancer.handle_caller(milliseconds(2), &packet(&copy));
    let asked: Vec<_> = offers(&outputs_of(&mut balancer)).iter().map(|offer| offer.0).collect();
    assert_eq!(asked, [agent_address(1)]);
}

#[test]
fn numbers_of_offers_differ_from_start_to_start() {
    let first_number = |seed: u64| {
        let settings = balancer_settings(seed);
        let mut balancer = CarriedBalancer::new(settings, PlainFormat);
        balancer.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
        send(&mut balancer, milliseconds(0), 1, load(SERVICE, 0));
        balancer.handle_caller(milliseconds(1), &packet(&syn(1)));
        offers(&outputs_of(&mut balancer))[0].1
    };
    assert_ne!(first_number(1), first_number(2));
}

#[test]
fn a_packet_of_an_unknown_open_flow_asks_every_agent_and_is_never_reset() {
    let mut balancer = balancer(3);
    balancer.handle_caller(milliseconds(1), &packet(&data(1, 101, 501)));
    balancer.handle_timeout(milliseconds(1));
    let outputs = outputs_of(&mut balancer);
    assert_eq!(asked_agents(&outputs).len(), 3);
    assert!(!has_reset(&outputs));
    let held = reply(1, FlowStatus::Owned);
    balancer.handle_peer(milliseconds(2), agent_address(2), &held.encode());
    let forwarded = |sequence| {
        let datagram = packet(&data(1, sequence, 501));
        Output::ToPeer { to: agent_address(2), message: Message::Forward { datagram } }
    };
    assert_eq!(
        outputs_of(&mut balancer),
        [forwarded(101)],
        "the waiting packet is forwarded to the owner"
    );
    balancer.handle_caller(milliseconds(3), &packet(&data(1, 111, 501)));
    assert_eq!(outputs_of(&mut balancer), [forwarded(111)]);
}

#[test]
fn a_packet_that_an_agent_returns_is_looked_up_among_the_others() {
    let mut balancer = balancer(3);
    let held = reply(1, FlowStatus::Owned);
    balancer.handle_peer(milliseconds(1), agent_address(2), &held.encode());
    let not_held = Message::NotOwned { datagram: packet(&data(1, 101, 501)) };
    balancer.handle_peer(milliseconds(2), agent_address(2), &not_held.encode());
    balancer.handle_timeout(milliseconds(2));
    let mut asked = asked_agents(&outputs_of(&mut balancer));
    asked.sort();
    assert_eq!(asked, [agent_address(1), agent_address(3)]);
}

#[test]
fn an_older_configuration_is_never_adopted() {
    let mut balancer = balancer(1);
    let newer = configuration(5, vec![route(service_address(), "sheets")]);
    assert!(balancer.adopt(milliseconds(1), newer));
    let older = configuration(4, vec![route(service_address(), SERVICE)]);
    assert!(!balancer.adopt(milliseconds(2), older));
    assert_eq!(balancer.configuration_version(), at(5));
}

#[test]
fn an_address_without_route_is_reset_once_routes_are_known_and_not_before() {
    let mut balancer = balancer(1);
    let elsewhere = Segment { destination: address("198.18.0.9:443"), ..syn(1) };
    balancer.handle_caller(milliseconds(1), &packet(&elsewhere));
    assert!(has_reset(&outputs_of(&mut balancer)));

    let settings = balancer_settings(1);
    let mut unconfigured = CarriedBalancer::new(settings, PlainFormat);
    unconfigured.handle_caller(milliseconds(1), &packet(&elsewhere));
    assert!(!has_reset(&outputs_of(&mut unconfigured)));
    assert!(!unconfigured.is_ready(milliseconds(1)));
}

#[test]
fn parts_of_a_route_get_their_weights_share() {
    let mut balancer = balancer(1);
    send(&mut balancer, milliseconds(0), 9, load("sheets", 0));
    let mut split = route(service_address(), SERVICE);
    split.targets[0].weight = 9;
    split.targets.push(loftdrift_carried::RouteTarget { service: "sheets".to_owned(), weight: 1 });
    balancer.adopt(milliseconds(1), configuration(2, vec![split]));
    let mut to_sheets = 0;
    for port in 1..=100 {
        outputs_of(&mut balancer);
        balancer.handle_caller(milliseconds(2), &packet(&syn(port)));
        let asked = offers(&outputs_of(&mut balancer));
        to_sheets += asked.iter().filter(|offer| offer.0 == agent_address(9)).count();
    }
    assert_eq!(to_sheets, 10);
}

#[test]
fn a_new_configuration_is_announced_to_a_bounded_number_of_agents_at_once() {
    let mut balancer = balancer(200);
    balancer.handle_timeout(Duration::from_secs(1));
    outputs_of(&mut balancer);
    let newer = configuration(2, vec![route(service_address(), "sheets")]);
    balancer.adopt(milliseconds(1_001), newer);
    balancer.handle_timeout(milliseconds(1_001));
    assert_eq!(outputs_of(&mut balancer).len(), 32);
}

#[test]
fn bad_input_is_counted_and_changes_nothing() {
    let mut balancer = balancer(1);
    for datagram in [&[][..], &[0], &[7; 40]] {
        balancer.handle_caller(milliseconds(1), datagram);
        balancer.handle_peer(milliseconds(1), agent_address(1), datagram);
    }
    assert_eq!(outputs_of(&mut balancer), []);
    let counters = balancer.counters(milliseconds(1));
    assert_eq!(counters.packets_malformed, 3);
    assert_eq!(counters.messages_malformed, 3);
}

#[test]
fn an_agent_that_has_just_reported_that_it_is_full_is_only_asked_for_a_place_in_its_queue() {
    let mut balancer = balancer(2);
    send(&mut balancer, milliseconds(1), 1, load(SERVICE, 4));
    send(&mut balancer, milliseconds(1), 2, load(SERVICE, 4));
    balancer.handle_caller(milliseconds(2), &packet(&syn(1)));
    let mut asked = Vec::new();
    loop {
        let outputs = outputs_of(&mut balancer);
        let Some(offer) = offers(&outputs).first().copied() else { break };
        asked.push(requested_admission(&outputs));
        decline(&mut balancer, milliseconds(3), offer);
    }
    assert_eq!(asked, ["queue", "queue", "line", "line"], "no agent for a free slot");
}

#[test]
fn a_caller_that_sends_data_is_not_reset_though_no_agent_has_answered() {
    let mut balancer = balancer(1);
    balancer.handle_caller(milliseconds(1), &packet(&syn(1)));
    outputs_of(&mut balancer);
    balancer.handle_caller(milliseconds(8), &packet(&data(1, 101, 501)));
    for at in [40, 100, 250, 400, 1_500] {
        balancer.handle_timeout(milliseconds(at));
        balancer.handle_timeout(milliseconds(at));
    }
    assert!(!has_reset(&outputs_of(&mut balancer)));
    assert_eq!(balancer.counters(milliseconds(1_500)).openings_overtaken, 1);
}

#[test]
fn a_failing_back_end_is_used_only_if_there_is_no_other() {
    let failing = LoadReport { condition: BackendCondition::Failing, ..load(SERVICE, 0) };
    let mut balancer = balancer(2);
    send(&mut balancer, milliseconds(1), 1, failing.clone());
    balancer.handle_caller(milliseconds(2), &packet(&syn(1)));
    let offer = offers(&outputs_of(&mut balancer))[0];
    assert_eq!(offer.0, agent_address(2));
    let message = Message::Declined {
        number: offer.1,
        reason: DeclineReason::Failing,
        report: failing.clone(),
    };
    balancer.handle_peer(milliseconds(3), offer.0, &message.encode());
    let outputs = outputs_of(&mut balancer);
    assert!(!has_reset(&outputs));
    let asked = outputs.iter().any(|output| {
        let admission = match output {
            Output::ToPeer { message: Message::Offer { admission, .. }, .. } => *admission,
            _ => return false,
        };
        matches!(admission, loftdrift_carried::Admission::Failing(_))
    });
    assert!(asked, "{outputs:?}");
}
