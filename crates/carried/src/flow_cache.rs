//! Where flows live, as one balancer remembers.
//!
//! An entry is a memory, not a truth: an agent that does not hold the flow sends the packet back,
//! and a balancer without an entry asks the agents.

use loftdrift_wire::FlowKey;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Most flows remembered; the oldest are found again by asking.
const MOST_FLOWS: usize = 200_000;
/// Time between two sweeps of flows that have rested too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Packets may still come for so long after an end has finished.
const FINISHED_LASTS: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Entry {
    agent: SocketAddrV4,
    forget_at: Duration,
}

/// The memory.
#[derive(Debug, Default)]
pub(crate) struct FlowCache {
    entries: HashMap<FlowKey, Entry>,
    next_sweep: Duration,
}

impl FlowCache {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn insert(
        &mut self,
        now: Duration,
        idle: Duration,
        flow: FlowKey,
        agent: SocketAddrV4,
    ) {
        if self.entries.len() < MOST_FLOWS {
            self.entries.insert(flow, Entry { agent, forget_at: now + idle });
        }
    }

    /// The agent of a flow of which a packet came.
    pub(crate) fn touch(
        &mut self,
        now: Duration,
        idle: Duration,
        flow: &FlowKey,
        finishes: bool,
    ) -> Option<SocketAddrV4> {
        let entry = self.entries.get_mut(flow)?;
        let lasts = if finishes { FINISHED_LASTS } else { idle };
        entry.forget_at = now + lasts;
        Some(entry.agent)
    }

    pub(crate) fn agent(&self, flow: &FlowKey) -> Option<SocketAddrV4> {
        self.entries.get(flow).map(|entry| entry.agent)
    }

    /// The flow does not live at `agent`.
    pub(crate) fn remove(&mut self, flow: &FlowKey, agent: SocketAddrV4) {
        if self.agent(flow) == Some(agent) {
            self.entries.remove(flow);
        }
    }

    pub(crate) fn sweep(&mut self, now: Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.entries.retain(|_, entry| entry.forget_at > now);
    }
}
