//! Limits how many flow lookups run concurrently, with a window that adapts to the process's own
//! scheduling delay (additive increase, multiplicative decrease).
//!
//! After all balancers have restarted, every open flow is looked up at once, by processes that have
//! to place new flows at the same time. If all lookups started together, they would keep a small
//! balancer busy for many seconds; callers would give up and retry meanwhile, and the overload
//! would sustain itself (Bronson et al., Metastable failures in distributed systems, 2021).
//!
//! Lookups are not limited to a share of the link's bandwidth: a lookup costs bytes in proportion
//! to the number of agents, and limited to a quarter of 10 Mbit/s a system of 300 machines had not
//! recovered 30 s after the loss of a zone, against 1.5 s without that limit. A congested link
//! shows in the scheduling delay as well, through the work that it holds up.
//!
//! Invariants:
//! - Lookups whose callers wait for an answer start before all others; within each of the two
//!   groups they start in order of arrival.
//! - No more lookups are active than the window allows. It shrinks while the process is delayed,
//!   grows while it is not, and is never smaller than [`MIN_WINDOW`].

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Initial window: as many lookups as a process with a tenth of a core can start within a few
/// milliseconds.
const INITIAL_WINDOW: f64 = 128.0;
/// Smallest window, so that lookups make progress however delayed the process is.
const MIN_WINDOW: f64 = 4.0;
/// Largest window.
const MAX_WINDOW: f64 = 4_096.0;
/// Scheduling delay above which the window is halved. Callers' packets wait as long as timers do,
/// and the shortest latency targets are about 100 ms.
const MAX_DELAY: Duration = Duration::from_millis(15);
/// Minimum time between two halvings: lookups that started before the last one still cause delay.
const HALVING_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unfinished lookup no longer counts as active: it waits for agents that do
/// not answer, which costs little, so another lookup may start.
const ACTIVE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two rounds that start waiting lookups, so that their queries share messages.
const START_INTERVAL: Duration = Duration::from_millis(4);

/// The lookups that wait, and the window of those that may be active.
#[derive(Debug)]
pub(super) struct LookupLimiter {
    is_limited: bool,
    window: f64,
    halved_at: Duration,
    /// Active lookups, by start time.
    active: BTreeSet<(Duration, u64)>,
    /// Waiting lookups whose callers wait for an answer.
    urgent: VecDeque<u64>,
    /// All other waiting lookups.
    others: VecDeque<u64>,
    next_start: Option<Duration>,
}

impl LookupLimiter {
    /// Creates a limiter without lookups; it never limits if `is_limited` is `false`.
    pub(super) fn new(is_limited: bool) -> Self {
        LookupLimiter {
            is_limited,
            window: INITIAL_WINDOW,
            halved_at: Duration::ZERO,
            active: BTreeSet::new(),
            urgent: VecDeque::new(),
            others: VecDeque::new(),
            next_start: None,
        }
    }

    /// Maximum number of active lookups.
    pub(super) fn window(&self) -> u64 {
        self.window as u64
    }

    /// Number of lookups that have not started; some of them may have ended since.
    pub(super) fn waiting(&self) -> usize {
        self.urgent.len() + self.others.len()
    }

    /// Adds a lookup that starts as soon as the window allows it.
    pub(super) fn enqueue(&mut self, now: Duration, number: u64, is_urgent: bool) {
        match is_urgent {
            true => self.urgent.push_back(number),
            false => self.others.push_back(number),
        }
        self.next_start.get_or_insert(now);
    }

    /// Records that a lookup has its result or has ended, and widens the window if it was active.
    pub(super) fn note_settled(&mut self, now: Duration, began_at: Duration, number: u64) {
        if self.active.remove(&(began_at, number))
            && now.saturating_sub(self.halved_at) > HALVING_INTERVAL
        {
            self.window = (self.window + 1.0).min(MAX_WINDOW);
        }
    }

    /// Halves the window if the process's scheduling delay is too long.
    pub(super) fn note_scheduling_delay(&mut self, now: Duration, delay: Duration) {
        let is_settled = now.saturating_sub(self.halved_at) >= HALVING_INTERVAL;
        if delay > MAX_DELAY && is_settled {
            self.window = (self.window / 2.0).max(MIN_WINDOW);
            self.halved_at = now;
        }
    }

    pub(super) fn next_start(&self) -> Option<Duration> {
        self.next_start
    }

    /// Whether it is time to start waiting lookups.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.next_start.is_some_and(|next| next <= now)
    }

    /// Schedules the next round if lookups still wait.
    pub(super) fn schedule_next(&mut self, now: Duration) {
        self.next_start = (self.waiting() > 0).then_some(now + START_INTERVAL);
    }

    /// Stops counting lookups as active that have run for too long.
    fn expire_active(&mut self, now: Duration) {
        while let Some((began_at, _)) = self.active.first() {
            if now.saturating_sub(*began_at) < ACTIVE_TIMEOUT {
                return;
            }
            self.active.pop_first();
        }
    }

    /// Takes the next lookup to start, if the window allows one more.
    pub(super) fn pop(&mut self, now: Duration) -> Option<u64> {
        self.expire_active(now);
        let is_full = self.is_limited && self.active.len() as f64 >= self.window;
        if is_full {
            return None;
        }
        self.urgent.pop_front().or_else(|| self.others.pop_front())
    }

    /// Records that a lookup has started.
    pub(super) fn note_started(&mut self, now: Duration, number: u64) {
        self.active.insert((now, number));
    }
}
