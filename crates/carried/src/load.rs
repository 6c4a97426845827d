//! Measures how busy one back end is, as seen by the agent beside it.

use std::time::Duration;

/// Minimum weight of a new sample in the moving mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Requests admitted per slot at most until enough answers were measured.
const UNMEASURED_REQUESTS_PER_SLOT: f64 = 2.0;
/// Answers per slot that make a reliable mean: with fewer, all of them may be short or long.
const MIN_ANSWERS_PER_SLOT: u32 = 2;
/// Minimum number of answers for a reliable mean, whatever the number of slots.
const MIN_ANSWERS: u32 = 8;

/// Mean time that a request occupies a slot: busy slot time divided by the number of answers.
///
/// The time of unfinished requests counts too. The first answers to come are those of the shortest
/// requests; a mean over answers alone would be too low and admit 50 % more requests than can be
/// answered in time.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimeMeter {
    /// Busy slot time and number of answers; both decay by the same factor.
    busy_seconds: f64,
    answers: f64,
    /// Number of busy slots since `updated_at`.
    busy: u32,
    updated_at: Duration,
    last_answer_at: Duration,
    /// Number of answers so far.
    total_answers: u32,
}

impl ServiceTimeMeter {
    /// Sets the number of requests in progress, on `capacity` slots.
    pub(crate) fn note_working(&mut self, now: Duration, working: u32, capacity: u32) {
        self.add_busy_time(now);
        self.busy = working.min(capacity);
    }

    fn add_busy_time(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.busy_seconds += elapsed * f64::from(self.busy);
        self.updated_at = now;
    }

    /// Counts an answer.
    pub(crate) fn record(&mut self, now: Duration) {
        self.add_busy_time(now);
        self.total_answers = self.total_answers.saturating_add(1);
        // A plain mean until the weight of a new answer has fallen to its minimum.
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.total_answers));
        let decay = if weight > MIN_SAMPLE_WEIGHT { 1.0 } else { 1.0 - weight };
        self.busy_seconds *= decay;
        self.answers = (self.answers + 1.0) * decay;
        self.last_answer_at = now;
    }

    /// The mean in seconds; `None` before the first answer.
    fn mean_seconds(&self) -> Option<f64> {
        (self.answers > 0.0).then(|| self.busy_seconds / self.answers)
    }

    /// The mean in microseconds; 0 before the first answer.
    pub(crate) fn mean_us(&self) -> u32 {
        (self.mean_seconds().unwrap_or(0.0) * 1e6) as u32
    }

    /// Milliseconds since the last answer.
    pub(crate) fn measured_ms_ago(&self, now: Duration) -> u32 {
        let age = now.saturating_sub(self.last_answer_at).as_millis();
        u32::try_from(age).unwrap_or(u32::MAX)
    }

    /// Mean latency of a request that starts with this many requests in the system; zero before the
    /// first answer.
    pub(crate) fn expected_latency(&self, in_system: u32, capacity: u32) -> Duration {
        let load_per_slot = (f64::from(in_system) / f64::from(capacity.max(1))).max(1.0);
        Duration::from_secs_f64(self.mean_seconds().unwrap_or(0.0) * load_per_slot)
    }

    /// How many requests may be in the system so that the last one is answered within `budget`.
    pub(crate) fn admission_limit(&self, capacity: u32, budget: Duration) -> u32 {
        let per_slot = match self.mean_seconds() {
            Some(mean) => budget.as_secs_f64() / mean.max(MIN_MEAN_SECONDS),
            None => UNMEASURED_REQUESTS_PER_SLOT,
        };
        let is_reliable = self.total_answers >= (capacity * MIN_ANSWERS_PER_SLOT).max(MIN_ANSWERS);
        let per_slot =
            if is_reliable { per_slot } else { per_slot.min(UNMEASURED_REQUESTS_PER_SLOT) };
        let limit = f64::from(capacity) * per_slot;
        (limit.min(f64::from(u16::MAX)) as u32).max(capacity)
    }
}

/// Lower bound of the mean when computing the admission limit.
const MIN_MEAN_SECONDS: f64 = 0.001;
