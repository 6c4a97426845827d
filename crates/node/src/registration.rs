//! Keeps this node's entry in the shared store's member list.
//!
//! An entry stays until its node or an auditor (`member_audit`) removes it. Entries are not
//! renewed, so the number of calls does not grow with the nodes and the time they run. A store that
//! is restored from an older copy has lost the latest entries. Nodes that registered recently write
//! theirs again when they learn of the new era, all others when an auditor finds the entry missing;
//! all entries are back two seconds after the restore.

use crate::backoff::Backoff;
use crate::command::NodeStatus;
use crate::member_list::{MemberListReader, Origin};
use crate::shared_store::{Consistency, Member, SharedStore, StoreFailure};
use rand::Rng;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// A few times the store's usual response time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Entries that could not be written are in the list two seconds after the store answers again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Nodes whose entries are missing write them at random times within this delay, not all at once.
/// Together with the time to notice the restore and to audit the list, an entry is back within two
/// seconds.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(600);
/// The copy that a store is restored from is some seconds old, so it has the entries that are older
/// than this. If one is lost nevertheless, the next audit finds it missing.
const RECENT_ENTRY_AGE: Duration = Duration::from_secs(60);
/// How long a node that stops for good waits for the store to remove its entry.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(250);

/// The task that keeps this node's entry in the list.
pub(crate) struct Registration<S> {
    pub(crate) lists: MemberListReader<S>,
    /// Receives a message when an auditor has found the entry missing.
    pub(crate) entry_missing: mpsc::Receiver<()>,
    /// The core's status, with the store's era that the node knows of.
    pub(crate) status: watch::Receiver<NodeStatus>,
}

/// Why the entry is written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RewriteCause {
    /// An auditor found it missing.
    EntryMissing,
    /// The store was restored from a copy that may be older than the entry.
    StoreRestored,
}

impl RewriteCause {
    /// The cause as it appears in the log.
    fn name(self) -> &'static str {
        match self {
            RewriteCause::EntryMissing => "missed",
            RewriteCause::StoreRestored => "store_restored",
        }
    }
}

impl<S: SharedStore> Registration<S> {
    /// Keeps the entry until the core's task has ended.
    pub(crate) async fn run(mut self) {
        // On the system's first start there is no entry of an earlier process.
        let mut origin = self.register_with_retries(!self.lists.is_first_start).await;
        loop {
            let lists = self.lists.clone();
            let read = async {
                lists.read_until_complete(origin).await;
                std::future::pending().await
            };
            // Reading the lists can take seconds; a lost entry is written again without waiting.
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

    /// Waits until the entry may be lost; `None` while the process ends.
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

    /// Registers the node, with retries until it succeeds. With `may_exist`, an equal entry of an
    /// earlier process is kept.
    async fn register_with_retries(&mut self, may_exist: bool) -> Origin {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let mut has_failed = false;
        loop {
            match self.register(may_exist).await {
                Ok(origin) => {
                    log::info!(origin:? = origin; "registered");
                    // Several auditors may have reported the entry missing before it was written.
                    while self.entry_missing.try_recv().is_ok() {}
                    return origin;
                }
                // Logged once per registration; the counters show the further failures.
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
            return Ok(Origin::Found);
        }
        match self.lists.store.write_member(&self.lists.member).await {
            Ok(position) => Ok(Origin::Written(position)),
            // Read the lists even if the entry cannot be written: starting nodes need them most.
            Err(failure) => {
                self.lists.read_any().await?;
                Err(failure)
            }
        }
    }

    /// Whether the list still has an equal entry that an earlier process of this node wrote.
    async fn entry_exists(&self) -> Result<bool, StoreFailure> {
        let member = &self.lists.member;
        match self.lists.store.read_member(member, Consistency::MayBeStale).await {
            Ok(found) => Ok(found.as_ref() == Some(member)),
            Err(StoreFailure::Gone) => Ok(false),
            Err(failure) => Err(failure),
        }
    }
}

/// Removes the entry of a node that stops for good, so that nodes which start later do not wait
/// for it.
pub(crate) async fn deregister(store: impl SharedStore, member: &Member) {
    // If the store does not answer, the auditors remove the entry later.
    let removed = tokio::time::timeout(DEREGISTER_TIMEOUT, store.remove_member(member, None)).await;
    if !matches!(removed, Ok(Ok(_))) {
        log::warn!("registration_left_to_auditors");
    }
}
