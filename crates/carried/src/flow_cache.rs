//! One balancer's cache of the agents that own flows.
//!
//! An entry may be wrong: an agent that does not own the flow returns the packet, and a balancer
//! without an entry asks the agents.

use loftdrift_wire::FlowKey;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Flows cached at most; a flow that is not cached is found again by a lookup.
const MAX_FLOWS: usize = 200_000;
/// Interval between two sweeps that drop expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Packets of a flow may still arrive for this long after one side has finished it.
const FINISHED_TTL: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Entry {
    agent: SocketAddrV4,
    expires_at: Duration,
}

/// Maps flows to the agents that are believed to own them.
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
        if self.entries.len() < MAX_FLOWS {
            self.entries.insert(flow, Entry { agent, expires_at: now + idle });
        }
    }

    /// Returns the agent of a flow that a packet has arrived for, and extends the entry's lifetime.
    pub(crate) fn touch(
        &mut self,
        now: Duration,
        idle: Duration,
        flow: &FlowKey,
        finishes: bool,
    ) -> Option<SocketAddrV4> {
        let entry = self.entries.get_mut(flow)?;
        let ttl = if finishes { FINISHED_TTL } else { idle };
        entry.expires_at = now + ttl;
        Some(entry.agent)
    }

    pub(crate) fn agent(&self, flow: &FlowKey) -> Option<SocketAddrV4> {
        self.entries.get(flow).map(|entry| entry.agent)
    }

    /// Drops the entry if it names `agent`, which does not own the flow.
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
        self.entries.retain(|_, entry| entry.expires_at > now);
    }
}
