//! Learns the other nodes from the shared store's list.
//!
//! A list counts as whole only when it is no older than the own entry: of two nodes that start together at
//! least one then learns of the other, and tells it.

use crate::backoff::Backoff;
use crate::command::{Command, MemberUpdate};
use crate::shared_store::{Consistency, Member, MemberList, SharedStore, StoreFailure};
use loftdrift_carried::{NodeRole, Position};
use std::time::Duration;
use tokio::sync::mpsc;

/// Pauses between readings of lists that may be old, until they have the own entry: such lists are
/// two to three seconds old.
const STALE_LIST_RETRY_DELAYS: [Duration; 2] =
    [Duration::from_millis(1_500), Duration::from_millis(3_500)];
/// First pause after a failure, a few times what the store takes to answer.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// How a node came to stand in the list.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Origin {
    /// An earlier process has left the entry.
    Existing,
    /// Written there for the first time.
    Written(Position),
    /// Written there again, the store having lost it: an old list may show the one before.
    Rewritten(Position),
}

impl Origin {
    /// The same entry, written once more.
    pub(crate) fn rewritten(self) -> Self {
        match self {
            Origin::Existing => Origin::Existing,
            Origin::Written(position) | Origin::Rewritten(position) => Origin::Rewritten(position),
        }
    }

    /// The era of the store in which this process has written the entry.
    pub(crate) fn era(self) -> Option<u64> {
        match self {
            Origin::Existing => None,
            Origin::Written(position) | Origin::Rewritten(position) => Some(position.era),
        }
    }
}

/// Reads the lists of those that a node speaks with.
#[derive(Clone, Debug)]
pub(crate) struct MemberListReader<S> {
    pub(crate) store: S,
    pub(crate) member: Member,
    pub(crate) commands: mpsc::Sender<Command>,
    /// No process of the system has run before: there is no flow.
    pub(crate) is_first_start: bool,
}

impl<S: SharedStore> MemberListReader<S> {
    /// Reads lists until they name every node that was entered before this one, however often that
    /// takes.
    pub(crate) async fn read_until_complete(&self, origin: Origin) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        // The store's failures are told by whoever waits there, and counted.
        while self.read_complete(origin).await.is_err() && !self.commands.is_closed() {
            backoff.wait().await;
        }
    }

    /// Reads lists as they are, old or not.
    pub(crate) async fn read_any(&self) -> Result<(), StoreFailure> {
        self.read(Consistency::MayBeStale, None).await.map(drop)
    }

    async fn read_complete(&self, origin: Origin) -> Result<(), StoreFailure> {
        let written_at = match origin {
            // An agent decides nothing by who it does not know.
            Origin::Existing if self.member.role == NodeRole::Agent => {
                return self.read_any().await;
            }
            Origin::Rewritten(_) => return self.read(Consistency::Latest, None).await.map(drop),
            Origin::Existing => None,
            Origin::Written(position) => Some(position),
        };
        // Until a balancer has the whole list it tells no caller that nobody holds a flow: only
        // where there are no flows of before may that take seconds.
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

    /// Reads the lists; `true` when they are whole.
    async fn read(
        &self,
        consistency: Consistency,
        written_at: Option<Position>,
    ) -> Result<bool, StoreFailure> {
        let mut lists = vec![self.store.read_members(NodeRole::Balancer, consistency).await?];
        // Agents have nothing to say to each other.
        if self.member.role == NodeRole::Balancer {
            lists.push(self.store.read_members(NodeRole::Agent, consistency).await?);
        }
        let includes_own =
            written_at.is_some_and(|at| lists.iter().all(|list| includes_all_until(list, at)));
        let is_complete = consistency == Consistency::Latest || includes_own;
        let entries = lists.iter().flat_map(|list| &list.entries);
        let members = entries.map(|entry| (entry.member.address, entry.member.role)).collect();
        // Nobody listens only while the process ends.
        let _ =
            self.commands.send(Command::LearnMembers(MemberUpdate { members, is_complete })).await;
        Ok(is_complete)
    }
}

/// Whether a list that may be old names all that were entered up to a place. Where the store has come back
/// before, it may be from before the return: its revisions are other writings' then.
fn includes_all_until(list: &MemberList, position: Position) -> bool {
    !position.follows_a_return() && list.position >= position
}
