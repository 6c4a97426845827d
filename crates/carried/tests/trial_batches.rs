//! After all processes were replaced beside their back ends, every open flow is given to all back
//! ends on trial. Flows share messages, and agents relay packets for balancers with narrow links, so
//! that small processes carry out thousands of trials.

mod support;

use loftdrift_carried::{
    FlowKnowledge, FlowStatus, MAX_MESSAGE_BYTES, Message, Output, Segment, TrialPacket,
};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use support::restarts::{
    AGENTS, balancer_with_reports, load, narrow_balancer_with_reports, request,
};
use support::*;

/// Flows that one balancer of the largest site looks up when all of them send a packet at once.
const FLOWS: u16 = 120;

fn messages_to_nodes(outputs: &[Output]) -> impl Iterator<Item = &Message> {
    outputs.iter().filter_map(|output| match output {
        Output::ToPeer { message, .. } => Some(message),
        _ => None,
    })
}

/// Guards against a message for each flow and agent: it kept balancers with a tenth of a core busy for
/// seconds, in which callers gave up.
#[test]
fn packets_of_many_flows_share_messages() {
    let mut balancer = balancer_with_reports(|_| load(FlowKnowledge::Partial, 60_000));
    let mut received = BTreeMap::new();
    let mut messages = 0;
    let mut all = Vec::new();
    for at in 101..400 {
        if at == 101 {
            (1..=FLOWS).for_each(|port| {
                balancer.handle_caller(milliseconds(at), &packet(&request(port)));
            });
        }
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        for message in messages_to_nodes(&outputs) {
            let encoded = message.encode();
            assert!(encoded.len() <= MAX_MESSAGE_BYTES);
            assert_eq!(
                Message::decode(&encoded).as_ref(),
                Some(message),
                "{} bytes",
                encoded.len()
            );
        }
        let is_trial = |message: &&Message| {
            matches!(message, Message::TryForward { .. } | Message::TryForwardBatch { .. })
        };
        messages += messages_to_nodes(&outputs).filter(is_trial).count();
        for (agent, datagram) in trials(&outputs) {
            *received.entry((agent, datagram.clone())).or_insert(0) += 1;
            let port = (1..=FLOWS).find(|port| packet(&request(*port)) == datagram);
            let denial = reply(port.expect("sent by a caller"), FlowStatus::Absent).encode();
            balancer.handle_peer(milliseconds(at), agent, &denial);
        }
        all.extend(outputs);
    }
    let trials = usize::from(FLOWS) * usize::from(AGENTS);
    assert_eq!(received.len(), trials, "each back end gets a packet of each flow");
    assert!(received.values().all(|count| *count == 1), "once");
    assert_eq!(resets(&all), usize::from(FLOWS));
    assert!(messages * 10 <= trials, "{messages} messages for {trials} trials");
}

/// Guards against lost trials: a message has room for a packet of any size.
#[test]
fn packets_that_fill_a_message_are_sent_in_several() {
    let mut balancer = balancer_with_reports(|_| load(FlowKnowledge::Partial, 60_000));
    let large = |port| packet(&Segment { payload_bytes: 1_200, ..request(port) });
    let mut sent = Vec::new();
    (1..=8).for_each(|port| balancer.handle_caller(milliseconds(101), &large(port)));
    for at in 101..110 {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        for message in messages_to_nodes(&outputs) {
            let encoded = message.encode();
            assert!(encoded.len() <= MAX_MESSAGE_BYTES, "{} bytes", encoded.len());
            assert_eq!(Message::decode(&encoded).as_ref(), Some(message));
        }
        sent.extend(trials(&outputs));
    }
    assert_eq!(sent.len(), 8 * 4, "the likeliest four back ends of each flow");
}

/// Guards against an answer of its own for each packet that a back end returns.
#[test]
fn answers_about_many_flows_share_messages() {
    let mut agent = agent(false);
    agent.take_report(milliseconds(0), &report("one", 40, true));
    let packets = (1..=40).map(|port| TrialPacket {
        balancer: balancer_address(),
        datagram: packet(&data(port, 101, 501)),
    });
    let batch = Message::TryForwardBatch { packets: packets.collect() }.encode();
    agent.handle_peer(milliseconds(100), balancer_address(), &batch);
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 40);
    let mut replies = Vec::new();
    for port in 1..=40 {
        let segment = Segment { returned: true, ..data(port, 101, 501) };
        agent.handle_backend(milliseconds(100), packet(&segment));
    }
    for at in 100..105 {
        agent.handle_timeout(milliseconds(at));
        for message in messages_to_nodes(&outputs(&mut agent)) {
            if let Message::LookupReply { answers, .. } = message {
                replies.push(answers.clone());
            }
        }
    }
    assert!(replies.len() <= 2, "{} replies", replies.len());
    assert_eq!(replies.concat().len(), 40);
    assert!(replies.concat().iter().all(|answer| answer.status == FlowStatus::Absent));
}

/// Guards against the same trials again and again while a silent agent holds a lookup up.
#[test]
fn agents_that_have_denied_a_flow_are_asked_and_not_tried_by_a_later_lookup() {
    let silent = agent_address(AGENTS);
    let mut balancer = balancer_with_reports(|_| load(FlowKnowledge::Partial, 60_000));
    let (mut tried_count, mut asked_count) = (BTreeMap::new(), 0);
    for at in 101..4_000 {
        if at % 1_600 == 101 {
            balancer.handle_caller(milliseconds(at), &packet(&request(1)));
        }
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        let asked = asked(&outputs);
        asked_count += asked.len();
        for agent in tried(&outputs) {
            *tried_count.entry(agent).or_insert(0) += 1;
        }
        for agent in tried(&outputs).into_iter().chain(asked).filter(|agent| *agent != silent) {
            let denial = reply(1, FlowStatus::Absent).encode();
            balancer.handle_peer(milliseconds(at), agent, &denial);
        }
        assert_eq!(resets(&outputs), 0, "the silent agent's back end may hold it");
    }
    tried_count.remove(&silent);
    assert!(tried_count.values().all(|count| *count == 1), "{tried_count:?}");
    assert!(asked_count >= usize::from(AGENTS - 1), "{asked_count}");
}

/// The packets that agents are asked to relay: relay, agents.
fn relayed(outputs: &[Output]) -> Vec<(SocketAddrV4, Vec<SocketAddrV4>)> {
    let relayed = outputs.iter().filter_map(|output| match output {
        Output::ToPeer { to, message: Message::RelayTrial { agents, .. } } => {
            Some((*to, agents.clone()))
        }
        _ => None,
    });
    relayed.collect()
}

/// With 10 Mbit/s, 100 flows are looked up within a second.
const MAX_BYTES_PER_LOOKUP: usize = 12_500;

/// Guards against packets on trial that fill a narrow link for seconds: balancers with 10 Mbit/s sent
/// each of them to 73 agents, and most were lost.
#[test]
fn over_a_narrow_link_a_packet_goes_once_for_many_back_ends() {
    let mut balancer = narrow_balancer_with_reports(|_| load(FlowKnowledge::Partial, 60_000));
    let large = Segment { payload_bytes: 1_200, ..request(1) };
    balancer.handle_caller(milliseconds(101), &packet(&large));
    let (mut received, mut denied, mut bytes, mut reset_count) = (Vec::new(), Vec::new(), 0, 0);
    for at in 101..200 {
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        bytes += messages_to_nodes(&outputs).map(|message| message.encode().len()).sum::<usize>();
        let mut now_tried = tried(&outputs);
        for (relay, agents) in relayed(&outputs) {
            assert!(denied.contains(&relay), "it has just answered, so it runs");
            now_tried.extend(agents);
        }
        for agent in now_tried {
            received.push(agent);
            denied.push(agent);
            let denial = reply(1, FlowStatus::Absent).encode();
            balancer.handle_peer(milliseconds(at), agent, &denial);
        }
        reset_count += resets(&outputs);
    }
    received.sort_unstable();
    assert_eq!(received, (1..=AGENTS).map(agent_address).collect::<Vec<_>>(), "each one once");
    assert_eq!(reset_count, 1);
    assert!(bytes <= MAX_BYTES_PER_LOOKUP, "{bytes} bytes");
}

/// Guards against lookups that hang on a relay that dies: their callers' next packets are tried again.
#[test]
fn trials_that_a_relay_has_lost_are_repeated() {
    let mut balancer = narrow_balancer_with_reports(|_| load(FlowKnowledge::Partial, 60_000));
    let mut reset_count = 0;
    for at in 101..600 {
        // The caller sends its packet once more after 200 ms.
        if at == 101 || at == 301 {
            balancer.handle_caller(milliseconds(at), &packet(&request(1)));
        }
        balancer.handle_timeout(milliseconds(at));
        let outputs = outputs_of(&mut balancer);
        let mut now_tried = tried(&outputs);
        let is_lost = at < 301;
        let relayed = relayed(&outputs).into_iter().filter(|_| !is_lost);
        now_tried.extend(relayed.flat_map(|(_, agents)| agents));
        for agent in now_tried {
            let denial = reply(1, FlowStatus::Absent).encode();
            balancer.handle_peer(milliseconds(at), agent, &denial);
        }
        let now_reset = resets(&outputs);
        assert!(now_reset == 0 || !is_lost, "the back ends have not reacted");
        reset_count += now_reset;
    }
    assert_eq!(reset_count, 1);
}

/// Guards against answers to the relay, which would be lost there.
#[test]
fn an_agent_relays_a_packet_and_the_others_answer_the_balancer() {
    let others = [agent_address(2), agent_address(3)];
    let datagram = packet(&data(1, 101, 501));
    let mut relay = agent(false);
    let request = Message::RelayTrial { agents: others.to_vec(), datagram: datagram.clone() };
    relay.handle_peer(milliseconds(100), balancer_address(), &request.encode());
    let sent: Vec<_> = outputs(&mut relay);
    let packets = vec![TrialPacket { balancer: balancer_address(), datagram }];
    let message = Message::TryForwardBatch { packets };
    assert_eq!(sent, others.map(|to| Output::ToPeer { to, message: message.clone() }));

    let mut other = agent(false);
    other.take_report(milliseconds(0), &report("one", 40, true));
    other.handle_peer(milliseconds(101), agent_address(1), &message.encode());
    assert_eq!(sent_to_backend(&outputs(&mut other)), 1);
    let returned = Segment { returned: true, ..data(1, 101, 501) };
    other.handle_backend(milliseconds(102), packet(&returned));
    let [Output::ToPeer { to, message: Message::LookupReply { answers, .. } }] =
        &outputs(&mut other)[..]
    else {
        panic!("one answer");
    };
    assert_eq!((*to, answers[0].status), (balancer_address(), FlowStatus::Absent));
}
