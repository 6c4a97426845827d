//! How many new flows a cold back end is given.
//!
//! Invariant: no second, wherever it begins, has more new flows than the limit while the back end is
//! cold, whichever balancers offer them.

use std::collections::VecDeque;
use std::time::Duration;

/// The limit holds for every span of this length.
const SPAN: Duration = Duration::from_secs(1);

/// New flows given of late.
#[derive(Debug, Default)]
pub(super) struct ColdGate {
    /// Those of the last [`SPAN`], the oldest first.
    given: VecDeque<Duration>,
    /// An earlier process of the agent may have given flows until shortly before its end.
    forgot_until: Duration,
}

impl ColdGate {
    /// The gate of a process that another one may have gone before.
    pub(super) fn after_restart() -> Self {
        ColdGate { given: VecDeque::new(), forgot_until: SPAN }
    }

    /// The back end began beside this process: no earlier one has given it any flow.
    pub(super) fn know_all(&mut self) {
        self.forgot_until = Duration::ZERO;
    }

    /// How many more may be given now, of `limit` in any second.
    pub(super) fn room(&self, now: Duration, limit: usize) -> usize {
        if now < self.forgot_until {
            return 0;
        }
        let recent = self.given.iter().rev().take_while(|at| now.saturating_sub(**at) < SPAN);
        limit.saturating_sub(recent.count())
    }

    /// A new flow was given.
    pub(super) fn note(&mut self, now: Duration) {
        while self.given.front().is_some_and(|at| now.saturating_sub(*at) >= SPAN) {
            self.given.pop_front();
        }
        self.given.push_back(now);
    }
}
