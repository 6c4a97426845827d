//! Requests the back end's health page when an agent has started: the agent does not have to wait for
//! heartbeats that are certain to be current.

use crate::command::{Command, NodeStatus};
use hyper::Method;
use loftdrift_http::HttpClient;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// A back end that is down refuses the connection or does not answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempts are limited because each request takes one of the back end's slots.
const MAX_ATTEMPTS: u32 = 5;
/// Delay before the second attempt; it doubles with each further one. Without a favourable answer
/// the core relies on heartbeats after 5 s.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Requests the health page while the core needs its answer, a few times at most: it counts only
/// while the process is young.
pub(crate) async fn check_when_needed(
    backend: SocketAddrV4,
    mut status: watch::Receiver<NodeStatus>,
    commands: mpsc::Sender<Command>,
) {
    // A kept connection may belong to an earlier start of the back end.
    let client = HttpClient::without_connection_reuse(backend.into(), REQUEST_TIMEOUT);
    let mut delay = INITIAL_RETRY_DELAY;
    for _ in 0..MAX_ATTEMPTS {
        let Some(path) = needed_page(&mut status).await else { return };
        if client.send_empty(Method::GET, &path).await.is_ok() {
            // Sending fails only while the process ends.
            let _ = commands.send(Command::BackendHealthy).await;
            return;
        }
        tokio::time::sleep(delay).await;
        delay *= 2;
    }
}

/// Waits until the health page's answer is needed and returns its path; `None` while the process
/// ends.
async fn needed_page(status: &mut watch::Receiver<NodeStatus>) -> Option<String> {
    let status = status.wait_for(|status| status.health_check.is_some()).await.ok()?;
    status.health_check.clone()
}
