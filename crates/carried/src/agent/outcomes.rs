//! The outcomes of requests, and how they drive the circuit breaker.

use super::*;
use crate::breaker::BreakerState;
use crate::segment::AnswerOutcome;

/// The outcome of a request at the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// The back end answered it.
    Answered,
    /// The back end answered that it failed.
    Failed,
    /// The back end refused it although a slot was free.
    Refused,
    /// The back end refused it because it had more requests than slots.
    Shed,
    /// The back end closed or reset the flow before it answered.
    Aborted,
    /// No answer arrived within many times the usual response time.
    Overdue,
}

impl RequestOutcome {
    fn name(self) -> &'static str {
        match self {
            RequestOutcome::Answered => "answered",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Refused => "refused",
            RequestOutcome::Shed => "shed",
            RequestOutcome::Aborted => "broken_off",
            RequestOutcome::Overdue => "overdue",
        }
    }

    /// Whether it counts as a failure of the back end.
    fn is_failure(self) -> bool {
        !matches!(self, RequestOutcome::Answered | RequestOutcome::Shed)
    }
}

impl<F: SegmentFormat> CarriedAgent<F> {
    /// The outcome by the first packet of the answer. `in_system` flows occupied the back end when
    /// the request began.
    pub(super) fn response_outcome(&self, in_system: u32, datagram: &[u8]) -> RequestOutcome {
        let is_crowded = in_system > u32::from(self.backend.capacity());
        match self.format.answer_outcome(datagram) {
            AnswerOutcome::Answered => RequestOutcome::Answered,
            AnswerOutcome::Failed => RequestOutcome::Failed,
            AnswerOutcome::Refused if is_crowded => RequestOutcome::Shed,
            AnswerOutcome::Refused => RequestOutcome::Refused,
        }
    }

    /// Feeds a request's outcome to the circuit breaker, and counts and logs failures.
    pub(super) fn note_outcome(&mut self, now: Duration, flow: &FlowKey, outcome: RequestOutcome) {
        let failed = outcome.is_failure();
        let has_breaker = self.settings.policies.is_enabled(Policy::Breaker);
        let opened = has_breaker && self.breaker.record(now, failed);
        if failed {
            self.counters.requests_failed += 1;
            log::warn!(
                flow = flow_name(flow).as_str(), outcome = outcome.name(), waiting = self.in_flight,
                capacity = self.backend.capacity(); "request_failed"
            );
        }
        self.counters.breaker_openings += u64::from(opened);
        self.announce_condition_change(now, outcome.name());
    }

    /// Maximum number of flows that may occupy the back end under the circuit breaker; `None` while
    /// it is closed.
    pub(super) fn breaker_limit(&self, now: Duration) -> Option<u32> {
        match self.breaker.state(now) {
            BreakerState::Closed => None,
            BreakerState::Open => Some(0),
            BreakerState::HalfOpen => Some(1),
        }
    }
}
