//! Requests the back end's health page when the agent starts, so that an agent whose process was
//! replaced does not have to wait for the next heartbeat.

use crate::command::{Command, NodeStatus};
use hyper::Method;
use loftdrift_http::HttpClient;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// A back end that is down refuses the connection or does not answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempts are limited because each request takes one of the back end's slots.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Requests the health page as soon as the configuration gives its path, unless the back end has
/// sent a heartbeat by then.
pub(crate) async fn check(
    backend: SocketAddrV4,
    mut status: watch::Receiver<NodeStatus>,
    commands: mpsc::Sender<Command>,
) {
    let client = HttpClient::new(backend.into(), REQUEST_TIMEOUT);
    for _ in 0..MAX_ATTEMPTS {
        let Some(path) = wait_for_path(&mut status).await else { return };
        if client.send_empty(Method::GET, &path).await.is_ok() {
            let _ = commands.send(Command::BackendHealth(true)).await;
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn wait_for_path(status: &mut watch::Receiver<NodeStatus>) -> Option<String> {
    let status = status.wait_for(|status| status.health_path.is_some()).await.ok()?;
    status.health_path.clone()
}
