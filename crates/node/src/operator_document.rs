//! The operators' document, put together from readings of the shared store and changes there.

use crate::shared_store::{OperatorChange, OperatorState};
use loftdrift_carried::{CarriedConfiguration, Version};

impl OperatorState {
    /// The document that this reading gives, with the position that it holds for; `None` before the
    /// first configuration is written.
    pub(crate) fn document(&self) -> Option<CarriedConfiguration> {
        let configuration = self.configuration.clone()?;
        let evacuated = self.evacuated.clone();
        let version = Version { position: self.position, ..configuration.version };
        Some(CarriedConfiguration { version, evacuated, ..configuration })
    }

    /// Takes what a wait brought; the document, if it has changed.
    pub(crate) fn apply(&mut self, change: OperatorChange) -> Option<CarriedConfiguration> {
        self.configuration = change.configuration.or(self.configuration.take());
        for (zone, is_evacuated) in change.evacuations {
            match is_evacuated {
                true => self.evacuated.insert(zone),
                false => self.evacuated.remove(&zone),
            };
        }
        self.position = change.position;
        let mut document = self.document()?;
        // Whoever waits gives a change the same version.
        document.version.position.revision = change.changed_at?;
        Some(document)
    }
}
