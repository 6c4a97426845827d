//! New flows that were asked for before any configuration was known.
//!
//! After a loss of everything the shared store may be away for seconds, and with it the
//! configuration. Callers go on for 1.4 s; the newest copy of each one's opening packet is kept, so
//! that the flow is placed as soon as a configuration is here. Without that a caller which had sent
//! its last copy came anew after up to 0.8 s, with one try less.

use crate::opening::{Opened, TRY_LASTS};
use loftdrift_wire::FlowKey;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Flows kept; of more, the oldest are left to their copies.
const MAX_KEPT: usize = 4_096;

/// Flows are offered a few at a time once a configuration is here: 180 a balancer, offered together by
/// 27, kept small agents from answering anybody for longer than balancers wait.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);
const FLOWS_PER_BATCH: u32 = 8;
/// Agents are heard of so long after the first configuration: the list of nodes comes beside it, and
/// greetings take two ways.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(500);

/// The flows, in the order in which they came.
#[derive(Debug, Default)]
pub(super) struct UnroutedFlows {
    kept: HashMap<FlowKey, Opened>,
    order: VecDeque<(Duration, FlowKey)>,
    /// When the first configuration came.
    routed_at: Option<Duration>,
    /// Flows offered since the last step.
    taken: u32,
    next_batch_at: Duration,
}

impl UnroutedFlows {
    /// Keeps an opening packet, in place of an earlier copy of it.
    pub(super) fn keep(&mut self, opened: Opened) {
        let flow = opened.segment.flow();
        let now = opened.started;
        match self.kept.get_mut(&flow).filter(|kept| kept.is_copy(&opened)) {
            // It has waited since its first copy came.
            Some(kept) => kept.came_at = opened.came_at,
            None => {
                self.kept.insert(flow, opened);
                self.order.push_back((now, flow));
            }
        }
        self.forget(now);
    }

    /// Leaves flows to their callers whose tries are over, and the oldest of too many.
    fn forget(&mut self, now: Duration) {
        while let Some((since, flow)) = self.order.front() {
            let is_over = now.saturating_sub(*since) >= TRY_LASTS;
            if !is_over && self.order.len() <= MAX_KEPT {
                return;
            }
            if self.kept.get(flow).is_some_and(|kept| kept.started == *since) {
                self.kept.remove(flow);
            }
            self.order.pop_front();
        }
    }

    /// A configuration is here.
    pub(super) fn note_routes(&mut self, now: Duration) {
        self.routed_at.get_or_insert(now);
    }

    /// Whether the first configuration came only just now.
    pub(super) fn is_discovering(&self, now: Duration) -> bool {
        self.routed_at.is_some_and(|at| now.saturating_sub(at) < DISCOVERY_PERIOD)
    }

    /// When the next flows are to be offered.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let has_any = self.routed_at.is_some() && !self.order.is_empty();
        has_any.then_some(self.next_batch_at)
    }

    /// Takes a flow whose caller still waits, the oldest first, if it is time.
    pub(super) fn pop(&mut self, now: Duration) -> Option<Opened> {
        if self.next_due().is_none_or(|at| now < at) {
            return None;
        }
        self.forget(now);
        self.taken += 1;
        if self.taken >= FLOWS_PER_BATCH {
            self.taken = 0;
            self.next_batch_at = now + BATCH_INTERVAL;
        }
        while let Some((_, flow)) = self.order.pop_front() {
            // Its port may be used for another flow once its try is over.
            let kept = self.kept.remove(&flow).filter(|kept| kept.is_waited_for(now));
            if kept.is_some() {
                return kept;
            }
        }
        None
    }
}
