//! What became of requests, and the circuit breaker that it moves.

use super::*;
use crate::breaker::BreakerState;
use crate::segment::AnswerOutcome;

/// What became of a request at the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// It was answered.
    Answered,
    /// The back end says that it failed.
    Failed,
    /// The back end did not take it though a slot was free.
    Refused,
    /// The back end did not take it, having more than its slots hold.
    Shed,
    /// The back end broke the flow off.
    Aborted,
    /// No answer came in many times the time that answers take.
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

    /// Whether it speaks against the back end.
    fn is_failure(self) -> bool {
        !matches!(self, RequestOutcome::Answered | RequestOutcome::Shed)
    }
}

impl<F: SegmentFormat> CarriedAgent<F> {
    /// What the first packet of an answer says of a request that began with so many in the system.
    pub(super) fn response_outcome(&self, in_system: u32, datagram: &[u8]) -> RequestOutcome {
        let is_crowded = in_system > u32::from(self.backend.capacity());
        match self.format.answer_outcome(datagram) {
            AnswerOutcome::Answered => RequestOutcome::Answered,
            AnswerOutcome::Failed => RequestOutcome::Failed,
            AnswerOutcome::Refused if is_crowded => RequestOutcome::Shed,
            AnswerOutcome::Refused => RequestOutcome::Refused,
        }
    }

    /// Moves the breaker by a request's outcome.
    pub(super) fn note_outcome(&mut self, now: Duration, flow: &FlowKey, outcome: RequestOutcome) {
        let failed = outcome.is_failure();
        let has_breaker = self.settings.policies.has(Policy::Breaker);
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

    /// Most requests that the breaker lets wait; `None` while it is closed.
    pub(super) fn breaker_limit(&self, now: Duration) -> Option<u32> {
        match self.breaker.state(now) {
            BreakerState::Closed => None,
            BreakerState::Open => Some(0),
            BreakerState::Trial => Some(1),
        }
    }
}
