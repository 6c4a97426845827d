//! Outputs of the agent's core, which the embedder carries out.

use loftdrift_flow::{FlowId, SocketCommand};
use loftdrift_wire::Transport;
use std::net::SocketAddrV4;

/// An action for the embedder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Transmit {
        /// Destination address.
        to: SocketAddrV4,
        /// The datagram.
        datagram: Vec<u8>,
    },
    /// Start a socket task for a flow. The task connects to the back end at this address.
    StartSocket {
        /// The flow.
        flow: FlowId,
        /// The back end.
        server: SocketAddrV4,
        /// TCP or UDP.
        transport: Transport,
    },
    /// Open an idle TCP connection to the back end, in place of any earlier one. Report to
    /// [`Agent::handle_health_check`](crate::Agent::handle_health_check) when it is accepted, and
    /// when it is refused or ends.
    OpenHealthCheck {
        /// The back end.
        server: SocketAddrV4,
    },
    /// Pass a command to a flow's socket task.
    Socket {
        /// The flow.
        flow: FlowId,
        /// The command.
        command: SocketCommand,
    },
    /// The flow has ended: drop its socket task.
    Ended {
        /// The flow.
        flow: FlowId,
    },
}
