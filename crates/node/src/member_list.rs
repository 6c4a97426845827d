//! Learns the other nodes from the shared store's list.
//!
//! A list counts as whole only when it is no older than the own entry: of two nodes that start together at
//! least one then learns of the other, and tells it.

use crate::command::{Command, MemberNews};
use crate::pace::Pace;
use crate::shared_store::{Consistency, Member, MemberList, SharedStore, StoreFailure};
use loftdrift_carried::{NodeRole, Position};
use std::time::Duration;
use tokio::sync::mpsc;

/// Pauses between readings of lists that may be old, until they have the own entry: such lists are
/// two to three seconds old.
const OLD_LIST_PAUSES: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_millis(3_500)];
/// First pause after a failure, a few times what the store takes to answer.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// How a node came to stand in the list.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Entered {
    /// An earlier process has left the entry.
    Before,
    /// Written there for the first time.
    At(Position),
    /// Written there again, the store having lost it: an old list may show the one before.
    Again(Position),
}

impl Entered {
    /// The same entry, written once more.
    pub(crate) fn again(self) -> Self {
        match self {
            Entered::Before => Entered::Before,
            Entered::At(position) | Entered::Again(position) => Entered::Again(position),
        }
    }

    /// The era of the store in which this process has written the entry.
    pub(crate) fn era(self) -> Option<u64> {
        match self {
            Entered::Before => None,
            Entered::At(position) | Entered::Again(position) => Some(position.era),
        }
    }
}

/// Reads the lists of those that a node speaks with.
#[derive(Clone, Debug)]
pub(crate) struct ListReader<S> {
    pub(crate) store: S,
    pub(crate) member: Member,
    pub(crate) commands: mpsc::Sender<Command>,
    /// No process of the system has run before: there is no flow.
    pub(crate) is_first_start: bool,
}

impl<S: SharedStore> ListReader<S> {
    /// Reads lists until they name every node that was entered before this one, however often that
    /// takes.
    pub(crate) async fn read_until_whole(&self, entered: Entered) {
        let mut pace = Pace::new(FIRST_PAUSE, LONGEST_PAUSE);
        // The store's failures are told by whoever waits there, and counted.
        while self.read_whole(entered).await.is_err() && !self.commands.is_closed() {
            pace.pause().await;
        }
    }

    /// Reads lists as they are, old or not.
    pub(crate) async fn read_any(&self) -> Result<(), StoreFailure> {
        self.read(Consistency::MayBeStale, None).await.map(drop)
    }

    async fn read_whole(&self, entered: Entered) -> Result<(), StoreFailure> {
        let entered_at = match entered {
            // An agent decides nothing by who it does not know.
            Entered::Before if self.member.role == NodeRole::Agent => return self.read_any().await,
            Entered::Again(_) => return self.read(Consistency::Latest, None).await.map(drop),
            Entered::Before => None,
            Entered::At(position) => Some(position),
        };
        // Until a balancer has the whole list it tells no caller that nobody holds a flow: only
        // where there are no flows of before may that take seconds.
        let may_wait = self.is_first_start || self.member.role == NodeRole::Agent;
        let mut is_whole = self.read(Consistency::MayBeStale, entered_at).await?;
        let pauses: &[Duration] = if may_wait { &OLD_LIST_PAUSES } else { &[] };
        for pause in pauses {
            if is_whole {
                return Ok(());
            }
            tokio::time::sleep(*pause).await;
            is_whole = self.read(Consistency::MayBeStale, entered_at).await?;
        }
        if !is_whole {
            self.read(Consistency::Latest, None).await?;
        }
        Ok(())
    }

    /// Reads the lists; `true` when they are whole.
    async fn read(
        &self,
        currency: Consistency,
        entered_at: Option<Position>,
    ) -> Result<bool, StoreFailure> {
        let mut lists = vec![self.store.read_members(NodeRole::Balancer, currency).await?];
        // Agents have nothing to say to each other.
        if self.member.role == NodeRole::Balancer {
            lists.push(self.store.read_members(NodeRole::Agent, currency).await?);
        }
        let has_own = entered_at.is_some_and(|at| lists.iter().all(|list| has_all_up_to(list, at)));
        let is_whole = currency == Consistency::Latest || has_own;
        let entries = lists.iter().flat_map(|list| &list.entries);
        let members = entries.map(|entry| (entry.member.address, entry.member.role)).collect();
        // Nobody listens only while the process ends.
        let _ = self.commands.send(Command::Learn(MemberNews { members, is_whole })).await;
        Ok(is_whole)
    }
}

/// Whether a list that may be old names all that were entered up to a place. Where the store has come back
/// before, it may be from before the return: its revisions are other writings' then.
fn has_all_up_to(list: &MemberList, place: Position) -> bool {
    !place.follows_a_return() && list.position >= place
}
