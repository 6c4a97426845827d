//! Whether the back end beside this agent accepts connections.
//!
//! A dead back end has no flows and so the lowest load: without this check every tour would choose
//! it. The embedder holds one idle connection to the back end: it opens one when
//! [`BackendHealth::take_due_watch`] says so and reports when it is accepted and when it ends. A
//! process that dies ends its connections at once, so there is no time in which a dead back end
//! takes flows.

use std::time::Duration;

/// Time from a refused connection to the next try.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What is known of the back end.
#[derive(Debug, Default)]
pub(crate) struct BackendHealth {
    accepts: bool,
    /// When to open the watching connection; `None` while there is one or none is wanted yet.
    next_watch: Option<Duration>,
    started: bool,
    /// Since when the back end accepts connections without a break.
    accepts_since: Duration,
}

impl BackendHealth {
    /// A back end that is known from now on; it takes no flow before it has accepted a connection.
    pub(crate) fn start(&mut self, now: Duration) {
        if !std::mem::replace(&mut self.started, true) {
            self.next_watch = Some(now);
        }
    }

    pub(crate) fn accepts(&self) -> bool {
        self.accepts
    }

    /// How much of the ramp of a back end that has just come up is still before it, from 1 to 0.
    pub(crate) fn coldness(&self, now: Duration, ramp: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.accepts_since);
        if elapsed >= ramp {
            return 0.0;
        }
        1.0 - elapsed.as_secs_f64() / ramp.as_secs_f64()
    }

    pub(crate) fn next_watch(&self) -> Option<Duration> {
        self.next_watch
    }

    /// Whether to open a watching connection now.
    pub(crate) fn take_due_watch(&mut self, now: Duration) -> bool {
        let due = self.next_watch.is_some_and(|next| next <= now);
        if due {
            self.next_watch = None;
        }
        due
    }

    /// The watching connection was accepted, or was refused or has ended.
    ///
    /// One that ends may only have been idle too long: the next is tried at once.
    pub(crate) fn on_watch(&mut self, now: Duration, accepted: bool) {
        if accepted && !self.accepts {
            self.accepts_since = now;
        }
        let ended = std::mem::replace(&mut self.accepts, accepted) && !accepted;
        self.next_watch = match accepted {
            true => None,
            false if ended => Some(now),
            false => Some(now + RETRY_INTERVAL),
        };
    }

    /// A flow's connection was refused: no more flows until a new watching connection is accepted.
    pub(crate) fn on_refused(&mut self, now: Duration) {
        self.accepts = false;
        self.next_watch = Some(now + RETRY_INTERVAL);
    }
}
