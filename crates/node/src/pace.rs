//! Pauses between tries at something that fails: growing, jittered, so that many processes that
//! lost the same thing do not return at the same moment.

use rand::Rng;
use std::time::Duration;

/// The pauses of one loop of tries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Pace {
    pub(crate) fn new(first: Duration, longest: Duration) -> Self {
        Pace { first, longest, next: first }
    }

    /// Something succeeded: the next pause is the first again.
    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }

    /// Waits for the next try.
    pub(crate) async fn pause(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(self.longest);
    }
}
