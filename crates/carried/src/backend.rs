//! The back end beside an agent, as it describes itself.

use crate::message::BackendCondition;
use std::collections::VecDeque;
use std::time::Duration;

/// Slots that are assumed until the back end has told its own.
const ASSUMED_CAPACITY: u16 = 4;
/// Identities of back ends that are gone, remembered so that a late heartbeat revives none.
const MOST_FORMER: usize = 16;

/// A back end's own heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendReport {
    /// Names this start of the back end.
    pub id: String,
    /// The service that it serves.
    pub service: String,
    /// Requests that it works on at once.
    pub capacity: u16,
    /// It takes new flows; otherwise it leaves.
    pub is_ready: bool,
    /// How much longer it is slow from its start.
    pub warm_up_left: Duration,
    /// Rises with each heartbeat of the same start.
    pub sequence: u64,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// A start that was not known: flows of an earlier one are over.
    Started,
    /// Newer than what was known.
    Updated,
    /// Older than what is known; nothing changed.
    Outdated,
}

/// What is known of the back end.
#[derive(Debug)]
pub(crate) struct Backend {
    service: String,
    known: Option<Known>,
    /// The back end called itself healthy when it was asked at the agent's start.
    found_healthy: bool,
    former: VecDeque<String>,
}

#[derive(Debug)]
struct Known {
    id: String,
    sequence: u64,
    capacity: u16,
    is_leaving: bool,
    cold_until: Duration,
}

impl Backend {
    /// A back end of which only the service is known, from the settings.
    pub(crate) fn new(service: String) -> Self {
        Backend { service, known: None, found_healthy: false, former: VecDeque::new() }
    }

    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    /// Whether a heartbeat was taken.
    pub(crate) fn has_reported(&self) -> bool {
        self.known.is_some()
    }

    pub(crate) fn take_report(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        if self.former.contains(&report.id) {
            return ReportOutcome::Outdated;
        }
        let previous = self.known.as_ref();
        let same = previous.filter(|known| known.id == report.id);
        if same.is_some_and(|known| report.sequence <= known.sequence) {
            return ReportOutcome::Outdated;
        }
        let was_leaving = same.is_some_and(|known| known.is_leaving);
        let outcome = match (previous.is_some(), same.is_some()) {
            (true, false) => ReportOutcome::Started,
            _ => ReportOutcome::Updated,
        };
        if outcome == ReportOutcome::Started {
            self.retire();
        }
        self.service.clone_from(&report.service);
        self.known = Some(Known {
            id: report.id.clone(),
            sequence: report.sequence,
            capacity: report.capacity,
            // A back end that has said that it leaves does not come back.
            is_leaving: was_leaving || !report.is_ready,
            cold_until: now + report.warm_up_left,
        });
        outcome
    }

    /// The back end says that it leaves or is gone.
    pub(crate) fn take_departure(&mut self, id: &str) {
        match &mut self.known {
            Some(known) if known.id == id => known.is_leaving = true,
            // Its agent has forgotten it: from now on only another start is taken.
            None => {
                self.found_healthy = false;
                self.remember_former(id.to_owned());
            }
            Some(_) => self.remember_former(id.to_owned()),
        }
    }

    /// The back end answered a question about its health, before it sent a heartbeat.
    pub(crate) fn take_health(&mut self, is_healthy: bool) {
        self.found_healthy = is_healthy;
    }

    fn retire(&mut self) {
        if let Some(known) = self.known.take() {
            self.remember_former(known.id);
        }
    }

    fn remember_former(&mut self, id: String) {
        if self.former.len() == MOST_FORMER {
            self.former.pop_front();
        }
        self.former.push_back(id);
    }

    pub(crate) fn condition(&self) -> BackendCondition {
        match &self.known {
            Some(known) if known.is_leaving => BackendCondition::Leaving,
            Some(_) => BackendCondition::Accepting,
            None if self.found_healthy => BackendCondition::Accepting,
            None => BackendCondition::Unknown,
        }
    }

    pub(crate) fn capacity(&self) -> u16 {
        self.known.as_ref().map_or(ASSUMED_CAPACITY, |known| known.capacity.max(1))
    }

    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        self.known.as_ref().is_some_and(|known| now < known.cold_until)
    }
}
