//! The simulated shared store and its history. It can be restored from an older backup.

use loftdrift_carried::{CarriedConfiguration, Position};
use std::time::Duration;

/// The store, together with what its operators want it to contain.
#[derive(Debug)]
pub(super) struct Store {
    current: StoredState,
    /// The configuration that operators want, including writes that the store has lost.
    wanted: CarriedConfiguration,
    /// States of the current era, each with the time it was written, oldest first.
    history: Vec<(Duration, StoredState)>,
}

/// Content of the store at one time.
#[derive(Clone, Debug)]
struct StoredState {
    position: Position,
    configuration: CarriedConfiguration,
}

impl Store {
    /// Creates a store that was never restored.
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

    /// The configuration that operators want.
    pub(super) fn wanted(&self) -> &CarriedConfiguration {
        &self.wanted
    }

    /// Reads the configuration. Its position is that of the read, not that of the last change.
    pub(super) fn read(&self) -> CarriedConfiguration {
        let mut found = self.current.configuration.clone();
        found.version.position = self.current.position;
        found
    }

    /// Whether the store lacks changes that operators want, because a restore lost them.
    pub(super) fn has_lost_writes(&self) -> bool {
        self.current.configuration.version.number < self.wanted.version.number
            || self.current.configuration.evacuated != self.wanted.evacuated
    }

    /// Operators write new routes.
    pub(super) fn write_routes(&mut self, now: Duration, configuration: CarriedConfiguration) {
        let number = self.wanted.version.number + 1;
        let evacuated = std::mem::take(&mut self.wanted.evacuated);
        self.wanted = CarriedConfiguration { evacuated, ..configuration };
        self.wanted.version.number = number;
        self.store_wanted(now, 3);
    }

    /// Operators evacuate a zone or end its evacuation; `false` if nothing changes.
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

    /// Operators rewrite what the store has lost.
    pub(super) fn rewrite_lost(&mut self, now: Duration) {
        self.store_wanted(now, 1);
    }

    /// A node writes its own entry, which takes a revision.
    pub(super) fn write_entry(&mut self, now: Duration) {
        self.current.position.revision += 1;
        self.history.push((now, self.current.clone()));
    }

    /// Restores the backup that is `backup_age` old. A new era starts, in which the revisions since
    /// the backup are used again.
    pub(super) fn restore(&mut self, now: Duration, backup_age: Duration) {
        let taken = now.saturating_sub(backup_age);
        let kept = self.history.partition_point(|(at, _)| *at <= taken).max(1);
        self.history.truncate(kept);
        let era = self.current.position.era + 1;
        if let Some((_, backup)) = self.history.last() {
            self.current = backup.clone();
        }
        self.current.position.era = era;
        self.current.configuration.version.position.era = era;
        self.history = vec![(now, self.current.clone())];
    }

    /// Writes the wanted configuration. Of the `revisions` that this takes, the last one belongs to
    /// the change and the others to unrelated writes.
    fn store_wanted(&mut self, now: Duration, revisions: u64) {
        self.current.position.revision += revisions;
        self.wanted.version.position = self.current.position;
        self.current.configuration = self.wanted.clone();
        self.history.push((now, self.current.clone()));
    }
}
