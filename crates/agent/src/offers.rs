//! Offers: new flows that may still be assigned to this agent.
//!
//! Many flows may be opened at once, for example when callers reconnect after a network failure.
//! Their packets visit the candidates within the time that one selection takes, so all would see
//! the same load and select the same back end. An agent therefore adds to its load each packet that
//! it forwards as the least loaded candidate so far, until the packet comes back or the time for
//! that has passed.

use std::collections::VecDeque;
use std::time::Duration;

/// Longer than a selection takes across the zones of a region.
const OFFER_TTL: Duration = Duration::from_millis(30);
/// Bound on memory; further offers are not counted.
const MAX_OFFERS: usize = 4_096;

/// The open offers, by the time at which each was made.
#[derive(Debug, Default)]
pub(crate) struct Offers {
    /// Oldest first.
    sent_at: VecDeque<Duration>,
}

impl Offers {
    /// Number of offers that have not expired. Removes the expired ones.
    pub(crate) fn count(&mut self, now: Duration) -> usize {
        while self.sent_at.front().is_some_and(|sent_at| now.saturating_sub(*sent_at) > OFFER_TTL) {
            self.sent_at.pop_front();
        }
        self.sent_at.len()
    }

    /// A new flow's packet was forwarded with this agent as the least loaded so far.
    pub(crate) fn record(&mut self, now: Duration) {
        if self.sent_at.len() < MAX_OFFERS {
            self.sent_at.push_back(now);
        }
    }

    /// A packet came back to open its flow here: its offer is settled.
    pub(crate) fn complete(&mut self) {
        self.sent_at.pop_front();
    }
}
