//! Histograms that cores and their drivers fill in addition to counters.

use prometheus_client::metrics::histogram::{Histogram as Buckets, exponential_buckets};
use std::time::Duration;

/// Upper bound of the first bucket of a histogram of durations, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.000_5;
/// Ratio of the upper bounds of consecutive buckets of durations.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets of durations; the last one ends at about 8 s.
const TIME_BUCKETS: u16 = 15;
/// Number of buckets of a histogram of counts: each number from 1 to this has its own bucket.
const COUNT_BUCKETS: u16 = 12;

/// A named histogram. Clones share their buckets.
#[derive(Clone, Debug)]
pub struct Histogram {
    /// Name, unique in its set, in snake case, with the unit as its last word.
    pub name: &'static str,
    /// Help text, on one line.
    pub help: &'static str,
    pub(crate) buckets: Buckets,
}

impl Histogram {
    /// Creates a histogram of durations in seconds.
    pub fn seconds(name: &'static str, help: &'static str) -> Self {
        let bounds = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, TIME_BUCKETS);
        Histogram { name, help, buckets: Buckets::new(bounds) }
    }

    /// Creates a histogram of small counts.
    pub fn counts(name: &'static str, help: &'static str) -> Self {
        let bounds = (1..=COUNT_BUCKETS).map(f64::from);
        Histogram { name, help, buckets: Buckets::new(bounds) }
    }

    /// Records a duration.
    pub fn observe(&self, duration: Duration) {
        self.buckets.observe(duration.as_secs_f64());
    }

    /// Records a count.
    pub fn observe_count(&self, count: usize) {
        self.buckets.observe(count as f64);
    }
}
