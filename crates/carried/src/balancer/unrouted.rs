//! New flows that arrived before any configuration was known.
//!
//! After a restart of the whole system the shared store, and with it the configuration, may be
//! unavailable for seconds. A caller's connection attempt lasts 1.4 s; its SYN is kept for that
//! time, so that the flow is placed as soon as a configuration arrives. Otherwise a caller that had
//! already sent its last retransmission would start a new attempt up to 0.8 s later, with one
//! attempt less.

use crate::pending_flow::{ATTEMPT_TIMEOUT, ReceivedSyn};
use loftdrift_wire::FlowKey;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Maximum number of flows kept. If there are more, the oldest are dropped and started over by
/// their retransmitted SYNs.
const MAX_KEPT_FLOWS: usize = 4_096;

/// Time between two batches of flows that are offered once a configuration is known. Without
/// batches, 27 balancers that offered 180 flows each at once kept small agents from answering for
/// longer than the balancers' timeout.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Flows in a batch.
const FLOWS_PER_BATCH: u32 = 8;
/// Time after the first configuration in which agents are still being discovered: the list of nodes
/// arrives along with it, and the first exchange of heartbeats takes a round trip.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(500);

/// The kept flows, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct UnroutedFlows {
    kept: HashMap<FlowKey, ReceivedSyn>,
    order: VecDeque<(Duration, FlowKey)>,
    /// When the first configuration arrived.
    routed_at: Option<Duration>,
    /// Flows taken of the current batch.
    taken: u32,
    next_batch_at: Duration,
}

impl UnroutedFlows {
    /// Keeps a SYN. If it is a retransmission, only the arrival time of the kept one is updated.
    pub(super) fn keep(&mut self, syn: ReceivedSyn) {
        let flow = syn.segment.flow();
        let now = syn.received_at;
        match self.kept.get_mut(&flow).filter(|kept| kept.is_retransmission(&syn)) {
            // The flow has been waiting since its first SYN arrived.
            Some(kept) => kept.arrived_at = syn.arrived_at,
            None => {
                self.kept.insert(flow, syn);
                self.order.push_back((now, flow));
            }
        }
        self.evict(now);
    }

    /// Drops flows whose caller's attempt is over, and the oldest ones if there are too many.
    fn evict(&mut self, now: Duration) {
        while let Some((since, flow)) = self.order.front() {
            let is_over = now.saturating_sub(*since) >= ATTEMPT_TIMEOUT;
            if !is_over && self.order.len() <= MAX_KEPT_FLOWS {
                return;
            }
            if self.kept.get(flow).is_some_and(|kept| kept.received_at == *since) {
                self.kept.remove(flow);
            }
            self.order.pop_front();
        }
    }

    /// Records that a configuration has arrived.
    pub(super) fn note_routes(&mut self, now: Duration) {
        self.routed_at.get_or_insert(now);
    }

    /// Whether the first configuration arrived so recently that agents are still being discovered.
    pub(super) fn is_discovering(&self, now: Duration) -> bool {
        self.routed_at.is_some_and(|at| now.saturating_sub(at) < DISCOVERY_PERIOD)
    }

    /// When the next batch is due.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let has_any = self.routed_at.is_some() && !self.order.is_empty();
        has_any.then_some(self.next_batch_at)
    }

    /// Takes the oldest flow whose caller still waits, if a batch is due.
    pub(super) fn pop(&mut self, now: Duration) -> Option<ReceivedSyn> {
        if self.next_due().is_none_or(|at| now < at) {
            return None;
        }
        self.evict(now);
        self.taken += 1;
        if self.taken >= FLOWS_PER_BATCH {
            self.taken = 0;
            self.next_batch_at = now + BATCH_INTERVAL;
        }
        while let Some((_, flow)) = self.order.pop_front() {
            // Once the attempt is over, the caller may use its port for another flow.
            let kept = self.kept.remove(&flow).filter(|kept| kept.is_caller_waiting(now));
            if kept.is_some() {
                return kept;
            }
        }
        None
    }
}
