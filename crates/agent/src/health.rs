//! Whether the back end beside this agent accepts connections.
//!
//! A dead back end has no flows and so the lowest load: without this check every tour would choose
//! it. The embedder tries a connection when [`BackendHealth::take_due_probe`] says so.

use std::time::Duration;

/// Time from one probe's answer to the next probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The same while the back end does not accept.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What is known of the back end.
#[derive(Debug, Default)]
pub(crate) struct BackendHealth {
    accepts: bool,
    /// When to probe; `None` while a probe is under way or before there is a back end.
    next_probe: Option<Duration>,
}

impl BackendHealth {
    /// A back end that is known from now on; it takes no flow before it has accepted a probe.
    pub(crate) fn start(&mut self, now: Duration) {
        self.next_probe.get_or_insert(now);
    }

    pub(crate) fn accepts(&self) -> bool {
        self.accepts
    }

    pub(crate) fn next_probe(&self) -> Option<Duration> {
        self.next_probe
    }

    /// Whether to probe now.
    pub(crate) fn take_due_probe(&mut self, now: Duration) -> bool {
        let due = self.next_probe.is_some_and(|next| next <= now);
        if due {
            self.next_probe = None;
        }
        due
    }

    /// Takes the answer to a probe.
    pub(crate) fn on_probe(&mut self, now: Duration, accepts: bool) {
        self.accepts = accepts;
        let interval = if accepts { PROBE_INTERVAL } else { RETRY_INTERVAL };
        self.next_probe = Some(now + interval);
    }

    /// A flow's connection was refused: no more flows until a probe is accepted again.
    pub(crate) fn on_refused(&mut self, now: Duration) {
        self.accepts = false;
        if let Some(next) = &mut self.next_probe {
            *next = now + RETRY_INTERVAL;
        }
    }
}
