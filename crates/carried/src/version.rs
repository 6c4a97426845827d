//! What names an operators' document among all others, also when the shared store has come back from an
//! older copy and gives out revisions a second time.
//!
//! A revision names a place in the store's history only together with the era of that history. Across eras
//! it says nothing: of two configurations the operator's own number, which the operator writes again
//! unchanged, tells the later one. Evacuations bear no number: for them the later place counts.
//!
//! Invariants:
//! - Within an era a later revision stands for all that an earlier one stands for.
//! - Two documents of one version whose position is certain say the same, whoever has read or merged them.

use bincode::{Decode, Encode};
use std::fmt;

/// A place in the history of the shared store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Position {
    /// Which history: 1 and more, rising with each return of the store from an older copy. 0 where the
    /// answer may be from before the last return: it counts for less than any other.
    pub era: u64,
    /// The revision in that history.
    pub revision: u64,
}

impl Position {
    /// Whether what stood here certainly belongs to one history: comparing it with a revision of the
    /// same era means something.
    pub fn is_certain(&self) -> bool {
        self.era > 0
    }

    /// Whether the store has come back from an older copy before.
    pub fn follows_restore(&self) -> bool {
        self.era > 1
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}

/// The version of an operators' document. Ordered so that no two documents that differ are equal; which
/// of two is the more complete one is told by [`Version::covers`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Version {
    /// The operator's own number of the configuration; it rises with each. 0 where none is told: then
    /// the position alone counts.
    pub number: u64,
    /// Everything written up to there is in the document.
    pub position: Position,
}

impl Version {
    /// Whether this is the version of a document at all.
    pub fn is_known(&self) -> bool {
        *self != Version::default()
    }

    /// Whether a document of this version lacks nothing that one of the other has.
    pub fn covers(&self, other: &Version) -> bool {
        self.number >= other.number && self.position >= other.position
    }

    /// The least version that covers both.
    #[must_use]
    pub fn join(self, other: Version) -> Version {
        Version {
            number: self.number.max(other.number),
            position: self.position.max(other.position),
        }
    }
}

impl fmt::Display for Version {
    /// As `NUMBER@ERA.REVISION`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.number, self.position)
    }
}
