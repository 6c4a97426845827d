//! Results of a run, checked against invariants and the scenario's expectations.

use crate::scenario::Expectations;
use serde::{Deserialize, Serialize};

/// Results of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub name: String,
    /// Open flows per back end: the largest count over the mean count, averaged over time.
    pub imbalance: f64,
    /// The same for an assigner that always knows the current loads, on the same flows.
    pub all_knowing: f64,
    /// Busy slots per back end: the largest count over the mean count, averaged over time.
    pub busy_imbalance: f64,
}

/// Results of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Flows that callers opened.
    pub flows_opened: u64,
    /// Flows that ended before their last answer was complete.
    pub flows_broken: u64,
    /// Flows that were open at an agent or back end when it was killed. At most this many of
    /// `flows_broken` are due to such deaths.
    pub flows_lost: u64,
    /// Flows that were still open when the run ended.
    pub flows_unfinished: u64,
    /// Requests that callers sent.
    pub requests_sent: u64,
    /// Complete answers. Wrong content is counted in `wrong_answers`.
    pub answered_whole: u64,
    /// Answers with a wrong header or body.
    pub wrong_answers: u64,
    /// Requests that reached a back end of another service, and answers from one.
    pub misdelivered: u64,
    /// Requests that back ends executed more than once.
    pub doubled: u64,
    /// Flows opened on a leaving back end more than 3 s after the command to leave was accepted.
    pub opened_after_leaving: u64,
    /// Packets that one agent forwarded to another, per packet delivered to a back end.
    pub extra_hops: f64,
    /// Datagrams that arrived at any simulated node.
    pub packets: u64,
    /// Results of each service, in the order of the scenario.
    pub services: Vec<ServiceReport>,
}

impl Report {
    /// Broken flows that the death of an agent or back end does not account for, and flows that
    /// never ended.
    pub fn unexplained_breaks(&self) -> u64 {
        self.flows_broken.saturating_sub(self.flows_lost) + self.flows_unfinished
    }

    /// Descriptions of the invariants that the run violated. They must hold in every scenario.
    pub fn violated_invariants(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for (name, count) in [
            ("flows broken though their back end lived", self.unexplained_breaks()),
            ("wrong answers", self.wrong_answers),
            ("misdelivered", self.misdelivered),
            ("requests run twice", self.doubled),
            ("flows opened on a back end that had left", self.opened_after_leaving),
        ] {
            if count > 0 {
                broken.push(format!("{count} {name}"));
            }
        }
        broken
    }

    /// Descriptions of violated invariants and of the scenario's expectations that were missed.
    pub fn missed_expectations(&self, expect: &Expectations) -> Vec<String> {
        let mut missed = self.violated_invariants();
        if let Some(most) = expect.flows_broken.filter(|most| self.unexplained_breaks() > *most) {
            missed
                .push(format!("{} flows broken, stated at most {most}", self.unexplained_breaks()));
        }
        for service in &self.services {
            let ratio = service.imbalance / service.all_knowing;
            for (name, value, most) in [
                ("imbalance", service.imbalance, expect.imbalance),
                ("imbalance over the all-knowing assigner's", ratio, expect.imbalance_ratio),
            ] {
                if let Some(most) = most.filter(|most| value > *most) {
                    let service = &service.name;
                    missed.push(format!("{name} of {service} {value:.3}, stated at most {most}"));
                }
            }
        }
        if let Some(most) = expect.extra_hops.filter(|most| self.extra_hops > *most) {
            missed.push(format!("extra hops {:.3}, stated at most {most}", self.extra_hops));
        }
        missed
    }

    /// A summary for people: one line for the run and one for each service.
    pub fn summary(&self) -> String {
        let mut text = format!(
            "seed {}: {} flows, {} broken ({} by death of their back end), {} requests, {} whole, \
             {} doubled, {:.3} extra hops, {} datagrams\n",
            self.seed,
            self.flows_opened,
            self.flows_broken,
            self.flows_broken.min(self.flows_lost),
            self.requests_sent,
            self.answered_whole,
            self.doubled,
            self.extra_hops,
            self.packets,
        );
        for service in &self.services {
            text.push_str(&format!(
                "  {}: imbalance {:.3} ({:.3} of the all-knowing assigner's {:.3}), busy slots \
                 {:.3}\n",
                service.name,
                service.imbalance,
                service.imbalance / service.all_knowing,
                service.all_knowing,
                service.busy_imbalance,
            ));
        }
        text
    }
}
