//! Counts calls to the shared store by purpose and outcome, and measures their duration.

use crate::shared_store::{
    Consistency, Member, MemberList, OperatorChange, OperatorState, SharedStore, StoreFailure,
};
use loftdrift_carried::{Incarnation, NodeRole, Position};
use loftdrift_counters::{CounterSet, Histogram, PublishedSet, counter_set};
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

counter_set! {
    /// Calls to the shared store by outcome, then by purpose.
    pub struct StoreCounters {
        /// Calls that were answered.
        calls_answered,
        /// Calls without an answer; they may have taken effect.
        calls_unanswered,
        /// Calls refused by the store's rate limit.
        calls_throttled,
        /// Calls refused because the store was temporarily unavailable.
        calls_refused,
        /// Calls for an entry that no longer exists, or for revisions that the store no longer has.
        calls_gone,
        /// Calls during which the store was restored from an older copy.
        calls_restored,
        /// Calls whose answer could not be parsed.
        calls_unreadable,
        /// Calls that read the configuration and the evacuations.
        calls_for_operators,
        /// Calls that watch for a change of the configuration or the evacuations.
        calls_for_changes,
        /// Calls that write or remove a single node's entry.
        calls_for_entries,
        /// Calls that read a member list.
        calls_for_lists,
        /// Calls that read or write an agent's record of departures.
        calls_for_departures,
    }
}

/// The purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    OperatorState,
    Watch,
    Entry,
    List,
    Departures,
}

impl StoreCounters {
    fn for_purpose(&mut self, purpose: Purpose) -> &mut u64 {
        match purpose {
            Purpose::OperatorState => &mut self.calls_for_operators,
            Purpose::Watch => &mut self.calls_for_changes,
            Purpose::Entry => &mut self.calls_for_entries,
            Purpose::List => &mut self.calls_for_lists,
            Purpose::Departures => &mut self.calls_for_departures,
        }
    }

    fn for_outcome<T>(&mut self, outcome: &Result<T, StoreFailure>) -> &mut u64 {
        match outcome {
            Ok(_) => &mut self.calls_answered,
            Err(StoreFailure::NoAnswer(_)) => &mut self.calls_unanswered,
            Err(StoreFailure::Throttled) => &mut self.calls_throttled,
            Err(StoreFailure::Unavailable) => &mut self.calls_refused,
            Err(StoreFailure::Gone) => &mut self.calls_gone,
            Err(StoreFailure::Restored) => &mut self.calls_restored,
            Err(StoreFailure::Unreadable(_)) => &mut self.calls_unreadable,
        }
    }
}

/// Metrics of all store calls of one process. Clones share the same counters.
#[derive(Clone, Debug)]
pub(crate) struct StoreMeter {
    counters: Arc<Mutex<StoreCounters>>,
    /// Excludes calls that watch for a change.
    call_duration: Histogram,
}

impl StoreMeter {
    fn new() -> Self {
        let call_duration =
            Histogram::seconds("call_seconds", "Duration of calls, except those that watch.");
        StoreMeter { counters: Arc::default(), call_duration }
    }

    /// The metrics to publish.
    pub(crate) fn publish(&self) -> PublishedSet {
        // Counters stay usable after another thread has panicked with the lock held.
        let counters = *self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let histograms = vec![self.call_duration.clone()];
        PublishedSet { role: "store", samples: counters.samples(), histograms }
    }

    fn count<T>(&self, purpose: Purpose, outcome: &Result<T, StoreFailure>) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        *counters.for_purpose(purpose) += 1;
        *counters.for_outcome(outcome) += 1;
    }
}

/// Wraps a store and counts its calls.
#[derive(Clone, Debug)]
pub(crate) struct CountedStore<S> {
    store: S,
    meter: StoreMeter,
}

impl<S: SharedStore> CountedStore<S> {
    pub(crate) fn new(store: S) -> Self {
        CountedStore { store, meter: StoreMeter::new() }
    }

    pub(crate) fn meter(&self) -> StoreMeter {
        self.meter.clone()
    }

    async fn measure<T>(
        &self,
        purpose: Purpose,
        call: impl Future<Output = Result<T, StoreFailure>> + Send,
    ) -> Result<T, StoreFailure> {
        let started = Instant::now();
        let outcome = call.await;
        self.meter.call_duration.observe(started.elapsed());
        self.meter.count(purpose, &outcome);
        outcome
    }
}

impl<S: SharedStore> SharedStore for CountedStore<S> {
    async fn read_operator_state(
        &self,
        consistency: Consistency,
    ) -> Result<OperatorState, StoreFailure> {
        self.measure(Purpose::OperatorState, self.store.read_operator_state(consistency)).await
    }

    async fn wait_for_change(
        &self,
        after: Position,
        timeout: Duration,
    ) -> Result<OperatorChange, StoreFailure> {
        let outcome = self.store.wait_for_change(after, timeout).await;
        self.meter.count(Purpose::Watch, &outcome);
        outcome
    }

    async fn write_member(&self, member: &Member) -> Result<Position, StoreFailure> {
        self.measure(Purpose::Entry, self.store.write_member(member)).await
    }

    async fn remove_member(
        &self,
        member: &Member,
        entry_revision: u64,
    ) -> Result<Position, StoreFailure> {
        self.measure(Purpose::Entry, self.store.remove_member(member, entry_revision)).await
    }

    async fn write_departures(
        &self,
        node: &str,
        departed: &[Incarnation],
    ) -> Result<(), StoreFailure> {
        self.measure(Purpose::Departures, self.store.write_departures(node, departed)).await
    }

    async fn read_departures(&self, node: &str) -> Result<Vec<Incarnation>, StoreFailure> {
        self.measure(Purpose::Departures, self.store.read_departures(node)).await
    }

    async fn read_members(
        &self,
        role: NodeRole,
        consistency: Consistency,
    ) -> Result<MemberList, StoreFailure> {
        self.measure(Purpose::List, self.store.read_members(role, consistency)).await
    }
}
