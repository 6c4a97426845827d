//! Reads what operators have written once whenever the core asks for it: an agent does so for balancers that
//! the shared store refuses, a balancer when nobody tells it of the store.

use crate::command::Command;
use crate::shared_store::{Consistency, SharedStore};
use std::time::Duration;
use tokio::sync::mpsc;

/// Shortest time between two readings, whoever asks.
const PAUSE: Duration = Duration::from_millis(500);

/// Reads until nobody asks any more.
pub(crate) async fn read(
    store: impl SharedStore,
    mut asked: mpsc::Receiver<()>,
    commands: mpsc::Sender<Command>,
) {
    while asked.recv().await.is_some() {
        let answered = match store.read_operator_state(Consistency::Latest).await {
            Ok(state) => {
                if let Some(document) = state.document() {
                    // Nobody listens only while the process ends.
                    let _ = commands.send(Command::Adopt(document)).await;
                }
                true
            }
            Err(failure) => {
                let failure = failure.to_string();
                log::warn!(failure = failure.as_str(); "store_not_read");
                false
            }
        };
        let _ = commands.send(Command::StoreAnswers(answered)).await;
        tokio::time::sleep(PAUSE).await;
    }
}
