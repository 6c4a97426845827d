//! Signals: the first SIGTERM or SIGINT asks for a planned stop, a second one stops at once.

use anyhow::{Context, Result};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

const STOP_QUEUE: usize = 4;

/// Sends a message for each signal that asks the process to stop.
pub fn stop_requests() -> Result<mpsc::Receiver<()>> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot listen for SIGINT")?;
    let (sender, requests) = mpsc::channel(STOP_QUEUE);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if sender.send(()).await.is_err() {
                return;
            }
        }
    });
    Ok(requests)
}
