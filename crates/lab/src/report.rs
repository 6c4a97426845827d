//! A run's figures, and whether they are as stated.

use crate::scenario::Expectations;
use serde::{Deserialize, Serialize};

/// Figures of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Its name.
    pub name: String,
    /// Open flows: largest share over the mean, as the mean over time.
    pub imbalance: f64,
    /// The same under an assigner that knows every load at every moment.
    pub all_knowing: f64,
    /// Busy slots: largest share over the mean, as the mean over time.
    pub busy_imbalance: f64,
}

/// Figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Flows that callers opened.
    pub flows_opened: u64,
    /// Flows that ended before their callers wanted.
    pub flows_broken: u64,
    /// Of these, at most: flows that lived on an agent or back end that died.
    pub flows_lost: u64,
    /// Flows that were still open at the very end.
    pub flows_unfinished: u64,
    /// Requests.
    pub requests_sent: u64,
    /// Whole and right answers.
    pub answered_whole: u64,
    /// Wrong answers.
    pub wrong_answers: u64,
    /// Requests or answers of another service.
    pub misdelivered: u64,
    /// Requests that ran more than once.
    pub doubled: u64,
    /// Flows opened on back ends more than 3 s after they had been told to leave.
    pub opened_after_leaving: u64,
    /// Packets passed on between agents, for each one delivered.
    pub extra_hops: f64,
    /// Datagrams that arrived.
    pub packets: u64,
    /// Per service.
    pub services: Vec<ServiceReport>,
}

impl Report {
    /// Broken flows that no dead agent or back end accounts for, and flows that never ended.
    pub fn unexplained_breaks(&self) -> u64 {
        self.flows_broken.saturating_sub(self.flows_lost) + self.flows_unfinished
    }

    /// What always holds and does not hold here.
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

    /// Stated outcomes that were missed.
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

    /// One line a service, for people.
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
