//! Estimates this process's own scheduling delay: how late it runs its timers.
//!
//! A process that gets too little processor time finds its timers overdue, and answers in its
//! socket buffers that arrived long ago. Peers that then seem silent are not (cf. local health in
//! Lifeguard, Dadgar et al., 2018). So timeouts for answers grow with the process's own delay, and
//! while it is delayed no missing answer counts against a peer.

use std::time::Duration;

/// Half-life of a recorded delay: a few iterations of the event loop of a process that is short of
/// processor time.
const HALF_LIFE: Duration = Duration::from_millis(200);
/// Delay that is normal for a process with enough processor time: one scheduler tick.
const TOLERANCE: Duration = Duration::from_millis(5);
/// Timeouts grow by a multiple of the delay, since the loop iteration that reads the answer may be
/// as late as the one that started the timeout.
const DELAY_FACTOR: u32 = 2;
/// Maximum extension of a timeout; by then callers have given up.
const MAX_EXTENSION: Duration = Duration::from_millis(400);

/// Largest recent delay, which decays exponentially.
#[derive(Debug, Default)]
pub(super) struct SchedulingDelay {
    worst: Duration,
    noted_at: Duration,
}

impl SchedulingDelay {
    /// Records that a timer was due at `due` and runs at `now`.
    pub(super) fn note(&mut self, now: Duration, due: Duration) {
        let delay = now.saturating_sub(due);
        if delay >= self.current(now) {
            self.worst = delay;
            self.noted_at = now;
        }
    }

    /// The recent delay; zero if it is within the tolerance.
    pub(super) fn current(&self, now: Duration) -> Duration {
        let halves = now.saturating_sub(self.noted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let worst = self.worst.mul_f64(0.5_f64.powf(halves));
        if worst > TOLERANCE { worst } else { Duration::ZERO }
    }

    /// Whether the process is so delayed that a missing answer must not count against a peer.
    pub(super) fn is_delayed(&self, now: Duration) -> bool {
        !self.current(now).is_zero()
    }

    /// A timeout for an answer, extended by the current delay.
    pub(super) fn extend_timeout(&self, now: Duration, timeout: Duration) -> Duration {
        timeout + (self.current(now) * DELAY_FACTOR).min(MAX_EXTENSION)
    }
}
