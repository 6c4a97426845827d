//! How many new flows a cold back end is admitted.
//!
//! Invariant: no second, wherever it begins, has more new flows than the limit while the back end is
//! cold, whichever balancers offer them.

use std::collections::VecDeque;
use std::time::Duration;

/// The limit holds for every span of this length.
const WINDOW: Duration = Duration::from_secs(1);

/// New flows given of late.
#[derive(Debug, Default)]
pub(super) struct ColdRateLimit {
    /// Those of the last [`WINDOW`], the oldest first.
    admitted: VecDeque<Duration>,
    /// An earlier process of the agent may have given flows until shortly before its end.
    blocked_until: Duration,
}

impl ColdRateLimit {
    /// The gate of a process that another one may have gone before.
    pub(super) fn after_restart() -> Self {
        ColdRateLimit { admitted: VecDeque::new(), blocked_until: WINDOW }
    }

    /// The back end began beside this process: no earlier one has given it any flow.
    pub(super) fn clear_restart_block(&mut self) {
        self.blocked_until = Duration::ZERO;
    }

    /// How many more may be given now, of `limit` in any second.
    pub(super) fn remaining(&self, now: Duration, limit: usize) -> usize {
        if now < self.blocked_until {
            return 0;
        }
        let recent = self.admitted.iter().rev().take_while(|at| now.saturating_sub(**at) < WINDOW);
        limit.saturating_sub(recent.count())
    }

    /// A new flow was admitted.
    pub(super) fn note_admitted(&mut self, now: Duration) {
        while self.admitted.front().is_some_and(|at| now.saturating_sub(*at) >= WINDOW) {
            self.admitted.pop_front();
        }
        self.admitted.push_back(now);
    }
}
