//! A planned stop: take nothing new, go on until nothing would be cut, then end.

use crate::command::{Command, NodeStatus};
use anyhow::{Context, Result};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

/// The platform looks for readiness a few times before it turns callers away.
const READINESS_DELAY: Duration = Duration::from_millis(1_200);
/// Kept free of the grace, so that the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// Ends once the process has been asked to stop and has nothing left to do, or has no more time.
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
