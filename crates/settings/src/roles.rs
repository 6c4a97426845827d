//! The settings of each kind of process.

use crate::reader::{Overrides, Reader};
use loftdrift_findings::{Collector, Findings};
use std::net::SocketAddrV4;
use std::time::Duration;
use toml_edit::{ImDocument, Item, Table};

const DEFAULT_FLOW_BUFFER_BYTES: u64 = 16 * 1024;
const MIN_FLOW_BUFFER_BYTES: u64 = 2_048;
/// A configuration is in force everywhere within 18 s; the grace must be longer.
const DEFAULT_UNKNOWN_GRACE_SECONDS: f64 = 20.0;
const DEFAULT_UDP_IDLE_SECONDS: f64 = 30.0;
const DEFAULT_RAMP_SECONDS: f64 = 10.0;
const DEFAULT_BALANCER_DRAIN_SECONDS: f64 = 2.0;
const DEFAULT_AGENT_DRAIN_SECONDS: f64 = 3_600.0;

/// A kind of process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `loftdrift balancer`
    Balancer,
    /// `loftdrift agent`
    Agent,
    /// `loftdrift-standin fabric`
    Fabric,
    /// `loftdrift-standin platform`
    Platform,
    /// `loftdrift-standin backend`
    Backend,
    /// `loftdrift-standin callers`
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

    /// The role's name in files and on the command line.
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
    /// UDP address for GENEVE.
    pub listen: SocketAddrV4,
    /// Key-value store.
    pub platform: SocketAddrV4,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddrV4>,
    /// Zone that it stands in.
    pub zone: Option<String>,
    /// How long it forwards after it has stopped answering the fabric.
    pub drain_duration: Duration,
    /// Most probes to agents in one second.
    pub probes_per_second: u32,
}

/// Settings of an agent process.
#[derive(Clone, Debug)]
pub struct AgentProcessSettings {
    /// UDP address for GENEVE.
    pub listen: SocketAddrV4,
    /// Name of the back end beside it.
    pub backend: String,
    /// UDP address of the fabric.
    pub fabric: SocketAddrV4,
    /// Key-value store.
    pub platform: SocketAddrV4,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddrV4>,
    /// Zone that it stands in.
    pub zone: Option<String>,
    /// Longest wait for its flows to end after a request to stop.
    pub drain_timeout: Duration,
    /// Size of each of a flow's two buffers, in bytes.
    pub flow_buffer_bytes: usize,
    /// Whether flows carry cookies in TCP timestamps.
    pub cookies: bool,
    /// How long a flow stays unknown before it is reset.
    pub unknown_grace: Duration,
    /// A UDP flow without packets for so long is over.
    pub udp_idle: Duration,
    /// A back end that has come up works up to its full share for so long.
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

/// A port on which the fabric stand-in takes callers.
#[derive(Clone, Debug)]
pub struct FabricListener {
    /// The port.
    pub listen: SocketAddrV4,
    /// The service's address in packets.
    pub service: SocketAddrV4,
    /// TCP or UDP.
    pub transport: ListenerTransport,
}

/// Settings of the fabric stand-in.
#[derive(Clone, Debug)]
pub struct FabricProcessSettings {
    /// UDP address for GENEVE.
    pub listen: SocketAddrV4,
    /// Balancers known from the start.
    pub balancers: Vec<SocketAddrV4>,
    /// Machine list, if it is to be read.
    pub platform: Option<SocketAddrV4>,
    /// Ports for callers.
    pub listeners: Vec<FabricListener>,
    /// Whether flows offer TCP timestamps.
    pub timestamps: bool,
    /// Seed of every random choice.
    pub seed: u64,
}

/// Settings of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformProcessSettings {
    /// HTTP address.
    pub listen: SocketAddrV4,
    /// Most requests a second, 0 for no limit.
    pub requests_per_second: u64,
    /// How late changes of the machine list show.
    pub machine_lag: Duration,
}

/// Settings of a back end stand-in.
#[derive(Clone, Debug)]
pub struct BackendProcessSettings {
    /// HTTP address.
    pub listen: SocketAddrV4,
    /// The service's name.
    pub service: String,
    /// The back end's name.
    pub name: String,
    /// Requests at a time.
    pub slots: usize,
    /// Requests that may wait.
    pub max_queued: u64,
    /// Time a request takes.
    pub work_duration: Duration,
    /// Time from the start during which work takes longer.
    pub cold_start: Duration,
    /// Lag of the load page.
    pub load_lag: Duration,
}

/// Settings of the callers stand-in.
#[derive(Clone, Debug)]
pub struct CallersProcessSettings {
    /// The service's name, which answers must bear.
    pub service: String,
    /// Where the fabric listens for the service.
    pub address: SocketAddrV4,
    /// How many callers there are.
    pub callers: u64,
    /// How long they call.
    pub duration: Duration,
    /// Share of requests that submit.
    pub submit_share: f64,
    /// Largest fetched body, in bytes.
    pub body_bytes: u64,
    /// Pause between a flow's requests.
    pub pause: Duration,
    /// Most requests on one flow.
    pub requests_per_flow: u64,
    /// Seed of every random choice.
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
    /// Reads a settings file. `requested` is the role that the command line asks for; without it the
    /// file's own decides.
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

/// Settings are missing only when there are findings, and then this is not reached.
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
            let problem = format!("these are settings of a {}", role.name());
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
    // The role was read before; here it only counts as known.
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

// Each reader below asks for every setting before the first `?`, so that all findings are made.

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
    let buffer =
        reader.count("flow_buffer_bytes", MIN_FLOW_BUFFER_BYTES, DEFAULT_FLOW_BUFFER_BYTES);
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
            reader.add_listener(
                "listeners.listen",
                listener.listen,
                span.map_or(0, |span| span.start),
            );
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
