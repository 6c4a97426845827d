//! What nodes tell each other of the shared store: how long ago it has confirmed that nothing newer
//! was there, and how often it has come back.
//!
//! Only a few nodes wait at the store; the others must be able to tell a quiet hour from one in which
//! nobody hears of changes.
//!
//! Invariants:
//! - A confirmation is never taken for younger than it is but for what a message was on its way: each
//!   hop adds [`HOP_AGE`], and one that has come far enough is not passed on.
//! - It holds for any version at or above the one that it came with.

use bincode::{Decode, Encode};
use std::time::Duration;

/// Age that each hop adds: more than a message takes on its way, so that a confirmation which goes
/// round between nodes grows old.
const HOP_AGE: Duration = Duration::from_millis(50);
/// So many hops reach every node: heartbeats spread to more than two others at each.
const MAX_HOPS: u8 = 12;

/// The store's word that no newer configuration was there, as a heartbeat tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Confirmation {
    /// Milliseconds since the store gave it.
    pub ms_ago: u32,
    /// Nodes that passed it on.
    pub hops: u8,
}

/// What one node knows of the store, from there or by hearsay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreStatus {
    /// Every configuration accepted before this moment is known here, and over how many hops.
    confirmed: Option<(Duration, u8)>,
    /// How often the store has come back, as far as is known. Nodes take the largest number heard.
    restores: u32,
}

impl StoreStatus {
    /// The store has answered this node.
    pub(crate) fn note_confirmed(&mut self, now: Duration) {
        self.confirmed = Some((now, 0));
    }

    /// Takes what a peer tells whose configuration is no newer than the one in force here.
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

    /// Until when every accepted configuration is known here; the process's start before anything
    /// was heard.
    pub(crate) fn confirmed_at(&self) -> Duration {
        self.confirmed.map_or(Duration::ZERO, |(at, _)| at)
    }

    /// What a heartbeat tells.
    pub(crate) fn confirmation(&self, now: Duration) -> Option<Confirmation> {
        let (at, hops) = self.confirmed?;
        let ms_ago = u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        Some(Confirmation { ms_ago, hops })
    }

    /// How often the store has come back.
    pub(crate) fn restores(&self) -> u32 {
        self.restores
    }

    /// The store is back, after an absence that began when so many returns were known; one that
    /// another node has told of since is not counted twice.
    pub(crate) fn note_restore(&mut self, known_before: u32) -> bool {
        let is_news = self.restores == known_before;
        self.restores = self.restores.saturating_add(u32::from(is_news));
        is_news
    }

    /// Takes the number of returns that a peer knows.
    pub(crate) fn note_peer_restores(&mut self, returns: u32) {
        self.restores = self.restores.max(returns);
    }
}
