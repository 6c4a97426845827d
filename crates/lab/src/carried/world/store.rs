//! The shared store: what operators have written, and its history. It may come back from an older copy.

use loftdrift_carried::{CarriedConfiguration, Position};
use std::time::Duration;

/// The store and the operators that write there.
#[derive(Debug)]
pub(super) struct Store {
    now: Held,
    /// What operators want: what they have written, also where the store has lost it.
    wanted: CarriedConfiguration,
    /// What was held since when, oldest first; of the era of now.
    past: Vec<(Duration, Held)>,
}

/// What the store holds at a moment.
#[derive(Clone, Debug)]
struct Held {
    at: Position,
    configuration: CarriedConfiguration,
}

impl Store {
    /// A store that has never gone back.
    pub(super) fn new(configuration: CarriedConfiguration) -> Self {
        let at = Position { era: 1, revision: 1 };
        let mut store = Store {
            now: Held { at, configuration: configuration.clone() },
            wanted: configuration,
            past: Vec::new(),
        };
        store.wanted.version.number = 1;
        store.hold_wanted(Duration::ZERO, 0);
        store
    }

    /// What operators want.
    pub(super) fn wanted(&self) -> &CarriedConfiguration {
        &self.wanted
    }

    /// What a reading finds; it holds for the place that it was made at.
    pub(super) fn read(&self) -> CarriedConfiguration {
        let mut found = self.now.configuration.clone();
        found.version.position = self.now.at;
        found
    }

    /// Whether what operators want is not there: the store has gone back.
    pub(super) fn is_behind(&self) -> bool {
        self.now.configuration.version.number < self.wanted.version.number
            || self.now.configuration.evacuated != self.wanted.evacuated
    }

    /// Operators write another configuration.
    pub(super) fn write_routes(&mut self, now: Duration, configuration: CarriedConfiguration) {
        let number = self.wanted.version.number + 1;
        let evacuated = std::mem::take(&mut self.wanted.evacuated);
        self.wanted = CarriedConfiguration { evacuated, ..configuration };
        self.wanted.version.number = number;
        self.hold_wanted(now, 3);
    }

    /// Operators evacuate a zone, or take it back; `false` when it is so already.
    pub(super) fn write_zone(&mut self, now: Duration, zone: String, is_evacuated: bool) -> bool {
        let is_news = match is_evacuated {
            true => self.wanted.evacuated.insert(zone),
            false => self.wanted.evacuated.remove(&zone),
        };
        if is_news {
            self.hold_wanted(now, 3);
        }
        is_news
    }

    /// Operators write again what the store has lost.
    pub(super) fn write_again(&mut self, now: Duration) {
        self.hold_wanted(now, 1);
    }

    /// A node writes its entry.
    pub(super) fn write_entry(&mut self, now: Duration) {
        self.now.at.revision += 1;
        self.past.push((now, self.now.clone()));
    }

    /// Comes back from the copy that was taken so long ago; revisions since are given out again.
    pub(super) fn come_back(&mut self, now: Duration, copy_age: Duration) {
        let taken = now.saturating_sub(copy_age);
        let kept = self.past.partition_point(|(at, _)| *at <= taken).max(1);
        self.past.truncate(kept);
        let era = self.now.at.era + 1;
        if let Some((_, copy)) = self.past.last() {
            self.now = copy.clone();
        }
        self.now.at.era = era;
        self.now.configuration.version.position.era = era;
        self.past = vec![(now, self.now.clone())];
    }

    /// Each change has a revision of its own; others' writes take some too.
    fn hold_wanted(&mut self, now: Duration, revisions: u64) {
        self.now.at.revision += revisions;
        self.wanted.version.position = self.now.at;
        self.now.configuration = self.wanted.clone();
        self.past.push((now, self.now.clone()));
    }
}
