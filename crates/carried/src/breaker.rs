//! The circuit breaker of one back end, as `charts/breaker.toml` describes it.
//!
//! A back end may call itself healthy and fail what it is asked; one that fails at once even looks
//! the fastest of all. Its answers tell.

use loftdrift_charts::{ChartNames, TypedChart};
use std::sync::LazyLock;
use std::time::Duration;

/// Share of a new outcome in the share of failures.
const NEW_SHARE: f64 = 0.15;
/// The breaker opens when failures make up so much; two in a row are enough, one never is.
const TRIPS_AT: f64 = 0.25;
/// Good answers in a row that close the breaker.
const RECOVERED_AFTER: u32 = 5;
/// First rest of a back end that fails.
const FIRST_REST: Duration = Duration::from_secs(1);
/// Longest rest: it doubles with each failure that follows soon.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// A breaker that has been closed for so long begins with the first rest again.
const STEADY_AFTER: Duration = Duration::from_secs(10);

static CHART: LazyLock<TypedChart<BreakerState, BreakerEvent>> = LazyLock::new(|| {
    let text = include_str!("../../../charts/breaker.toml");
    // Built into the program; a test reads it.
    TypedChart::parse("charts/breaker.toml", text).expect("a chart without findings")
});

/// Where the breaker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BreakerState {
    Closed,
    Open,
    Trial,
}

impl ChartNames for BreakerState {
    const NAMES: &'static [(Self, &'static str)] =
        &[(Self::Closed, "closed"), (Self::Open, "open"), (Self::Trial, "trial")];
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakerEvent {
    Tripped,
    Rested,
    Recovered,
    Failed,
}

impl ChartNames for BreakerEvent {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Tripped, "tripped"),
        (Self::Rested, "rested"),
        (Self::Recovered, "recovered"),
        (Self::Failed, "failed"),
    ];
}

/// The breaker.
#[derive(Debug)]
pub(crate) struct Breaker {
    state: BreakerState,
    /// Failures among the latest outcomes, 0 to 1.
    failing: f64,
    /// Good answers in a row while on trial.
    good: u32,
    /// How long the rest under way lasts.
    rest: Duration,
    /// How long the one after it will last; twice as long, unless the breaker stays closed.
    next_rest: Duration,
    /// When the state changed last.
    since: Duration,
}

impl Breaker {
    pub(crate) fn new() -> Self {
        Breaker {
            state: CHART.initial(),
            failing: 0.0,
            good: 0,
            rest: FIRST_REST,
            next_rest: FIRST_REST,
            since: Duration::ZERO,
        }
    }

    /// Where it stands at `now`.
    pub(crate) fn state(&self, now: Duration) -> BreakerState {
        let is_rested = now.saturating_sub(self.since) >= self.rest;
        match self.state {
            BreakerState::Open if is_rested => CHART.next_state(self.state, BreakerEvent::Rested),
            state => state,
        }
    }

    /// When the rest under way is over.
    pub(crate) fn rests_until(&self) -> Option<Duration> {
        (self.state == BreakerState::Open).then_some(self.since + self.rest)
    }

    /// Goes on trial when the rest is over.
    pub(crate) fn wake(&mut self, now: Duration) {
        self.step(now, self.state(now));
    }

    /// Takes a request's outcome; `true` when it opens the breaker.
    pub(crate) fn record(&mut self, now: Duration, failed: bool) -> bool {
        self.failing += NEW_SHARE * (f64::from(u8::from(failed)) - self.failing);
        self.wake(now);
        let Some(event) = self.event(failed) else { return false };
        self.step(now, CHART.next_state(self.state, event));
        self.state == BreakerState::Open
    }

    fn event(&mut self, failed: bool) -> Option<BreakerEvent> {
        match (self.state, failed) {
            (BreakerState::Closed, true) if self.failing >= TRIPS_AT => Some(BreakerEvent::Tripped),
            (BreakerState::Trial, true) => Some(BreakerEvent::Failed),
            (BreakerState::Trial, false) => {
                self.good += 1;
                (self.good >= RECOVERED_AFTER).then_some(BreakerEvent::Recovered)
            }
            _ => None,
        }
    }

    fn step(&mut self, now: Duration, to: BreakerState) {
        let from = std::mem::replace(&mut self.state, to);
        if from == to {
            return;
        }
        let lasted = now.saturating_sub(self.since);
        if from == BreakerState::Closed && lasted >= STEADY_AFTER {
            self.next_rest = FIRST_REST;
        }
        match to {
            BreakerState::Open => self.begin_rest(),
            BreakerState::Closed => self.failing = 0.0,
            BreakerState::Trial => {}
        }
        self.good = 0;
        self.since = now;
    }

    fn begin_rest(&mut self) {
        self.rest = self.next_rest;
        self.next_rest = (self.rest * 2).min(LONGEST_REST);
    }
}
