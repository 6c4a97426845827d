//! A zone that operators have evacuated gets no new flows; open flows stay.

mod support;

use loftdrift_carried::{
    Admission, BackendCondition, CarriedConfiguration, DeclineReason, Heartbeat, LoadReport,
    Message, NodeRole, Output, RouteTarget,
};
use support::*;

const HOME: &str = "a";
const OTHER: &str = "b";

fn evacuated(version: u64, zones: &[&str]) -> CarriedConfiguration {
    let evacuated = zones.iter().map(|zone| zone.to_string()).collect();
    let routes = vec![route(service_address(), SERVICE)];
    CarriedConfiguration { evacuated, ..configuration(version, routes) }
}

fn accepting() -> LoadReport {
    let condition = BackendCondition::Accepting;
    LoadReport { service: SERVICE.to_owned(), condition, capacity: 4, ..LoadReport::default() }
}

fn is_reset(output: &Output) -> bool {
    matches!(output, Output::ToCaller { .. })
}

#[test]
fn an_agent_of_an_evacuated_zone_declines_and_gives_its_back_end_nothing() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(2, &[HOME]));
    outputs(&mut agent);
    agent.handle_peer(milliseconds(2), balancer_address(), &offer(1, 1, Admission::FreeSlot));
    let made = outputs(&mut agent);
    assert_eq!(declined(&made), Some(DeclineReason::Evacuated));
    assert_eq!(sent_to_backend(&made), 0);
}

#[test]
fn an_agent_of_another_zone_goes_on() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(2, &[OTHER, "nowhere"]));
    agent.handle_peer(milliseconds(2), balancer_address(), &offer(1, 1, Admission::FreeSlot));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
}

#[test]
fn a_last_resort_is_none_in_an_evacuated_zone() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(2, &[HOME]));
    agent.handle_peer(milliseconds(2), balancer_address(), &offer(1, 1, Admission::Failing(500)));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 0);
}

#[test]
fn copies_of_a_held_opening_and_packets_of_open_flows_still_reach_the_back_end() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.handle_peer(milliseconds(1), balancer_address(), &offer(1, 1, Admission::FreeSlot));
    open(&mut agent, milliseconds(1), 2, 500);
    agent.adopt(milliseconds(2), evacuated(2, &[HOME]));
    outputs(&mut agent);
    agent.handle_peer(milliseconds(3), balancer_address(), &offer(2, 1, Admission::FreeSlot));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
    let forward = Message::Forward { datagram: packet(&data(2, 101, 501)) };
    agent.handle_peer(milliseconds(3), balancer_address(), &forward.encode());
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
}

#[test]
fn a_balancer_offers_nothing_there_whatever_the_agent_says_and_again_after_the_end() {
    let mut balancer = new_balancer(1);
    tell_from_zone(&mut balancer, milliseconds(0), 1, HOME, accepting());
    tell_from_zone(&mut balancer, milliseconds(0), 2, OTHER, accepting());
    let asked = |balancer: &mut loftdrift_carried::CarriedBalancer, at: u64, port: u16| {
        outputs_of(balancer);
        balancer.handle_caller(milliseconds(at), &packet(&syn(port)));
        offers(&outputs_of(balancer)).into_iter().map(|(agent, _)| agent).collect::<Vec<_>>()
    };
    assert_eq!(asked(&mut balancer, 1, 1), [agent_address(1)]);
    balancer.adopt(milliseconds(2), evacuated(2, &[HOME]));
    tell_from_zone(&mut balancer, milliseconds(3), 1, HOME, accepting());
    assert_eq!(asked(&mut balancer, 4, 2), [agent_address(2)]);
    balancer.adopt(milliseconds(5), evacuated(3, &[]));
    assert_eq!(asked(&mut balancer, 6, 3), [agent_address(1)]);
}

#[test]
fn a_service_that_is_evacuated_everywhere_refuses_at_once() {
    let mut balancer = new_balancer(1);
    tell_from_zone(&mut balancer, milliseconds(0), 1, HOME, accepting());
    tell_from_zone(&mut balancer, milliseconds(0), 2, OTHER, accepting());
    balancer.adopt(milliseconds(1), evacuated(2, &[HOME, OTHER]));
    outputs_of(&mut balancer);
    balancer.handle_caller(milliseconds(2), &packet(&syn(1)));
    let made = outputs_of(&mut balancer);
    assert_eq!(offers(&made), []);
    assert!(made.iter().any(is_reset), "{made:?}");
    // Callers go on being told so: another balancer would know no better.
    assert!(balancer.is_ready(milliseconds(2)));
}

#[test]
fn an_end_that_a_later_reading_tells_of_is_never_undone_by_an_older_document() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(50, &[HOME]));
    // The removal itself was missed; the reading holds for a later revision.
    assert!(agent.adopt(milliseconds(2), evacuated(130, &[])));
    assert!(!agent.adopt(milliseconds(3), evacuated(50, &[HOME])));
    agent.handle_peer(milliseconds(4), balancer_address(), &offer(1, 1, Admission::FreeSlot));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
}

#[test]
fn a_later_reading_of_the_same_is_no_news_and_peers_take_its_revision() {
    let mut balancer = new_balancer(1);
    tell_from_zone(&mut balancer, milliseconds(0), 1, HOME, accepting());
    balancer.handle_timeout(milliseconds(1));
    outputs_of(&mut balancer);
    assert!(!balancer.adopt(milliseconds(2), evacuated(40, &[])));
    assert_eq!(balancer.configuration_version(), at(40));
    let heartbeat = |configuration: u64, digest: u64| {
        Message::Heartbeat(Heartbeat {
            role: NodeRole::Balancer,
            zone: HOME.to_owned(),
            region: "r".to_owned(),
            incarnation: 1,
            link_mbps: 1_000,
            configuration: at(configuration),
            digest,
            confirmation: None,
            store_recoveries: 0,
            report: None,
            wants_reply: false,
        })
    };
    let peer = agent_address(200);
    let is_fetch = |output: &Output| matches!(output, Output::FetchSnapshot { .. });
    let same = heartbeat(60, evacuated(0, &[]).digest());
    balancer.handle_peer(milliseconds(3), peer, &same.encode());
    assert_eq!(balancer.configuration_version(), at(60));
    assert!(!outputs_of(&mut balancer).iter().any(is_fetch));
    let other = heartbeat(70, evacuated(0, &[HOME]).digest());
    balancer.handle_peer(milliseconds(4), peer, &other.encode());
    assert_eq!(balancer.configuration_version(), at(60));
    assert!(outputs_of(&mut balancer).iter().any(is_fetch));
}

#[test]
fn what_was_evacuated_counts_as_cold_until_it_says_otherwise() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(2, &[HOME]));
    agent.take_report(milliseconds(1_000), &report("one", 2, true));
    agent.adopt(milliseconds(1_001), evacuated(3, &[]));
    assert!(load_told(&mut agent, 1_002).is_cold);
    agent.take_report(milliseconds(1_100), &report("one", 3, true));
    assert!(!load_told(&mut agent, 1_101).is_cold);
}

/// The load that an agent tells with its answer to an offer.
fn load_told(agent: &mut loftdrift_carried::CarriedAgent, at: u64) -> LoadReport {
    outputs(agent);
    let wrong = offer_to("another", 1, 1, Admission::FreeSlot);
    agent.handle_peer(milliseconds(at), balancer_address(), &wrong);
    let told = outputs(agent).into_iter().find_map(|output| match output {
        Output::ToPeer { message: Message::Declined { report, .. }, .. } => Some(report),
        _ => None,
    });
    told.expect("an answer")
}

#[test]
fn a_flow_of_a_route_with_regions_is_offered_in_these_only() {
    let mut balancer = new_balancer(1);
    let at_home = RouteTarget { service: SERVICE.to_owned(), weight: 1 };
    let mut bound = route(service_address(), SERVICE);
    bound.targets = vec![at_home];
    bound.regions = vec!["far".to_owned()];
    balancer.adopt(milliseconds(0), configuration(2, vec![bound]));
    let heartbeat = |region: &str| {
        Message::Heartbeat(Heartbeat {
            role: NodeRole::Agent,
            zone: HOME.to_owned(),
            region: region.to_owned(),
            incarnation: 1,
            link_mbps: 1_000,
            configuration: at(2),
            digest: 0,
            confirmation: None,
            store_recoveries: 0,
            report: Some(accepting()),
            wants_reply: false,
        })
    };
    balancer.handle_peer(milliseconds(0), agent_address(1), &heartbeat("r").encode());
    balancer.handle_peer(milliseconds(0), agent_address(2), &heartbeat("far").encode());
    for port in 1..=20 {
        outputs_of(&mut balancer);
        balancer.handle_caller(milliseconds(1), &packet(&syn(port)));
        let asked = offers(&outputs_of(&mut balancer));
        assert!(asked.iter().all(|(agent, _)| *agent == agent_address(2)), "{asked:?}");
    }
}

/// As `evacuated`, read in the history that follows the store's return from an older copy.
fn restored(revision: u64, zones: &[&str]) -> CarriedConfiguration {
    let mut document = evacuated(revision, zones);
    document.version.position.era = 2;
    document
}

fn is_taken(agent: &mut loftdrift_carried::CarriedAgent, at: u64, port: u16) -> bool {
    agent.handle_timeout(milliseconds(at));
    outputs(agent);
    let offer = offer(u64::from(port), port, Admission::FreeSlot);
    agent.handle_peer(milliseconds(at), balancer_address(), &offer);
    sent_to_backend(&outputs(agent)) == 1
}

/// Users saw: a zone that was evacuated got new flows again while the operator had not ended it. The store
/// came back from a copy that was older than the evacuation, and balancers and agents took its word until
/// the operator had written it again.
#[test]
fn an_evacuation_that_the_store_has_lost_holds_until_it_is_written_again() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(50, &[HOME]));
    agent.adopt(milliseconds(1_000), restored(40, &[]));
    assert!(!is_taken(&mut agent, 1_001, 1));
    agent.adopt(milliseconds(2_500), restored(41, &[HOME]));
    assert!(!is_taken(&mut agent, 2_501, 2));
    assert!(!is_taken(&mut agent, 3_500, 3));
    agent.adopt(milliseconds(3_600), restored(42, &[]));
    assert!(is_taken(&mut agent, 3_601, 4));
}

#[test]
fn one_that_is_not_written_again_within_two_seconds_is_over() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(50, &[HOME]));
    agent.adopt(milliseconds(1_000), restored(40, &[]));
    assert!(!is_taken(&mut agent, 2_990, 1));
    assert_eq!(agent.next_timeout().map(|at| at <= milliseconds(3_000)), Some(true));
    assert!(is_taken(&mut agent, 3_000, 2));
}

#[test]
fn a_balancer_offers_nothing_in_a_zone_whose_evacuation_the_store_has_lost() {
    let mut balancer = new_balancer(1);
    tell_from_zone(&mut balancer, milliseconds(0), 1, HOME, accepting());
    tell_from_zone(&mut balancer, milliseconds(0), 2, OTHER, accepting());
    let asked = |balancer: &mut loftdrift_carried::CarriedBalancer, at: u64, port: u16| {
        tell_from_zone(balancer, milliseconds(at), 1, HOME, accepting());
        tell_from_zone(balancer, milliseconds(at), 2, OTHER, accepting());
        balancer.handle_timeout(milliseconds(at));
        outputs_of(balancer);
        balancer.handle_caller(milliseconds(at), &packet(&syn(port)));
        offers(&outputs_of(balancer)).into_iter().map(|(agent, _)| agent).collect::<Vec<_>>()
    };
    balancer.adopt(milliseconds(1), evacuated(50, &[HOME]));
    balancer.adopt(milliseconds(1_000), restored(40, &[]));
    assert_eq!(asked(&mut balancer, 1_001, 1), [agent_address(2)]);
    assert_eq!(asked(&mut balancer, 2_990, 2), [agent_address(2)]);
    assert_eq!(asked(&mut balancer, 3_000, 3), [agent_address(1)]);
}

#[test]
fn an_end_in_the_same_history_holds_at_once() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(50, &[HOME]));
    agent.adopt(milliseconds(1_000), evacuated(51, &[]));
    assert!(is_taken(&mut agent, 1_001, 1));
}
