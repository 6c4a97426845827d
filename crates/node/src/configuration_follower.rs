//! Follows the configuration in the shared store.
//!
//! Reads it whole, then waits for changes; whatever goes wrong, it reads it whole again. While the
//! store is away the node keeps what it has and hears of newer versions from its peers.

use crate::command::Command;
use crate::pace::Pace;
use crate::shared_store::{SharedStore, StoreFailure};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// How long one wait for a change lasts. Short enough that one which a cut swallowed is noticed
/// before the configuration is late.
const WAIT: Duration = Duration::from_secs(10);
/// Changes that come in quick succession are taken together.
const SETTLE: Duration = Duration::from_millis(120);
const FIRST_PAUSE: Duration = Duration::from_millis(40);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Follows until nobody listens.
pub(crate) async fn follow(store: impl SharedStore, commands: mpsc::Sender<Command>) {
    let mut pace = Pace::new(FIRST_PAUSE, LONGEST_PAUSE);
    let mut lost_at: Option<Instant> = None;
    loop {
        let started = Instant::now();
        let Err(failure) = read_and_wait(&store, &commands, &mut pace, &mut lost_at).await else {
            return;
        };
        if lost_at.is_none() {
            lost_at = Some(started);
            let failure = failure.to_string();
            log::warn!(dependency = "store", failure = failure.as_str(); "dependency_lost");
            let _ = commands.send(Command::StoreAnswers(false)).await;
        }
        pace.pause().await;
    }
}

async fn read_and_wait(
    store: &impl SharedStore,
    commands: &mpsc::Sender<Command>,
    pace: &mut Pace,
    lost_at: &mut Option<Instant>,
) -> Result<(), StoreFailure> {
    let mut change = store.read_configuration().await?;
    loop {
        if let Some(lost_at) = lost_at.take() {
            let away_ms = lost_at.elapsed().as_millis() as u64;
            log::info!(dependency = "store", away_ms; "dependency_regained");
            let _ = commands.send(Command::StoreAnswers(true)).await;
        }
        pace.reset();
        if let Some(configuration) = change.configuration {
            if commands.send(Command::Adopt(configuration)).await.is_err() {
                return Ok(());
            }
            tokio::time::sleep(SETTLE).await;
        }
        change = store.wait_configuration(change.revision, WAIT).await?;
    }
}
