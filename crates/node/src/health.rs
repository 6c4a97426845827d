//! Asks the back end for its health once at the start, so that an agent whose process was replaced
//! need not wait for the next heartbeat.

use crate::command::{Command, NodeStatus};
use hyper::Method;
use loftdrift_http::HttpClient;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Longest wait for an answer; a back end that is down refuses or says nothing.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Most questions; each takes a slot of the back end.
const MOST_QUESTIONS: u32 = 3;
const PAUSE: Duration = Duration::from_millis(100);

/// Asks as soon as the path is known, unless the back end has spoken by then.
pub(crate) async fn ask(
    backend: SocketAddrV4,
    mut status: watch::Receiver<NodeStatus>,
    commands: mpsc::Sender<Command>,
) {
    let client = HttpClient::new(backend.into(), TIMEOUT);
    for _ in 0..MOST_QUESTIONS {
        let Some(path) = wait_for_path(&mut status).await else { return };
        if client.send_empty(Method::GET, &path).await.is_ok() {
            let _ = commands.send(Command::Health(true)).await;
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn wait_for_path(status: &mut watch::Receiver<NodeStatus>) -> Option<String> {
    let known = status.wait_for(|status| status.health_path.is_some()).await.ok()?;
    known.health_path.clone()
}
