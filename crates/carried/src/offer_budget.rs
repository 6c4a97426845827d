//! How many offers the flows of one service may cost.
//!
//! While a service is full each flow is declined by whoever it is offered to. Asking more agents finds
//! little room then and costs both sides the processor that calm flows need; what is late for that is
//! asked again, and the overload feeds itself (Bronson et al., Metastable failures in distributed
//! systems, 2021). As with retry budgets, flows that are placed pay for the repeated offers of others.

use std::time::Duration;

/// Offers of one flow that cost nothing.
pub(crate) const FREE_OFFERS: u32 = 2;
/// Repeated offers that a placed flow pays for: in calm one in ten flows needs any.
const EARNED: f64 = 1.0;
/// Repeated offers a second that cost nothing, so that a service in which nothing is placed is tried.
const EARNED_A_SECOND: f64 = 10.0;
/// Repeated offers that one flow may need.
const NEEDED: f64 = 2.0;
/// Most that is saved: the repeated offers of a few flows that come together.
const MOST: f64 = 40.0;

/// What is left for repeated offers.
#[derive(Debug)]
pub(crate) struct OfferBudget {
    left: f64,
    counted_at: Duration,
}

impl OfferBudget {
    pub(crate) fn new(now: Duration) -> Self {
        OfferBudget { left: MOST, counted_at: now }
    }

    fn earn(&mut self, offers: f64) {
        self.left = (self.left + offers).min(MOST);
    }

    fn count(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.counted_at = now;
        self.earn(elapsed * EARNED_A_SECOND);
    }

    /// A flow was placed.
    pub(crate) fn note_placed(&mut self) {
        self.earn(EARNED);
    }

    /// Whether less is left than one flow may need: a queue at a third agent, and a line.
    pub(crate) fn is_exhausted(&mut self, now: Duration) -> bool {
        self.count(now);
        self.left < NEEDED
    }

    /// Takes what one offer costs, the flow having made `made` before; `false` when it may not be
    /// made.
    pub(crate) fn take(&mut self, now: Duration, made: u32) -> bool {
        if made < FREE_OFFERS {
            return true;
        }
        self.count(now);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
