//! The interface to the store that all nodes share. It holds the operators' configuration and the
//! list of nodes.
//!
//! No data path waits for the store. A call without an answer may have taken effect; every call may
//! be repeated.
//!
//! The store may be restored from a copy that is some seconds old. Later writes are lost then and
//! their revisions are assigned again, so a revision has a meaning only together with the store's
//! era.

use loftdrift_carried::{CarriedConfiguration, Incarnation, NodeRole, Position};
use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;
use thiserror::Error;

/// Why a call returned no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreFailure {
    /// No answer; the call may have taken effect.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Refused by the store's rate limit; the call had no effect.
    #[error("throttled")]
    Throttled,
    /// The store is temporarily unavailable; the call had no effect.
    #[error("temporarily unavailable")]
    Unavailable,
    /// The requested entry does not exist, or the store does not have the requested revisions: they
    /// were discarded, or belong to another era.
    #[error("gone")]
    Gone,
    /// The store was restored from an older copy between two parts of an answer. No part is valid.
    #[error("the store was restored from an older copy during the call")]
    Restored,
    /// The answer cannot be parsed.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// A node's entry in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node's name, which is the entry's key: another write replaces the entry.
    pub name: String,
    /// Address for messages from other nodes.
    pub address: SocketAddrV4,
    /// The node's role.
    pub role: NodeRole,
}

/// How current an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// It includes every write that was acknowledged before the call.
    Latest,
    /// It may be some seconds old. Such an answer costs the store less.
    MayBeStale,
}

/// An entry with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// The node.
    pub member: Member,
    /// The store's revision of that write.
    pub revision: u64,
}

/// The list of nodes of one role.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// All entries.
    pub entries: Vec<MemberEntry>,
    /// The list includes every entry written up to this position that was not removed. In a stale
    /// list the era is that of the answer, while the entries may be from before the store's last
    /// restore.
    pub position: Position,
}

/// Everything that operators have written, as returned by one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorState {
    /// The configuration without evacuations; `None` if none has been written yet.
    pub configuration: Option<CarriedConfiguration>,
    /// Zones that are evacuated.
    pub evacuated: BTreeSet<String>,
    /// The state includes everything written up to this position.
    pub position: Position,
}

/// Result of a watch for changes that operators make.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorChange {
    /// The newest configuration without evacuations; `None` if it has not changed.
    pub configuration: Option<CarriedConfiguration>,
    /// Zones whose evacuation began or ended, in the order of the writes, with whether they are now
    /// evacuated.
    pub evacuations: Vec<(String, bool)>,
    /// Revision of the last of these changes; `None` if there was none.
    pub changed_at: Option<u64>,
    /// The position after which to watch next.
    pub position: Position,
}

/// A client of the store. An implementation only translates; it makes no decisions.
pub trait SharedStore: Clone + Send + Sync + 'static {
    /// Reads the configuration and the evacuations.
    fn read_operator_state(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<OperatorState, StoreFailure>> + Send;

    /// Waits up to `timeout` for operators to write something after a position. The answer may be
    /// of another era; then it has no information about changes after that position.
    fn wait_for_change(
        &self,
        after: Position,
        timeout: Duration,
    ) -> impl Future<Output = Result<OperatorChange, StoreFailure>> + Send;

    /// Writes a node's entry; returns the position of the write.
    fn write_member(
        &self,
        member: &Member,
    ) -> impl Future<Output = Result<Position, StoreFailure>> + Send;

    /// Removes a node's entry and its record of departures if the entry's last write has this revision; returns [`StoreFailure::Gone`]
    /// if there is another entry or none. Returns the position of the removal: if its era differs
    /// from the revision's, the revision may stand for another write.
    fn remove_member(
        &self,
        member: &Member,
        entry_revision: u64,
    ) -> impl Future<Output = Result<Position, StoreFailure>> + Send;

    /// Writes which starts of the back end beside a node have announced that they leave, in place of
    /// an earlier record; removes the record if there are none.
    fn write_departures(
        &self,
        node: &str,
        departed: &[Incarnation],
    ) -> impl Future<Output = Result<(), StoreFailure>> + Send;

    /// Reads the record that was last written for a node, whatever process wrote it.
    fn read_departures(
        &self,
        node: &str,
    ) -> impl Future<Output = Result<Vec<Incarnation>, StoreFailure>> + Send;

    /// Reads all entries of a role.
    fn read_members(
        &self,
        role: NodeRole,
        consistency: Consistency,
    ) -> impl Future<Output = Result<MemberList, StoreFailure>> + Send;
}
