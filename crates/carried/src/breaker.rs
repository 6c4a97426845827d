//! Circuit breaker for one back end, with the states and events of `charts/breaker.toml`.
//!
//! A back end may report itself healthy and still fail every request; one that fails immediately
//! even appears to be the fastest. The breaker therefore judges by the outcomes of requests.

use loftdrift_charts::{ChartNames, TypedChart};
use std::sync::LazyLock;
use std::time::Duration;

/// Weight of the latest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Failure rate at which the breaker opens: two failures in a row reach it, a single one never
/// does.
const TRIP_THRESHOLD: f64 = 0.25;
/// Consecutive successes after which a half-open breaker closes.
const RECOVERY_SUCCESSES: u32 = 5;
/// How long the breaker stays open the first time.
const INITIAL_OPEN_DURATION: Duration = Duration::from_secs(1);
/// Upper bound of the open duration, which doubles with each failure that soon follows the last.
const MAX_OPEN_DURATION: Duration = Duration::from_secs(4);
/// The open duration returns to its initial value once the breaker has been closed for this long.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(10);

static CHART: LazyLock<TypedChart<BreakerState, BreakerEvent>> = LazyLock::new(|| {
    let text = include_str!("../../../charts/breaker.toml");
    // The text is compiled in, and a test parses it.
    TypedChart::parse("charts/breaker.toml", text).expect("charts/breaker.toml must be valid")
});

/// State of the breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BreakerState {
    Closed,
    Open,
    HalfOpen,
}

impl ChartNames for BreakerState {
    const NAMES: &'static [(Self, &'static str)] =
        &[(Self::Closed, "closed"), (Self::Open, "open"), (Self::HalfOpen, "trial")];
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakerEvent {
    Tripped,
    OpenExpired,
    Recovered,
    Failed,
}

impl ChartNames for BreakerEvent {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Tripped, "tripped"),
        (Self::OpenExpired, "rested"),
        (Self::Recovered, "recovered"),
        (Self::Failed, "failed"),
    ];
}

#[derive(Debug)]
pub(crate) struct Breaker {
    state: BreakerState,
    /// Moving average of failures among the latest outcomes, from 0 to 1.
    failure_rate: f64,
    /// Consecutive successes in the half-open state.
    successes: u32,
    /// Length of the current or last open period.
    open_duration: Duration,
    /// Length of the next open period: twice the last one, up to the maximum, unless the breaker
    /// has stayed closed for long enough in between.
    next_open_duration: Duration,
    /// Time of the last state change.
    state_since: Duration,
}

impl Breaker {
    pub(crate) fn new() -> Self {
        Breaker {
            state: CHART.initial(),
            failure_rate: 0.0,
            successes: 0,
            open_duration: INITIAL_OPEN_DURATION,
            next_open_duration: INITIAL_OPEN_DURATION,
            state_since: Duration::ZERO,
        }
    }

    /// The state at `now`; an open breaker whose open period has passed counts as half-open.
    pub(crate) fn state(&self, now: Duration) -> BreakerState {
        let is_expired = now.saturating_sub(self.state_since) >= self.open_duration;
        match self.state {
            BreakerState::Open if is_expired => {
                CHART.next_state(self.state, BreakerEvent::OpenExpired)
            }
            state => state,
        }
    }

    /// When the open period ends; `None` unless the breaker is open.
    pub(crate) fn open_until(&self) -> Option<Duration> {
        (self.state == BreakerState::Open).then_some(self.state_since + self.open_duration)
    }

    /// Becomes half-open once the open period has passed.
    pub(crate) fn advance(&mut self, now: Duration) {
        self.transition(now, self.state(now));
    }

    /// Records the outcome of a request; returns `true` if this outcome opens the breaker.
    pub(crate) fn record(&mut self, now: Duration, failed: bool) -> bool {
        self.failure_rate += OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        self.advance(now);
        let Some(event) = self.event(failed) else { return false };
        self.transition(now, CHART.next_state(self.state, event));
        self.state == BreakerState::Open
    }

    fn event(&mut self, failed: bool) -> Option<BreakerEvent> {
        match (self.state, failed) {
            (BreakerState::Closed, true) if self.failure_rate >= TRIP_THRESHOLD => {
                Some(BreakerEvent::Tripped)
            }
            (BreakerState::HalfOpen, true) => Some(BreakerEvent::Failed),
            (BreakerState::HalfOpen, false) => {
                self.successes += 1;
                (self.successes >= RECOVERY_SUCCESSES).then_some(BreakerEvent::Recovered)
            }
            _ => None,
        }
    }

    fn transition(&mut self, now: Duration, to: BreakerState) {
        let from = std::mem::replace(&mut self.state, to);
        if from == to {
            return;
        }
        let elapsed = now.saturating_sub(self.state_since);
        if from == BreakerState::Closed && elapsed >= BACKOFF_RESET_AFTER {
            self.next_open_duration = INITIAL_OPEN_DURATION;
        }
        match to {
            BreakerState::Open => self.start_open(),
            BreakerState::Closed => self.failure_rate = 0.0,
            BreakerState::HalfOpen => {}
        }
        self.successes = 0;
        self.state_since = now;
    }

    fn start_open(&mut self) {
        self.open_duration = self.next_open_duration;
        self.next_open_duration = (self.open_duration * 2).min(MAX_OPEN_DURATION);
    }
}
