//! Follows what operators write in the shared store: the configuration and evacuations.
//!
//! Reads it at the start. While the core says that this node is one of those that wait at the store,
//! reads it whole and waits for changes; whatever goes wrong, it reads it whole again. Otherwise, and
//! while the store is away, the node keeps what it has and hears of newer versions from its peers.

use crate::backoff::Backoff;
use crate::command::{Command, NodeStatus};
use crate::shared_store::{Consistency, SharedStore, StoreFailure};
use loftdrift_carried::{CarriedConfiguration, Position};
use rand::Rng;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// How long one wait for a change lasts at most. Short enough that one which a cut swallowed is
/// noticed before the configuration is late.
const MAX_WATCH_DURATION: Duration = Duration::from_secs(10);
/// Waits differ in length by as much, so that of several nodes one is answered every other second.
const MIN_WATCH_FRACTION: f64 = 0.4;
/// Changes that come in quick succession are taken together.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(120);
/// First pause after a failure, ten times what the store takes to answer.
const INITIAL_BACKOFF: Duration = Duration::from_millis(40);
/// A node without a configuration serves nobody: it tries again within a second.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Bits of a configuration of 1,500 routes as the store gives it.
const LARGE_CONFIGURATION_BITS: f64 = 3e6;

/// The time that reading a large configuration would take on a link: nodes with faster ones have it
/// by then, and give it in a tenth of the bytes.
pub(crate) fn initial_fetch_delay(link_bits_per_second: f64) -> Duration {
    Duration::from_secs_f64(LARGE_CONFIGURATION_BITS / link_bits_per_second)
}

/// What is needed to follow the store.
#[derive(Debug)]
pub struct ConfigurationFollower<S> {
    /// The store.
    pub store: S,
    /// What the core says of itself.
    pub status: watch::Receiver<NodeStatus>,
    /// The core's commands.
    pub commands: mpsc::Sender<Command>,
    /// Peers have so long to give a configuration before the store is asked for it at the start.
    pub initial_fetch_delay: Duration,
    /// Since when the store has not answered.
    pub unreachable_since: Option<Instant>,
}

impl<S: SharedStore> ConfigurationFollower<S> {
    /// Follows until nobody listens.
    pub async fn run(mut self) {
        self.read_initial().await;
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        while self.status.wait_for(|status| status.watches_store).await.is_ok() {
            match self.watch(&mut backoff).await {
                Ok(()) => {}
                // It answers: what was waited for is not there. All is read again.
                Err(StoreFailure::Gone | StoreFailure::Restored) => backoff.wait().await,
                Err(failure) => {
                    self.note_failure(&failure).await;
                    backoff.wait().await;
                }
            }
        }
    }

    /// Reads until a configuration is known, from the store or from a peer. What a peer gives is a
    /// tenth as long: an answer of the store that is still on its way then would only fill this machine's
    /// link.
    async fn read_initial(&mut self) {
        let mut status = self.status.clone();
        tokio::select! {
            _ = status.wait_for(|status| status.configuration.is_known()) => {}
            () = self.read_until_known() => {}
        }
    }

    /// An old configuration is as good at first: nodes that wait at the store tell of a newer one
    /// within a second. Where none is written yet, it is asked for at a tenth of the price of a newest one:
    /// 304 balancers that asked for the newest cost the store 1,200 calls in their first second.
    async fn read_until_known(&mut self) {
        tokio::time::sleep(self.initial_fetch_delay).await;
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        while !self.status.borrow().configuration.is_known() && !self.commands.is_closed() {
            match self.store.read_operator_state(Consistency::MayBeStale).await {
                Ok(state) => {
                    if let Some(document) = state.document() {
                        return self.adopt_configuration(document).await;
                    }
                }
                Err(failure) => self.note_failure(&failure).await,
            }
            backoff.wait().await;
        }
    }

    /// Reads and waits for as long as this node is to.
    async fn watch(&mut self, backoff: &mut Backoff) -> Result<(), StoreFailure> {
        let mut state = self.store.read_operator_state(Consistency::Latest).await?;
        let mut document_update = state.document();
        loop {
            backoff.reset();
            let has_update = document_update.is_some();
            if let Some(document) = document_update {
                self.adopt_configuration(document).await;
            }
            self.note_reachable(state.position).await;
            if has_update {
                tokio::time::sleep(CHANGE_BATCH_DELAY).await;
            }
            if !self.status.borrow().watches_store || self.commands.is_closed() {
                return Ok(());
            }
            let timeout =
                MAX_WATCH_DURATION.mul_f64(rand::rng().random_range(MIN_WATCH_FRACTION..1.0));
            let change = self.store.wait_for_change(state.position, timeout).await?;
            // A change in one history cannot be added to what was read in another.
            if change.position.era != state.position.era {
                return Ok(());
            }
            document_update = state.apply(change);
        }
    }

    async fn adopt_configuration(&self, document: CarriedConfiguration) {
        // Nobody listens only while the process ends.
        let _ = self.commands.send(Command::AdoptConfiguration(document)).await;
    }

    async fn note_reachable(&mut self, position: Position) {
        if let Some(unreachable_since) = self.unreachable_since.take() {
            let away_ms = unreachable_since.elapsed().as_millis() as u64;
            log::info!(dependency = "store", away_ms, position:%; "dependency_regained");
        }
        let _ = self.commands.send(Command::StoreReachable(true)).await;
    }

    async fn note_failure(&mut self, failure: &StoreFailure) {
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(Instant::now());
            let failure = failure.to_string();
            log::warn!(dependency = "store", failure = failure.as_str(); "dependency_lost");
        }
        let _ = self.commands.send(Command::StoreReachable(false)).await;
    }
}
