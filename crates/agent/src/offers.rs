//! Offers of tours that are still under way.
//!
//! Many flows may be opened at once, as when callers come back after a cut. Their tours pass within
//! the time that one takes, and each would see the same load and choose the same back end. An
//! agent therefore counts the tours that left it as the best so far, until they come back or have
//! had time to.

use std::collections::VecDeque;
use std::time::Duration;

/// Longer than a tour takes between the zones of a region.
const LIFETIME: Duration = Duration::from_millis(30);
/// Most offers that are remembered.
const MOST_OFFERS: usize = 4_096;

/// The offers under way, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Offers {
    made_at: VecDeque<Duration>,
}

impl Offers {
    pub(crate) fn count(&mut self, now: Duration) -> usize {
        while self.made_at.front().is_some_and(|made_at| now.saturating_sub(*made_at) > LIFETIME) {
            self.made_at.pop_front();
        }
        self.made_at.len()
    }

    /// A tour left this agent as the best so far.
    pub(crate) fn make(&mut self, now: Duration) {
        if self.made_at.len() < MOST_OFFERS {
            self.made_at.push_back(now);
        }
    }

    /// A tour came back.
    pub(crate) fn take(&mut self) {
        self.made_at.pop_front();
    }
}
