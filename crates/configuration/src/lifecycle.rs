//! States and events of back ends, balancer processes and agent processes. The transitions are
//! defined by state charts.

use loftdrift_charts::{ChartNames, TypedChart};
use loftdrift_findings::Findings;
use serde::{Deserialize, Serialize};

/// Life cycle state of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// Accepts new flows at a reduced share while it warms up.
    Joining,
    /// Accepts new flows.
    Active,
    /// Accepts no new flows and keeps those it has.
    Leaving,
    /// Removed from the configuration.
    Detached,
}

impl ChartNames for BackendState {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Joining, "joining"),
        (Self::Active, "active"),
        (Self::Leaving, "leaving"),
        (Self::Detached, "detached"),
    ];
}

impl BackendState {
    /// Whether the back end accepts new flows.
    pub fn accepts_new_flows(self) -> bool {
        matches!(self, BackendState::Joining | BackendState::Active)
    }
}

/// An operator's command that changes the state of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendEvent {
    /// `activate backend`
    Activate,
    /// `drain backend`
    Drain,
    /// `detach backend`
    Detach,
}

impl ChartNames for BackendEvent {
    const NAMES: &'static [(Self, &'static str)] =
        &[(Self::Activate, "activate"), (Self::Drain, "drain"), (Self::Detach, "detach")];
}

/// Life cycle state of a balancer or agent process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Waits for its first configuration.
    Starting,
    /// Handles flows.
    Serving,
    /// Winds down before it stops: an agent opens no new flows, a balancer answers no more echoes.
    Draining,
    /// The process may exit.
    Stopped,
}

impl ChartNames for ProcessState {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Starting, "starting"),
        (Self::Serving, "serving"),
        (Self::Draining, "draining"),
        (Self::Stopped, "stopped"),
    ];
}

/// An event in the life cycle of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// The first configuration was adopted.
    Configured,
    /// SIGTERM or SIGINT was received.
    StopRequested,
    /// No work is left, or the time for draining is over.
    Drained,
}

impl ChartNames for ProcessEvent {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Configured, "configured"),
        (Self::StopRequested, "stop_requested"),
        (Self::Drained, "drained"),
    ];
}

/// The state chart of a back end, from `charts/backend.toml`.
pub fn backend_chart() -> Result<TypedChart<BackendState, BackendEvent>, Findings> {
    TypedChart::parse("charts/backend.toml", include_str!("../../../charts/backend.toml"))
}

/// The state chart of a balancer process, from `charts/balancer.toml`.
pub fn balancer_chart() -> Result<TypedChart<ProcessState, ProcessEvent>, Findings> {
    TypedChart::parse("charts/balancer.toml", include_str!("../../../charts/balancer.toml"))
}

/// The state chart of an agent process, from `charts/agent.toml`.
pub fn agent_chart() -> Result<TypedChart<ProcessState, ProcessEvent>, Findings> {
    TypedChart::parse("charts/agent.toml", include_str!("../../../charts/agent.toml"))
}
