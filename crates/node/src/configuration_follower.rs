//! Follows what operators write in the shared store: the configuration and evacuations.
//!
//! Reads it at the start. While the core says that this node is one of those that wait at the store,
//! reads it whole and waits for changes; whatever goes wrong, it reads it whole again. Otherwise, and
//! while the store is away, the node keeps what it has and hears of newer versions from its peers.

use crate::command::{Command, NodeStatus};
use crate::pace::Pace;
use crate::shared_store::{Consistency, SharedStore, StoreFailure};
use loftdrift_carried::{CarriedConfiguration, Position};
use rand::Rng;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// How long one wait for a change lasts at most. Short enough that one which a cut swallowed is
/// noticed before the configuration is late.
const WAIT: Duration = Duration::from_secs(10);
/// Waits differ in length by as much, so that of several nodes one is answered every other second.
const SHORTEST_WAIT: f64 = 0.4;
/// Changes that come in quick succession are taken together.
const SETTLE: Duration = Duration::from_millis(120);
/// First pause after a failure, ten times what the store takes to answer.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// A node without a configuration serves nobody: it tries again within a second.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Bits of a configuration of 1,500 routes as the store gives it.
const LARGE_CONFIGURATION_BITS: f64 = 3e6;

/// The time that reading a large configuration would take on a link: nodes with faster ones have it
/// by then, and give it in a tenth of the bytes.
pub(crate) fn head_start(link_bits_a_second: f64) -> Duration {
    Duration::from_secs_f64(LARGE_CONFIGURATION_BITS / link_bits_a_second)
}

/// What is needed to follow the store.
#[derive(Debug)]
pub struct Follower<S> {
    /// The store.
    pub store: S,
    /// What the core says of itself.
    pub status: watch::Receiver<NodeStatus>,
    /// The core's commands.
    pub commands: mpsc::Sender<Command>,
    /// Peers have so long to give a configuration before the store is asked for it at the start.
    pub head_start: Duration,
    /// Since when the store has not answered.
    pub lost_at: Option<Instant>,
}

impl<S: SharedStore> Follower<S> {
    /// Follows until nobody listens.
    pub async fn follow(mut self) {
        self.read_first().await;
        let mut pace = Pace::new(FIRST_PAUSE, LONGEST_PAUSE);
        while self.status.wait_for(|status| status.watches_store).await.is_ok() {
            match self.watch(&mut pace).await {
                Ok(()) => {}
                // It answers: what was waited for is not there. All is read again.
                Err(StoreFailure::Gone | StoreFailure::Restored) => pace.pause().await,
                Err(failure) => {
                    self.note_failure(&failure).await;
                    pace.pause().await;
                }
            }
        }
    }

    /// Reads until a configuration is known, from the store or from a peer. What a peer gives is a
    /// tenth as long: an answer of the store that is still on its way then would only fill this machine's
    /// link.
    async fn read_first(&mut self) {
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
        tokio::time::sleep(self.head_start).await;
        let mut pace = Pace::new(FIRST_PAUSE, LONGEST_PAUSE);
        while !self.status.borrow().configuration.is_known() && !self.commands.is_closed() {
            match self.store.read_operator_state(Consistency::MayBeStale).await {
                Ok(state) => {
                    if let Some(document) = state.document() {
                        return self.adopt(document).await;
                    }
                }
                Err(failure) => self.note_failure(&failure).await,
            }
            pace.pause().await;
        }
    }

    /// Reads and waits for as long as this node is to.
    async fn watch(&mut self, pace: &mut Pace) -> Result<(), StoreFailure> {
        let mut state = self.store.read_operator_state(Consistency::Latest).await?;
        let mut news = state.document();
        loop {
            pace.reset();
            let is_news = news.is_some();
            if let Some(document) = news {
                self.adopt(document).await;
            }
            self.note_answer(state.position).await;
            if is_news {
                tokio::time::sleep(SETTLE).await;
            }
            if !self.status.borrow().watches_store || self.commands.is_closed() {
                return Ok(());
            }
            let patience = WAIT.mul_f64(rand::rng().random_range(SHORTEST_WAIT..1.0));
            let change = self.store.wait_for_change(state.position, patience).await?;
            // A change in one history cannot be added to what was read in another.
            if change.position.era != state.position.era {
                return Ok(());
            }
            news = state.take(change);
        }
    }

    async fn adopt(&self, document: CarriedConfiguration) {
        // Nobody listens only while the process ends.
        let _ = self.commands.send(Command::Adopt(document)).await;
    }

    async fn note_answer(&mut self, position: Position) {
        if let Some(lost_at) = self.lost_at.take() {
            let away_ms = lost_at.elapsed().as_millis() as u64;
            log::info!(dependency = "store", away_ms, position:%; "dependency_regained");
        }
        let _ = self.commands.send(Command::StoreAnswers(true)).await;
    }

    async fn note_failure(&mut self, failure: &StoreFailure) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            let failure = failure.to_string();
            log::warn!(dependency = "store", failure = failure.as_str(); "dependency_lost");
        }
        let _ = self.commands.send(Command::StoreAnswers(false)).await;
    }
}
