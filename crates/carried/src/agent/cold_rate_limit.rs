//! Limits the rate of new flows given to a cold back end.
//!
//! Invariant: while the back end is cold, no span of one second, wherever it begins, contains more
//! new flows than the limit, whichever balancers offer them.

use std::collections::VecDeque;
use std::time::Duration;

/// The limit holds for every span of this length (a sliding window).
const WINDOW: Duration = Duration::from_secs(1);

/// Times at which the back end was given new flows recently.
#[derive(Debug, Default)]
pub(super) struct ColdRateLimit {
    /// Times within the last [`WINDOW`], the oldest first.
    admitted: VecDeque<Duration>,
    /// No flow is given before this time: an earlier process of the agent, of whose flows this one
    /// knows nothing, may have given flows until shortly before this one started.
    blocked_until: Duration,
}

impl ColdRateLimit {
    /// The state at the start of a process that may replace an earlier one of the same agent.
    pub(super) fn after_restart() -> Self {
        ColdRateLimit { admitted: VecDeque::new(), blocked_until: WINDOW }
    }

    /// Lifts the restriction of [`ColdRateLimit::after_restart`]: the back end started while this
    /// process ran, so no earlier process has given it any flow.
    pub(super) fn clear_restart_block(&mut self) {
        self.blocked_until = Duration::ZERO;
    }

    /// How many more flows may be given now, with at most `limit` in any second.
    pub(super) fn remaining(&self, now: Duration, limit: usize) -> usize {
        if now < self.blocked_until {
            return 0;
        }
        let recent = self.admitted.iter().rev().take_while(|at| now.saturating_sub(**at) < WINDOW);
        limit.saturating_sub(recent.count())
    }

    /// Records that a new flow was given to the back end.
    pub(super) fn note_admitted(&mut self, now: Duration) {
        while self.admitted.front().is_some_and(|at| now.saturating_sub(*at) >= WINDOW) {
            self.admitted.pop_front();
        }
        self.admitted.push_back(now);
    }
}
