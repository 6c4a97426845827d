//! Limits how many repeated offers the new flows of one service may cause.
//!
//! While a service is full, every agent declines the flows it is offered. Asking more agents then
//! finds little room and takes processor time on both sides that ordinary flows need; whatever is
//! late because of that is retried, so that the overload sustains itself (Bronson et al.,
//! Metastable failures in distributed systems, 2021). As in a retry budget, placed flows earn the
//! repeated offers of others.

use std::time::Duration;

/// Offers per flow that do not draw on the budget.
pub(crate) const FREE_OFFERS: u32 = 2;
/// Repeated offers earned by each placed flow; without overload one flow in ten needs any.
const EARNED_PER_PLACEMENT: f64 = 1.0;
/// Repeated offers earned per second, so that a service in which no flow is placed is still tried.
const EARNED_PER_SECOND: f64 = 10.0;
/// Repeated offers that one flow may need.
const REPEATS_PER_FLOW: f64 = 2.0;
/// Maximum balance: enough for the repeated offers of a few flows that arrive together.
const MAX_BALANCE: f64 = 40.0;

/// Balance of repeated offers of one service, a token bucket.
#[derive(Debug)]
pub(crate) struct OfferBudget {
    balance: f64,
    refilled_at: Duration,
}

impl OfferBudget {
    pub(crate) fn new(now: Duration) -> Self {
        OfferBudget { balance: MAX_BALANCE, refilled_at: now }
    }

    fn earn(&mut self, offers: f64) {
        self.balance = (self.balance + offers).min(MAX_BALANCE);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.earn(elapsed * EARNED_PER_SECOND);
    }

    /// Adds what a placed flow earns.
    pub(crate) fn note_placed(&mut self) {
        self.earn(EARNED_PER_PLACEMENT);
    }

    /// Whether the balance is below what one flow may need: an offer for the queue of a third
    /// back end and one for an agent's wait queue.
    pub(crate) fn is_exhausted(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.balance < REPEATS_PER_FLOW
    }

    /// Pays for one offer of a flow that has been offered `made` times before; returns `false` if
    /// the offer must not be made.
    pub(crate) fn take(&mut self, now: Duration, made: u32) -> bool {
        if made < FREE_OFFERS {
            return true;
        }
        self.refill(now);
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
