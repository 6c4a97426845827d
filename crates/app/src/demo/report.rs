//! The demo's result and the guarantees it checks.

use super::cluster::DemoCluster;
use super::stats::DemoStats;
use crate::ctl::{Format, format_table};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The result, which `--format json` prints as a JSON object with these field names.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    seconds: f64,
    flows_opened: u64,
    flows_broken: u64,
    broken_by_cause: BTreeMap<String, u64>,
    requests_sent: u64,
    /// Requests with a complete and correct response that ran exactly once.
    answered_whole_once: u64,
    submissions_answered: u64,
    /// Incomplete or incorrect responses.
    wrong_answers: u64,
    /// Requests that ran more than once.
    doubled: u64,
    /// Requests that a back end rejected with status 503 because its queue was full.
    refused_not_run: u64,
    /// Rejected requests that ran all the same.
    refused_but_run: u64,
    /// Requests answered by a back end of another service.
    misdelivered: u64,
    /// Flows opened on the drained back end after the drain had to be effective.
    opened_after_drain: u64,
    /// Distinct configuration revisions on running balancers and agents at the end.
    revisions_in_force: Vec<u64>,
    /// Per service: flows of its busiest back end divided by the mean, averaged over the run.
    imbalance: BTreeMap<&'static str, f64>,
    /// Mean traffic per balancer or agent for configuration and probes.
    control_bytes_per_second: f64,
    promises_held: bool,
}

impl Report {
    pub(super) fn new(
        stats: &DemoStats,
        cluster: &DemoCluster,
        executions: &BTreeMap<String, u64>,
        elapsed: Duration,
    ) -> Report {
        let doubled = executions.values().filter(|runs| **runs > 1).count() as u64;
        let refused = &stats.rejected_requests;
        let refused_but_run = refused.iter().filter(|request| executions.contains_key(*request));
        let broken = stats.broken_by_cause.iter();
        let mut report = Report {
            seconds: elapsed.as_secs_f64(),
            flows_opened: stats.flows_opened,
            flows_broken: stats.flows_broken(),
            broken_by_cause: broken
                .map(|(cause, count)| (format!("{cause:?}").to_lowercase(), *count))
                .collect(),
            requests_sent: stats.requests_sent,
            answered_whole_once: stats.valid_responses - doubled,
            submissions_answered: stats.submissions_answered,
            wrong_answers: stats.invalid_responses,
            doubled,
            refused_not_run: refused.len() as u64,
            refused_but_run: refused_but_run.count() as u64,
            misdelivered: stats.misdelivered,
            opened_after_drain: cluster.opened_after_drain(),
            revisions_in_force: cluster.revisions(),
            imbalance: stats.imbalance(),
            control_bytes_per_second: cluster.control_bytes_per_second(),
            promises_held: false,
        };
        report.promises_held = report.all_guarantees_hold();
        report
    }

    /// Whether all guarantees held: no flow broke, each request ran at most once and was either
    /// answered correctly or rejected without running, the drained back end got no new flow, and
    /// all balancers and agents ended with the same configuration.
    fn all_guarantees_hold(&self) -> bool {
        let answered = self.answered_whole_once + self.refused_not_run;
        self.flows_opened > 0
            && self.flows_broken == 0
            && self.doubled == 0
            && self.wrong_answers == 0
            && self.misdelivered == 0
            && self.refused_but_run == 0
            && self.opened_after_drain == 0
            && self.revisions_in_force.len() == 1
            && answered == self.requests_sent
    }

    pub(super) fn guarantees_held(&self) -> bool {
        self.promises_held
    }

    pub(super) fn render(&self, format: Format) -> String {
        match format {
            // Serializing plain data with string keys cannot fail.
            Format::Json => serde_json::to_string(self).unwrap_or_default(),
            Format::Table => self.render_table(),
        }
    }

    fn render_table(&self) -> String {
        let mut rows: Vec<Vec<String>> = Vec::new();
        let mut row = |name: &str, value: String| rows.push(vec![name.to_owned(), value]);
        row("flows opened", self.flows_opened.to_string());
        row("flows broken", self.flows_broken.to_string());
        for (cause, count) in &self.broken_by_cause {
            row(&format!("  {cause}"), count.to_string());
        }
        row("requests sent", self.requests_sent.to_string());
        row("answered whole and once", self.answered_whole_once.to_string());
        row("  of these submissions", self.submissions_answered.to_string());
        row("wrong answers", self.wrong_answers.to_string());
        row("doubled", self.doubled.to_string());
        row("refused as not run", self.refused_not_run.to_string());
        row("refused but run", self.refused_but_run.to_string());
        row("misdelivered", self.misdelivered.to_string());
        row("opened on the drained back end", self.opened_after_drain.to_string());
        row("revisions in force", format!("{:?}", self.revisions_in_force));
        for (service, imbalance) in &self.imbalance {
            row(&format!("imbalance of {service}"), format!("{imbalance:.3}"));
        }
        row("control bytes a second", format!("{:.0}", self.control_bytes_per_second));
        row("promises held", if self.promises_held { "yes" } else { "NO" }.to_owned());
        format_table(&["measure", "value"], &rows)
    }
}
