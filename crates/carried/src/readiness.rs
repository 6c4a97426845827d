//! Whether a back end's report that it takes new flows can be relied on.
//!
//! A heartbeat may arrive seconds after it was sent, when its sender has long reported that it
//! leaves: to an earlier process of this agent, or to this one under an id that it had not heard
//! before. Such a reason for doubt begins a *verification*. Until it ends, no new flow is accepted.
//! It ends when
//! - the back end's health page, requested after the beginning, answers that it takes flows, or
//! - a heartbeat arrives so long after the beginning that it was sent after it: a back end that has
//!   sent a departure notice sends no more heartbeats, and one that drains says so in each.

use std::time::Duration;

/// Heartbeats are delayed by a few seconds at most.
pub(crate) const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(5);

/// Whether the reported readiness is verified.
#[derive(Debug)]
pub(crate) struct Readiness {
    /// When the verification began; `None` if there is none.
    unverified_since: Option<Duration>,
    /// Number of verifications so far.
    verification: u32,
}

impl Readiness {
    /// Readiness of a back end of which no earlier process can have heard. It needs no
    /// verification.
    pub(crate) fn verified() -> Self {
        Readiness { unverified_since: None, verification: 0 }
    }

    /// Readiness as an agent's process knows it that starts at zero and may follow another one.
    pub(crate) fn after_restart() -> Self {
        Readiness { unverified_since: Some(Duration::ZERO), verification: 0 }
    }

    /// Begins a verification because of what was received at `since`, also if one is in progress.
    pub(crate) fn verify(&mut self, since: Duration) {
        self.unverified_since = self.unverified_since.max(Some(since));
        self.verification += 1;
    }

    pub(crate) fn is_verified(&self) -> bool {
        self.unverified_since.is_none()
    }

    /// Number of the current verification, for the health check that belongs to it.
    pub(crate) fn verification(&self) -> u32 {
        self.verification
    }

    /// Notes a heartbeat of the start in force, which takes new flows.
    pub(crate) fn note_heartbeat(&mut self, now: Duration) {
        let was_sent_after = |since| now.saturating_sub(since) >= MAX_HEARTBEAT_DELAY;
        self.unverified_since = self.unverified_since.filter(|since| !was_sent_after(*since));
    }

    /// Notes that the health page, requested during a verification, answered that the back end
    /// takes flows. Returns whether it is the current verification.
    pub(crate) fn note_healthy(&mut self, verification: u32) -> bool {
        let is_current = verification == self.verification;
        self.unverified_since = self.unverified_since.filter(|_| !is_current);
        is_current
    }
}
