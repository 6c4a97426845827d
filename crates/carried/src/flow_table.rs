//! What is under way for flows, one thing a flow, each with its next wake-up.

use loftdrift_wire::FlowKey;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

#[derive(Debug)]
struct Entry<T> {
    flow: FlowKey,
    body: T,
    /// Stands in the wake-ups as long as the entry lives.
    wake_at: Duration,
}

/// Things under way, by number and by flow.
#[derive(Debug)]
pub(crate) struct FlowTable<T> {
    by_flow: HashMap<FlowKey, u64>,
    by_number: HashMap<u64, Entry<T>>,
    wake_ups: BTreeSet<(Duration, u64)>,
    last_number: u64,
}

impl<T> FlowTable<T> {
    /// Numbers its things from `first` on.
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

    /// Begins a thing for a flow that has none; it is woken at once unless it is told otherwise.
    pub(crate) fn start(&mut self, now: Duration, flow: FlowKey, body: T) -> u64 {
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.by_flow.insert(flow, number);
        self.wake_ups.insert((now, number));
        self.by_number.insert(number, Entry { flow, body, wake_at: now });
        number
    }

    pub(crate) fn get(&self, number: u64) -> Option<&T> {
        self.by_number.get(&number).map(|entry| &entry.body)
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        self.by_number.get_mut(&number).map(|entry| &mut entry.body)
    }

    pub(crate) fn finish(&mut self, number: u64) -> Option<T> {
        let entry = self.by_number.remove(&number)?;
        self.wake_ups.remove(&(entry.wake_at, number));
        self.by_flow.remove(&entry.flow);
        Some(entry.body)
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

    /// Takes a thing whose wake-up has come.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<u64> {
        let (at, number) = *self.wake_ups.first()?;
        if at > now {
            return None;
        }
        self.wake_ups.pop_first();
        Some(number)
    }
}
