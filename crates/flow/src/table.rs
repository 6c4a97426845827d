//! The flows of one process, by identity and by addresses, with their deadlines.

use crate::timers::{FlowId, Timers};
use loftdrift_wire::FlowKey;
use std::collections::HashMap;
use std::time::Duration;

/// A flow in the table.
#[derive(Debug)]
pub struct Flow<B> {
    /// Its addresses.
    pub key: FlowKey,
    /// What the owner keeps of it.
    pub body: B,
    /// Whether it still burdens the back end; one that only waits for stray segments does not.
    is_busy: bool,
}

/// Flows whose owner keeps a `B` of each.
#[derive(Debug)]
pub struct FlowTable<B> {
    by_key: HashMap<FlowKey, FlowId>,
    by_id: HashMap<FlowId, Flow<B>>,
    timers: Timers,
    next_id: u64,
    busy: usize,
}

impl<B> Default for FlowTable<B> {
    fn default() -> Self {
        FlowTable {
            by_key: HashMap::new(),
            by_id: HashMap::new(),
            timers: Timers::default(),
            next_id: 0,
            busy: 0,
        }
    }
}

impl<B> FlowTable<B> {
    /// The flow with these addresses.
    pub fn find(&self, key: &FlowKey) -> Option<FlowId> {
        self.by_key.get(key).copied()
    }

    /// A flow.
    pub fn get(&self, id: FlowId) -> Option<&Flow<B>> {
        self.by_id.get(&id)
    }

    /// A flow, to change.
    pub fn get_mut(&mut self, id: FlowId) -> Option<&mut Flow<B>> {
        self.by_id.get_mut(&id)
    }

    /// Adds a flow whose addresses no other one has.
    pub fn insert(&mut self, key: FlowKey, body: B) -> FlowId {
        self.insert_with(key, |_| body)
    }

    /// Adds a flow whose body is made with its identity.
    pub fn insert_with(&mut self, key: FlowKey, make: impl FnOnce(FlowId) -> B) -> FlowId {
        let id = FlowId(self.next_id);
        let body = make(id);
        self.next_id += 1;
        self.by_key.insert(key, id);
        self.by_id.insert(
            id,
            Flow {
                key,
                body,
                is_busy: true,
            },
        );
        self.busy += 1;
        id
    }

    /// Removes a flow and its deadline.
    pub fn remove(&mut self, id: FlowId) {
        if let Some(flow) = self.by_id.remove(&id) {
            self.by_key.remove(&flow.key);
            self.busy -= usize::from(flow.is_busy);
            self.timers.set(id, None);
        }
    }

    /// The flow burdens the back end no more.
    pub fn release(&mut self, id: FlowId) {
        if let Some(flow) = self.by_id.get_mut(&id) {
            self.busy -= usize::from(std::mem::take(&mut flow.is_busy));
        }
    }

    /// How many flows burden the back end.
    pub fn busy(&self) -> usize {
        self.busy
    }

    /// Sets or, with `None`, removes a flow's deadline.
    pub fn set_deadline(&mut self, id: FlowId, deadline: Option<Duration>) {
        self.timers.set(id, deadline);
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Takes a flow whose deadline has come.
    pub fn pop_due(&mut self, now: Duration) -> Option<FlowId> {
        self.timers.pop(now)
    }
}
