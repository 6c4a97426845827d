//! Keeps the node's entry in the shared store's list, and learns the others' from it.
//!
//! An entry stands until its node takes it away or auditors do (`member_audit`); nothing is renewed, so
//! that calls do not grow with nodes and hours. A list counts as whole only when it is no older than the
//! own entry: of two nodes that start together at least one then learns of the other, and tells it.

use crate::command::{Command, MemberNews};
use crate::pace::Pace;
use crate::shared_store::{Currency, Member, MemberList, SharedStore, StoreFailure};
use loftdrift_carried::{NodeRole, Position};
use rand::Rng;
use std::time::Duration;
use tokio::sync::mpsc;

/// Pauses between readings of lists that may be old, until they have the own entry: such lists are
/// two to three seconds old.
const OLD_LIST_PAUSES: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_millis(3_500)];
/// First pause after a failure, a few times what the store takes to answer.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Entries that the store has lost are back two seconds after its return.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Nodes whose entries are missing write them within this time, not all at once.
const REWRITE_SPREAD: Duration = Duration::from_millis(1_200);
/// A node that leaves for good waits so long for the store to take its entry away.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(250);

/// How a node came to stand in the list.
#[derive(Clone, Copy, Debug)]
enum Entered {
    /// An earlier process has left the entry.
    Before,
    /// Written there.
    At(Position),
}

/// A node's entry and what is needed to keep it.
pub(crate) struct Registration<S> {
    pub(crate) store: S,
    pub(crate) member: Member,
    pub(crate) commands: mpsc::Sender<Command>,
    /// An auditor has not found the entry.
    pub(crate) missing: mpsc::Receiver<()>,
    /// No process of the system has run before: there is no entry of an earlier one, and no flow.
    pub(crate) is_first_start: bool,
}

impl<S: SharedStore> Registration<S> {
    /// Keeps the entry until nobody listens.
    pub(crate) async fn keep(mut self) {
        let mut may_stand = !self.is_first_start;
        loop {
            self.enter_at_last(may_stand).await;
            may_stand = false;
            if self.missing.recv().await.is_none() {
                return;
            }
            log::warn!("registration_missing");
            let share = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(REWRITE_SPREAD.mul_f64(share)).await;
            // Several auditors have told of the same loss meanwhile.
            while self.missing.try_recv().is_ok() {}
        }
    }

    async fn enter_at_last(&self, may_stand: bool) {
        let mut pace = Pace::new(FIRST_PAUSE, LONGEST_PAUSE);
        let mut has_failed = false;
        while let Err(failure) = self.enter(may_stand).await {
            // Told once for as long as it lasts; the counters tell the rest.
            if !std::mem::replace(&mut has_failed, true) {
                let failure = failure.to_string();
                log::warn!(failure = failure.as_str(); "registration_failed");
            }
            if self.commands.is_closed() {
                return;
            }
            pace.pause().await;
        }
    }

    /// Enters the node and reads the list.
    async fn enter(&self, may_stand: bool) -> Result<(), StoreFailure> {
        let entered = match may_stand && self.stands().await? {
            true => Ok(Entered::Before),
            false => self.store.write_member(&self.member).await.map(Entered::At),
        };
        match entered {
            Ok(entered) => self.read_lists(entered).await,
            // The list is read even where the entry cannot be written: nodes that start need it most.
            Err(failure) => {
                self.read(Currency::MayBeOld, None).await?;
                Err(failure)
            }
        }
    }

    /// Whether the entry that an earlier process of this node has left still stands.
    async fn stands(&self) -> Result<bool, StoreFailure> {
        match self.store.read_member(&self.member, Currency::MayBeOld).await {
            Ok(found) => Ok(found.as_ref() == Some(&self.member)),
            Err(StoreFailure::Gone) => Ok(false),
            Err(failure) => Err(failure),
        }
    }

    /// Reads lists until they name every node that was entered before this one.
    async fn read_lists(&self, entered: Entered) -> Result<(), StoreFailure> {
        let entered_at = match entered {
            // An agent decides nothing by who it does not know.
            Entered::Before if self.member.role == NodeRole::Agent => {
                self.read(Currency::MayBeOld, None).await?;
                return Ok(());
            }
            Entered::Before => None,
            Entered::At(position) => Some(position),
        };
        // Until a balancer has the whole list it tells no caller that nobody holds a flow: only
        // where there are no flows of before may that take seconds.
        let may_wait = self.is_first_start || self.member.role == NodeRole::Agent;
        let mut is_whole = self.read(Currency::MayBeOld, entered_at).await?;
        let pauses: &[Duration] = if may_wait { &OLD_LIST_PAUSES } else { &[] };
        for pause in pauses {
            if is_whole {
                return Ok(());
            }
            tokio::time::sleep(*pause).await;
            is_whole = self.read(Currency::MayBeOld, entered_at).await?;
        }
        if !is_whole {
            self.read(Currency::Newest, None).await?;
        }
        Ok(())
    }

    /// Reads the lists of those this node speaks with; `true` when they are whole.
    async fn read(
        &self,
        currency: Currency,
        entered_at: Option<Position>,
    ) -> Result<bool, StoreFailure> {
        let mut lists = vec![self.store.read_members(NodeRole::Balancer, currency).await?];
        // Agents have nothing to say to each other.
        if self.member.role == NodeRole::Balancer {
            lists.push(self.store.read_members(NodeRole::Agent, currency).await?);
        }
        let has_own = |list: &MemberList| entered_at.is_some_and(|at| list.position >= at);
        let is_whole = currency == Currency::Newest || lists.iter().all(has_own);
        let entries = lists.iter().flat_map(|list| &list.entries);
        let members = entries.map(|entry| (entry.member.address, entry.member.role)).collect();
        // Nobody listens only while the process ends.
        let _ = self.commands.send(Command::Learn(MemberNews { members, is_whole })).await;
        Ok(is_whole)
    }
}

/// Takes the entry of a node away that leaves for good: whoever starts later need not wait for it.
pub(crate) async fn leave(store: impl SharedStore, member: &Member) {
    // Left to the auditors where the store does not answer.
    let removed = tokio::time::timeout(LEAVE_TIMEOUT, store.remove_member(member, None)).await;
    if !matches!(removed, Ok(Ok(()))) {
        log::warn!("registration_left_to_auditors");
    }
}
