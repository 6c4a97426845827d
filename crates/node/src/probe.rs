//! Finds out whether anybody listens at the back end's port.

use crate::command::Command;
use loftdrift_carried::ProbeOutcome;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// A port on the same machine refuses at once; one that says nothing may be behind a full queue.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Tries to connect whenever the core asks for it.
pub(crate) async fn run(
    mut requests: mpsc::Receiver<SocketAddrV4>,
    commands: mpsc::Sender<Command>,
) {
    while let Some(backend) = requests.recv().await {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(backend)).await;
        let outcome = match connected {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
            Ok(_) => ProbeOutcome::MayLive,
            Err(_) => ProbeOutcome::Unanswered,
        };
        if commands.send(Command::ProbeFinished(outcome)).await.is_err() {
            return;
        }
    }
}
