//! Exponential backoff with jitter, so that many processes that lost the same dependency do not
//! retry at the same moment.

use rand::Rng;
use std::time::Duration;

/// The delays of one retry loop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) fn new(initial: Duration, max: Duration) -> Self {
        Backoff { initial, max, next: initial }
    }

    /// Starts again with the initial delay, after a success.
    pub(crate) fn reset(&mut self) {
        self.next = self.initial;
    }

    /// Waits before the next attempt.
    pub(crate) async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(self.max);
    }
}
