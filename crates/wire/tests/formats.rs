//! Encoded packets decode to the same values; arbitrary and damaged bytes never cause a panic.

use arbtest::arbitrary::{self, Unstructured};
use loftdrift_testkit::check_fixed_seeds;
use loftdrift_wire::{
    BackendId, Candidate, CandidateList, Echo, EchoKind, FlowCookie, GenevePacket, LeastLoaded,
    MAX_PAGES, MAX_VNI, ServiceId, SteeringMode, SteeringOption, encode_packet, parse_inner,
};
use std::net::SocketAddrV4;

fn any_option(input: &mut Unstructured<'_>) -> arbitrary::Result<SteeringOption> {
    let mut candidates = CandidateList::new();
    for _ in 0..input.int_in_range(1..=12)? {
        let ip: [u8; 4] = input.arbitrary()?;
        let agent = SocketAddrV4::new(ip.into(), input.arbitrary()?);
        candidates.push(Candidate { backend: BackendId(input.arbitrary()?), agent });
    }
    let last = candidates.as_slice().len() as u8 - 1;
    let modes = [SteeringMode::Locate, SteeringMode::Select, SteeringMode::Open];
    let best = LeastLoaded { index: input.int_in_range(0..=last)?, load: input.arbitrary()? };
    Ok(SteeringOption {
        mode: *input.choose(&modes)?,
        cursor: input.int_in_range(0..=last)?,
        hops_left: input.arbitrary()?,
        page: input.int_in_range(0..=MAX_PAGES)?,
        eligible_count: input.int_in_range(0..=last + 1)?,
        least_loaded: input.arbitrary::<bool>()?.then_some(best),
        epoch: input.arbitrary()?,
        candidates,
    })
}

#[test]
fn a_packet_decodes_to_what_was_encoded() {
    check_fixed_seeds(|input| {
        let option = any_option(input)?;
        let vni = input.int_in_range(0..=MAX_VNI)?;
        let inner: Vec<u8> = input.arbitrary()?;
        let datagram = encode_packet(vni, Some(&option), &inner);
        let packet = GenevePacket::parse(&datagram).expect("valid packet");
        assert_eq!((packet.vni, packet.steering, packet.control), (vni, Some(option), false));
        assert_eq!(packet.inner, inner);
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_never_panic() {
    check_fixed_seeds(|input| {
        let bytes: Vec<u8> = input.arbitrary()?;
        let _ = GenevePacket::parse(&bytes);
        let _ = parse_inner(&bytes);
        let _ = SteeringOption::decode(&bytes);
        let _ = loftdrift_wire::reset_for(&bytes);
        Ok(())
    });
}

#[test]
fn a_damaged_option_is_refused_or_keeps_its_indices_in_the_list() {
    check_fixed_seeds(|input| {
        let mut datagram = encode_packet(1, Some(&any_option(input)?), &[]);
        let offset = input.int_in_range(8..=datagram.len() - 1)?;
        datagram[offset] = input.arbitrary()?;
        if let Ok(GenevePacket { steering: Some(option), .. }) = GenevePacket::parse(&datagram) {
            assert!(option.current().is_some());
            let length = option.candidates.as_slice().len();
            assert!(option.least_loaded.is_none_or(|best| usize::from(best.index) < length));
        }
        Ok(())
    });
}

#[test]
fn an_echo_decodes_to_what_was_encoded() {
    let echo = Echo { kind: EchoKind::Reply, sequence: 77 };
    let datagram = echo.encode();
    let packet = GenevePacket::parse(&datagram).expect("valid packet");
    assert_eq!(Echo::decode(&packet), Some(echo));
}

#[test]
fn a_cookie_names_its_back_end_to_its_own_service_only() {
    for service in 1..200 {
        for backend in [0, 1, 77, 3_400, u16::MAX] {
            let cookie = FlowCookie::new(ServiceId(service), BackendId(backend));
            let named = FlowCookie::backend(cookie.0, ServiceId(service));
            assert_eq!(named, Some(BackendId(backend)));
            assert_ne!(FlowCookie::backend(cookie.0, ServiceId(service + 1)), named);
        }
    }
}
