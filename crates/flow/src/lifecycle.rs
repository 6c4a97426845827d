//! The states and events of a TCP flow. The transitions are in `charts/flow.toml`.

use loftdrift_charts::{ChartNames, TypedChart};
use loftdrift_findings::Findings;

/// State of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowState {
    /// The TCP handshake is under way; no socket is open.
    Handshake,
    /// The handshake is done; the socket is being opened.
    Connecting,
    /// Both directions carry bytes.
    Open,
    /// The caller has finished sending; the back end may still send.
    CallerDone,
    /// The back end has finished sending; the caller may still send.
    BackendDone,
    /// Both sides have finished sending; the last acknowledgements are outstanding.
    Closing,
    /// A reset is being sent to the caller.
    Resetting,
    /// Ended: the flow can be removed.
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

/// Event of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowEvent {
    /// The TCP handshake is done.
    Established,
    /// The socket is open.
    Connected,
    /// The caller's last byte and end of stream were forwarded to the socket.
    CallerFinished,
    /// The back end's last byte and end of stream were forwarded to the caller.
    BackendFinished,
    /// The socket failed or could not be opened.
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

/// The state chart of a flow.
pub type FlowChart = TypedChart<FlowState, FlowEvent>;

/// Parses `charts/flow.toml`, which is compiled into the program.
pub fn flow_chart() -> Result<FlowChart, Findings> {
    TypedChart::parse("charts/flow.toml", include_str!("../../../charts/flow.toml"))
}
