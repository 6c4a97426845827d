//! Addresses and zones of nodes and services, and the configuration that operators write.

use super::*;

/// Address of a node, whose number counts the balancers first.
pub(super) fn node_address(settings: &CarriedWorldSettings, node: usize) -> SocketAddrV4 {
    let kind = if node < settings.balancers { 1 } else { 2 };
    SocketAddrV4::new(Ipv4Addr::new(10, kind, (node / 256) as u8, (node % 256) as u8), PEER_PORT)
}

/// Nodes are assigned to zones round robin.
pub(super) fn zone_name(node: usize) -> String {
    format!("zone-{}", node % ZONES)
}

pub(super) fn service_address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443 + number as u16)
}

/// Two routes: the first address leads to the first service, the second one to `second`.
pub(super) fn configuration(settings: &CarriedWorldSettings, second: &str) -> CarriedConfiguration {
    let route = |number: usize, service: &str| Route {
        address: service_address(number),
        targets: vec![RouteTarget { service: service.to_owned(), weight: 1 }],
        latency_target_ms: LATENCY_TARGET_MS,
        priority: 1,
        regions: Vec::new(),
    };
    let service = |name: &str| ServiceSettings {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 2_000,
        cold_flows_milli: 0,
    };
    CarriedConfiguration {
        version: Version::default(),
        routes: vec![route(0, SERVICES[0]), route(1, second)],
        services: SERVICES.map(service).to_vec(),
        idle_timeout_ms: settings.idle_timeout.as_millis() as u32,
        evacuated: BTreeSet::new(),
    }
}
