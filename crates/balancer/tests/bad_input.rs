//! Every kind of invalid datagram is dropped and counted by its own counter.

use etherparse::PacketBuilder;
use loftdrift_balancer::{Action, Balancer, BalancerCounters, HEADROOM_BYTES, MAX_INNER_BYTES};
use loftdrift_configuration::{Configuration, apply, parse_script};
use loftdrift_liveness::ProbeSettings;
use loftdrift_testkit::check_fixed_seeds;
use loftdrift_wire::{Echo, EchoKind, GenevePacket, SteeringMode, encode_packet};
use std::net::SocketAddrV4;
use std::time::Duration;

const PROBING: ProbeSettings = ProbeSettings {
    interval: Duration::from_secs(1),
    timeout: Duration::from_millis(400),
    miss_threshold: 3,
    max_per_second: 10,
};

fn fabric() -> SocketAddrV4 {
    "10.0.0.1:6081".parse().expect("valid address")
}

fn balancer() -> Balancer {
    let script = "create service tiles at 10.20.0.1:80\n\
         attach backend tiles-1 to tiles at 127.0.0.1:9001 agent 10.2.0.1:6081 state active\n\
         create service empty at 10.20.0.3:80";
    let statements = parse_script("test", script).expect("valid script");
    let configuration =
        apply(&Configuration::default(), &statements).expect("applicable statements");
    let mut balancer = Balancer::new(PROBING);
    assert!(balancer.adopt(Duration::ZERO, &configuration));
    balancer
}

fn handle(balancer: &mut Balancer, datagram: &[u8]) -> (Action, Vec<u8>) {
    let mut buffer = vec![0; HEADROOM_BYTES];
    buffer.extend_from_slice(datagram);
    let end = buffer.len();
    (balancer.handle(Duration::ZERO, fabric(), &mut buffer, end), buffer)
}

fn syn(service: [u8; 4], payload: &[u8]) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([10, 9, 0, 1], service, 64).tcp(4_000, 80, 1, 8_192).syn();
    let mut packet = Vec::new();
    builder.write(&mut packet, payload).expect("valid packet");
    packet
}

fn tiles_syn() -> Vec<u8> {
    syn([10, 20, 0, 1], &[])
}

/// Asserts that the datagram is dropped and not forwarded, and that `counter` has risen by one.
fn assert_dropped(datagram: &[u8], counter: fn(&BalancerCounters) -> u64) {
    let mut balancer = balancer();
    let before = balancer.counters;
    assert_eq!(handle(&mut balancer, datagram).0, Action::Done);
    let after = balancer.counters;
    assert_eq!(counter(&after), counter(&before) + 1, "{after:?}");
    assert_eq!(after.forwarded, before.forwarded);
}

#[test]
fn a_good_packet_goes_to_the_agent_with_its_service() {
    let mut balancer = balancer();
    let packet = tiles_syn();
    let (action, buffer) = handle(&mut balancer, &encode_packet(0, None, &packet));
    let Action::Forward(forward) = action else { panic!("{action:?}") };
    assert_eq!(forward.to, "10.2.0.1:6081".parse().expect("valid address"));
    let sent = GenevePacket::parse(&buffer[forward.start..forward.end]).expect("valid packet");
    assert_eq!((sent.vni, sent.inner), (1, packet.as_slice()));
    assert_eq!(sent.steering.map(|option| option.mode), Some(SteeringMode::Select));
}

#[test]
fn each_kind_of_bad_datagram_has_its_counter() {
    let good = encode_packet(0, None, &tiles_syn());
    assert_dropped(&good[..5], |counters| counters.packets.dropped_truncated);
    let mut version = good.clone();
    version[0] |= 0x40;
    assert_dropped(&version, |counters| counters.packets.dropped_geneve_version);
    let mut protocol = good.clone();
    protocol[2] = 0x65;
    assert_dropped(&protocol, |counters| counters.packets.dropped_geneve_protocol);
    let mut critical = good[..8].to_vec();
    critical[0] = 1;
    critical.extend_from_slice(&[0, 1, 0x85, 0]);
    critical.extend_from_slice(&good[8..]);
    assert_dropped(&critical, |counters| counters.packets.dropped_geneve_option);
    assert_dropped(&good[..good.len() - 3], |counters| counters.packets.dropped_inner_malformed);
    let mut checksum = good.clone();
    checksum[8 + 10] ^= 0xFF;
    assert_dropped(&checksum, |counters| counters.packets.dropped_inner_checksum);
    assert_dropped(&encode_packet(0, None, &fragment()), |counters| {
        counters.packets.dropped_inner_fragment
    });
    let unknown = encode_packet(0, None, &syn([10, 20, 0, 9], &[]));
    assert_dropped(&unknown, |counters| counters.dropped_unknown_service);
    let empty = encode_packet(0, None, &syn([10, 20, 0, 3], &[]));
    assert_dropped(&empty, |counters| counters.dropped_no_candidate);
    let oversized = encode_packet(0, None, &syn([10, 20, 0, 1], &vec![0; MAX_INNER_BYTES]));
    assert_dropped(&oversized, |counters| counters.dropped_oversized);
}

#[test]
fn an_unknown_option_that_is_not_critical_is_skipped() {
    let good = encode_packet(0, None, &tiles_syn());
    let mut optional = good[..8].to_vec();
    optional[0] = 1;
    optional.extend_from_slice(&[0, 1, 0x05, 0]);
    optional.extend_from_slice(&good[8..]);
    let (action, _) = handle(&mut balancer(), &optional);
    assert!(matches!(action, Action::Forward(_)), "{action:?}");
}

#[test]
fn a_draining_balancer_answers_no_echo_and_still_forwards() {
    let mut balancer = balancer();
    let echo = Echo { kind: EchoKind::Request, sequence: 9 }.encode();
    assert!(matches!(handle(&mut balancer, &echo).0, Action::Reply(_)));
    balancer.start_draining();
    assert_eq!(handle(&mut balancer, &echo).0, Action::Done);
    let packet = encode_packet(0, None, &tiles_syn());
    assert!(matches!(handle(&mut balancer, &packet).0, Action::Forward(_)));
}

#[test]
fn an_older_configuration_is_never_adopted() {
    let mut balancer = balancer();
    let version = balancer.version();
    assert!(!balancer.adopt(Duration::ZERO, &Configuration::default()));
    assert_eq!(balancer.version(), version);
    assert_eq!(balancer.counters.configurations_passed_over, 1);
}

#[test]
fn arbitrary_datagrams_never_panic() {
    check_fixed_seeds(|input| {
        let mut balancer = balancer();
        let mut datagram: Vec<u8> = input.arbitrary()?;
        if input.arbitrary()? {
            let good = encode_packet(0, None, &tiles_syn());
            let offset = input.int_in_range(0..=good.len() - 1)?;
            datagram = good;
            datagram[offset] = input.arbitrary()?;
        }
        handle(&mut balancer, &datagram);
        assert_eq!(balancer.counters.received, 1);
        Ok(())
    });
}

/// A SYN packet with the *more fragments* flag and a valid IPv4 header checksum.
fn fragment() -> Vec<u8> {
    let mut packet = tiles_syn();
    packet[6] |= 0x20;
    packet[10] = 0;
    packet[11] = 0;
    let words = packet[..20].chunks(2).map(|word| u32::from(word[0]) << 8 | u32::from(word[1]));
    let mut sum: u32 = words.sum();
    while sum > 0xFFFF {
        sum = (sum & 0xFFFF) + (sum >> 16);
    }
    packet[10..12].copy_from_slice(&(!(sum as u16)).to_be_bytes());
    packet
}
