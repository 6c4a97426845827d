//! Keeps the node's entry in the shared store's list.
//!
//! An entry stands until its node takes it away or auditors do (`member_audit`); nothing is renewed, so
//! that calls do not grow with nodes and hours. A store that comes back from an older copy has lost the
//! entries that were written last: their nodes write them again when they hear of its new era, all others
//! when an auditor misses them, and all are back two seconds after its return.

use crate::command::NodeStatus;
use crate::member_list::{Entered, ListReader};
use crate::pace::Pace;
use crate::shared_store::{Consistency, Member, SharedStore, StoreFailure};
use rand::Rng;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// First pause after a failure, a few times what the store takes to answer.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Entries that could not be written are there two seconds after the store's return.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Nodes whose entries are missing write them within this time, not all at once. With what it takes to
/// notice the return and to compare the list, an entry is back within two seconds.
const REWRITE_SPREAD: Duration = Duration::from_millis(600);
/// A copy is some seconds old: it holds entries that are older than this. Were one gone all the same, the
/// next audit would miss it.
const RECENT: Duration = Duration::from_secs(60);
/// A node that leaves for good waits so long for the store to take its entry away.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(250);

/// A node's entry and what is needed to keep it.
pub(crate) struct Registration<S> {
    pub(crate) lists: ListReader<S>,
    /// An auditor has not found the entry.
    pub(crate) missing: mpsc::Receiver<()>,
    /// Tells the era that the node knows of.
    pub(crate) status: watch::Receiver<NodeStatus>,
}

/// Why the entry is written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// An auditor has not found it.
    Missed,
    /// The store has come back from a copy that may be older.
    Restored,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Cause::Missed => "missed",
            Cause::Restored => "store_restored",
        }
    }
}

impl<S: SharedStore> Registration<S> {
    /// Keeps the entry until nobody listens.
    pub(crate) async fn keep(mut self) {
        // No process of the system has run before a first start: there is no entry of an earlier one.
        let mut entered = self.enter_at_last(!self.lists.is_first_start).await;
        loop {
            let lists = self.lists.clone();
            let reading = async {
                lists.read_until_whole(entered).await;
                std::future::pending().await
            };
            // Readings take seconds: an entry that is lost meanwhile does not wait for them.
            let cause = tokio::select! {
                cause = self.lost(entered) => cause,
                () = reading => None,
            };
            let Some(cause) = cause else { return };
            log::warn!(cause = cause.name(); "registration_missing");
            let share = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(REWRITE_SPREAD.mul_f64(share)).await;
            entered = self.enter_at_last(false).await.again();
        }
    }

    /// Waits until the entry may be gone; `None` while the process ends.
    async fn lost(&mut self, entered: Entered) -> Option<Cause> {
        let entered_at = Instant::now();
        let mut status = self.status.clone();
        let restored = async {
            let era = entered.era()?;
            status.wait_for(|status| status.configuration.position.era > era).await.ok()?;
            (entered_at.elapsed() < RECENT).then_some(Cause::Restored)
        };
        let missed = async { self.missing.recv().await.map(|()| Cause::Missed) };
        tokio::select! {
            cause = missed => cause,
            Some(cause) = restored => Some(cause),
        }
    }

    /// Enters the node, however often that takes.
    async fn enter_at_last(&mut self, may_stand: bool) -> Entered {
        let mut pace = Pace::new(FIRST_PAUSE, LONGEST_PAUSE);
        let mut has_failed = false;
        loop {
            match self.enter(may_stand).await {
                Ok(entered) => {
                    // Several auditors have told of the time without the entry.
                    while self.missing.try_recv().is_ok() {}
                    return entered;
                }
                // Told once for as long as it lasts; the counters tell the rest.
                Err(failure) if !std::mem::replace(&mut has_failed, true) => {
                    let failure = failure.to_string();
                    log::warn!(failure = failure.as_str(); "registration_failed");
                }
                Err(_) => {}
            }
            pace.pause().await;
        }
    }

    async fn enter(&self, may_stand: bool) -> Result<Entered, StoreFailure> {
        if may_stand && self.stands().await? {
            return Ok(Entered::Before);
        }
        match self.lists.store.write_member(&self.lists.member).await {
            Ok(position) => Ok(Entered::At(position)),
            // The list is read even where the entry cannot be written: nodes that start need it most.
            Err(failure) => {
                self.lists.read_any().await?;
                Err(failure)
            }
        }
    }

    /// Whether the entry that an earlier process of this node has left still stands.
    async fn stands(&self) -> Result<bool, StoreFailure> {
        let member = &self.lists.member;
        match self.lists.store.read_member(member, Consistency::MayBeStale).await {
            Ok(found) => Ok(found.as_ref() == Some(member)),
            Err(StoreFailure::Gone) => Ok(false),
            Err(failure) => Err(failure),
        }
    }
}

/// Takes the entry of a node away that leaves for good: whoever starts later need not wait for it.
pub(crate) async fn leave(store: impl SharedStore, member: &Member) {
    // Left to the auditors where the store does not answer.
    let removed = tokio::time::timeout(LEAVE_TIMEOUT, store.remove_member(member, None)).await;
    if !matches!(removed, Ok(Ok(_))) {
        log::warn!("registration_left_to_auditors");
    }
}
