//! Whether a back end's report that it takes new flows can be relied on.
//!
//! A heartbeat may arrive seconds after it was sent, when its sender has long reported that it
//! leaves: to an earlier process of this agent, or to this one under an id that it had not heard
//! before. Such a reason for doubt begins a *verification*. Until it ends, no new flow is accepted.
//! It ends when a heartbeat arrives so long after the beginning that it was sent after it: a back
//! end that has sent a departure notice sends no more heartbeats, and one that drains says so in
//! each.
//!
//! Where the only reason is that the agent's process has just started, a favourable answer of the
//! back end's health page lets it accept flows before, for as long as heartbeats keep arriving. The
//! page may lie, also about a back end that leaves, so it ends no verification, and counts for
//! nothing once a start is known to have left.

use std::time::Duration;

/// Heartbeats are delayed by a few seconds at most.
pub(crate) const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(5);
/// How long a favourable health page is relied on after its answer and after each heartbeat: a back
/// end that takes flows sends two in this time, and one that has left sends none.
const MAX_PRESUMED: Duration = Duration::from_secs(3);

/// Whether the reported readiness can be relied on.
#[derive(Debug)]
pub(crate) struct Readiness {
    /// When the verification began; `None` if there is none.
    unverified_since: Option<Duration>,
    /// Whether the health page counts.
    is_page_evidence: bool,
    /// Whether it has answered that the back end takes flows.
    is_page_favourable: bool,
    /// Until when its answer is relied on.
    presumed_until: Option<Duration>,
}

impl Readiness {
    /// Readiness of a back end of which no earlier process can have heard. It needs no
    /// verification.
    pub(crate) fn verified() -> Self {
        Readiness {
            unverified_since: None,
            is_page_evidence: true,
            is_page_favourable: false,
            presumed_until: None,
        }
    }

    /// Readiness as an agent's process knows it that starts at zero and may follow another one.
    pub(crate) fn after_restart() -> Self {
        Readiness { unverified_since: Some(Duration::ZERO), ..Readiness::verified() }
    }

    /// Begins a verification, also if one is in progress: heartbeats that were sent before `since`
    /// do not count, nor does the health page.
    pub(crate) fn verify(&mut self, since: Duration) {
        *self = Readiness {
            unverified_since: self.unverified_since.max(Some(since)),
            is_page_evidence: false,
            is_page_favourable: false,
            presumed_until: None,
        };
    }

    /// Ends the verification: the start that takes flows is certainly the latest one.
    pub(crate) fn confirm(&mut self) {
        self.unverified_since = None;
    }

    /// Whether a heartbeat's word that the back end takes flows can be relied on.
    pub(crate) fn is_reliable(&self) -> bool {
        self.unverified_since.is_none() || self.is_presumed()
    }

    /// Whether the health page's word is relied on.
    pub(crate) fn is_presumed(&self) -> bool {
        self.presumed_until.is_some()
    }

    /// Whether an answer of the health page is needed.
    pub(crate) fn needs_health_check(&self, has_reported: bool) -> bool {
        let is_needed = !has_reported || self.unverified_since.is_some();
        is_needed && self.is_page_evidence && !self.is_page_favourable
    }

    /// Notes a heartbeat of the start in force, which takes new flows.
    pub(crate) fn note_heartbeat(&mut self, now: Duration) {
        let was_sent_after = |since| now.saturating_sub(since) >= MAX_HEARTBEAT_DELAY;
        self.unverified_since = self.unverified_since.filter(|since| !was_sent_after(*since));
        let is_presumed = self.unverified_since.is_some() && self.is_page_favourable;
        self.presumed_until = is_presumed.then_some(now + MAX_PRESUMED);
    }

    /// Notes that the health page has answered that the back end takes flows.
    pub(crate) fn note_healthy(&mut self, now: Duration) {
        if self.is_page_evidence {
            self.is_page_favourable = true;
            self.presumed_until = Some(now + MAX_PRESUMED);
        }
    }

    /// Until when the health page's word is relied on.
    pub(crate) fn presumed_until(&self) -> Option<Duration> {
        self.presumed_until
    }

    /// Ends the reliance on the health page if it is due.
    pub(crate) fn expire_presumption(&mut self, now: Duration) {
        self.presumed_until = self.presumed_until.filter(|until| now < *until);
    }
}
