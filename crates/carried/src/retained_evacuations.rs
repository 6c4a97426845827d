//! Evacuations that stay in force although the shared store, restored from an older copy, does not
//! list them.
//!
//! An evacuation that was lost with the newer data cannot be distinguished from one that operators
//! have ended meanwhile. Operators write again what was lost. Until it is certain that they do not,
//! a zone that may still be evacuated gets no new flows: two seconds without its back ends cost
//! less than new flows in a zone that is being emptied.

use std::collections::BTreeSet;
use std::time::Duration;

/// An evacuation that is not written again within this time after the restore is dropped.
const RETENTION_DURATION: Duration = Duration::from_secs(2);

/// Zones that are kept evacuated, with the end of that time.
#[derive(Debug, Default)]
pub(crate) struct RetainedEvacuations {
    zones: BTreeSet<String>,
    ends_at: Duration,
}

impl RetainedEvacuations {
    /// Called when the store has been restored; `before` are the zones evacuated until now.
    pub(crate) fn retain(&mut self, now: Duration, before: BTreeSet<String>) {
        self.zones = before;
        self.ends_at = now + RETENTION_DURATION;
    }

    pub(crate) fn zones(&self) -> &BTreeSet<String> {
        &self.zones
    }

    /// When the zones stop being retained.
    pub(crate) fn ends_at(&self) -> Option<Duration> {
        (!self.zones.is_empty()).then_some(self.ends_at)
    }

    /// Drops all retained evacuations.
    pub(crate) fn clear(&mut self) {
        self.zones.clear();
    }
}
