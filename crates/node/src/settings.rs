//! How a node is set up.

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
/// No more than the configuration tells.
const DEFAULT_COLD_OVERSHOOT: f64 = 1.0;
/// Below this a back end is given less than it bears, above the limit means nothing.
const MIN_COLD_OVERSHOOT: f64 = 0.1;
const MAX_COLD_OVERSHOOT: f64 = 100.0;
/// The usual link of a small machine.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;
/// Below this no service is carried; above the limit means a wrong unit.
const MIN_LINK_MBPS: f64 = 1.0;
const MAX_LINK_MBPS: f64 = 1e6;
/// The shortest of the users.
const DEFAULT_CONFIGURATION_BOUND_MS: u64 = 3_000;
/// Heartbeats and calls to the store take their time; nothing is in force everywhere sooner.
const MIN_CONFIGURATION_BOUND_MS: u64 = 500;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The node's name, unique among all nodes.
    pub name: String,
    /// The node itself; its address takes messages over UDP and gives snapshots over TCP.
    pub node: Node,
    /// What it does, with the sockets for it.
    pub role_settings: RoleSettings,
    /// Where it is asked whether callers' packets should come here.
    pub readiness: Option<SocketAddrV4>,
    /// Where its counters are read.
    pub metrics: Option<SocketAddrV4>,
    /// The shared store.
    pub store: SocketAddrV4,
    /// Nodes to ask for a snapshot at the start.
    pub seeds: Vec<SocketAddrV4>,
    /// An accepted configuration or evacuation is in force everywhere after this time.
    pub configuration_bound: Duration,
    /// A cold back end is given at most so many times the new flows that the configuration tells.
    pub cold_overshoot: f64,
    /// Megabits a second that the machine's link carries.
    pub link_mbps: f64,
    /// How long a planned stop may take.
    pub stop_grace: Duration,
    /// Age that no flow exceeds.
    pub longest_flow: Duration,
    /// No process of the system has run before.
    pub is_first_start: bool,
    /// Mechanisms that are on.
    pub policies: Policies,
}

/// What a node does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleSettings {
    /// Takes callers' packets.
    Balancer(BalancerSettings),
    /// Stands beside a back end.
    Agent(AgentSettings),
}

impl RoleSettings {
    /// What the node does, in logs.
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
    /// Takes callers' packets over UDP.
    pub ingress: SocketAddrV4,
}

/// An agent's own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Takes the back end's packets over UDP.
    pub outbound: SocketAddrV4,
    /// Takes the back end's heartbeats over HTTP.
    pub control: SocketAddrV4,
    /// The back end: packets over UDP, its health page over TCP.
    pub backend: SocketAddrV4,
    /// The back end's service.
    pub service: String,
    /// Port at which callers take packets.
    pub caller_port: u16,
}

impl NodeSettings {
    /// Reads and checks a settings file's text; every finding is reported with its place.
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

/// Findings of a file whose settings are not whole though nothing was found; never shown.
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
    // A node without metrics is better than none: an address that is taken is told at the start.
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
        // Seeds are named by any of their addresses; the ports are alike on all machines.
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

/// Every mechanism but those that are named.
fn read_policies(reader: &mut Reader<'_, '_>) -> Policies {
    let mut policies = Policies::default();
    for (name, offset) in reader.texts("policies_off") {
        match name.parse() {
            Ok(policy) => policies = policies.without(policy),
            Err(_) => {
                let expected = Policy::ALL.map(Policy::name).join(", ");
                reader.finding(offset, format!("unknown mechanism `{name}`"), &expected);
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
