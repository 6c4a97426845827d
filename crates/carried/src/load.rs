//! What one back end has to do, as the agent beside it sees.

use std::time::Duration;

/// Share of a new measurement in the mean.
const NEW_SHARE: f64 = 0.1;
/// Without measurements, the mean loses half of its distance to the start value in this time, so
/// that a back end that was slow once is tried again.
const FORGET_HALF: Duration = Duration::from_secs(2);
/// The mean before any measurement, in seconds.
const START_SECONDS: f64 = 0.02;

/// Mean time from a request to its answer, measured where no request waited for a slot.
#[derive(Debug)]
pub(crate) struct WorkMeter {
    mean_seconds: f64,
    measured_at: Duration,
}

impl WorkMeter {
    pub(crate) fn new() -> Self {
        WorkMeter { mean_seconds: START_SECONDS, measured_at: Duration::ZERO }
    }

    /// Takes the time of an answer when `in_system` requests shared `capacity` slots: with more
    /// requests than slots, part of the time was spent waiting.
    pub(crate) fn record(&mut self, now: Duration, took: Duration, in_system: u32, capacity: u32) {
        let crowding = (f64::from(in_system) / f64::from(capacity.max(1))).max(1.0);
        let mean = self.mean_seconds(now);
        self.mean_seconds = mean + NEW_SHARE * (took.as_secs_f64() / crowding - mean);
        self.measured_at = now;
    }

    pub(crate) fn mean_seconds(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / FORGET_HALF.as_secs_f64());
        START_SECONDS + (self.mean_seconds - START_SECONDS) * kept
    }
}

/// How many requests may be in the system so that the last one is answered within `budget`.
pub(crate) fn admission_limit(capacity: u32, budget: Duration, work_seconds: f64) -> u32 {
    let rounds = budget.as_secs_f64() / work_seconds.max(0.001);
    let limit = f64::from(capacity) * rounds;
    (limit.min(f64::from(u16::MAX)) as u32).max(capacity)
}
