//! Keeps this node's entry in the shared store's member list.
//!
//! An entry stays until its node or an auditor (`member_audit`) removes it. Entries are not
//! renewed, so the number of calls does not grow with the nodes and the time they run.
//!
//! Each process writes the entry, also if it finds one: a read may be older than the removal by an
//! earlier process, and a removal that its caller gave up may still be carried out. Every removal
//! is conditioned on the revision of the entry that it means, so it never removes a later one.
//!
//! A store that is restored from an older copy has lost the latest entries. Nodes that registered
//! recently write theirs again when they learn of the new era, all others when an auditor finds the
//! entry missing; all entries are back two seconds after the restore.

use crate::backoff::Backoff;
use crate::command::NodeStatus;
use crate::member_list::{MemberListReader, Origin};
use crate::shared_store::{Member, SharedStore, StoreFailure};
use loftdrift_carried::Position;
use rand::Rng;
use std::pin::pin;
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
/// A write that takes longer does not delay the first read of the lists: nodes that start need them
/// most.
const PROMPT_WRITE: Duration = Duration::from_millis(60);
/// How long a node that stops for good waits for the store to remove its entry.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(250);

/// The task that keeps this node's entry in the list.
pub(crate) struct Registration<S> {
    pub(crate) lists: MemberListReader<S>,
    /// Receives a message when an auditor has found the entry missing.
    pub(crate) entry_missing: mpsc::Receiver<()>,
    /// The core's status, with the store's era that the node knows of.
    pub(crate) status: watch::Receiver<NodeStatus>,
    /// Publishes the position at which this process last wrote the entry.
    pub(crate) written: watch::Sender<Option<Position>>,
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
        let mut origin = Origin::Written(self.register_with_retries().await);
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
            origin = Origin::Rewritten(self.register_with_retries().await);
        }
    }

    /// Waits until the entry may be lost; `None` while the process ends.
    async fn entry_lost(&mut self, origin: Origin) -> Option<RewriteCause> {
        let registered_at = Instant::now();
        let mut status = self.status.clone();
        let restored = async {
            let era = origin.position().era;
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

    /// Writes the entry, with retries until it succeeds; returns the position of the write.
    async fn register_with_retries(&mut self) -> Position {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let mut has_failed = false;
        loop {
            match self.register().await {
                Ok(position) => {
                    log::info!(position:%; "registered");
                    self.written.send_replace(Some(position));
                    // Several auditors may have reported the entry missing before it was written.
                    while self.entry_missing.try_recv().is_ok() {}
                    return position;
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

    /// Writes the entry once. If that takes long or fails, reads the lists nevertheless.
    async fn register(&self) -> Result<Position, StoreFailure> {
        let mut write = pin!(self.lists.store.write_member(&self.lists.member));
        let (written, read) = match tokio::time::timeout(PROMPT_WRITE, &mut write).await {
            Ok(written @ Ok(_)) => (written, Ok(())),
            Ok(written) => (written, self.lists.read_any().await),
            Err(_) => tokio::join!(write, self.lists.read_any()),
        };
        // A failed read is reported first: it shows that the store is out of reach.
        if written.is_err() {
            read?;
        }
        written
    }
}

/// Removes the entry of a node that stops for good, so that nodes which start later do not wait
/// for it. `written` is the position at which this process wrote the entry.
pub(crate) async fn deregister(
    store: impl SharedStore,
    member: &Member,
    written: Option<Position>,
) {
    let remove = async { Some(store.remove_member(member, written?.revision).await) };
    // If the store does not answer, the auditors remove the entry later.
    let removed = tokio::time::timeout(DEREGISTER_TIMEOUT, remove).await;
    if !matches!(removed, Ok(Some(Ok(_)))) {
        log::warn!("registration_left_to_auditors");
    }
}
