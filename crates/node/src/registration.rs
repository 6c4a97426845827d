//! Keeps the node's entry in the shared store's list.
//!
//! An entry stands until its node takes it away or auditors do (`member_audit`); nothing is renewed, so
//! that calls do not grow with nodes and hours. A store that comes back from an older copy has lost the
//! entries that were written last: their nodes write them again when they hear of its new era, all others
//! when an auditor misses them, and all are back two seconds after its return.

use crate::backoff::Backoff;
use crate::command::NodeStatus;
use crate::member_list::{MemberListReader, Origin};
use crate::shared_store::{Consistency, Member, SharedStore, StoreFailure};
use rand::Rng;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// First pause after a failure, a few times what the store takes to answer.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Entries that could not be written are there two seconds after the store's return.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Nodes whose entries are missing write them within this time, not all at once. With what it takes to
/// notice the return and to compare the list, an entry is back within two seconds.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(600);
/// A copy is some seconds old: it holds entries that are older than this. Were one gone all the same, the
/// next audit would miss it.
const RECENT_ENTRY_AGE: Duration = Duration::from_secs(60);
/// A node that leaves for good waits so long for the store to take its entry away.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(250);

/// A node's entry and what is needed to keep it.
pub(crate) struct Registration<S> {
    pub(crate) lists: MemberListReader<S>,
    /// An auditor has not found the entry.
    pub(crate) entry_missing: mpsc::Receiver<()>,
    /// Tells the era that the node knows of.
    pub(crate) status: watch::Receiver<NodeStatus>,
}

/// Why the entry is written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RewriteCause {
    /// An auditor has not found it.
    EntryMissing,
    /// The store has come back from a copy that may be older.
    StoreRestored,
}

impl RewriteCause {
    fn name(self) -> &'static str {
        match self {
            RewriteCause::EntryMissing => "missed",
            RewriteCause::StoreRestored => "store_restored",
        }
    }
}

impl<S: SharedStore> Registration<S> {
    /// Keeps the entry until nobody listens.
    pub(crate) async fn run(mut self) {
        // No process of the system has run before a first start: there is no entry of an earlier one.
        let mut origin = self.register_with_retries(!self.lists.is_first_start).await;
        loop {
            let lists = self.lists.clone();
            let read = async {
                lists.read_until_complete(origin).await;
                std::future::pending().await
            };
            // Readings take seconds: an entry that is lost meanwhile does not wait for them.
            let cause = tokio::select! {
                cause = self.entry_lost(origin) => cause,
                () = read => None,
            };
            let Some(cause) = cause else { return };
            log::warn!(cause = cause.name(); "registration_missing");
            let fraction = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(MAX_REWRITE_DELAY.mul_f64(fraction)).await;
            origin = self.register_with_retries(false).await.rewritten();
        }
    }

    /// Waits until the entry may be gone; `None` while the process ends.
    async fn entry_lost(&mut self, origin: Origin) -> Option<RewriteCause> {
        let registered_at = Instant::now();
        let mut status = self.status.clone();
        let restored = async {
            let era = origin.era()?;
            status.wait_for(|status| status.configuration.position.era > era).await.ok()?;
            (registered_at.elapsed() < RECENT_ENTRY_AGE).then_some(RewriteCause::StoreRestored)
        };
        let missing =
            async { self.entry_missing.recv().await.map(|()| RewriteCause::EntryMissing) };
        tokio::select! {
            cause = missing => cause,
            Some(cause) = restored => Some(cause),
        }
    }

    /// Enters the node, however often that takes.
    async fn register_with_retries(&mut self, may_exist: bool) -> Origin {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let mut has_failed = false;
        loop {
            match self.register(may_exist).await {
                Ok(origin) => {
                    // Several auditors have told of the time without the entry.
                    while self.entry_missing.try_recv().is_ok() {}
                    return origin;
                }
                // Told once for as long as it lasts; the counters tell the rest.
                Err(failure) if !std::mem::replace(&mut has_failed, true) => {
                    let failure = failure.to_string();
                    log::warn!(failure = failure.as_str(); "registration_failed");
                }
                Err(_) => {}
            }
            backoff.wait().await;
        }
    }

    async fn register(&self, may_exist: bool) -> Result<Origin, StoreFailure> {
        if may_exist && self.entry_exists().await? {
            return Ok(Origin::Existing);
        }
        match self.lists.store.write_member(&self.lists.member).await {
            Ok(position) => Ok(Origin::Written(position)),
            // The list is read even where the entry cannot be written: nodes that start need it most.
            Err(failure) => {
                self.lists.read_any().await?;
                Err(failure)
            }
        }
    }

    /// Whether the entry that an earlier process of this node has left still stands.
    async fn entry_exists(&self) -> Result<bool, StoreFailure> {
        let member = &self.lists.member;
        match self.lists.store.read_member(member, Consistency::MayBeStale).await {
            Ok(found) => Ok(found.as_ref() == Some(member)),
            Err(StoreFailure::Gone) => Ok(false),
            Err(failure) => Err(failure),
        }
    }
}

/// Takes the entry of a node away that leaves for good: whoever starts later need not wait for it.
pub(crate) async fn deregister(store: impl SharedStore, member: &Member) {
    // Left to the auditors where the store does not answer.
    let removed = tokio::time::timeout(DEREGISTER_TIMEOUT, store.remove_member(member, None)).await;
    if !matches!(removed, Ok(Ok(_))) {
        log::warn!("registration_left_to_auditors");
    }
}
