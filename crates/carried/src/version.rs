//! Versions of the operators' document, comparable also after the shared store was restored from an
//! older copy and reuses revisions.
//!
//! A revision identifies a point in the store's history only together with the era of that history.
//! Across eras revisions cannot be compared. Of two configurations, the one with the operator's
//! higher number is the later one; the operator keeps that number when it writes a lost
//! configuration again. Evacuations have no number: for them the later position counts.
//!
//! Invariants:
//! - Within an era, a later revision includes everything that an earlier one includes.
//! - Two documents with the same version and a certain position have the same content, whichever
//!   node has read or merged them.

use bincode::{Decode, Encode};
use std::fmt;

/// A point in the history of the shared store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Position {
    /// The era, which starts at 1 and increases with each restore of the store from an older copy.
    /// 0 if the answer may be from before the last restore; it is then lower than any other.
    pub era: u64,
    /// The store's revision in that era.
    pub revision: u64,
}

impl Position {
    /// Whether the position certainly belongs to one era, so that revisions of that era can be
    /// compared with it.
    pub fn is_certain(&self) -> bool {
        self.era > 0
    }

    /// Whether the store was ever restored from an older copy.
    pub fn follows_restore(&self) -> bool {
        self.era > 1
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}

/// The version of an operators' document. The order is total: no two different documents are equal.
/// [`Version::covers`] decides which of two is more complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Version {
    /// The operator's own number of the configuration, which increases with each one. 0 if none is
    /// given; then the position alone counts.
    pub number: u64,
    /// The document includes everything written up to this position.
    pub position: Position,
}

impl Version {
    /// Whether this is the version of an actual document, not the default.
    pub fn is_known(&self) -> bool {
        *self != Version::default()
    }

    /// Whether a document of this version includes everything in one of the other version.
    pub fn covers(&self, other: &Version) -> bool {
        self.number >= other.number && self.position >= other.position
    }

    /// The lowest version that covers both.
    #[must_use]
    pub fn join(self, other: Version) -> Version {
        Version {
            number: self.number.max(other.number),
            position: self.position.max(other.position),
        }
    }
}

impl fmt::Display for Version {
    /// Formats as `NUMBER@ERA.REVISION`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.number, self.position)
    }
}
