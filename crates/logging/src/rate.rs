//! Rate limits per kind of log line.

use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of lines of one kind per second. They may all be written in a burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Limit for lines below level `warn`.
    pub ordinary_per_second: u32,
    /// Limit for lines of level `warn` or above.
    pub failures_per_second: u32,
}

impl Default for Rates {
    fn default() -> Self {
        Rates { ordinary_per_second: 100, failures_per_second: 200 }
    }
}

/// Maximum number of kinds that are tracked; lines of any further kind are not written.
const MAX_KINDS: usize = 256;

/// The rate limit of one kind.
#[derive(Debug, Default)]
struct KindState {
    /// Lines written in the current second.
    written: u32,
    /// The current second, counted from the start of the logger.
    second: u64,
    /// Lines suppressed since the last one that was written.
    omitted: u64,
}

/// The rate limits of all kinds.
#[derive(Debug)]
pub struct RateLimits {
    rates: Rates,
    kinds: HashMap<String, KindState>,
}

impl RateLimits {
    /// Creates limits with no lines counted yet.
    pub fn new(rates: Rates) -> Self {
        RateLimits { rates, kinds: HashMap::new() }
    }

    /// Checks whether a line of a kind may be written now. Returns `None` if not, otherwise how
    /// many lines of that kind were suppressed since the last one that was written.
    pub fn admit(&mut self, now: Duration, kind: &str, is_failure: bool) -> Option<u64> {
        if !self.kinds.contains_key(kind) {
            if self.kinds.len() >= MAX_KINDS {
                return None;
            }
            self.kinds.insert(kind.to_owned(), KindState::default());
        }
        let limit = match is_failure {
            true => self.rates.failures_per_second,
            false => self.rates.ordinary_per_second,
        };
        let state = self.kinds.get_mut(kind)?;
        if state.second != now.as_secs() {
            state.second = now.as_secs();
            state.written = 0;
        }
        if state.written >= limit {
            state.omitted += 1;
            return None;
        }
        state.written += 1;
        Some(std::mem::take(&mut state.omitted))
    }
}
