//! Histograms that cores and shells fill, beside their counters.

use prometheus_client::metrics::histogram::{Histogram as Buckets, exponential_buckets};
use std::time::Duration;

/// Upper bound of the first bucket of times, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.000_5;
/// Each bucket of times is so many times as wide as the one before.
const BUCKET_FACTOR: f64 = 2.0;
/// Buckets of times: up to 8 s.
const TIME_BUCKETS: u16 = 15;
/// Buckets of counts: each number up to this has its own.
const COUNT_BUCKETS: u16 = 12;

/// A named histogram. Clones share their buckets.
#[derive(Clone, Debug)]
pub struct Histogram {
    /// Name, unique in the set, in snake case; the unit is its last word.
    pub name: &'static str,
    /// One line of help.
    pub help: &'static str,
    pub(crate) buckets: Buckets,
}

impl Histogram {
    /// A histogram of times, in seconds.
    pub fn seconds(name: &'static str, help: &'static str) -> Self {
        let bounds = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, TIME_BUCKETS);
        Histogram { name, help, buckets: Buckets::new(bounds) }
    }

    /// A histogram of small numbers.
    pub fn counts(name: &'static str, help: &'static str) -> Self {
        let bounds = (1..=COUNT_BUCKETS).map(f64::from);
        Histogram { name, help, buckets: Buckets::new(bounds) }
    }

    /// Takes a time.
    pub fn observe(&self, duration: Duration) {
        self.buckets.observe(duration.as_secs_f64());
    }

    /// Takes a number.
    pub fn observe_count(&self, count: usize) {
        self.buckets.observe(count as f64);
    }
}
