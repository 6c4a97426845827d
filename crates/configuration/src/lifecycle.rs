//! The life cycles that state charts describe: back ends, balancer and agent processes.

use loftdrift_charts::{ChartNames, TypedChart};
use loftdrift_findings::Findings;
use serde::{Deserialize, Serialize};

/// Where a back end stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// Takes new flows at a reduced share while it warms up.
    Joining,
    /// Takes new flows.
    Active,
    /// Takes no new flows and keeps those it has.
    Leaving,
    /// Out of the configuration.
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
    /// Whether the back end may open new flows.
    pub fn accepts_new_flows(self) -> bool {
        matches!(self, BackendState::Joining | BackendState::Active)
    }
}

/// An operator's command to a back end.
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

/// Where a balancer or agent process stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Waits for its first configuration.
    Starting,
    /// Does its work.
    Serving,
    /// Takes no new work and finishes what it has.
    Draining,
    /// May exit.
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

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// The first configuration is in force.
    Configured,
    /// SIGTERM or SIGINT.
    StopRequested,
    /// Nothing is left to finish.
    Drained,
}

impl ChartNames for ProcessEvent {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Configured, "configured"),
        (Self::StopRequested, "stop_requested"),
        (Self::Drained, "drained"),
    ];
}

/// The chart of a back end, from `charts/backend.toml`.
pub fn backend_chart() -> Result<TypedChart<BackendState, BackendEvent>, Findings> {
    TypedChart::parse("charts/backend.toml", include_str!("../../../charts/backend.toml"))
}

/// The chart of a balancer process, from `charts/balancer.toml`.
pub fn balancer_chart() -> Result<TypedChart<ProcessState, ProcessEvent>, Findings> {
    TypedChart::parse("charts/balancer.toml", include_str!("../../../charts/balancer.toml"))
}

/// The chart of an agent process, from `charts/agent.toml`.
pub fn agent_chart() -> Result<TypedChart<ProcessState, ProcessEvent>, Findings> {
    TypedChart::parse("charts/agent.toml", include_str!("../../../charts/agent.toml"))
}
