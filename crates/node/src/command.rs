//! Messages from other tasks to the task that owns the core, and the status that it publishes.

use loftdrift_carried::{
    BackendReport, CarriedConfiguration, Incarnation, NodeList, NodeRole, ProbeOutcome,
    ReportOutcome, Snapshot, Version,
};
use loftdrift_counters::{Histogram, Sample};
use std::net::SocketAddrV4;
use tokio::sync::oneshot;

/// A message to the task that owns the core.
#[derive(Debug)]
pub enum Command {
    /// Apply this configuration if it is newer than the one in force.
    AdoptConfiguration(CarriedConfiguration),
    /// Learn these nodes from the shared store's member list.
    LearnMembers(MemberUpdate),
    /// Compare the shared store's member list with the nodes that are alive. The reply holds the
    /// addresses whose entries are to be removed.
    AuditMembers(NodeList, oneshot::Sender<Vec<SocketAddrV4>>),
    /// Apply a snapshot that was received from another node.
    InstallSnapshot(Snapshot),
    /// Reply with a snapshot for another node.
    GetSnapshot(oneshot::Sender<Snapshot>),
    /// Reply with the core's metrics.
    GetMetrics(oneshot::Sender<CoreMetrics>),
    /// Apply a heartbeat of the back end. The reply reports what it changed, once that is in force.
    BackendReport(BackendReport, oneshot::Sender<ReportOutcome>),
    /// The back end is leaving or has ended. The reply is sent once this is in force.
    BackendDeparture(Incarnation, oneshot::Sender<()>),
    /// A request of the back end could not be parsed.
    UnreadableRequest,
    /// The back end's health page has answered that the back end takes flows.
    BackendHealthy,
    /// The departures of back ends that earlier processes of this agent have acknowledged; `None` if
    /// they cannot be read now.
    EarlierDepartures(Option<Vec<Incarnation>>),
    /// Result of an attempt to connect to the back end.
    ProbeFinished(ProbeOutcome),
    /// Whether the shared store has answered this node. Whatever it returned was sent to the core
    /// in earlier commands.
    StoreReachable(bool),
    /// Stop accepting new flows.
    Drain,
}

/// Nodes read from the shared store's member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The nodes.
    pub members: Vec<(SocketAddrV4, NodeRole)>,
    /// Whether the list is at least as new as this node's own entry, so that it names every node
    /// registered before.
    pub is_complete: bool,
}

/// The metrics of a core.
#[derive(Clone, Debug)]
pub struct CoreMetrics {
    /// Counters and gauges.
    pub samples: Vec<Sample>,
    /// Histograms, shared with the core, which keeps adding to them.
    pub histograms: Vec<Histogram>,
}

/// The part of the core's state that other tasks use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// Whether callers' packets should be sent to this node.
    pub is_ready: bool,
    /// Whether nothing is left that a planned stop would interrupt.
    pub is_drained: bool,
    /// Whether the back end's process has ended, so that this agent serves no further flow.
    pub backend_ended: bool,
    /// Version of the configuration in force.
    pub configuration: Version,
    /// Whether this node should watch the shared store for newer configurations.
    pub watches_store: bool,
    /// Path of the back end's health page, if the agent needs its answer.
    pub health_check: Option<String>,
    /// Starts of the back end whose leaving was acknowledged and that later processes have to know.
    pub departures: Vec<Incarnation>,
    /// Whether the core knows the departures that earlier processes have acknowledged.
    pub knows_earlier_departures: bool,
}
