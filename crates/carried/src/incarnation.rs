//! Starts of back ends, and which of two starts is the later.
//!
//! A back end may start again under the id that it had. Where it tells when it was born, id and birth
//! together name a start; where it does not, the id alone does.
//!
//! Invariants:
//! - Of two starts under one id the one that was born later is the later, in whatever order their
//!   words arrive.
//! - Births are compared under one id only: back ends of other ids may have told them by clocks that
//!   differ by seconds.

use std::fmt;

/// Names one start of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// The back end's id, which the next start may have again.
    pub id: String,
    /// When it started, in milliseconds of Unix time by its own clock; `None` where it tells none.
    pub started_at_ms: Option<u64>,
}

/// How one start stands to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartOrder {
    /// They are the same start.
    Same,
    /// Under the same id, and born later.
    Later,
    /// Under the same id, and born earlier.
    Earlier,
    /// Under the same id, but this word tells no birth where the other start did.
    MissingStartTime,
    /// Under another id.
    OtherId,
}

impl Incarnation {
    /// A start that tells no birth.
    pub fn without_start_time(id: impl Into<String>) -> Self {
        Incarnation { id: id.into(), started_at_ms: None }
    }

    /// How this start stands to another.
    pub(crate) fn compare(&self, other: &Incarnation) -> StartOrder {
        if self.id != other.id {
            return StartOrder::OtherId;
        }
        match (self.started_at_ms, other.started_at_ms) {
            (None, Some(_)) => StartOrder::MissingStartTime,
            (mine, theirs) if mine == theirs => StartOrder::Same,
            // A back end that tells its birth from now on has started anew.
            (mine, theirs) if mine > theirs => StartOrder::Later,
            _ => StartOrder::Earlier,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at_ms {
            Some(born_ms) => write!(formatter, "{}@{born_ms}", self.id),
            None => formatter.write_str(&self.id),
        }
    }
}
