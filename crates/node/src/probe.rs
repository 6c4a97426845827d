//! Probes whether a process listens on the back end's TCP port.

use crate::command::Command;
use loftdrift_carried::ProbeOutcome;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// A closed port on the same machine refuses at once. One that does not answer may have a full
/// accept queue.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Tries to connect whenever the core requests it.
pub(crate) async fn run(
    mut requests: mpsc::Receiver<SocketAddrV4>,
    commands: mpsc::Sender<Command>,
) {
    while let Some(backend) = requests.recv().await {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(backend)).await;
        let outcome = match connected {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
            Ok(_) => ProbeOutcome::NotRefused,
            Err(_) => ProbeOutcome::TimedOut,
        };
        if commands.send(Command::ProbeFinished(outcome)).await.is_err() {
            return;
        }
    }
}
