//! Reads the configuration once whenever the core asks for it: an agent does so for balancers that
//! the shared store refuses.

use crate::command::Command;
use crate::shared_store::SharedStore;
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
        // Whoever asks again later is told of a failure by its silence.
        if let Ok(change) = store.read_configuration().await
            && let Some(configuration) = change.configuration
        {
            let _ = commands.send(Command::Adopt(configuration)).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
}
