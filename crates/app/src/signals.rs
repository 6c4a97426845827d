//! Signals: the first SIGTERM or SIGINT requests a graceful stop, a second one an immediate stop.

use anyhow::{Context, Result};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

const STOP_QUEUE_CAPACITY: usize = 4;

/// Returns a channel that receives a message for each SIGTERM or SIGINT.
pub fn stop_requests() -> Result<mpsc::Receiver<()>> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot listen for SIGINT")?;
    let (sender, requests) = mpsc::channel(STOP_QUEUE_CAPACITY);
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
