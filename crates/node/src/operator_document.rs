//! Builds the operators' document (configuration and evacuated zones) from reads of the shared
//! store and from the changes that a watch returns.

use crate::shared_store::{OperatorChange, OperatorState};
use loftdrift_carried::{CarriedConfiguration, Version};

impl OperatorState {
    /// The document as of this state's position; `None` if no configuration has been written yet.
    pub(crate) fn document(&self) -> Option<CarriedConfiguration> {
        let configuration = self.configuration.clone()?;
        let evacuated = self.evacuated.clone();
        let version = Version { position: self.position, ..configuration.version };
        Some(CarriedConfiguration { version, evacuated, ..configuration })
    }

    /// Applies the result of a watch; returns the document if it has changed.
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
        // Use the change's own revision, not that of the answer, so that all watching nodes give
        // the changed document the same version.
        document.version.position.revision = change.changed_at?;
        Some(document)
    }
}
