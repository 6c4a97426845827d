//! What tasks say to the one that owns the core, and what that one publishes.

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
    /// Put this configuration in force if it is newer.
    AdoptConfiguration(CarriedConfiguration),
    /// These nodes exist.
    LearnMembers(MemberUpdate),
    /// The shared store's list, to be compared with who lives; answered with the addresses whose
    /// entries are to be removed.
    AuditMembers(NodeList, oneshot::Sender<Vec<SocketAddrV4>>),
    /// Another node's snapshot.
    InstallSnapshot(Snapshot),
    /// Give a snapshot.
    GetSnapshot(oneshot::Sender<Snapshot>),
    /// Give what was counted and measured.
    GetMetrics(oneshot::Sender<CoreMetrics>),
    /// The back end's heartbeat; answered with what it changed, once that is in force.
    BackendReport(BackendReport, oneshot::Sender<ReportOutcome>),
    /// The back end leaves; answered once it is in force.
    BackendDeparture(Incarnation, oneshot::Sender<()>),
    /// A word of the back end could not be read.
    UnreadableReport,
    /// The back end's answer about its health.
    BackendHealth(bool),
    /// What became of an attempt to connect to the back end.
    ProbeFinished(ProbeOutcome),
    /// Whether the shared store has answered this node; all that it answered was told before.
    StoreReachable(bool),
    /// Take nothing new.
    Drain,
}

/// Nodes that the shared store's list names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The nodes.
    pub members: Vec<(SocketAddrV4, NodeRole)>,
    /// The list is no older than the node's own entry in it.
    pub is_complete: bool,
}

/// What a core has counted and measured.
#[derive(Clone, Debug)]
pub struct CoreMetrics {
    /// Counters and gauges.
    pub samples: Vec<Sample>,
    /// Histograms; the core goes on filling them.
    pub histograms: Vec<Histogram>,
}

/// What other tasks need to know of the core.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// Callers' packets should come here.
    pub is_ready: bool,
    /// Nothing that a planned stop would cut is left.
    pub is_drained: bool,
    /// What the node stood beside has ended: it does not come back here.
    pub backend_ended: bool,
    /// Version of the configuration in force.
    pub configuration: Version,
    /// The node is to wait at the shared store for newer configurations.
    pub watches_store: bool,
    /// Path of the health page of the back end, while its health should be asked for.
    pub health_path: Option<String>,
}
