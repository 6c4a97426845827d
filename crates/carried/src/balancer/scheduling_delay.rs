//! How late this process runs.
//!
//! A process that gets too little of its processor finds its timers overdue, and answers waiting that
//! came long ago. Whoever it holds to be silent then is not (Lifeguard's local health, Dadgar et al.,
//! 2018): its patience grows with its own lateness, and while it is late no silence counts against
//! anybody.

use std::time::Duration;

/// Half of a lateness is forgotten in this time: a few turns of a process that is short of processor.
const HALF_LIFE: Duration = Duration::from_millis(200);
/// Timers may be as late in calm; a scheduler's tick.
const TOLERANCE: Duration = Duration::from_millis(5);
/// Waits grow by the time of a late turn twice: the one that reads the answer may be as late.
const DELAY_FACTOR: u32 = 2;
/// No wait grows by more: beyond that callers have gone.
const MAX_EXTENSION: Duration = Duration::from_millis(400);

/// The lateness of the last turns.
#[derive(Debug, Default)]
pub(super) struct SchedulingDelay {
    worst: Duration,
    noted_at: Duration,
}

impl SchedulingDelay {
    /// A timer was due at `due` and is served at `now`.
    pub(super) fn note(&mut self, now: Duration, due: Duration) {
        let late = now.saturating_sub(due);
        if late >= self.current(now) {
            self.worst = late;
            self.noted_at = now;
        }
    }

    /// How late the process has been lately; zero in calm.
    pub(super) fn current(&self, now: Duration) -> Duration {
        let halves = now.saturating_sub(self.noted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let worst = self.worst.mul_f64(0.5_f64.powf(halves));
        if worst > TOLERANCE { worst } else { Duration::ZERO }
    }

    /// Whether the process is too late to hold silence against anybody.
    pub(super) fn is_delayed(&self, now: Duration) -> bool {
        !self.current(now).is_zero()
    }

    /// A wait for an answer, as long as it takes at this lateness.
    pub(super) fn extend_timeout(&self, now: Duration, wait: Duration) -> Duration {
        wait + (self.current(now) * DELAY_FACTOR).min(MAX_EXTENSION)
    }
}
