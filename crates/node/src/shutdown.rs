//! A planned stop: accept no new flows, keep running until no flow would be interrupted, then exit.

use crate::command::{Command, NodeStatus};
use anyhow::{Context, Result};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

/// The platform checks readiness a few times before it directs callers elsewhere.
const READINESS_DELAY: Duration = Duration::from_millis(1_200);
/// Part of the grace period kept free, so that the process exits before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// Waits for a stop signal, then until the node is drained or its grace period is nearly over.
/// Returns which of the two it was, for the log.
pub(crate) async fn wait_for_stop(
    grace: Duration,
    is_balancer: bool,
    commands: mpsc::Sender<Command>,
    mut status: watch::Receiver<NodeStatus>,
) -> Result<&'static str> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot listen for SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(grace_ms = grace.as_millis() as u64; "stop_requested");
    let _ = commands.send(Command::Drain).await;
    let drained = async {
        if is_balancer {
            tokio::time::sleep(READINESS_DELAY).await;
        }
        let _ = status.wait_for(|status| status.is_drained).await;
    };
    let outcome = tokio::time::timeout(grace.saturating_sub(EXIT_MARGIN), drained).await;
    Ok(if outcome.is_ok() { "drained" } else { "grace_over" })
}
