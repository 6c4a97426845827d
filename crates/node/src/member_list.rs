//! Learns the other nodes from the shared store's member list.
//!
//! A list counts as complete only if it is at least as new as this node's own entry. Of two nodes
//! that start at the same time, at least one then learns of the other and contacts it.

use crate::backoff::Backoff;
use crate::command::{Command, MemberUpdate};
use crate::shared_store::{Consistency, Member, MemberList, SharedStore, StoreFailure};
use loftdrift_carried::{NodeRole, Position};
use std::time::Duration;
use tokio::sync::mpsc;

/// Delays before a possibly stale list is read again because it does not include this node's entry
/// yet. Stale lists are two to three seconds old.
const STALE_LIST_RETRY_DELAYS: [Duration; 2] =
    [Duration::from_millis(1_500), Duration::from_millis(3_500)];
/// A few times the store's usual response time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// How this process's entry got into the member list.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Origin {
    /// It was written at this position.
    Written(Position),
    /// It was written again because the store had lost it. A stale list may still show the earlier
    /// entry.
    Rewritten(Position),
}

impl Origin {
    /// The position of the write.
    pub(crate) fn position(self) -> Position {
        match self {
            Origin::Written(position) | Origin::Rewritten(position) => position,
        }
    }
}

/// Reads the member lists of the roles with which this node exchanges messages.
#[derive(Clone, Debug)]
pub(crate) struct MemberListReader<S> {
    pub(crate) store: S,
    pub(crate) member: Member,
    pub(crate) commands: mpsc::Sender<Command>,
    /// Whether the system is started for the first time, so that no flow exists yet.
    pub(crate) is_first_start: bool,
}

impl<S: SharedStore> MemberListReader<S> {
    /// Reads the lists, with retries, until they name every node that registered before this one.
    pub(crate) async fn read_until_complete(&self, origin: Origin) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        // Failures are counted by `CountedStore` and logged by the tasks that watch or write.
        while self.read_complete(origin).await.is_err() && !self.commands.is_closed() {
            backoff.wait().await;
        }
    }

    /// Reads the lists once, accepting stale ones.
    pub(crate) async fn read_any(&self) -> Result<(), StoreFailure> {
        self.read(Consistency::MayBeStale, None).await.map(drop)
    }

    async fn read_complete(&self, origin: Origin) -> Result<(), StoreFailure> {
        let written_at = match origin {
            Origin::Rewritten(_) => return self.read(Consistency::Latest, None).await.map(drop),
            Origin::Written(position) => Some(position),
        };
        // Until a balancer has the complete list, it never reports to a caller that no agent owns
        // its flow. That may take seconds only where no earlier flows can exist.
        let may_retry_stale = self.is_first_start || self.member.role == NodeRole::Agent;
        let mut is_complete = self.read(Consistency::MayBeStale, written_at).await?;
        let retry_delays: &[Duration] =
            if may_retry_stale { &STALE_LIST_RETRY_DELAYS } else { &[] };
        for delay in retry_delays {
            if is_complete {
                return Ok(());
            }
            tokio::time::sleep(*delay).await;
            is_complete = self.read(Consistency::MayBeStale, written_at).await?;
        }
        if !is_complete {
            self.read(Consistency::Latest, None).await?;
        }
        Ok(())
    }

    /// Reads the lists; returns whether they are complete.
    async fn read(
        &self,
        consistency: Consistency,
        written_at: Option<Position>,
    ) -> Result<bool, StoreFailure> {
        let mut lists = vec![self.store.read_members(NodeRole::Balancer, consistency).await?];
        // Agents do not exchange messages with each other.
        if self.member.role == NodeRole::Balancer {
            lists.push(self.store.read_members(NodeRole::Agent, consistency).await?);
        }
        let includes_own =
            written_at.is_some_and(|at| lists.iter().all(|list| includes_all_until(list, at)));
        let is_complete = consistency == Consistency::Latest || includes_own;
        let entries = lists.iter().flat_map(|list| &list.entries);
        let members = entries.map(|entry| (entry.member.address, entry.member.role)).collect();
        // Sending fails only while the process ends.
        let _ =
            self.commands.send(Command::LearnMembers(MemberUpdate { members, is_complete })).await;
        Ok(is_complete)
    }
}

/// Whether a possibly stale list includes every entry written up to `position`. After a restore of
/// the store, a stale list may still be from before it, where revisions stand for other writes.
fn includes_all_until(list: &MemberList, position: Position) -> bool {
    !position.follows_restore() && list.position >= position
}
