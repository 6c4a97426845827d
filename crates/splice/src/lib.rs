//! tokio tasks that carry bytes between a spliced flow and a socket of the host.
//!
//! One task owns each socket. It takes [`SocketCommand`]s and reports [`SocketEvent`]s; the flow's
//! own window bounds what is under way, so the command channel stays short.

mod tcp;
mod udp;

use loftdrift_flow::{FlowId, SocketCommand, SocketEvent};
use std::net::SocketAddrV4;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Where a flow's socket comes from.
#[derive(Debug)]
pub enum SocketSource {
    /// TCP to this address.
    ConnectTcp(SocketAddrV4),
    /// UDP to this address.
    ConnectUdp(SocketAddrV4),
    /// A connection that was accepted.
    Accepted(TcpStream),
}

/// A report of one flow's socket task.
#[derive(Clone, Debug)]
pub struct FlowSocketEvent {
    /// The flow.
    pub flow: FlowId,
    /// What happened.
    pub event: SocketEvent,
}

/// Sends commands to one flow's socket task; dropping it ends the task.
pub type CommandSender = mpsc::UnboundedSender<SocketCommand>;

/// Starts the task that owns a flow's socket. It waits for [`SocketCommand::Open`].
pub fn spawn(
    flow: FlowId,
    source: SocketSource,
    events: mpsc::Sender<FlowSocketEvent>,
) -> CommandSender {
    let (sender, commands) = mpsc::unbounded_channel();
    let reporter = Reporter { flow, events };
    match source {
        SocketSource::ConnectTcp(server) => {
            tokio::spawn(tcp::dial(server, commands, reporter));
        }
        SocketSource::ConnectUdp(server) => {
            tokio::spawn(udp::dial(server, commands, reporter));
        }
        SocketSource::Accepted(stream) => {
            tokio::spawn(tcp::accepted(stream, commands, reporter));
        }
    }
    sender
}

/// Reports to the task that owns the flows.
#[derive(Clone, Debug)]
struct Reporter {
    flow: FlowId,
    events: mpsc::Sender<FlowSocketEvent>,
}

impl Reporter {
    /// Reports an event; `false` when nobody listens any more.
    async fn report(&self, event: SocketEvent) -> bool {
        let event = FlowSocketEvent { flow: self.flow, event };
        self.events.send(event).await.is_ok()
    }
}
