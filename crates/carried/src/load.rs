//! What one back end has to do, as the agent beside it sees.

use std::time::Duration;

/// Share of a new measurement in the mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Slots' worth of requests that are taken at most before enough was measured.
const UNMEASURED_REQUESTS_PER_SLOT: f64 = 2.0;
/// So many answers a slot are enough: those of fewer may all be short or long.
const MIN_ANSWERS_PER_SLOT: u32 = 2;
/// ... and never fewer than this.
const MIN_ANSWERS: u32 = 8;

/// Mean time that a request keeps a slot: the time that slots were busy for each answer.
///
/// Requests still at work count with the time they have had. A mean over answers alone is that of the
/// shortest requests while the first ones come, and lets in half as much again as can be answered in time.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimeMeter {
    /// Time that slots were busy, and answers in it; the same share of both is forgotten.
    busy_seconds: f64,
    answers: f64,
    /// Slots that are busy, since when that is so.
    busy: u32,
    counted_at: Duration,
    measured_at: Duration,
    /// Answers so far.
    measured: u32,
}

impl ServiceTimeMeter {
    /// So many requests are at work from now on, on `capacity` slots.
    pub(crate) fn note_working(&mut self, now: Duration, working: u32, capacity: u32) {
        self.count(now);
        self.busy = working.min(capacity);
    }

    fn count(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.busy_seconds += elapsed * f64::from(self.busy);
        self.counted_at = now;
    }

    /// Takes an answer.
    pub(crate) fn record(&mut self, now: Duration) {
        self.count(now);
        self.measured = self.measured.saturating_add(1);
        // A plain mean until the share of a new answer has fallen to its usual size.
        let share = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.measured));
        let kept = if share > MIN_SAMPLE_WEIGHT { 1.0 } else { 1.0 - share };
        self.busy_seconds *= kept;
        self.answers = (self.answers + 1.0) * kept;
        self.measured_at = now;
    }

    /// The mean in seconds; `None` before any answer.
    fn mean_seconds(&self) -> Option<f64> {
        (self.answers > 0.0).then(|| self.busy_seconds / self.answers)
    }

    /// The mean in microseconds; 0 when nothing was measured.
    pub(crate) fn mean_us(&self) -> u32 {
        (self.mean_seconds().unwrap_or(0.0) * 1e6) as u32
    }

    /// Milliseconds since the last measurement.
    pub(crate) fn measured_ms_ago(&self, now: Duration) -> u32 {
        let age = now.saturating_sub(self.measured_at).as_millis();
        u32::try_from(age).unwrap_or(u32::MAX)
    }

    /// Mean time until an answer for a request that begins with so many in the system; nothing when
    /// no request was measured.
    pub(crate) fn expected_latency(&self, in_system: u32, capacity: u32) -> Duration {
        let crowding = (f64::from(in_system) / f64::from(capacity.max(1))).max(1.0);
        Duration::from_secs_f64(self.mean_seconds().unwrap_or(0.0) * crowding)
    }

    /// How many requests may be in the system so that the last one is answered within `budget`.
    pub(crate) fn admission_limit(&self, capacity: u32, budget: Duration) -> u32 {
        let rounds = match self.mean_seconds() {
            Some(mean) => budget.as_secs_f64() / mean.max(MIN_MEAN_SECONDS),
            None => UNMEASURED_REQUESTS_PER_SLOT,
        };
        let is_enough = self.measured >= (capacity * MIN_ANSWERS_PER_SLOT).max(MIN_ANSWERS);
        let rounds = if is_enough { rounds } else { rounds.min(UNMEASURED_REQUESTS_PER_SLOT) };
        let limit = f64::from(capacity) * rounds;
        (limit.min(f64::from(u16::MAX)) as u32).max(capacity)
    }
}

/// Least mean that a limit is reckoned with.
const MIN_MEAN_SECONDS: f64 = 0.001;
