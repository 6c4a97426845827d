//! What a run has shown.

use std::collections::BTreeMap;
use std::fmt;

/// Counts of a run.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Flows that callers opened.
    pub flows_opened: u64,
    /// Flows that ended before their last answer.
    pub flows_broken: u64,
    /// Flows that died with the agent or back end on which they lived.
    pub flows_lost: u64,
    /// Flows that ended as their callers wanted.
    pub flows_finished: u64,
    /// Requests that callers sent.
    pub requests_sent: u64,
    /// Whole and right answers.
    pub answered_whole: u64,
    /// Answers that were not the ones asked for.
    pub wrong_answers: u64,
    /// Answers or requests that reached another service.
    pub misdelivered: u64,
    /// How often each request ran.
    pub executions: BTreeMap<u64, u64>,
}

impl fmt::Debug for Outcome {
    /// Everything but the list of runs, of which only the doubled ones are counted.
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

    /// Whether every flow finished, every request was answered whole, and none ran twice.
    pub fn is_clean(&self) -> bool {
        self.flows_opened > 0
            && self.flows_finished == self.flows_opened
            && self.answered_whole == self.requests_sent
            && self.wrong_answers == 0
            && self.misdelivered == 0
            && self.duplicate_executions() == 0
    }
}
