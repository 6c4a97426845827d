//! The flows of one process, by identity and by addresses, with their wake-ups.
//!
//! A packet costs one hash look-up however many flows there are; everything else of its flow is in
//! one slot.

use loftdrift_wire::FlowKey;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

const SLOT_BITS: u32 = 32;

/// A flow's identity within its process; never used again.
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
    /// What the owner keeps of it.
    pub body: B,
    /// Whether it still burdens the back end; one that only waits for stray segments does not.
    is_active: bool,
    wake_at: Option<Duration>,
}

#[derive(Debug)]
struct Slot<B> {
    /// Counts the flows that the slot has held.
    generation: u32,
    flow: Option<Flow<B>>,
}

/// Flows whose owner keeps a `B` of each.
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

    /// A flow.
    pub fn get(&self, id: FlowId) -> Option<&Flow<B>> {
        let slot = self.slots.get(id.slot())?;
        slot.flow.as_ref().filter(|_| slot.generation == id.generation())
    }

    /// A flow, to change.
    pub fn get_mut(&mut self, id: FlowId) -> Option<&mut Flow<B>> {
        let slot = self.slots.get_mut(id.slot())?;
        slot.flow.as_mut().filter(|_| slot.generation == id.generation())
    }

    /// Every flow in the table, in the order of their identities.
    pub fn ids(&self) -> Vec<FlowId> {
        let mut ids: Vec<FlowId> = self.by_key.values().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Adds a flow whose addresses no other one has.
    pub fn insert(&mut self, key: FlowKey, body: B) -> FlowId {
        self.insert_with(key, |_| body)
    }

    /// Adds a flow whose body is made with its identity.
    pub fn insert_with(&mut self, key: FlowKey, make: impl FnOnce(FlowId) -> B) -> FlowId {
        let place = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, flow: None });
            self.slots.len() - 1
        });
        let slot = &mut self.slots[place];
        slot.generation = slot.generation.wrapping_add(1);
        let id = FlowId::new(place, slot.generation);
        slot.flow = Some(Flow { key, body: make(id), is_active: true, wake_at: None });
        self.by_key.insert(key, id);
        self.active_flows += 1;
        id
    }

    /// Removes a flow and its wake-up.
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

    /// The flow burdens the back end no more.
    pub fn mark_inactive(&mut self, id: FlowId) {
        let released = self.get_mut(id).is_some_and(|flow| std::mem::take(&mut flow.is_active));
        self.active_flows -= usize::from(released);
    }

    /// How many flows burden the back end.
    pub fn active_flows(&self) -> usize {
        self.active_flows
    }

    /// Has a flow woken no later than its deadline.
    ///
    /// A deadline that moves later, as most do with every packet, costs nothing: the earlier
    /// wake-up stays, and the flow, woken early, sets its deadline again.
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

    /// The earliest wake-up.
    pub fn next_wake_up(&self) -> Option<Duration> {
        self.wake_ups.first().map(|(wake_at, _)| *wake_at)
    }

    /// Takes a flow whose wake-up has come.
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
