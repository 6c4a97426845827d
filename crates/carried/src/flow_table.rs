//! A table of per-flow state in which each entry has a number and a wake-up time.

use loftdrift_wire::FlowKey;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

#[derive(Debug)]
struct Entry<T> {
    flow: FlowKey,
    state: T,
    /// Listed in `wake_ups` until the wake-up is taken.
    wake_at: Duration,
}

/// Per-flow state, found by number or by flow.
#[derive(Debug)]
pub(crate) struct FlowTable<T> {
    by_flow: HashMap<FlowKey, u64>,
    by_number: HashMap<u64, Entry<T>>,
    wake_ups: BTreeSet<(Duration, u64)>,
    last_number: u64,
}

impl<T> FlowTable<T> {
    /// Creates an empty table whose numbers start after `first`.
    pub(crate) fn new(first: u64) -> Self {
        FlowTable {
            by_flow: HashMap::new(),
            by_number: HashMap::new(),
            wake_ups: BTreeSet::new(),
            last_number: first,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_number.len()
    }

    pub(crate) fn number_of(&self, flow: &FlowKey) -> Option<u64> {
        self.by_flow.get(flow).copied()
    }

    /// Adds an entry for a flow that has none. Its first wake-up is due at once unless
    /// [`FlowTable::wake_at`] changes that.
    pub(crate) fn start(&mut self, now: Duration, flow: FlowKey, state: T) -> u64 {
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.by_flow.insert(flow, number);
        self.wake_ups.insert((now, number));
        self.by_number.insert(number, Entry { flow, state, wake_at: now });
        number
    }

    pub(crate) fn get(&self, number: u64) -> Option<&T> {
        self.by_number.get(&number).map(|entry| &entry.state)
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        self.by_number.get_mut(&number).map(|entry| &mut entry.state)
    }

    pub(crate) fn finish(&mut self, number: u64) -> Option<T> {
        let entry = self.by_number.remove(&number)?;
        self.wake_ups.remove(&(entry.wake_at, number));
        self.by_flow.remove(&entry.flow);
        Some(entry.state)
    }

    pub(crate) fn wake_at(&mut self, number: u64, at: Duration) {
        let Some(entry) = self.by_number.get_mut(&number) else { return };
        self.wake_ups.remove(&(entry.wake_at, number));
        entry.wake_at = at;
        self.wake_ups.insert((at, number));
    }

    pub(crate) fn next_wake_up(&self) -> Option<Duration> {
        self.wake_ups.first().map(|(at, _)| *at)
    }

    /// Removes the earliest wake-up if it is due and returns its entry's number.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<u64> {
        let (at, number) = *self.wake_ups.first()?;
        if at > now {
            return None;
        }
        self.wake_ups.pop_first();
        Some(number)
    }
}
