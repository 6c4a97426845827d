//! Evacuations that hold though the shared store, back from an older copy, does not name them.
//!
//! Nothing tells an evacuation that was lost with the copy from one that operators have ended meanwhile.
//! They write again what was lost; until that is certain, a zone which may still be evacuated gets
//! nothing new: two seconds without its back ends cost less than new flows in a zone that is being emptied.

use std::collections::BTreeSet;
use std::time::Duration;

/// What is not written again so long after the store's return is gone.
const RETENTION_DURATION: Duration = Duration::from_secs(2);

/// Zones that are kept evacuated, and until when.
#[derive(Debug, Default)]
pub(crate) struct RetainedEvacuations {
    zones: BTreeSet<String>,
    ends_at: Duration,
}

impl RetainedEvacuations {
    /// The store has come back; `before` were evacuated until now.
    pub(crate) fn retain(&mut self, now: Duration, before: BTreeSet<String>) {
        self.zones = before;
        self.ends_at = now + RETENTION_DURATION;
    }

    pub(crate) fn zones(&self) -> &BTreeSet<String> {
        &self.zones
    }

    /// When the zones are no longer kept.
    pub(crate) fn ends_at(&self) -> Option<Duration> {
        (!self.zones.is_empty()).then_some(self.ends_at)
    }

    /// Keeps nothing any more.
    pub(crate) fn clear(&mut self) {
        self.zones.clear();
    }
}
