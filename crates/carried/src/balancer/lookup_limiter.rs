//! How much of a process the search for forgotten flows may take.
//!
//! After a loss of everything each open flow is searched for at once, by processes that have new
//! flows to open at the same time. Searches that are all begun together keep a small balancer busy
//! for many seconds; callers give up meanwhile, ask anew, and the overload feeds itself (Bronson et
//! al., Metastable failures in distributed systems, 2021).
//!
//! No share of the link bounds them: a search costs as many bytes as there are agents, and with a
//! quarter of 10 Mbit/s a system of 300 machines was not whole again 30 s after a zone's loss, where
//! it was after 1.5 s without. Lateness tells of links that choke as well, by what they hold up.
//!
//! Invariants:
//! - Flows whose callers wait for an answer are searched for before all others, each in the order in
//!   which they came.
//! - No more searches are under way than the window allows. It shrinks while the process runs late
//!   and grows while it does not, and is never less than [`MIN_WINDOW`].

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Searches under way at first: what a process with a tenth of a core asks about in a few
/// milliseconds.
const INITIAL_WINDOW: f64 = 128.0;
/// Searches that go on however late the process runs: its flows are found one day.
const MIN_WINDOW: f64 = 4.0;
/// Most searches under way.
const MAX_WINDOW: f64 = 4_096.0;
/// Timers that are later than this take the processor from callers' packets: they wait as long, and
/// the shortest aims of callers are some 100 ms.
const MAX_DELAY: Duration = Duration::from_millis(15);
/// Time between two halvings: what was begun before the last one is still being worked off.
const HALVING_INTERVAL: Duration = Duration::from_millis(100);
/// A search that has found nothing for so long waits for agents that do not answer. It costs little
/// from then on and makes room for another one.
const ACTIVE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two looks at the searches that wait: their questions share messages.
const START_INTERVAL: Duration = Duration::from_millis(4);

/// The searches that wait, and how many may be under way.
#[derive(Debug)]
pub(super) struct LookupLimiter {
    is_limited: bool,
    window: f64,
    halved_at: Duration,
    /// Searches under way, by when they began.
    active: BTreeSet<(Duration, u64)>,
    /// Searches not begun whose callers wait for an answer.
    urgent: VecDeque<u64>,
    /// All others not begun.
    others: VecDeque<u64>,
    next_look: Option<Duration>,
}

impl LookupLimiter {
    /// Nothing to search for; without a bound where that is asked for.
    pub(super) fn new(is_limited: bool) -> Self {
        LookupLimiter {
            is_limited,
            window: INITIAL_WINDOW,
            halved_at: Duration::ZERO,
            active: BTreeSet::new(),
            urgent: VecDeque::new(),
            others: VecDeque::new(),
            next_look: None,
        }
    }

    /// Searches that may be under way at once.
    pub(super) fn window(&self) -> u64 {
        self.window as u64
    }

    /// Searches that have not begun; some may be over.
    pub(super) fn waiting(&self) -> usize {
        self.urgent.len() + self.others.len()
    }

    /// A search is to begin when it may.
    pub(super) fn enqueue(&mut self, now: Duration, number: u64, is_urgent: bool) {
        match is_urgent {
            true => self.urgent.push_back(number),
            false => self.others.push_back(number),
        }
        self.next_look.get_or_insert(now);
    }

    /// A search has come to its end.
    pub(super) fn note_settled(&mut self, now: Duration, began_at: Duration, number: u64) {
        if self.active.remove(&(began_at, number))
            && now.saturating_sub(self.halved_at) > HALVING_INTERVAL
        {
            self.window = (self.window + 1.0).min(MAX_WINDOW);
        }
    }

    /// The process runs so late.
    pub(super) fn note_scheduling_delay(&mut self, now: Duration, scheduling_delay: Duration) {
        let is_settled = now.saturating_sub(self.halved_at) >= HALVING_INTERVAL;
        if scheduling_delay > MAX_DELAY && is_settled {
            self.window = (self.window / 2.0).max(MIN_WINDOW);
            self.halved_at = now;
        }
    }

    pub(super) fn next_look(&self) -> Option<Duration> {
        self.next_look
    }

    /// Whether it is time to begin searches that wait.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.next_look.is_some_and(|next| next <= now)
    }

    /// As many searches as may have begun; those that wait are looked at again in a moment.
    pub(super) fn schedule_next(&mut self, now: Duration) {
        self.next_look = (self.waiting() > 0).then_some(now + START_INTERVAL);
    }

    /// Searches that have been under way for long make room for others.
    fn expire_active(&mut self, now: Duration) {
        while let Some((began_at, _)) = self.active.first() {
            if now.saturating_sub(*began_at) < ACTIVE_TIMEOUT {
                return;
            }
            self.active.pop_first();
        }
    }

    /// The next search to look at, if one more may begin.
    pub(super) fn pop(&mut self, now: Duration) -> Option<u64> {
        self.expire_active(now);
        let is_full = self.is_limited && self.active.len() as f64 >= self.window;
        if is_full {
            return None;
        }
        self.urgent.pop_front().or_else(|| self.others.pop_front())
    }

    /// A search begins.
    pub(super) fn note_started(&mut self, now: Duration, number: u64) {
        self.active.insert((now, number));
    }
}
