//! Counts the events that callers report and measures how evenly flows are distributed.

use loftdrift_standin::callers::{BreakCause, CallerEvent};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Number of open flows of one back end that accepts new flows.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) service: &'static str,
    pub(crate) flows: u64,
}

/// Accumulates one ratio per sample: the busiest back end's flows divided by the mean.
#[derive(Clone, Copy, Debug, Default)]
struct Imbalance {
    sum: f64,
    samples: u32,
}

/// Counters of a demo run.
#[derive(Debug)]
pub(crate) struct DemoStats {
    events: mpsc::Receiver<CallerEvent>,
    pub(crate) flows_opened: u64,
    pub(crate) broken_by_cause: BTreeMap<BreakCause, u64>,
    pub(crate) requests_sent: u64,
    /// Complete and correct responses, whether their request ran once or more often.
    pub(crate) valid_responses: u64,
    pub(crate) submissions_answered: u64,
    pub(crate) invalid_responses: u64,
    /// IDs of requests that a back end rejected without running them.
    pub(crate) rejected_requests: Vec<String>,
    pub(crate) misdelivered: u64,
    imbalance: BTreeMap<&'static str, Imbalance>,
}

impl DemoStats {
    /// Empty counters, and the channel on which callers report events to them.
    pub(crate) fn new() -> (Self, mpsc::Sender<CallerEvent>) {
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let stats = DemoStats {
            events,
            flows_opened: 0,
            broken_by_cause: BTreeMap::new(),
            requests_sent: 0,
            valid_responses: 0,
            submissions_answered: 0,
            invalid_responses: 0,
            rejected_requests: Vec::new(),
            misdelivered: 0,
            imbalance: BTreeMap::new(),
        };
        (stats, sender)
    }

    /// Waits for one event and counts it. Never completes once all callers have ended, so that it
    /// can be polled in `select!`.
    pub(crate) async fn collect(&mut self) {
        match self.events.recv().await {
            Some(event) => self.count(event),
            None => std::future::pending().await,
        }
    }

    /// Counts events until all callers have ended.
    pub(crate) async fn collect_rest(&mut self) {
        while let Some(event) = self.events.recv().await {
            self.count(event);
        }
    }

    fn count(&mut self, event: CallerEvent) {
        match event {
            CallerEvent::Opened => self.flows_opened += 1,
            CallerEvent::Broken(cause) => *self.broken_by_cause.entry(cause).or_default() += 1,
            CallerEvent::Sent(_) => self.requests_sent += 1,
            CallerEvent::Completed { submission, .. } => {
                self.valid_responses += 1;
                self.submissions_answered += u64::from(submission);
            }
            CallerEvent::InvalidResponse(_) => self.invalid_responses += 1,
            CallerEvent::Rejected(request) => self.rejected_requests.push(request),
            CallerEvent::Misdelivered(_) => self.misdelivered += 1,
        }
    }

    /// Adds an imbalance sample for each service. `loads` has an entry for each back end that
    /// accepts new flows.
    pub(crate) fn sample_loads(&mut self, loads: &[Load]) {
        let mut by_service: BTreeMap<&'static str, Vec<u64>> = BTreeMap::new();
        for load in loads {
            by_service.entry(load.service).or_default().push(load.flows);
        }
        for (service, flows) in by_service {
            let total: u64 = flows.iter().sum();
            let most = flows.iter().copied().max().unwrap_or(0);
            if total == 0 {
                continue;
            }
            let imbalance = self.imbalance.entry(service).or_default();
            imbalance.sum += most as f64 * flows.len() as f64 / total as f64;
            imbalance.samples += 1;
        }
    }

    /// Mean imbalance per service: the busiest back end's flows divided by the mean, averaged over
    /// all samples.
    pub(crate) fn imbalance(&self) -> BTreeMap<&'static str, f64> {
        let mean = |imbalance: &Imbalance| imbalance.sum / f64::from(imbalance.samples);
        self.imbalance.iter().map(|(service, imbalance)| (*service, mean(imbalance))).collect()
    }

    pub(crate) fn flows_broken(&self) -> u64 {
        self.broken_by_cause.values().sum()
    }
}
