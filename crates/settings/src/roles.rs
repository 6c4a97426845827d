//! The settings of each role a process can have.

use crate::reader::{Overrides, Reader};
use loftdrift_findings::{Collector, Findings};
use std::net::SocketAddrV4;
use std::time::Duration;
use toml_edit::{ImDocument, Item, Table};

const DEFAULT_BUFFER_BYTES: u64 = 16 * 1024;
const MIN_BUFFER_BYTES: u64 = 2_048;
/// Must be longer than the 18 s within which all nodes adopt a new configuration. Otherwise agents
/// would reset flows only because some nodes still use an older configuration.
const DEFAULT_UNKNOWN_GRACE_SECONDS: f64 = 20.0;
const DEFAULT_UDP_IDLE_SECONDS: f64 = 30.0;
const DEFAULT_RAMP_SECONDS: f64 = 10.0;
const DEFAULT_BALANCER_DRAIN_SECONDS: f64 = 2.0;
const DEFAULT_AGENT_DRAIN_SECONDS: f64 = 3_600.0;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `loftdrift balancer`
    Balancer,
    /// `loftdrift agent`
    Agent,
    /// `loftdrift-standin fabric`: sends the packets of callers to balancers in tests and demos.
    Fabric,
    /// `loftdrift-standin platform`: key-value store and machine list.
    Platform,
    /// `loftdrift-standin backend`: HTTP server of one back end.
    Backend,
    /// `loftdrift-standin callers`: HTTP clients that check every answer.
    Callers,
}

impl Role {
    const ALL: [(Role, &'static str); 6] = [
        (Role::Balancer, "balancer"),
        (Role::Agent, "agent"),
        (Role::Fabric, "fabric"),
        (Role::Platform, "platform"),
        (Role::Backend, "backend"),
        (Role::Callers, "callers"),
    ];

    /// The role's name in settings files and on the command line.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(role, _)| *role == self).map_or("", |(_, name)| name)
    }

    fn parse(name: &str) -> Option<Role> {
        Self::ALL.iter().find(|(_, known)| *known == name).map(|(role, _)| *role)
    }
}

/// Settings of a balancer process.
#[derive(Clone, Debug)]
pub struct BalancerProcessSettings {
    /// UDP address on which GENEVE packets are received.
    pub listen: SocketAddrV4,
    /// Address of the key-value store.
    pub platform: SocketAddrV4,
    /// Address on which metrics are served, if any.
    pub metrics: Option<SocketAddrV4>,
    /// Zone in which the process runs.
    pub zone: Option<String>,
    /// How long it goes on forwarding packets after it stopped answering the fabric's echoes.
    pub drain_duration: Duration,
    /// Maximum number of probes to agents per second.
    pub probes_per_second: u32,
}

/// Settings of an agent process.
#[derive(Clone, Debug)]
pub struct AgentProcessSettings {
    /// UDP address on which GENEVE packets are received.
    pub listen: SocketAddrV4,
    /// Name of the back end that the agent serves.
    pub backend: String,
    /// UDP address of the fabric, to which packets for callers are sent.
    pub fabric: SocketAddrV4,
    /// Address of the key-value store.
    pub platform: SocketAddrV4,
    /// Address on which metrics are served, if any.
    pub metrics: Option<SocketAddrV4>,
    /// Zone in which the process runs.
    pub zone: Option<String>,
    /// How long it waits for its flows to end after a request to stop.
    pub drain_timeout: Duration,
    /// Size of each of the two buffers of a TCP flow, in bytes.
    pub flow_buffer_bytes: usize,
    /// Whether TCP timestamps carry a cookie that identifies the back end.
    pub cookies: bool,
    /// How long a flow must be unknown to the agents before its packets are answered with a reset.
    pub unknown_grace: Duration,
    /// A UDP flow ends after this time without packets.
    pub udp_idle: Duration,
    /// Slow start: a back end that came up reaches its full share of new flows after this time.
    pub ramp: Duration,
}

/// TCP or UDP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerTransport {
    /// TCP.
    Tcp,
    /// UDP.
    Udp,
}

/// An address on which the fabric stand-in accepts callers of one service.
#[derive(Clone, Debug)]
pub struct FabricListener {
    /// The address to which callers connect.
    pub listen: SocketAddrV4,
    /// The service's address, as used in packets.
    pub service: SocketAddrV4,
    /// TCP or UDP.
    pub transport: ListenerTransport,
}

/// Settings of the fabric stand-in.
#[derive(Clone, Debug)]
pub struct FabricProcessSettings {
    /// UDP address on which GENEVE packets are received.
    pub listen: SocketAddrV4,
    /// Balancers that are known from the start.
    pub balancers: Vec<SocketAddrV4>,
    /// Address of the platform's machine list, if it is to be read.
    pub platform: Option<SocketAddrV4>,
    /// Addresses on which callers are accepted.
    pub listeners: Vec<FabricListener>,
    /// Whether TCP flows offer the timestamps option.
    pub timestamps: bool,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Settings of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformProcessSettings {
    /// Address on which HTTP is served.
    pub listen: SocketAddrV4,
    /// Maximum number of requests per second; 0 for no limit.
    pub requests_per_second: u64,
    /// Delay after which changes of the machine list become visible.
    pub machine_lag: Duration,
}

/// Settings of a back end stand-in.
#[derive(Clone, Debug)]
pub struct BackendProcessSettings {
    /// Address on which HTTP is served.
    pub listen: SocketAddrV4,
    /// The service's name.
    pub service: String,
    /// The back end's name.
    pub name: String,
    /// Maximum number of requests processed concurrently.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot.
    pub max_queued: u64,
    /// Processing time of a request.
    pub work_duration: Duration,
    /// Time after the start during which requests take longer.
    pub cold_start: Duration,
    /// Age of the load that the load page reports.
    pub load_lag: Duration,
}

/// Settings of the callers stand-in.
#[derive(Clone, Debug)]
pub struct CallersProcessSettings {
    /// The service's name, which every answer must contain.
    pub service: String,
    /// Address on which the fabric accepts callers of the service.
    pub address: SocketAddrV4,
    /// Number of concurrent callers.
    pub callers: u64,
    /// How long the callers send requests.
    pub duration: Duration,
    /// Share of requests that are submissions (POST) rather than fetches (GET), from 0 to 1.
    pub submit_share: f64,
    /// Maximum size of a fetched body, in bytes.
    pub body_bytes: u64,
    /// Pause between two requests of a flow.
    pub pause: Duration,
    /// Maximum number of requests per flow.
    pub requests_per_flow: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Settings of one process.
#[derive(Clone, Debug)]
pub enum Settings {
    /// Of a balancer.
    Balancer(BalancerProcessSettings),
    /// Of an agent.
    Agent(AgentProcessSettings),
    /// Of the fabric stand-in.
    Fabric(FabricProcessSettings),
    /// Of the platform stand-in.
    Platform(PlatformProcessSettings),
    /// Of a back end stand-in.
    Backend(BackendProcessSettings),
    /// Of the callers stand-in.
    Callers(CallersProcessSettings),
}

impl Settings {
    /// Parses the text of a settings file. Findings refer to it as `file`. `requested` is the role
    /// given on the command line; without it, the file's `role` decides.
    pub fn read(
        file: &str,
        text: &str,
        requested: Option<Role>,
        overrides: &Overrides,
    ) -> Result<Settings, Findings> {
        let mut findings = Collector::new(file, text);
        let document = match ImDocument::parse(text) {
            Ok(document) => document,
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                findings.add(offset, error.message().trim().to_owned(), "a TOML document");
                return findings.finish(None).map(expect_settings);
            }
        };
        let table = document.as_table();
        let settings = read_role(&mut findings, table, requested)
            .and_then(|role| read_settings(&mut findings, table, role, overrides));
        findings.finish(settings).map(expect_settings)
    }
}

/// Unwraps settings that were read without findings. Missing settings always cause a finding.
fn expect_settings(settings: Option<Settings>) -> Settings {
    settings.expect("a reader that returns nothing has recorded a finding")
}

fn read_role(findings: &mut Collector<'_>, table: &Table, requested: Option<Role>) -> Option<Role> {
    let names: Vec<&str> = Role::ALL.iter().map(|(_, name)| *name).collect();
    let Some(item) = table.get("role") else {
        if requested.is_none() {
            findings.add(0, "setting `role` is missing", names.join(", "));
        }
        return requested;
    };
    let offset = item.span().map_or(0, |span| span.start);
    let role = item.as_str().and_then(Role::parse);
    match (role, requested) {
        (None, _) => {
            let shown = item.as_str().unwrap_or("no text");
            findings.add(offset, format!("unknown role `{shown}`"), names.join(", "));
        }
        (Some(role), Some(requested)) if role != requested => {
            let problem = format!("these settings are for role `{}`", role.name());
            findings.add(offset, problem, format!("role = \"{}\"", requested.name()));
        }
        _ => {}
    }
    requested.or(role)
}

fn read_settings(
    findings: &mut Collector<'_>,
    table: &Table,
    role: Role,
    overrides: &Overrides,
) -> Option<Settings> {
    let mut reader = Reader::new(findings, table, overrides);
    // `role` was checked before; reading it marks it as known, so that it is not reported.
    let _ = table.get("role").and_then(Item::as_str).map(|_| reader.optional_text("role"));
    let settings = match role {
        Role::Balancer => read_balancer(&mut reader).map(Settings::Balancer),
        Role::Agent => read_agent(&mut reader).map(Settings::Agent),
        Role::Fabric => read_fabric(&mut reader).map(Settings::Fabric),
        Role::Platform => read_platform(&mut reader).map(Settings::Platform),
        Role::Backend => read_backend(&mut reader).map(Settings::Backend),
        Role::Callers => read_callers(&mut reader).map(Settings::Callers),
    };
    reader.finish();
    settings
}

// Each function below reads all settings before its first `?`, so that all findings are collected.

fn read_balancer(reader: &mut Reader<'_, '_>) -> Option<BalancerProcessSettings> {
    let listen = reader.listener("listen");
    let metrics = reader.optional_listener("metrics");
    let platform = reader.address("platform");
    let zone = reader.zone();
    let drain_duration = reader.seconds("drain_seconds", DEFAULT_BALANCER_DRAIN_SECONDS);
    let probes_per_second = reader.count("probes_per_second", 1, 40);
    Some(BalancerProcessSettings {
        listen: listen?,
        platform: platform?,
        metrics,
        zone,
        drain_duration: drain_duration?,
        probes_per_second: u32::try_from(probes_per_second?).unwrap_or(u32::MAX),
    })
}

fn read_agent(reader: &mut Reader<'_, '_>) -> Option<AgentProcessSettings> {
    let listen = reader.listener("listen");
    let metrics = reader.optional_listener("metrics");
    let backend = reader.text("backend");
    let fabric = reader.address("fabric");
    let platform = reader.address("platform");
    let zone = reader.zone();
    let drain_timeout = reader.seconds("drain_seconds", DEFAULT_AGENT_DRAIN_SECONDS);
    let buffer = reader.count("flow_buffer_bytes", MIN_BUFFER_BYTES, DEFAULT_BUFFER_BYTES);
    let cookies = reader.switch("cookies", true);
    let unknown_grace = reader.seconds("unknown_grace_seconds", DEFAULT_UNKNOWN_GRACE_SECONDS);
    let udp_idle = reader.seconds("udp_idle_seconds", DEFAULT_UDP_IDLE_SECONDS);
    let ramp = reader.seconds("ramp_seconds", DEFAULT_RAMP_SECONDS);
    Some(AgentProcessSettings {
        listen: listen?,
        backend: backend?,
        fabric: fabric?,
        platform: platform?,
        metrics,
        zone,
        drain_timeout: drain_timeout?,
        flow_buffer_bytes: buffer? as usize,
        cookies: cookies?,
        unknown_grace: unknown_grace?,
        udp_idle: udp_idle?,
        ramp: ramp?,
    })
}

fn read_fabric(reader: &mut Reader<'_, '_>) -> Option<FabricProcessSettings> {
    let listen = reader.listener("listen");
    let balancers = reader.addresses("balancers");
    let platform = reader.optional_address("platform");
    let timestamps = reader.switch("timestamps", true);
    let seed = reader.count("seed", 0, 0);
    let no_overrides = Overrides::default();
    let mut listeners = Vec::new();
    for table in reader.tables("listeners") {
        let mut inner = reader.inner(table, &no_overrides);
        let listener = read_fabric_listener(&mut inner);
        inner.finish();
        if let Some(listener) = listener {
            let span = table.get("listen").and_then(Item::span);
            reader.reserve("listeners.listen", listener.listen, span.map_or(0, |span| span.start));
            listeners.push(listener);
        }
    }
    Some(FabricProcessSettings {
        listen: listen?,
        balancers,
        platform,
        listeners,
        timestamps: timestamps?,
        seed: seed?,
    })
}

fn read_fabric_listener(reader: &mut Reader<'_, '_>) -> Option<FabricListener> {
    let listen = reader.address("listen");
    let service = reader.address("service");
    let transport = match reader.optional_text("transport").as_deref() {
        None | Some("tcp") => Some(ListenerTransport::Tcp),
        Some("udp") => Some(ListenerTransport::Udp),
        Some(other) => {
            reader.finding(0, format!("unknown transport `{other}`"), "\"tcp\" or \"udp\"");
            None
        }
    };
    Some(FabricListener { listen: listen?, service: service?, transport: transport? })
}

fn read_platform(reader: &mut Reader<'_, '_>) -> Option<PlatformProcessSettings> {
    let listen = reader.listener("listen");
    let requests_per_second = reader.count("requests_per_second", 0, 0);
    let machine_lag = reader.seconds("machine_lag_seconds", 1.0);
    Some(PlatformProcessSettings {
        listen: listen?,
        requests_per_second: requests_per_second?,
        machine_lag: machine_lag?,
    })
}

fn read_backend(reader: &mut Reader<'_, '_>) -> Option<BackendProcessSettings> {
    let listen = reader.listener("listen");
    let service = reader.text("service");
    let name = reader.text("name");
    let slots = reader.count("slots", 1, 7);
    let max_queued = reader.count("queue", 0, 64);
    let work_duration = reader.seconds("work_seconds", 0.005);
    let cold_start = reader.seconds("cold_start_seconds", 0.0);
    let load_lag = reader.seconds("load_lag_seconds", 1.0);
    Some(BackendProcessSettings {
        listen: listen?,
        service: service?,
        name: name?,
        slots: slots? as usize,
        max_queued: max_queued?,
        work_duration: work_duration?,
        cold_start: cold_start?,
        load_lag: load_lag?,
    })
}

fn read_callers(reader: &mut Reader<'_, '_>) -> Option<CallersProcessSettings> {
    let service = reader.text("service");
    let address = reader.address("address");
    let callers = reader.count("callers", 1, 8);
    let duration = reader.seconds("seconds", 10.0);
    let submit_share = reader.number("submit_share", 0.0, 1.0, 0.2);
    let body_bytes = reader.count("body_bytes", 1, 50_000);
    let pause = reader.seconds("pause_seconds", 0.02);
    let requests_per_flow = reader.count("requests_per_flow", 1, 200);
    let seed = reader.count("seed", 0, 0);
    Some(CallersProcessSettings {
        service: service?,
        address: address?,
        callers: callers?,
        duration: duration?,
        submit_share: submit_share?,
        body_bytes: body_bytes?,
        pause: pause?,
        requests_per_flow: requests_per_flow?,
        seed: seed?,
    })
}
