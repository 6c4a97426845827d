//! Counts of flows, requests and faults that callers and back ends observed in a run.

use std::collections::BTreeMap;
use std::fmt;

/// Counts of a run.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Flows that callers opened.
    pub flows_opened: u64,
    /// Flows that ended before their last answer was complete.
    pub flows_broken: u64,
    /// Flows that were open at an agent or back end when it was killed.
    pub flows_lost: u64,
    /// Flows whose callers received every answer.
    pub flows_finished: u64,
    /// Requests that callers sent.
    pub requests_sent: u64,
    /// Complete answers. Wrong content is counted in `wrong_answers`.
    pub answered_whole: u64,
    /// Answers with a wrong header or body.
    pub wrong_answers: u64,
    /// Answers or requests that reached another service.
    pub misdelivered: u64,
    /// How often a back end executed each request, by request ID.
    pub executions: BTreeMap<u64, u64>,
}

impl fmt::Debug for Outcome {
    /// Shows only two counts of `executions`: requests run, and requests run more than once.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Outcome")
            .field("flows_opened", &self.flows_opened)
            .field("flows_broken", &self.flows_broken)
            .field("flows_lost", &self.flows_lost)
            .field("flows_finished", &self.flows_finished)
            .field("requests_sent", &self.requests_sent)
            .field("answered_whole", &self.answered_whole)
            .field("wrong_answers", &self.wrong_answers)
            .field("misdelivered", &self.misdelivered)
            .field("requests_run", &self.executions.len())
            .field("doubled", &self.duplicate_executions())
            .finish()
    }
}

impl Outcome {
    /// Requests that ran more than once.
    pub fn duplicate_executions(&self) -> u64 {
        self.executions.values().filter(|executions| **executions > 1).count() as u64
    }

    /// Flows that neither finished nor broke.
    pub fn flows_unfinished(&self) -> u64 {
        self.flows_opened - self.flows_broken - self.flows_finished
    }

    /// Whether every flow finished, every request got a complete and correct answer from its own
    /// service, and no request ran twice.
    pub fn is_clean(&self) -> bool {
        self.flows_opened > 0
            && self.flows_finished == self.flows_opened
            && self.answered_whole == self.requests_sent
            && self.wrong_answers == 0
            && self.misdelivered == 0
            && self.duplicate_executions() == 0
    }
}
