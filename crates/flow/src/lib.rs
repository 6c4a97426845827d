//! One TCP flow that this process ends itself, without I/O or clock.
//!
//! [`Endpoint`] wraps a `smoltcp` interface with one socket: each flow has its own, so a packet's
//! cost does not grow with the number of flows. [`SplicedFlow`] joins an endpoint to a socket of
//! the host and follows the state chart `charts/flow.toml`; agents use it for flows that callers
//! open, the fabric stand-in for flows that it opens on behalf of callers.
//! [`FlowTable`] keeps the flows of a process with their wake-ups.

mod endpoint;
mod lifecycle;
mod splice;
mod table;

pub use endpoint::{Endpoint, EndpointSettings, Timestamps, tcp_checksum_is_valid};
pub use lifecycle::{FlowChart, FlowEvent, FlowState, flow_chart};
pub use splice::{SocketCommand, SocketEvent, SplicedFlow};
pub use table::{Flow, FlowId, FlowTable};
