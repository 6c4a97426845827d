//! The store that all nodes share: it holds the operators' configuration and the list of nodes.
//!
//! Nothing on a data path waits for it. A call that got no answer may have taken effect; every call
//! here may be repeated.
//!
//! The store may come back from a copy some seconds old. What the system wrote there since is gone then, and
//! revisions are given out again: one means something only together with its era.

use loftdrift_carried::{CarriedConfiguration, NodeRole, Position};
use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;
use thiserror::Error;

/// Why the store gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreFailure {
    /// No answer; the call may have taken effect.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Too many calls; nothing was done.
    #[error("throttled")]
    Throttled,
    /// Not now; nothing was done.
    #[error("refused for now")]
    Unavailable,
    /// What was asked for is gone: an entry, a history that is forgotten or that the store never had.
    #[error("gone")]
    Gone,
    /// The store came back from an older copy between two parts of an answer; nothing of it counts.
    #[error("the store came back from an older copy meanwhile")]
    Restored,
    /// An answer that cannot be read.
    #[error("unreadable: {0}")]
    Unreadable(String),
}

/// A node's entry in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node's name: writing it again replaces the entry.
    pub name: String,
    /// Where other nodes reach it.
    pub address: SocketAddrV4,
    /// What it does.
    pub role: NodeRole,
}

/// How new an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// All that was acknowledged before is in it.
    Latest,
    /// It may be seconds old; such an answer costs the store less.
    MayBeStale,
}

/// An entry with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// The node.
    pub member: Member,
    /// The store's revision then.
    pub revision: u64,
}

/// The list of nodes of one role.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// All entries.
    pub entries: Vec<MemberEntry>,
    /// Every entry written up to there is in it, unless it is gone. Of a list that may be old the era
    /// is that of the answer: what is in it may be from before the store's last return.
    pub position: Position,
}

/// All that operators have written, as one reading found it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorState {
    /// The configuration, but for evacuations; `None` before the first one is written.
    pub configuration: Option<CarriedConfiguration>,
    /// Zones that are evacuated.
    pub evacuated: BTreeSet<String>,
    /// Everything written up to there is in it.
    pub position: Position,
}

/// What a wait for changes of the operators' brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorChange {
    /// The newest configuration, but for evacuations; `None` when it has not changed.
    pub configuration: Option<CarriedConfiguration>,
    /// Zones whose evacuation began or ended, with whether they are evacuated now; in order.
    pub evacuations: Vec<(String, bool)>,
    /// Revision of the last of these changes; `None` when there was none.
    pub changed_at: Option<u64>,
    /// Where to go on from.
    pub position: Position,
}

/// A client of the store. An implementation translates and decides nothing.
pub trait SharedStore: Clone + Send + Sync + 'static {
    /// Reads what operators have written.
    fn read_operator_state(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<OperatorState, StoreFailure>> + Send;

    /// Waits up to `patience` for operators to write something after a position. The answer may be of
    /// another era: then it tells nothing of what was waited for.
    fn wait_for_change(
        &self,
        after: Position,
        timeout: Duration,
    ) -> impl Future<Output = Result<OperatorChange, StoreFailure>> + Send;

    /// Writes a node's entry; gives where the entry stands.
    fn write_member(
        &self,
        member: &Member,
    ) -> impl Future<Output = Result<Position, StoreFailure>> + Send;

    /// Removes a node's entry; with a revision, only one that was written then, and `Gone` where another
    /// or none stands. Gives where that was done: in another era the revision may be another writing's.
    fn remove_member(
        &self,
        member: &Member,
        expected_revision: Option<u64>,
    ) -> impl Future<Output = Result<Position, StoreFailure>> + Send;

    /// Reads what stands under a node's name; `None` where that cannot be read.
    fn read_member(
        &self,
        member: &Member,
        consistency: Consistency,
    ) -> impl Future<Output = Result<Option<Member>, StoreFailure>> + Send;

    /// Reads all entries of nodes of a role.
    fn read_members(
        &self,
        role: NodeRole,
        consistency: Consistency,
    ) -> impl Future<Output = Result<MemberList, StoreFailure>> + Send;
}
