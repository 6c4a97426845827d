//! Pauses between tries at something that fails: growing, jittered, so that many processes that
//! lost the same thing do not return at the same moment.

use rand::Rng;
use std::time::Duration;

/// The pauses of one loop of tries.
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

    /// Something succeeded: the next pause is the first again.
    pub(crate) fn reset(&mut self) {
        self.next = self.initial;
    }

    /// Waits for the next try.
    pub(crate) async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(self.max);
    }
}
