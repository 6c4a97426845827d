//! During a shift between sites, new flows follow the sites' shares, and existing flows are found
//! on either site.

use loftdrift_configuration::{Configuration, apply, parse_script, set_start_times};
use loftdrift_steering::SteeringMap;
use loftdrift_wire::{BackendId, FlowKey, Transport};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

const FLOWS: u16 = 4_000;
/// The first back end of the right site. `a` and `b`, with ids 1 and 2, are on the left site; `c`
/// and `d` are on the right.
const FIRST_RIGHT: BackendId = BackendId(3);

fn map() -> SteeringMap {
    let mut script = "create service tiles at 10.20.0.1:80 candidates 2\n".to_owned();
    for (number, (name, site)) in
        [("a", "left"), ("b", "left"), ("c", "right"), ("d", "right")].iter().enumerate()
    {
        script.push_str(&format!(
            "attach backend {name} to tiles at 127.0.0.1:{} agent 10.2.0.{}:1 site {site}\n",
            9_001 + number,
            number + 1
        ));
    }
    script.push_str("shift tiles to site right 100% over 100s");
    let mut statements = parse_script("test", &script).expect("valid script");
    set_start_times(&mut statements, 1_000);
    SteeringMap::new(&apply(&Configuration::default(), &statements).expect("applicable statements"))
}

fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), port),
        service: SocketAddrV4::new(Ipv4Addr::new(10, 20, 0, 1), 80),
        transport: Transport::Tcp,
    }
}

/// Share of new flows whose eligible candidates are all on the right site. Panics if the eligible
/// candidates of a flow are on both sites.
fn right_share(map: &SteeringMap) -> f64 {
    let is_right = |port: u16| {
        let option = map.service(&flow(port)).expect("known service").new_flow_option(&flow(port));
        let eligible = &option.candidates.as_slice()[..usize::from(option.eligible_count)];
        let right = eligible.iter().filter(|candidate| candidate.backend >= FIRST_RIGHT).count();
        assert!(right == 0 || right == eligible.len(), "{option:?}");
        right > 0
    };
    (0..FLOWS).filter(|port| is_right(*port)).count() as f64 / f64::from(FLOWS)
}

#[test]
fn new_flows_follow_the_shares_of_the_sites() {
    let mut map = map();
    for (unix_seconds, expected) in [(0, 0.0), (1_000, 0.0), (1_050, 0.5), (1_100, 1.0)] {
        map.set_time(Duration::from_secs(unix_seconds));
        let share = right_share(&map);
        assert!((share - expected).abs() < 0.03, "{share} at {unix_seconds}");
    }
}

#[test]
fn flows_opened_before_a_shift_are_found_after_it() {
    let mut before = map();
    before.set_time(Duration::from_secs(1_000));
    let mut after = before.clone();
    after.set_time(Duration::from_secs(2_000));
    for port in 0..FLOWS {
        let opened =
            before.service(&flow(port)).expect("known service").new_flow_option(&flow(port));
        let found = after
            .service(&flow(port))
            .expect("known service")
            .existing_flow_option(&flow(port), None);
        for candidate in &opened.candidates.as_slice()[..usize::from(opened.eligible_count)] {
            assert!(found.candidates.position(candidate.backend).is_some());
        }
    }
}
