//! Health check: whether this agent's back end accepts connections.
//!
//! A dead back end has no flows and so the lowest load: without this check it would be selected for
//! every new flow. The embedder holds one idle TCP connection to the back end. It opens the
//! connection when [`BackendHealth::take_due_check`] returns true, and reports when it is accepted
//! and when it ends. A process that dies ends its connections at once, so a dead back end is never
//! given flows.

use std::time::Duration;

/// Time from a refused connection to the next attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Health of the back end.
#[derive(Debug, Default)]
pub(crate) struct BackendHealth {
    accepts: bool,
    /// When to open the health check connection; `None` while it is open or being opened, and
    /// before [`BackendHealth::start`].
    next_check: Option<Duration>,
    started: bool,
    /// Since when the back end has accepted connections without interruption.
    accepts_since: Duration,
}

impl BackendHealth {
    /// Starts the health checks, once. The back end counts as down until it accepts a connection.
    pub(crate) fn start(&mut self, now: Duration) {
        if !std::mem::replace(&mut self.started, true) {
            self.next_check = Some(now);
        }
    }

    pub(crate) fn accepts(&self) -> bool {
        self.accepts
    }

    /// Fraction of the warm-up that is left since the back end came up: 1 at its start, 0 after it.
    /// `ramp` is the length of the warm-up.
    pub(crate) fn warm_up_left(&self, now: Duration, ramp: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.accepts_since);
        if elapsed >= ramp {
            return 0.0;
        }
        1.0 - elapsed.as_secs_f64() / ramp.as_secs_f64()
    }

    pub(crate) fn next_check(&self) -> Option<Duration> {
        self.next_check
    }

    /// Whether to open a health check connection now. Clears the timer if so.
    pub(crate) fn take_due_check(&mut self, now: Duration) -> bool {
        let due = self.next_check.is_some_and(|next| next <= now);
        if due {
            self.next_check = None;
        }
        due
    }

    /// Handles the result of a health check: the connection was accepted, or it was refused or has
    /// ended.
    ///
    /// A connection that ends may only have hit the back end's idle timeout, so the next attempt
    /// follows at once.
    pub(crate) fn on_check_result(&mut self, now: Duration, accepted: bool) {
        if accepted && !self.accepts {
            self.accepts_since = now;
        }
        let ended = std::mem::replace(&mut self.accepts, accepted) && !accepted;
        self.next_check = match accepted {
            true => None,
            false if ended => Some(now),
            false => Some(now + RETRY_INTERVAL),
        };
    }

    /// Handles a flow's failed connection attempt: no more flows until a new health check
    /// connection is accepted.
    pub(crate) fn on_connect_failed(&mut self, now: Duration) {
        self.accepts = false;
        self.next_check = Some(now + RETRY_INTERVAL);
    }
}
