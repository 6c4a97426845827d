//! The shared store: what operators have written, and its history. It may come back from an older copy.

use loftdrift_carried::{CarriedConfiguration, Position};
use std::time::Duration;

/// The store and the operators that write there.
#[derive(Debug)]
pub(super) struct Store {
    current: StoredState,
    /// What operators want: what they have written, also where the store has lost it.
    wanted: CarriedConfiguration,
    /// What was held since when, oldest first; of the era of now.
    history: Vec<(Duration, StoredState)>,
}

/// What the store holds at a moment.
#[derive(Clone, Debug)]
struct StoredState {
    position: Position,
    configuration: CarriedConfiguration,
}

impl Store {
    /// A store that has never gone back.
    pub(super) fn new(configuration: CarriedConfiguration) -> Self {
        let position = Position { era: 1, revision: 1 };
        let mut store = Store {
            current: StoredState { position, configuration: configuration.clone() },
            wanted: configuration,
            history: Vec::new(),
        };
        store.wanted.version.number = 1;
        store.store_wanted(Duration::ZERO, 0);
        store
    }

    /// What operators want.
    pub(super) fn wanted(&self) -> &CarriedConfiguration {
        &self.wanted
    }

    /// What a reading finds; it holds for the place that it was made at.
    pub(super) fn read(&self) -> CarriedConfiguration {
        let mut found = self.current.configuration.clone();
        found.version.position = self.current.position;
        found
    }

    /// Whether what operators want is not there: the store has gone back.
    pub(super) fn has_lost_writes(&self) -> bool {
        self.current.configuration.version.number < self.wanted.version.number
            || self.current.configuration.evacuated != self.wanted.evacuated
    }

    /// Operators write another configuration.
    pub(super) fn write_routes(&mut self, now: Duration, configuration: CarriedConfiguration) {
        let number = self.wanted.version.number + 1;
        let evacuated = std::mem::take(&mut self.wanted.evacuated);
        self.wanted = CarriedConfiguration { evacuated, ..configuration };
        self.wanted.version.number = number;
        self.store_wanted(now, 3);
    }

    /// Operators evacuate a zone, or take it back; `false` when it is so already.
    pub(super) fn write_zone(&mut self, now: Duration, zone: String, is_evacuated: bool) -> bool {
        let is_change = match is_evacuated {
            true => self.wanted.evacuated.insert(zone),
            false => self.wanted.evacuated.remove(&zone),
        };
        if is_change {
            self.store_wanted(now, 3);
        }
        is_change
    }

    /// Operators write again what the store has lost.
    pub(super) fn rewrite_lost(&mut self, now: Duration) {
        self.store_wanted(now, 1);
    }

    /// A node writes its entry.
    pub(super) fn write_entry(&mut self, now: Duration) {
        self.current.position.revision += 1;
        self.history.push((now, self.current.clone()));
    }

    /// Comes back from the copy that was taken so long ago; revisions since are given out again.
    pub(super) fn restore(&mut self, now: Duration, backup_age: Duration) {
        let taken = now.saturating_sub(backup_age);
        let kept = self.history.partition_point(|(at, _)| *at <= taken).max(1);
        self.history.truncate(kept);
        let era = self.current.position.era + 1;
        if let Some((_, copy)) = self.history.last() {
            self.current = copy.clone();
        }
        self.current.position.era = era;
        self.current.configuration.version.position.era = era;
        self.history = vec![(now, self.current.clone())];
    }

    /// Each change has a revision of its own; others' writes take some too.
    fn store_wanted(&mut self, now: Duration, revisions: u64) {
        self.current.position.revision += revisions;
        self.wanted.version.position = self.current.position;
        self.current.configuration = self.wanted.clone();
        self.history.push((now, self.current.clone()));
    }
}
