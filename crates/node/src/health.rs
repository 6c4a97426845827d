//! Requests the back end's health page whenever the core needs to know whether the back end takes
//! flows: an agent whose process was replaced does not have to wait for heartbeats that are certain
//! to be current.

use crate::command::{Command, HealthCheck, NodeStatus};
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

/// Carries out the health checks that the core needs, until its task has ended.
pub(crate) async fn check_when_needed(
    backend: SocketAddrV4,
    mut status: watch::Receiver<NodeStatus>,
    commands: mpsc::Sender<Command>,
) {
    // A kept connection may belong to an earlier start of the back end.
    let client = HttpClient::without_connection_reuse(backend.into(), REQUEST_TIMEOUT);
    let mut last = None;
    while let Some(HealthCheck { number, path }) = next_check(&mut status, last).await {
        last = Some(number);
        if is_healthy(&client, &path, number, &status).await
            && commands.send(Command::BackendHealthy(number)).await.is_err()
        {
            return;
        }
    }
}

/// Waits for a health check other than the last one; `None` while the process ends.
async fn next_check(
    status: &mut watch::Receiver<NodeStatus>,
    last: Option<u32>,
) -> Option<HealthCheck> {
    let number = |status: &NodeStatus| status.health_check.as_ref().map(|check| check.number);
    let is_new = |status: &NodeStatus| number(status).is_some_and(|number| Some(number) != last);
    let status = status.wait_for(is_new).await.ok()?;
    status.health_check.clone()
}

/// Requests the health page until it answers favourably, a few times at most and only while the
/// core needs it.
async fn is_healthy(
    client: &HttpClient,
    path: &str,
    number: u32,
    status: &watch::Receiver<NodeStatus>,
) -> bool {
    let is_needed =
        || status.borrow().health_check.as_ref().is_some_and(|check| check.number == number);
    let mut delay = INITIAL_RETRY_DELAY;
    for _ in 0..MAX_ATTEMPTS {
        if !is_needed() {
            return false;
        }
        if client.send_empty(Method::GET, path).await.is_ok() {
            return true;
        }
        tokio::time::sleep(delay).await;
        delay *= 2;
    }
    false
}
