//! TCP flows that this process terminates itself, without I/O or clock.
//!
//! [`Endpoint`] wraps a `smoltcp` interface with one socket. Each flow has its own, so the cost of
//! a packet does not grow with the number of flows. [`SplicedFlow`] connects an endpoint to a
//! socket of the host and follows the state chart `charts/flow.toml`. Agents use it for flows that
//! callers open; the test stand-in for the fabric uses it for flows that it opens on behalf of
//! callers. [`FlowTable`] holds the flows of a process and their timers.

mod endpoint;
mod lifecycle;
mod splice;
mod table;

pub use endpoint::{Endpoint, EndpointSettings, Timestamps, tcp_checksum_is_valid};
pub use lifecycle::{FlowChart, FlowEvent, FlowState, flow_chart};
pub use splice::{SocketCommand, SocketEvent, SplicedFlow};
pub use table::{Flow, FlowId, FlowTable};
