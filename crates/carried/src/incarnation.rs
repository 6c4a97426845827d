//! Identifies starts of back ends, and decides which of two starts is the later one.
//!
//! A back end may restart under the same id. If it reports its start time, id and start time
//! together identify a start; otherwise the id alone does.
//!
//! Invariants:
//! - Of two starts under one id, the one with the later start time is the later one, in whatever
//!   order their reports arrive.
//! - Start times are compared only under one id: back ends with other ids may have taken
//!   theirs from clocks that differ by seconds.

use std::fmt;

/// Identifies one start of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// The back end's id; the next start may reuse it.
    pub id: String,
    /// Start time in milliseconds of Unix time by the back end's own clock; `None` if not reported.
    pub started_at_ms: Option<u64>,
}

/// Relation of one start to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartOrder {
    /// Both are the same start.
    Same,
    /// Same id, later start time.
    Later,
    /// Same id, earlier start time.
    Earlier,
    /// Same id, but this report has no start time while the other start has one.
    MissingStartTime,
    /// Another id.
    OtherId,
}

impl Incarnation {
    /// A start that reports no start time.
    pub fn without_start_time(id: impl Into<String>) -> Self {
        Incarnation { id: id.into(), started_at_ms: None }
    }

    /// Compares this start with another.
    pub(crate) fn compare(&self, other: &Incarnation) -> StartOrder {
        if self.id != other.id {
            return StartOrder::OtherId;
        }
        match (self.started_at_ms, other.started_at_ms) {
            (None, Some(_)) => StartOrder::MissingStartTime,
            (own, theirs) if own == theirs => StartOrder::Same,
            // A back end that did not report its start time before and does now has restarted.
            (own, theirs) if own > theirs => StartOrder::Later,
            _ => StartOrder::Earlier,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at_ms {
            Some(started_at_ms) => write!(formatter, "{}@{started_at_ms}", self.id),
            None => formatter.write_str(&self.id),
        }
    }
}
