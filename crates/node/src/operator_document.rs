//! The operators' document, put together from readings of the shared store and changes there.

use crate::shared_store::{OperatorChange, OperatorState};
use loftdrift_carried::CarriedConfiguration;

impl OperatorState {
    /// The document that this reading gives, with the revision that it holds for; `None` before the
    /// first configuration is written.
    pub(crate) fn document(&self) -> Option<CarriedConfiguration> {
        let configuration = self.configuration.clone()?;
        let evacuated = self.evacuated.clone();
        Some(CarriedConfiguration { version: self.revision, evacuated, ..configuration })
    }

    /// Takes what a wait brought; the document, if it has changed.
    pub(crate) fn take(&mut self, change: OperatorChange) -> Option<CarriedConfiguration> {
        self.configuration = change.configuration.or(self.configuration.take());
        for (zone, is_evacuated) in change.evacuations {
            match is_evacuated {
                true => self.evacuated.insert(zone),
                false => self.evacuated.remove(&zone),
            };
        }
        self.revision = change.revision;
        let changed_at = change.changed_at?;
        // Whoever waits gives a change the same version.
        self.document().map(|document| CarriedConfiguration { version: changed_at, ..document })
    }
}
