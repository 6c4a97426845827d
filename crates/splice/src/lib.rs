//! Tokio tasks that copy bytes between a [`SplicedFlow`](loftdrift_flow::SplicedFlow) and a socket
//! of the host.
//!
//! One task owns each socket. It takes [`SocketCommand`]s and reports [`SocketEvent`]s. The flow
//! limits the bytes that are queued for the socket, so the command channel stays short although it
//! is unbounded.

mod tcp;
mod udp;

use loftdrift_flow::{FlowId, SocketCommand, SocketEvent};
use std::net::SocketAddrV4;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// How a flow's socket is obtained.
#[derive(Debug)]
pub enum SocketSource {
    /// Open a TCP connection to this address.
    ConnectTcp(SocketAddrV4),
    /// Open a UDP socket connected to this address.
    ConnectUdp(SocketAddrV4),
    /// Use a connection that was accepted before.
    Accepted(TcpStream),
}

/// An event from one flow's socket task.
#[derive(Clone, Debug)]
pub struct FlowSocketEvent {
    /// The flow.
    pub flow: FlowId,
    /// What happened.
    pub event: SocketEvent,
}

/// Sends commands to one flow's socket task. Dropping it ends the task.
pub type CommandSender = mpsc::UnboundedSender<SocketCommand>;

/// Starts the task that owns a flow's socket. A TCP task waits for [`SocketCommand::Open`] before
/// it uses the connection.
pub fn spawn(
    flow: FlowId,
    source: SocketSource,
    events: mpsc::Sender<FlowSocketEvent>,
) -> CommandSender {
    let (sender, commands) = mpsc::unbounded_channel();
    let reporter = Reporter { flow, events };
    match source {
        SocketSource::ConnectTcp(server) => {
            tokio::spawn(tcp::connect_and_serve(server, commands, reporter));
        }
        SocketSource::ConnectUdp(server) => {
            tokio::spawn(udp::connect_and_serve(server, commands, reporter));
        }
        SocketSource::Accepted(stream) => {
            tokio::spawn(tcp::serve_accepted(stream, commands, reporter));
        }
    }
    sender
}

/// Reports a socket's events to the task that owns the flows.
#[derive(Clone, Debug)]
struct Reporter {
    flow: FlowId,
    events: mpsc::Sender<FlowSocketEvent>,
}

impl Reporter {
    /// Reports an event. Returns `false` if the receiver is gone.
    async fn report(&self, event: SocketEvent) -> bool {
        let event = FlowSocketEvent { flow: self.flow, event };
        self.events.send(event).await.is_ok()
    }
}
