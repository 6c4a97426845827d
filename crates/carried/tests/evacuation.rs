//! A zone that operators have evacuated gets no new flows; open flows stay.

mod support;

use loftdrift_carried::{
    Admission, BackendCondition, CarriedConfiguration, DeclineReason, Heartbeat, LoadReport,
    Message, NodeRole, Output, RouteTarget, Snapshot,
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
    let sent = outputs(&mut agent);
    assert_eq!(declined(&sent), Some(DeclineReason::Evacuated));
    assert_eq!(sent_to_backend(&sent), 0);
}

#[test]
fn an_agent_of_another_zone_keeps_accepting() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(2, &[OTHER, "nowhere"]));
    agent.handle_peer(milliseconds(2), balancer_address(), &offer(1, 1, Admission::FreeSlot));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
}

#[test]
fn an_agent_of_an_evacuated_zone_declines_a_last_resort_offer() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(2, &[HOME]));
    agent.handle_peer(milliseconds(2), balancer_address(), &offer(1, 1, Admission::Failing(500)));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 0);
}

#[test]
fn retransmitted_syns_and_packets_of_open_flows_still_reach_the_back_end() {
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
fn a_balancer_makes_no_offers_to_an_evacuated_zone_until_the_evacuation_ends() {
    let mut balancer = new_balancer(1);
    send_report_from_zone(&mut balancer, milliseconds(0), 1, HOME, accepting());
    send_report_from_zone(&mut balancer, milliseconds(0), 2, OTHER, accepting());
    let asked = |balancer: &mut loftdrift_carried::CarriedBalancer, at: u64, port: u16| {
        outputs_of(balancer);
        balancer.handle_caller(milliseconds(at), &packet(&syn(port)));
        offers(&outputs_of(balancer)).into_iter().map(|(agent, _)| agent).collect::<Vec<_>>()
    };
    assert_eq!(asked(&mut balancer, 1, 1), [agent_address(1)]);
    balancer.adopt(milliseconds(2), evacuated(2, &[HOME]));
    send_report_from_zone(&mut balancer, milliseconds(3), 1, HOME, accepting());
    assert_eq!(asked(&mut balancer, 4, 2), [agent_address(2)]);
    balancer.adopt(milliseconds(5), evacuated(3, &[]));
    assert_eq!(asked(&mut balancer, 6, 3), [agent_address(1)]);
}

#[test]
fn new_flows_are_refused_at_once_if_all_zones_of_a_service_are_evacuated() {
    let mut balancer = new_balancer(1);
    send_report_from_zone(&mut balancer, milliseconds(0), 1, HOME, accepting());
    send_report_from_zone(&mut balancer, milliseconds(0), 2, OTHER, accepting());
    balancer.adopt(milliseconds(1), evacuated(2, &[HOME, OTHER]));
    outputs_of(&mut balancer);
    balancer.handle_caller(milliseconds(2), &packet(&syn(1)));
    let sent = outputs_of(&mut balancer);
    assert_eq!(offers(&sent), []);
    assert!(sent.iter().any(is_reset), "{sent:?}");
    // The balancer stays ready, so that it keeps refusing callers: another balancer could do no
    // better.
    assert!(balancer.is_ready(milliseconds(2)));
}

#[test]
fn an_ended_evacuation_is_not_brought_back_by_an_older_document() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(50, &[HOME]));
    // The removal itself was missed; this read is valid for a later revision.
    assert!(agent.adopt(milliseconds(2), evacuated(130, &[])));
    assert!(!agent.adopt(milliseconds(3), evacuated(50, &[HOME])));
    agent.handle_peer(milliseconds(4), balancer_address(), &offer(1, 1, Admission::FreeSlot));
    assert_eq!(sent_to_backend(&outputs(&mut agent)), 1);
}

#[test]
fn a_later_read_of_the_same_content_only_raises_the_revision() {
    let mut balancer = new_balancer(1);
    send_report_from_zone(&mut balancer, milliseconds(0), 1, HOME, accepting());
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
    // From here on only a newer configuration is a reason to fetch a snapshot.
    let members = vec![(peer, NodeRole::Balancer)];
    balancer.take_snapshot(milliseconds(2), Snapshot { configuration: None, members });
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
fn a_back_end_counts_as_cold_after_an_evacuation_until_its_next_heartbeat() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(2, &[HOME]));
    agent.take_report(milliseconds(1_000), &report("one", 2, true));
    agent.adopt(milliseconds(1_001), evacuated(3, &[]));
    assert!(reported_load(&mut agent, 1_002).is_cold);
    agent.take_report(milliseconds(1_100), &report("one", 3, true));
    assert!(!reported_load(&mut agent, 1_101).is_cold);
}

/// The load report that an agent sends with its answer to an offer.
fn reported_load(agent: &mut loftdrift_carried::CarriedAgent, at: u64) -> LoadReport {
    outputs(agent);
    let wrong = offer_to("another", 1, 1, Admission::FreeSlot);
    agent.handle_peer(milliseconds(at), balancer_address(), &wrong);
    let report = outputs(agent).into_iter().find_map(|output| match output {
        Output::ToPeer { message: Message::Declined { report, .. }, .. } => Some(report),
        _ => None,
    });
    report.expect("the offer was not declined")
}

#[test]
fn a_flow_of_a_route_with_regions_is_offered_only_there() {
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

/// Like `evacuated`, but read in the era that follows the store's restore from an older copy.
fn restored(revision: u64, zones: &[&str]) -> CarriedConfiguration {
    let mut document = evacuated(revision, zones);
    document.version.position.era = 2;
    document
}

fn is_accepted(agent: &mut loftdrift_carried::CarriedAgent, at: u64, port: u16) -> bool {
    agent.handle_timeout(milliseconds(at));
    outputs(agent);
    let offer = offer(u64::from(port), port, Admission::FreeSlot);
    agent.handle_peer(milliseconds(at), balancer_address(), &offer);
    sent_to_backend(&outputs(agent)) == 1
}

/// Guards against new flows in a zone whose evacuation the operator had not ended. The store was
/// restored from a copy older than the evacuation, and balancers and agents followed it until the
/// operator had written the evacuation again.
#[test]
fn an_evacuation_lost_by_the_store_holds_until_it_is_written_again() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(50, &[HOME]));
    agent.adopt(milliseconds(1_000), restored(40, &[]));
    assert!(!is_accepted(&mut agent, 1_001, 1));
    agent.adopt(milliseconds(2_500), restored(41, &[HOME]));
    assert!(!is_accepted(&mut agent, 2_501, 2));
    assert!(!is_accepted(&mut agent, 3_500, 3));
    agent.adopt(milliseconds(3_600), restored(42, &[]));
    assert!(is_accepted(&mut agent, 3_601, 4));
}

#[test]
fn a_lost_evacuation_not_written_again_within_two_seconds_ends() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(50, &[HOME]));
    agent.adopt(milliseconds(1_000), restored(40, &[]));
    assert!(!is_accepted(&mut agent, 2_990, 1));
    assert_eq!(agent.next_timeout().map(|at| at <= milliseconds(3_000)), Some(true));
    assert!(is_accepted(&mut agent, 3_000, 2));
}

#[test]
fn a_balancer_makes_no_offers_to_a_zone_whose_evacuation_the_store_has_lost() {
    let mut balancer = new_balancer(1);
    send_report_from_zone(&mut balancer, milliseconds(0), 1, HOME, accepting());
    send_report_from_zone(&mut balancer, milliseconds(0), 2, OTHER, accepting());
    let asked = |balancer: &mut loftdrift_carried::CarriedBalancer, at: u64, port: u16| {
        send_report_from_zone(balancer, milliseconds(at), 1, HOME, accepting());
        send_report_from_zone(balancer, milliseconds(at), 2, OTHER, accepting());
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
fn an_evacuation_ended_in_the_same_era_ends_at_once() {
    let mut agent = agent(true);
    agent.take_report(milliseconds(0), &report("one", 1, true));
    agent.adopt(milliseconds(1), evacuated(50, &[HOME]));
    agent.adopt(milliseconds(1_000), evacuated(51, &[]));
    assert!(is_accepted(&mut agent, 1_001, 1));
}
