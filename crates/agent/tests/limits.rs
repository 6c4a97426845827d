//! What an agent declines or drops, how it counts it, and which limits it keeps.

use etherparse::PacketBuilder;
use loftdrift_agent::{Agent, AgentSettings, Output};
use loftdrift_configuration::{Configuration, apply, parse_script};
use loftdrift_testkit::check_fixed_seeds;
use loftdrift_wire::{
    BackendId, Candidate, CandidateList, GenevePacket, SteeringMode, SteeringOption, encode_packet,
};
use std::net::SocketAddrV4;
use std::time::Duration;

const SERVICE: [u8; 4] = [10, 20, 0, 1];
const OTHER_SERVICE_VNI: u32 = 2;
const TILES_VNI: u32 = 1;

fn address(text: &str) -> SocketAddrV4 {
    text.parse().expect("valid address")
}

fn agent(connections: u32) -> Agent {
    let mut agent = Agent::new(AgentSettings {
        backend: "tiles-1".to_owned(),
        fabric: address("10.0.0.1:6081"),
        flow_buffer_bytes: 4_096,
        cookies: true,
        unknown_grace: Duration::from_secs(20),
        udp_idle: Duration::from_secs(30),
        ramp: Duration::from_secs(10),
        seed: 7,
    })
    .expect("valid state chart");
    let script = format!(
        "create service tiles at 10.20.0.1:80\n\
         create service sheets at 10.20.0.2:80\n\
         attach backend tiles-1 to tiles at 127.0.0.1:9001 agent 10.2.0.1:6081 \
         connections {connections} state active"
    );
    let statements = parse_script("test", &script).expect("valid script");
    let configuration =
        apply(&Configuration::default(), &statements).expect("applicable statements");
    agent.adopt(Duration::ZERO, &configuration);
    agent.handle_health_check(Duration::ZERO, true);
    agent
}

fn option(mode: SteeringMode) -> SteeringOption {
    let mut candidates = CandidateList::new();
    candidates.push(Candidate { backend: BackendId(1), agent: address("10.2.0.1:6081") });
    SteeringOption {
        mode,
        cursor: 0,
        hops_left: 16,
        page: 0,
        eligible_count: 1,
        least_loaded: None,
        epoch: 1,
        candidates,
    }
}

fn syn(port: u16, service: [u8; 4]) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([10, 9, 0, 1], service, 64).tcp(port, 80, 1_000, 8_192).syn();
    let mut packet = Vec::new();
    builder.write(&mut packet, &[]).expect("valid packet");
    packet
}

fn data(port: u16) -> Vec<u8> {
    let builder =
        PacketBuilder::ipv4([10, 9, 0, 1], SERVICE, 64).tcp(port, 80, 1_001, 8_192).ack(5_000);
    let mut packet = Vec::new();
    builder.write(&mut packet, b"hello").expect("valid packet");
    packet
}

fn send(agent: &mut Agent, now: Duration, vni: u32, mode: SteeringMode, packet: &[u8]) {
    let datagram = encode_packet(vni, Some(&option(mode)), packet);
    agent.handle_datagram(now, address("10.1.0.1:6081"), &datagram);
}

/// Takes all outputs and counts the TCP resets among the packets in them.
fn resets(agent: &mut Agent) -> usize {
    const RST: u8 = 0x04;
    const FLAGS: usize = 20 + 13;
    let mut count = 0;
    while let Some(output) = agent.take_output() {
        let Output::Transmit { datagram, .. } = output else {
            continue;
        };
        let packet = GenevePacket::parse(&datagram).expect("valid packet");
        count += usize::from(packet.inner[FLAGS] & RST != 0);
    }
    count
}

#[test]
fn a_packet_of_another_service_is_refused_and_counted() {
    let mut agent = agent(10);
    send(&mut agent, Duration::ZERO, OTHER_SERVICE_VNI, SteeringMode::Select, &syn(4_000, SERVICE));
    send(&mut agent, Duration::ZERO, TILES_VNI, SteeringMode::Select, &syn(4_000, [10, 20, 0, 2]));
    assert_eq!(agent.counters.refused_other_service, 2);
    assert_eq!(agent.counters.flows_opened, 0);
    assert!(agent.take_output().is_none());
}

#[test]
fn a_full_back_end_declines_new_flows_and_counts_them() {
    let mut agent = agent(2);
    for port in 4_000..4_003 {
        send(&mut agent, Duration::ZERO, TILES_VNI, SteeringMode::Select, &syn(port, SERVICE));
    }
    assert_eq!(agent.counters.flows_opened, 2);
    assert_eq!(agent.counters.passed_over_full, 1);
    assert_eq!(agent.counters.opens_refused, 1);
    assert_eq!(resets(&mut agent), 1);
}

#[test]
fn a_handshake_that_is_never_finished_is_removed_without_reset() {
    let mut agent = agent(10);
    send(&mut agent, Duration::ZERO, TILES_VNI, SteeringMode::Select, &syn(4_000, SERVICE));
    assert_eq!(agent.flow_count(), 1);
    while let Some(next) = agent.next_timeout().filter(|next| *next <= Duration::from_secs(20)) {
        agent.handle_timeout(next);
    }
    assert_eq!(agent.flow_count(), 0);
    assert_eq!(resets(&mut agent), 0);
}

#[test]
fn an_acknowledgement_of_another_agents_handshake_is_passed_on() {
    let mut agent = agent(10);
    send(&mut agent, Duration::ZERO, TILES_VNI, SteeringMode::Select, &syn(4_000, SERVICE));
    assert_eq!(resets(&mut agent), 0);
    let other = Candidate { backend: BackendId(2), agent: address("10.2.0.2:6081") };
    let mut option = option(SteeringMode::Locate);
    option.candidates.push(other);
    // The caller acknowledges a SYN-ACK that this agent did not send.
    let datagram = encode_packet(TILES_VNI, Some(&option), &data(4_000));
    agent.handle_datagram(Duration::ZERO, address("10.1.0.1:6081"), &datagram);
    let Some(Output::Transmit { to, datagram }) = agent.take_output() else {
        panic!("the packet was not forwarded")
    };
    assert_eq!(to, other.agent);
    assert_eq!(GenevePacket::parse(&datagram).expect("valid packet").inner, data(4_000));
    assert!(agent.take_output().is_none());
}

#[test]
fn an_unreachable_back_end_opens_nothing_until_a_connection_is_accepted() {
    let mut agent = agent(10);
    agent.handle_health_check(Duration::ZERO, false);
    send(&mut agent, Duration::ZERO, TILES_VNI, SteeringMode::Select, &syn(4_000, SERVICE));
    assert_eq!(agent.counters.flows_opened, 0);
    assert_eq!(agent.counters.passed_over_unreachable, 1);
    agent.handle_health_check(Duration::ZERO, true);
    send(&mut agent, Duration::ZERO, TILES_VNI, SteeringMode::Select, &syn(4_000, SERVICE));
    assert_eq!(agent.counters.flows_opened, 1);
}

/// The load that the agent writes into a SYN's steering option before it forwards the SYN to
/// another candidate.
fn reported_load(agent: &mut Agent, now: Duration) -> u16 {
    let mut option = option(SteeringMode::Select);
    let other = Candidate { backend: BackendId(2), agent: address("10.2.0.2:6081") };
    option.candidates.push(other);
    option.eligible_count = 2;
    let datagram = encode_packet(TILES_VNI, Some(&option), &syn(5_000, SERVICE));
    agent.handle_datagram(now, address("10.1.0.1:6081"), &datagram);
    let Some(Output::Transmit { datagram, .. }) = agent.take_output() else {
        panic!("the packet was not forwarded")
    };
    let forwarded = GenevePacket::parse(&datagram).expect("valid packet").steering;
    forwarded.and_then(|option| option.least_loaded).expect("load in the steering option").load
}

#[test]
fn the_load_factor_of_a_back_end_that_has_come_up_falls_during_its_warm_up() {
    let mut agent = agent(10);
    let seconds = Duration::from_secs;
    let loads = [0, 5, 10, 60].map(|at| reported_load(&mut agent, seconds(at)));
    assert!(loads[0] > loads[1] && loads[1] > loads[2], "{loads:?}");
    assert_eq!((loads[0], loads[3]), (2 * loads[2], loads[2]));
    agent.handle_health_check(seconds(60), false);
    agent.handle_health_check(seconds(61), true);
    assert_eq!(reported_load(&mut agent, seconds(61)), loads[0]);
}

#[test]
fn a_retransmitted_syn_opens_no_second_flow() {
    let mut agent = agent(10);
    for _ in 0..3 {
        send(&mut agent, Duration::ZERO, TILES_VNI, SteeringMode::Select, &syn(4_000, SERVICE));
    }
    assert_eq!(agent.counters.flows_opened, 1);
}

#[test]
fn an_unknown_flow_is_reset_only_after_the_grace_time() {
    let mut agent = agent(10);
    let packet = data(4_000);
    send(&mut agent, Duration::from_secs(1), TILES_VNI, SteeringMode::Locate, &packet);
    send(&mut agent, Duration::from_secs(20), TILES_VNI, SteeringMode::Locate, &packet);
    assert_eq!(resets(&mut agent), 0);
    assert_eq!(agent.counters.unknown_silent, 2);
    send(&mut agent, Duration::from_secs(22), TILES_VNI, SteeringMode::Locate, &packet);
    assert_eq!(resets(&mut agent), 1);
}

#[test]
fn a_wrong_transport_checksum_is_dropped_under_its_counter() {
    let mut agent = agent(10);
    let mut packet = syn(4_000, SERVICE);
    let last = packet.len() - 1;
    packet[last] ^= 0x55;
    send(&mut agent, Duration::ZERO, TILES_VNI, SteeringMode::Select, &packet);
    assert_eq!(agent.counters.dropped_transport_checksum, 1);
    assert_eq!(agent.counters.flows_opened, 0);
}

#[test]
fn arbitrary_datagrams_never_panic_and_are_all_counted() {
    check_fixed_seeds(|input| {
        let mut agent = agent(10);
        let datagram: Vec<u8> = input.arbitrary()?;
        agent.handle_datagram(Duration::ZERO, address("10.1.0.1:6081"), &datagram);
        assert_eq!(agent.counters.received, 1);
        Ok(())
    });
}

#[test]
fn damaged_packets_never_panic() {
    check_fixed_seeds(|input| {
        let mut agent = agent(10);
        let mut datagram =
            encode_packet(TILES_VNI, Some(&option(SteeringMode::Select)), &syn(4_000, SERVICE));
        for _ in 0..input.int_in_range(1..=4)? {
            let offset = input.int_in_range(0..=datagram.len() - 1)?;
            datagram[offset] = input.arbitrary()?;
        }
        datagram.truncate(input.int_in_range(0..=datagram.len())?);
        agent.handle_datagram(Duration::ZERO, address("10.1.0.1:6081"), &datagram);
        while agent.take_output().is_some() {}
        Ok(())
    });
}
