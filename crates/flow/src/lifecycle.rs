//! The flow's life cycle, as `charts/flow.toml` describes it.

use loftdrift_charts::{ChartNames, TypedChart};
use loftdrift_findings::Findings;

/// Where a flow stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowState {
    /// The TCP handshake is under way; no socket is open.
    Handshake,
    /// The handshake is done, the socket is being opened.
    Connecting,
    /// Both directions carry bytes.
    Open,
    /// The caller sends no more.
    CallerDone,
    /// The back end sends no more.
    BackendDone,
    /// Both have finished; last acknowledgements are under way.
    Closing,
    /// A reset is on its way to the caller.
    Resetting,
    /// Over; the flow may be forgotten.
    Gone,
}

impl ChartNames for FlowState {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Handshake, "handshake"),
        (Self::Connecting, "connecting"),
        (Self::Open, "open"),
        (Self::CallerDone, "caller_done"),
        (Self::BackendDone, "backend_done"),
        (Self::Closing, "closing"),
        (Self::Resetting, "resetting"),
        (Self::Gone, "gone"),
    ];
}

/// What happens to a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowEvent {
    /// The TCP handshake is done.
    Established,
    /// The socket is open.
    Connected,
    /// The caller's last byte was passed on.
    CallerFinished,
    /// The back end's last byte was passed on.
    BackendFinished,
    /// The socket failed.
    Failed,
    /// The flow's TCP connection is closed.
    Closed,
}

impl ChartNames for FlowEvent {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Established, "established"),
        (Self::Connected, "connected"),
        (Self::CallerFinished, "caller_finished"),
        (Self::BackendFinished, "backend_finished"),
        (Self::Failed, "failed"),
        (Self::Closed, "closed"),
    ];
}

/// The chart of a flow's life.
pub type FlowChart = TypedChart<FlowState, FlowEvent>;

/// Reads `charts/flow.toml`, which is built into the program.
pub fn flow_chart() -> Result<FlowChart, Findings> {
    TypedChart::parse("charts/flow.toml", include_str!("../../../charts/flow.toml"))
}
