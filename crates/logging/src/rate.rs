//! How many lines of each kind may be written.

use std::collections::HashMap;
use std::time::Duration;

/// Lines a second, and at once after a pause, for one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// For kinds that tell of ordinary work.
    pub ordinary_per_second: u32,
    /// For kinds that tell of failures.
    pub failures_per_second: u32,
}

impl Default for Rates {
    fn default() -> Self {
        Rates { ordinary_per_second: 100, failures_per_second: 200 }
    }
}

/// Most kinds that are told apart.
const MAX_KINDS: usize = 256;

#[derive(Debug, Default)]
struct KindState {
    /// Lines written in the second that is under way.
    written: u32,
    second: u64,
    omitted: u64,
}

/// The limits of all kinds.
#[derive(Debug)]
pub struct RateLimits {
    rates: Rates,
    kinds: HashMap<String, KindState>,
}

impl RateLimits {
    /// Limits that nothing has used yet.
    pub fn new(rates: Rates) -> Self {
        RateLimits { rates, kinds: HashMap::new() }
    }

    /// Whether a line of a kind may be written now: `None` when not, otherwise how many of its kind
    /// were left out since the last one that was.
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
