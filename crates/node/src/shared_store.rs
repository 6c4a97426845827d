//! The store that all nodes share: it holds the operators' configuration and the list of nodes.
//!
//! Nothing on a data path waits for it. A call that got no answer may have taken effect; every call
//! here may be repeated.

use loftdrift_carried::{CarriedConfiguration, NodeRole};
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
    /// What was asked for is gone: a lease that is over, a history that is forgotten.
    #[error("gone")]
    Gone,
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

/// Names a lease; 0 names none.
pub type LeaseId = u64;

/// A lease: the entry written with it goes with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Names it.
    pub id: LeaseId,
    /// How long it lasts after each renewal.
    pub lasts: Duration,
}

/// How new an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Currency {
    /// All that was acknowledged before is in it.
    Newest,
    /// It may be seconds old; such an answer costs the store less.
    MayBeOld,
}

/// An entry with the lease that it stands under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// The node.
    pub member: Member,
    /// Its lease.
    pub lease: LeaseId,
}

/// The list of nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// All entries.
    pub entries: Vec<MemberEntry>,
    /// Every entry written up to this revision of the store is in it, unless it is gone.
    pub revision: u64,
}

/// All that operators have written, as one reading found it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorState {
    /// The configuration, but for evacuations; `None` before the first one is written.
    pub configuration: Option<CarriedConfiguration>,
    /// Zones that are evacuated.
    pub evacuated: BTreeSet<String>,
    /// Everything written up to this revision of the store is in it.
    pub revision: u64,
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
    /// The store's revision to go on from.
    pub revision: u64,
}

/// A client of the store. An implementation translates and decides nothing.
pub trait SharedStore: Clone + Send + Sync + 'static {
    /// Reads what operators have written.
    fn read_operators(
        &self,
        currency: Currency,
    ) -> impl Future<Output = Result<OperatorState, StoreFailure>> + Send;

    /// Waits up to `patience` for operators to write something after a revision.
    fn wait_operators(
        &self,
        after: u64,
        patience: Duration,
    ) -> impl Future<Output = Result<OperatorChange, StoreFailure>> + Send;

    /// Takes a lease.
    fn take_lease(
        &self,
        lasts: Duration,
    ) -> impl Future<Output = Result<Lease, StoreFailure>> + Send;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreFailure>> + Send;

    /// Ends a lease.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreFailure>> + Send;

    /// Writes a node's entry under a lease; gives the store's revision with the entry.
    fn write_member(
        &self,
        member: &Member,
        lease: LeaseId,
    ) -> impl Future<Output = Result<u64, StoreFailure>> + Send;

    /// Reads all entries.
    fn read_members(
        &self,
        currency: Currency,
    ) -> impl Future<Output = Result<MemberList, StoreFailure>> + Send;
}
