//! Shared code of the benchmarks: configurations of a given size, packets, and alternating timing.
//!
//! A comparison alternates between its two sides within one run and prints their ratio, so that a
//! machine whose speed drifts does not distort the result.

use etherparse::PacketBuilder;
use loftdrift_agent::AgentSettings;
use loftdrift_configuration::{Configuration, apply, parse_script};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

/// Number of services in the largest system that the design must support.
pub const SERVICES: u32 = 990;
/// Number of back ends in that system.
pub const BACKENDS: u32 = 3_400;

const ROUNDS: usize = 15;
const FIRST_SERVICE: u32 = 0x0A14_0001;
const FIRST_AGENT: u32 = 0x0A02_0001;
const FIRST_CALLER: u32 = 0x0B00_0001;
const SERVICE_PORT: u16 = 443;
const GENEVE_PORT: u16 = 6_081;
const PORTS_PER_CALLER: u64 = 50_000;
const FIRST_CALLER_PORT: u64 = 10_000;

/// Address of service `number`.
pub fn service_address(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(FIRST_SERVICE + number), SERVICE_PORT)
}

/// Address of the caller of flow `flow`.
pub fn caller_address(flow: u64) -> SocketAddrV4 {
    let host = Ipv4Addr::from(FIRST_CALLER + (flow / PORTS_PER_CALLER) as u32);
    SocketAddrV4::new(host, (FIRST_CALLER_PORT + flow % PORTS_PER_CALLER) as u16)
}

/// A configuration whose back ends are spread evenly over the services.
pub fn configuration(services: u32, backends: u32) -> Configuration {
    let mut script = String::new();
    for service in 0..services {
        let address = service_address(service);
        script.push_str(&format!("create service s{service} at {address}\n"));
    }
    for backend in 0..backends {
        let agent = SocketAddrV4::new(Ipv4Addr::from(FIRST_AGENT + backend), GENEVE_PORT);
        let service = backend % services;
        script.push_str(&format!(
            "attach backend b{backend} to s{service} at 127.0.0.1:8080 agent {agent} state active\n"
        ));
    }
    let statements = parse_script("bench", &script).expect("invalid script");
    apply(&Configuration::default(), &statements).expect("invalid change")
}

/// Settings of the agent beside the back end `b0`.
pub fn agent_settings() -> AgentSettings {
    AgentSettings {
        backend: "b0".to_owned(),
        fabric: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), GENEVE_PORT),
        flow_buffer_bytes: 16 * 1024,
        cookies: true,
        unknown_grace: Duration::from_secs(20),
        udp_idle: Duration::from_secs(30),
        ramp: Duration::from_secs(10),
        seed: 1,
    }
}

/// A TCP segment of a flow. `echo` is the TSecr field of its timestamp option.
pub fn segment(flow: u64, service: SocketAddrV4, echo: u32, payload: &[u8]) -> Vec<u8> {
    use etherparse::TcpOptionElement::{Noop, Timestamp};
    let caller = caller_address(flow);
    let builder = PacketBuilder::ipv4(caller.ip().octets(), service.ip().octets(), 64)
        .tcp(caller.port(), service.port(), 1, 8_192)
        .ack(1)
        .options(&[Noop, Noop, Timestamp(1, echo)])
        .expect("options are too long");
    let mut packet = Vec::new();
    builder.write(&mut packet, payload).expect("failed to write the packet");
    packet
}

/// Times `first` and `second` alternately and returns the median time of each.
pub fn alternating_medians(
    mut first: impl FnMut(),
    mut second: impl FnMut(),
) -> (Duration, Duration) {
    first();
    second();
    let mut times = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        times.0.push(time(&mut first));
        times.1.push(time(&mut second));
    }
    (median(times.0), median(times.1))
}

/// Time that one call of `work` takes.
pub fn time(work: &mut impl FnMut()) -> Duration {
    let start = Instant::now();
    work();
    start.elapsed()
}

/// Median of an odd number of times.
pub fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

/// Nanoseconds per item when `count` items take `time` in total.
pub fn nanoseconds_per_item(time: Duration, count: usize) -> f64 {
    time.as_nanos() as f64 / count as f64
}
