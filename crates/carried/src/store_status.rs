//! What nodes report to each other about the shared store: how long ago it confirmed that it held
//! nothing newer, and how often it recovered from an outage.
//!
//! Only a few nodes watch the store. The others must be able to distinguish a period without
//! changes from one in which changes reach no node.
//!
//! Invariants:
//! - A confirmation is never taken for younger than it is, except for the time that a message was
//!   in transit: each hop adds [`HOP_AGE`], and one that has passed [`MAX_HOPS`] hops is ignored.
//! - It holds for every version that covers the one it was sent with.

use bincode::{Decode, Encode};
use std::time::Duration;

/// Age added per hop. It exceeds the transit time of a message, so that a confirmation that
/// circulates between nodes grows old.
const HOP_AGE: Duration = Duration::from_millis(50);
/// Enough hops to reach every node: at each hop heartbeats go to more than two others.
const MAX_HOPS: u8 = 12;

/// The store's confirmation that it held no newer configuration, as sent in heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Confirmation {
    /// Milliseconds since the store gave it.
    pub ms_ago: u32,
    /// Number of nodes that passed it on.
    pub hops: u8,
}

/// What one node knows of the store, read directly or reported by peers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreStatus {
    /// Every configuration written before this time is known here; with the number of hops the
    /// confirmation took.
    confirmed: Option<(Duration, u8)>,
    /// Known number of recoveries from an outage: the largest number that any node reported.
    recoveries: u32,
}

impl StoreStatus {
    /// Notes that the store has answered this node and holds nothing newer.
    pub(crate) fn note_confirmed(&mut self, now: Duration) {
        self.confirmed = Some((now, 0));
    }

    /// Handles the confirmation of a peer whose configuration is not newer than the one in force
    /// here.
    pub(crate) fn on_confirmation(&mut self, now: Duration, confirmation: Confirmation) {
        if confirmation.hops >= MAX_HOPS {
            return;
        }
        let age = Duration::from_millis(u64::from(confirmation.ms_ago)) + HOP_AGE;
        let Some(at) = now.checked_sub(age) else { return };
        if self.confirmed.is_none_or(|(known, _)| at > known) {
            self.confirmed = Some((at, confirmation.hops + 1));
        }
    }

    /// The time up to which every written configuration is known here; zero, the start of the
    /// process, before the first confirmation.
    pub(crate) fn confirmed_at(&self) -> Duration {
        self.confirmed.map_or(Duration::ZERO, |(at, _)| at)
    }

    /// The confirmation to send in heartbeats.
    pub(crate) fn confirmation(&self, now: Duration) -> Option<Confirmation> {
        let (at, hops) = self.confirmed?;
        let ms_ago = u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        Some(Confirmation { ms_ago, hops })
    }

    /// Known number of recoveries from an outage.
    pub(crate) fn recoveries(&self) -> u32 {
        self.recoveries
    }

    /// Counts the store's recovery from an outage; `known_before` is the number of recoveries known
    /// when the outage began. A recovery that another node has reported since then is not counted
    /// twice; the result is `true` if it was counted.
    pub(crate) fn note_recovery(&mut self, known_before: u32) -> bool {
        let is_first_report = self.recoveries == known_before;
        self.recoveries = self.recoveries.saturating_add(u32::from(is_first_report));
        is_first_report
    }

    /// Takes over the number of recoveries that a peer knows, if it is larger.
    pub(crate) fn note_peer_recoveries(&mut self, recoveries: u32) {
        self.recoveries = self.recoveries.max(recoveries);
    }
}
