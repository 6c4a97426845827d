//! A node's settings file.

use loftdrift_carried::{Node, NodeRole, Policies, Policy};
use loftdrift_findings::{Collector, Findings};
use loftdrift_settings::{Overrides, Reader};
use std::net::SocketAddrV4;
use std::time::Duration;
use toml_edit::ImDocument;

const ROLE_BALANCER: &str = "carried-balancer";
const ROLE_AGENT: &str = "carried-agent";
const DEFAULT_STOP_GRACE_SECONDS: f64 = 6.0;
const DEFAULT_LONGEST_FLOW_SECONDS: f64 = 60.0;
/// A cold back end receives new flows at the rate that the configuration gives.
const DEFAULT_COLD_OVERSHOOT: f64 = 1.0;
/// Lower values give a back end less than it can handle; above the maximum the limit has no effect.
const MIN_COLD_OVERSHOOT: f64 = 0.1;
const MAX_COLD_OVERSHOOT: f64 = 100.0;
/// The usual link of a small machine.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;
/// A slower link cannot carry a service; more than the maximum indicates a wrong unit.
const MIN_LINK_MBPS: f64 = 1.0;
const MAX_LINK_MBPS: f64 = 1e6;
/// The shortest bound that users require.
const DEFAULT_CONFIGURATION_BOUND_MS: u64 = 3_000;
/// Heartbeats and calls to the store take this long; no change is in force everywhere sooner.
const MIN_CONFIGURATION_BOUND_MS: u64 = 500;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The node's name, unique among all nodes.
    pub name: String,
    /// The node itself. Its address receives messages over UDP and serves snapshots over TCP.
    pub node: Node,
    /// The settings of its role.
    pub role_settings: RoleSettings,
    /// Address on which the node answers readiness probes over HTTP.
    pub readiness: Option<SocketAddrV4>,
    /// Address on which the node serves its metrics over HTTP.
    pub metrics: Option<SocketAddrV4>,
    /// Address of the shared store.
    pub store: SocketAddrV4,
    /// Nodes from which a snapshot is fetched at the start.
    pub seeds: Vec<SocketAddrV4>,
    /// Time after which an accepted configuration or evacuation must be in force on all nodes.
    pub configuration_bound: Duration,
    /// A cold back end receives at most this multiple of the rate of new flows that the
    /// configuration gives.
    pub cold_overshoot: f64,
    /// Bandwidth of the machine's link, in megabits per second.
    pub link_mbps: f64,
    /// How long a planned stop may take.
    pub stop_grace: Duration,
    /// Maximum age of a flow.
    pub longest_flow: Duration,
    /// Whether the system is started for the first time, so that no earlier process has run.
    pub is_first_start: bool,
    /// The enabled policies.
    pub policies: Policies,
}

/// The settings of a node's role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleSettings {
    /// A balancer, which receives callers' packets.
    Balancer(BalancerSettings),
    /// An agent, which runs on the machine of a back end.
    Agent(AgentSettings),
}

impl RoleSettings {
    /// The role's name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            RoleSettings::Balancer(_) => "balancer",
            RoleSettings::Agent(_) => "agent",
        }
    }
}

/// A balancer's own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerSettings {
    /// UDP address that receives callers' packets.
    pub ingress: SocketAddrV4,
}

/// An agent's own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// UDP address that receives the back end's packets.
    pub outbound: SocketAddrV4,
    /// Address that receives the back end's heartbeats over HTTP.
    pub control: SocketAddrV4,
    /// Address of the back end: packets over UDP, its health page over HTTP.
    pub backend: SocketAddrV4,
    /// The back end's service.
    pub service: String,
    /// Port at which callers receive packets.
    pub caller_port: u16,
}

impl NodeSettings {
    /// Parses and checks the text of a settings file. Every finding has its line and column.
    pub fn read(
        file: &str,
        text: &str,
        overrides: &Overrides,
        incarnation: u64,
    ) -> Result<NodeSettings, Findings> {
        let mut findings = Collector::new(file, text);
        let document = match ImDocument::parse(text) {
            Ok(document) => document,
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                findings.add(offset, error.message(), "TOML");
                return findings
                    .finish(None)
                    .and_then(|none| none.ok_or_else(|| no_findings(file)));
            }
        };
        let mut reader = Reader::new(&mut findings, document.as_table(), overrides);
        let settings = read_node(&mut reader, incarnation);
        reader.finish();
        findings.finish(settings)?.ok_or_else(|| no_findings(file))
    }
}

/// Result for settings that are incomplete although there are no findings; this never happens.
fn no_findings(file: &str) -> Findings {
    Findings { file: file.to_owned(), list: Vec::new() }
}

fn read_node(reader: &mut Reader<'_, '_>, incarnation: u64) -> Option<NodeSettings> {
    let role = read_role(reader);
    let name = reader.text("name");
    let zone = reader.text("zone");
    let region = reader.text("region");
    let messages = reader.listener("messages");
    let readiness = reader.optional_listener("readiness");
    // Read without the check for listeners: if the address is taken, the node starts without
    // metrics and logs a warning.
    let metrics = reader.optional_address("metrics");
    let store = reader.address("store");
    let seeds = reader.addresses("seeds");
    let bound = reader.count(
        "configuration_bound_ms",
        MIN_CONFIGURATION_BOUND_MS,
        DEFAULT_CONFIGURATION_BOUND_MS,
    );
    let cold_overshoot = reader.number(
        "cold_overshoot",
        MIN_COLD_OVERSHOOT,
        MAX_COLD_OVERSHOOT,
        DEFAULT_COLD_OVERSHOOT,
    );
    let link_mbps = reader.number("link_mbps", MIN_LINK_MBPS, MAX_LINK_MBPS, DEFAULT_LINK_MBPS);
    let evacuation_bound = reader.count(
        "evacuation_bound_ms",
        MIN_CONFIGURATION_BOUND_MS,
        bound.unwrap_or(DEFAULT_CONFIGURATION_BOUND_MS),
    );
    let stop_grace = reader.seconds("stop_grace_s", DEFAULT_STOP_GRACE_SECONDS);
    let longest_flow = reader.seconds("longest_flow_s", DEFAULT_LONGEST_FLOW_SECONDS);
    let is_first_start = reader.switch("first_start", false);
    let policies = read_policies(reader);
    let role_settings = match role? {
        NodeRole::Balancer => read_balancer(reader).map(RoleSettings::Balancer),
        NodeRole::Agent => read_agent(reader).map(RoleSettings::Agent),
    };
    let node = Node {
        address: messages?,
        role: role?,
        zone: zone?,
        region: region?,
        incarnation,
        link_mbps: link_mbps? as u32,
    };
    let messages_port = node.address.port();
    Some(NodeSettings {
        name: name?,
        node,
        role_settings: role_settings?,
        readiness,
        metrics,
        store: store?,
        // Seeds may be given with any of their ports: the port for messages is the same on all
        // machines.
        seeds: seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), messages_port)).collect(),
        configuration_bound: Duration::from_millis(bound?.min(evacuation_bound?)),
        cold_overshoot: cold_overshoot?,
        link_mbps: link_mbps?,
        stop_grace: stop_grace?,
        longest_flow: longest_flow?,
        is_first_start: is_first_start?,
        policies,
    })
}

fn read_role(reader: &mut Reader<'_, '_>) -> Option<NodeRole> {
    let role = reader.text("role")?;
    match role.as_str() {
        ROLE_BALANCER => Some(NodeRole::Balancer),
        ROLE_AGENT => Some(NodeRole::Agent),
        _ => {
            let expected = format!("{ROLE_BALANCER} or {ROLE_AGENT}");
            reader.finding(0, format!("unknown role `{role}`"), &expected);
            None
        }
    }
}

/// All policies except those listed in `policies_off`.
fn read_policies(reader: &mut Reader<'_, '_>) -> Policies {
    let mut policies = Policies::default();
    for (name, offset) in reader.texts("policies_off") {
        match name.parse() {
            Ok(policy) => policies = policies.without(policy),
            Err(_) => {
                let expected = Policy::ALL.map(Policy::name).join(", ");
                reader.finding(offset, format!("unknown policy `{name}`"), &expected);
            }
        }
    }
    policies
}

fn read_balancer(reader: &mut Reader<'_, '_>) -> Option<BalancerSettings> {
    let ingress = reader.listener("ingress");
    Some(BalancerSettings { ingress: ingress? })
}

fn read_agent(reader: &mut Reader<'_, '_>) -> Option<AgentSettings> {
    let outbound = reader.listener("outbound");
    let control = reader.listener("control");
    let backend = reader.address("backend");
    let service = reader.text("service");
    let caller = reader.address("caller_port_of");
    Some(AgentSettings {
        outbound: outbound?,
        control: control?,
        backend: backend?,
        service: service?,
        caller_port: caller?.port(),
    })
}
