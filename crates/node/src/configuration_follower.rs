//! Follows what operators write to the shared store: the configuration and evacuations.
//!
//! Reads both when the process starts. While the core says that this node is one of those that
//! watch the store, reads them in full and then watches for changes; after any failure it reads
//! them in full again. Otherwise, and while the store is unreachable, the node keeps what it has
//! and receives newer versions from its peers.

use crate::backoff::Backoff;
use crate::command::{Command, NodeStatus};
use crate::shared_store::{Consistency, SharedStore, StoreFailure};
use loftdrift_carried::{CarriedConfiguration, Position};
use rand::Rng;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Short enough that a watch whose connection was lost silently is noticed before a new
/// configuration is overdue.
const MAX_WATCH_DURATION: Duration = Duration::from_secs(10);
/// Watches last between this fraction and all of [`MAX_WATCH_DURATION`], so that of several nodes
/// one gets an answer about every two seconds.
const MIN_WATCH_FRACTION: f64 = 0.4;
/// Delay after a change, so that changes in quick succession are read together.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(120);
/// Ten times the store's usual response time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(40);
/// A node without a configuration serves no caller, so it retries within a second.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Size of a configuration of 1,500 routes in the store's encoding.
const LARGE_CONFIGURATION_BITS: f64 = 3e6;

/// How long a node with a link of this bandwidth waits for its peers before it reads the store: the
/// time that a large configuration takes on the link. Nodes with faster links have read it by then
/// and send it in a tenth of the bytes.
pub(crate) fn initial_fetch_delay(link_bits_per_second: f64) -> Duration {
    Duration::from_secs_f64(LARGE_CONFIGURATION_BITS / link_bits_per_second)
}

/// The task that follows the store.
#[derive(Debug)]
pub struct ConfigurationFollower<S> {
    /// The store.
    pub store: S,
    /// The core's status.
    pub status: watch::Receiver<NodeStatus>,
    /// Commands to the core.
    pub commands: mpsc::Sender<Command>,
    /// How long peers have to send a configuration at the start before it is read from the store.
    pub initial_fetch_delay: Duration,
    /// When the store stopped answering; `None` while it answers.
    pub unreachable_since: Option<Instant>,
}

impl<S: SharedStore> ConfigurationFollower<S> {
    /// Follows the store until the core's task has ended.
    pub async fn run(mut self) {
        self.read_initial().await;
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        while self.status.wait_for(|status| status.watches_store).await.is_ok() {
            match self.watch(&mut backoff).await {
                Ok(()) => {}
                // The store does answer, but the watched revisions are gone: read in full again.
                Err(StoreFailure::Gone | StoreFailure::Restored) => backoff.wait().await,
                Err(failure) => {
                    self.note_failure(&failure).await;
                    backoff.wait().await;
                }
            }
        }
    }

    /// Reads until a configuration is known, from the store or from a peer. A read that is still in
    /// progress when a peer's snapshot arrives is cancelled: the store's answer is ten times as
    /// large and would only occupy this machine's link.
    async fn read_initial(&mut self) {
        let mut status = self.status.clone();
        tokio::select! {
            _ = status.wait_for(|status| status.configuration.is_known()) => {}
            () = self.read_until_known() => {}
        }
    }

    /// Reads the store until a configuration is known, accepting a stale one: nodes that watch the
    /// store report a newer version within a second. Stale reads cost the store a tenth of latest
    /// ones, which matters while no configuration has been written yet: 304 balancers that started
    /// with latest reads made 1,200 calls in their first second.
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

    /// Reads in full, then watches for as long as this node is to watch the store.
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
            // A change of one era cannot be applied to a state that was read in another.
            if change.position.era != state.position.era {
                return Ok(());
            }
            document_update = state.apply(change);
        }
    }

    async fn adopt_configuration(&self, document: CarriedConfiguration) {
        // Sending fails only while the process ends.
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
