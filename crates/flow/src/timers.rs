//! Deadlines of many flows.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// A flow's identity within its process; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId(pub u64);

/// At most one deadline per flow, found in order of time.
#[derive(Debug, Default)]
pub struct Timers {
    by_time: BTreeSet<(Duration, FlowId)>,
    by_flow: HashMap<FlowId, Duration>,
}

impl Timers {
    /// Sets or, with `None`, removes a flow's deadline.
    pub fn set(&mut self, flow: FlowId, deadline: Option<Duration>) {
        if self.by_flow.get(&flow) == deadline.as_ref() {
            return;
        }
        if let Some(previous) = self.by_flow.remove(&flow) {
            self.by_time.remove(&(previous, flow));
        }
        if let Some(deadline) = deadline {
            self.by_time.insert((deadline, flow));
            self.by_flow.insert(flow, deadline);
        }
    }

    /// The earliest deadline.
    pub fn next(&self) -> Option<Duration> {
        self.by_time.first().map(|(deadline, _)| *deadline)
    }

    /// Takes a flow whose deadline has come.
    pub fn pop(&mut self, now: Duration) -> Option<FlowId> {
        let (deadline, flow) = *self.by_time.first()?;
        if deadline > now {
            return None;
        }
        self.set(flow, None);
        Some(flow)
    }
}
