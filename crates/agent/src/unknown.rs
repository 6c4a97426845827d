//! Flows that no candidate owns.
//!
//! A flow may be unknown because it has ended, or because the nodes that its packet passed do not
//! have the newest configuration yet. Dropping the packet makes the caller's TCP retransmit, which
//! succeeds once the configuration has arrived. Only a flow that stays unknown is reset.

use loftdrift_wire::FlowKey;
use std::collections::HashMap;
use std::time::Duration;

/// Bound on memory: packets of further unknown flows are dropped without a reset.
const MAX_FLOWS: usize = 4_096;

/// The unknown flows and since when they have been unknown.
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

    /// Whether to answer a packet of an unknown flow with a reset.
    pub(crate) fn should_reset(&mut self, now: Duration, flow: FlowKey) -> bool {
        self.sweep(now);
        if let Some(first_seen) = self.first_seen.get(&flow) {
            if now.saturating_sub(*first_seen) < self.grace {
                return false;
            }
            self.first_seen.remove(&flow);
            return true;
        }
        if self.first_seen.len() < MAX_FLOWS {
            self.first_seen.insert(flow, now);
        }
        self.grace.is_zero()
    }

    /// Removes flows whose callers have given up. A caller's retransmission interval doubles each
    /// time, so a caller that is alive sends again within three times the grace time.
    fn sweep(&mut self, now: Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + self.grace;
        let keep_for = self.grace * 3;
        self.first_seen.retain(|_, first_seen| now.saturating_sub(*first_seen) < keep_for);
    }
}
