//! What an agent asks of its embedder.

use loftdrift_flow::{FlowId, SocketCommand};
use loftdrift_wire::Transport;
use std::net::SocketAddrV4;

/// What the embedder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Transmit {
        /// To this address.
        to: SocketAddrV4,
        /// The datagram.
        datagram: Vec<u8>,
    },
    /// Start a socket task for a flow; it dials the back end at this address.
    StartSocket {
        /// The flow.
        flow: FlowId,
        /// The back end.
        server: SocketAddrV4,
        /// TCP or UDP.
        transport: Transport,
    },
    /// Try a TCP connection to the back end and report to [`Agent::handle_probe`].
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
    /// The flow is over; drop what belongs to it.
    Ended {
        /// The flow.
        flow: FlowId,
    },
}
