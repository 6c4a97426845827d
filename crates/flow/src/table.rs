//! The flows of one process, indexed by id and by addresses, with their timers.
//!
//! A packet costs one hash lookup, however many flows there are. All other state of its flow is in
//! one slot.

use loftdrift_wire::FlowKey;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

const SLOT_BITS: u32 = 32;

/// Id of a flow within its process. Ids are not reused: a slot's generation is part of the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId(u64);

impl FlowId {
    fn new(slot: usize, generation: u32) -> Self {
        FlowId((u64::from(generation) << SLOT_BITS) | slot as u64)
    }

    fn slot(self) -> usize {
        (self.0 & u64::from(u32::MAX)) as usize
    }

    fn generation(self) -> u32 {
        (self.0 >> SLOT_BITS) as u32
    }
}

/// A flow in the table.
#[derive(Debug)]
pub struct Flow<B> {
    /// Its addresses.
    pub key: FlowKey,
    /// The state that the table's owner keeps for it.
    pub body: B,
    /// Whether it still loads the back end. A flow that only waits for last acknowledgements or
    /// delayed segments does not.
    is_active: bool,
    /// The time of its entry in [`FlowTable::wake_ups`].
    wake_at: Option<Duration>,
}

#[derive(Debug)]
struct Slot<B> {
    /// Counts the flows that have used the slot.
    generation: u32,
    flow: Option<Flow<B>>,
}

/// A table of flows. `B` is the state that the owner keeps for each.
#[derive(Debug)]
pub struct FlowTable<B> {
    by_key: HashMap<FlowKey, FlowId>,
    slots: Vec<Slot<B>>,
    free: Vec<usize>,
    wake_ups: BTreeSet<(Duration, FlowId)>,
    active_flows: usize,
}

impl<B> Default for FlowTable<B> {
    fn default() -> Self {
        FlowTable {
            by_key: HashMap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            wake_ups: BTreeSet::new(),
            active_flows: 0,
        }
    }
}

impl<B> FlowTable<B> {
    /// The flow with these addresses.
    pub fn find(&self, key: &FlowKey) -> Option<FlowId> {
        self.by_key.get(key).copied()
    }

    /// The flow with this id, if it is still in the table.
    pub fn get(&self, id: FlowId) -> Option<&Flow<B>> {
        let slot = self.slots.get(id.slot())?;
        slot.flow.as_ref().filter(|_| slot.generation == id.generation())
    }

    /// Mutable access to the flow with this id, if it is still in the table.
    pub fn get_mut(&mut self, id: FlowId) -> Option<&mut Flow<B>> {
        let slot = self.slots.get_mut(id.slot())?;
        slot.flow.as_mut().filter(|_| slot.generation == id.generation())
    }

    /// The ids of all flows, sorted.
    pub fn ids(&self) -> Vec<FlowId> {
        let mut ids: Vec<FlowId> = self.by_key.values().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Adds a flow. No other flow in the table may have the same addresses.
    pub fn insert(&mut self, key: FlowKey, body: B) -> FlowId {
        self.insert_with(key, |_| body)
    }

    /// Adds a flow whose body is built from its id. No other flow may have the same addresses.
    pub fn insert_with(&mut self, key: FlowKey, make: impl FnOnce(FlowId) -> B) -> FlowId {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, flow: None });
            self.slots.len() - 1
        });
        let slot = &mut self.slots[index];
        slot.generation = slot.generation.wrapping_add(1);
        let id = FlowId::new(index, slot.generation);
        slot.flow = Some(Flow { key, body: make(id), is_active: true, wake_at: None });
        self.by_key.insert(key, id);
        self.active_flows += 1;
        id
    }

    /// Removes a flow and its timer.
    pub fn remove(&mut self, id: FlowId) {
        if self.get(id).is_none() {
            return;
        }
        let Some(flow) = self.slots[id.slot()].flow.take() else {
            return;
        };
        self.free.push(id.slot());
        self.by_key.remove(&flow.key);
        self.active_flows -= usize::from(flow.is_active);
        if let Some(wake_at) = flow.wake_at {
            self.wake_ups.remove(&(wake_at, id));
        }
    }

    /// Marks a flow as no longer loading the back end.
    pub fn mark_inactive(&mut self, id: FlowId) {
        let released = self.get_mut(id).is_some_and(|flow| std::mem::take(&mut flow.is_active));
        self.active_flows -= usize::from(released);
    }

    /// Number of flows that load the back end.
    pub fn active_flows(&self) -> usize {
        self.active_flows
    }

    /// Makes sure that a flow's timer fires no later than `deadline`.
    ///
    /// A deadline that moves later, as most do with every packet, costs nothing: the earlier timer
    /// stays, and the flow sets its deadline again when it fires early.
    pub fn wake_by(&mut self, id: FlowId, deadline: Option<Duration>) {
        let Some(deadline) = deadline else { return };
        let Some(flow) = self.get_mut(id) else { return };
        if flow.wake_at.is_some_and(|wake_at| wake_at <= deadline) {
            return;
        }
        let previous = flow.wake_at.replace(deadline);
        if let Some(previous) = previous {
            self.wake_ups.remove(&(previous, id));
        }
        self.wake_ups.insert((deadline, id));
    }

    /// Time of the earliest timer.
    pub fn next_wake_up(&self) -> Option<Duration> {
        self.wake_ups.first().map(|(wake_at, _)| *wake_at)
    }

    /// Removes one timer that is due at `now` and returns its flow.
    pub fn pop_due(&mut self, now: Duration) -> Option<FlowId> {
        let (wake_at, id) = *self.wake_ups.first()?;
        if wake_at > now {
            return None;
        }
        self.wake_ups.pop_first();
        if let Some(flow) = self.get_mut(id) {
            flow.wake_at = None;
        }
        Some(id)
    }
}
