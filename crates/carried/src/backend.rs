//! The back end beside an agent, as it describes itself.

use crate::message::BackendCondition;
use std::collections::VecDeque;
use std::time::Duration;

/// Slots that are assumed until the back end has told its own.
const ASSUMED_CAPACITY: u16 = 4;
/// Identities of earlier starts that are remembered, so that a late heartbeat revives none.
const MOST_REMEMBERED: usize = 16;
/// Numbers of the heartbeats of a start that has just begun: the first ones may be refused while the
/// agent itself starts.
const FIRST_SEQUENCES: u64 = 3;
/// Heartbeats of a start that lives are about a second apart; those that were held up on their way come
/// together.
const REPEATED_AFTER: Duration = Duration::from_millis(500);

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
    /// Of another start than the known one, which may have been over for long: believed once it is
    /// repeated.
    Doubted,
}

/// What is known of the back end.
///
/// A heartbeat that was held up on its way may come after its sender's crash, when the next start has
/// long been heard, or before that one is heard by an agent that has just started.
///
/// Invariants:
/// - A start that lives is heard again within two of its heartbeats, whatever late ones come.
/// - Late heartbeats never end the leave of the start that lives.
#[derive(Debug)]
pub(crate) struct Backend {
    service: String,
    known: Option<Known>,
    /// Another start that has spoken since the known one did last.
    doubted: Option<Doubted>,
    /// The back end called itself healthy when it was asked at the agent's start.
    found_healthy: bool,
    /// Starts that were known before: a heartbeat of theirs is late, or the known one's was.
    former: VecDeque<String>,
    /// Starts that have said that they are gone.
    departed: VecDeque<String>,
}

#[derive(Debug)]
struct Known {
    id: String,
    sequence: u64,
    capacity: u16,
    is_leaving: bool,
    /// It has said that it is gone.
    has_departed: bool,
    cold_until: Duration,
}

/// A start that is believed when it speaks again.
#[derive(Debug)]
struct Doubted {
    id: String,
    sequence: u64,
    since: Duration,
    is_leaving: bool,
    cold_until: Duration,
}

impl Backend {
    /// A back end of which only the service is known, from the settings.
    pub(crate) fn new(service: String) -> Self {
        Backend {
            service,
            known: None,
            doubted: None,
            found_healthy: false,
            former: VecDeque::new(),
            departed: VecDeque::new(),
        }
    }

    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    /// Whether a heartbeat was taken.
    pub(crate) fn has_reported(&self) -> bool {
        self.known.is_some()
    }

    pub(crate) fn take_report(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        if self.departed.contains(&report.id) {
            return ReportOutcome::Outdated;
        }
        let Some(known) = &self.known else {
            self.know(now, report, false);
            return ReportOutcome::Updated;
        };
        if known.id == report.id {
            if report.sequence <= known.sequence {
                return ReportOutcome::Outdated;
            }
            // A back end that has said that it leaves does not come back.
            let was_leaving = known.is_leaving;
            self.know(now, report, was_leaving);
            return ReportOutcome::Updated;
        }
        if !self.is_new_start(known, report) && !self.is_repeated(now, report) {
            self.doubt(now, report);
            return ReportOutcome::Doubted;
        }
        self.retire();
        self.know(now, report, false);
        ReportOutcome::Started
    }

    /// Whether a heartbeat is among the first ones of a start that can have followed the known one.
    fn is_new_start(&self, known: &Known, report: &BackendReport) -> bool {
        let may_follow = !known.is_leaving || known.has_departed;
        may_follow && report.sequence <= FIRST_SEQUENCES && !self.former.contains(&report.id)
    }

    /// Whether a doubted start speaks again, later than heartbeats come that were held up together.
    fn is_repeated(&self, now: Duration, report: &BackendReport) -> bool {
        self.doubted.as_ref().is_some_and(|doubted| {
            let is_later = now.saturating_sub(doubted.since) >= REPEATED_AFTER;
            doubted.id == report.id && report.sequence > doubted.sequence && is_later
        })
    }

    fn doubt(&mut self, now: Duration, report: &BackendReport) {
        let same = self.doubted.as_ref().filter(|doubted| doubted.id == report.id);
        let since = same.map_or(now, |doubted| doubted.since);
        self.doubted = Some(Doubted {
            id: report.id.clone(),
            sequence: report.sequence,
            since,
            is_leaving: !report.is_ready,
            cold_until: now + report.warm_up_left,
        });
    }

    fn know(&mut self, now: Duration, report: &BackendReport, was_leaving: bool) {
        self.service.clone_from(&report.service);
        self.doubted = None;
        self.known = Some(Known {
            id: report.id.clone(),
            sequence: report.sequence,
            capacity: report.capacity,
            is_leaving: was_leaving || !report.is_ready,
            has_departed: false,
            cold_until: now + report.warm_up_left,
        });
    }

    /// The back end says that it leaves or is gone.
    pub(crate) fn take_departure(&mut self, id: &str) {
        if self.doubted.as_ref().is_some_and(|doubted| doubted.id == id) {
            self.doubted = None;
        }
        match &mut self.known {
            Some(known) if known.id == id => {
                known.is_leaving = true;
                known.has_departed = true;
            }
            Some(_) => {}
            // Its agent has forgotten it: from now on only another start is taken.
            None => self.found_healthy = false,
        }
        remember(&mut self.departed, id.to_owned());
    }

    /// The back end answered a question about its health, before it sent a heartbeat.
    pub(crate) fn take_health(&mut self, is_healthy: bool) {
        self.found_healthy = is_healthy;
    }

    fn retire(&mut self) {
        if let Some(known) = self.known.take() {
            remember(&mut self.former, known.id);
        }
    }

    pub(crate) fn condition(&self) -> BackendCondition {
        let doubts_leave = self.doubted.as_ref().is_some_and(|doubted| doubted.is_leaving);
        match &self.known {
            Some(known) if known.is_leaving || doubts_leave => BackendCondition::Leaving,
            Some(_) => BackendCondition::Accepting,
            None if self.found_healthy => BackendCondition::Accepting,
            None => BackendCondition::Unknown,
        }
    }

    pub(crate) fn capacity(&self) -> u16 {
        self.known.as_ref().map_or(ASSUMED_CAPACITY, |known| known.capacity.max(1))
    }

    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        let known = self.known.as_ref().map(|known| known.cold_until);
        let doubted = self.doubted.as_ref().map(|doubted| doubted.cold_until);
        [known, doubted].into_iter().flatten().any(|until| now < until)
    }
}

/// Adds an id to the ones remembered, in place of the oldest.
fn remember(ids: &mut VecDeque<String>, id: String) {
    if ids.len() == MOST_REMEMBERED {
        ids.pop_front();
    }
    ids.push_back(id);
}
