//! Flows that no candidate knows.
//!
//! A flow may be unknown because it is gone, or because the nodes that its packet passed do not
//! have the newest configuration yet. Silence makes the caller's TCP send again, which succeeds
//! once the configuration has arrived; only a flow that stays unknown is reset.

use loftdrift_wire::FlowKey;
use std::collections::HashMap;
use std::time::Duration;

/// Most unknown flows that are remembered; further ones meet silence.
const MOST_REMEMBERED: usize = 4_096;

/// Remembers since when flows are unknown.
#[derive(Debug)]
pub(crate) struct UnknownFlows {
    grace: Duration,
    first_seen: HashMap<FlowKey, Duration>,
    next_sweep: Duration,
}

impl UnknownFlows {
    pub(crate) fn new(grace: Duration) -> Self {
        UnknownFlows { grace, first_seen: HashMap::new(), next_sweep: Duration::ZERO }
    }

    /// Whether a packet of an unknown flow is to be answered with a reset.
    pub(crate) fn is_gone(&mut self, now: Duration, flow: FlowKey) -> bool {
        self.sweep(now);
        if let Some(first_seen) = self.first_seen.get(&flow) {
            if now.saturating_sub(*first_seen) < self.grace {
                return false;
            }
            self.first_seen.remove(&flow);
            return true;
        }
        if self.first_seen.len() < MOST_REMEMBERED {
            self.first_seen.insert(flow, now);
        }
        self.grace.is_zero()
    }

    /// Forgets flows whose callers have given up: a caller's retries double their distance, so one
    /// that is alive comes back within three times the grace.
    fn sweep(&mut self, now: Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + self.grace;
        let keep_for = self.grace * 3;
        self.first_seen.retain(|_, first_seen| now.saturating_sub(*first_seen) < keep_for);
    }
}
