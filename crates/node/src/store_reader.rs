//! Reads the operators' configuration and evacuations once whenever the core requests it. An agent
//! does so on behalf of balancers that the shared store refuses (a delegated store read); a
//! balancer does so when no other node confirms to it that the store is reachable.

use crate::command::Command;
use crate::shared_store::{Consistency, SharedStore};
use std::time::Duration;
use tokio::sync::mpsc;

/// Minimum time between two reads, however many are requested.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the store at each request until the request channel is closed.
pub(crate) async fn run(
    store: impl SharedStore,
    mut requests: mpsc::Receiver<()>,
    commands: mpsc::Sender<Command>,
) {
    while requests.recv().await.is_some() {
        let is_reachable = match store.read_operator_state(Consistency::Latest).await {
            Ok(state) => {
                if let Some(document) = state.document() {
                    // Sending fails only while the process ends.
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
