//! Reads what operators have written once whenever the core asks for it: an agent does so for balancers that
//! the shared store refuses, a balancer when nobody tells it of the store.

use crate::command::Command;
use crate::shared_store::{Consistency, SharedStore};
use std::time::Duration;
use tokio::sync::mpsc;

/// Shortest time between two readings, whoever asks.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Reads until nobody asks any more.
pub(crate) async fn run(
    store: impl SharedStore,
    mut requests: mpsc::Receiver<()>,
    commands: mpsc::Sender<Command>,
) {
    while requests.recv().await.is_some() {
        let is_reachable = match store.read_operator_state(Consistency::Latest).await {
            Ok(state) => {
                if let Some(document) = state.document() {
                    // Nobody listens only while the process ends.
                    let _ = commands.send(Command::AdoptConfiguration(document)).await;
                }
                true
            }
            Err(failure) => {
                let failure = failure.to_string();
                log::warn!(failure = failure.as_str(); "store_not_read");
                false
            }
        };
        let _ = commands.send(Command::StoreReachable(is_reachable)).await;
        tokio::time::sleep(MIN_READ_INTERVAL).await;
    }
}
