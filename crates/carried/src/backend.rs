//! The back end beside an agent, as it describes itself.

use crate::incarnation::{Incarnation, Succession};
use crate::message::BackendCondition;
use std::collections::VecDeque;
use std::time::Duration;

/// Slots that are assumed until the back end has told its own.
const ASSUMED_CAPACITY: u16 = 4;
/// Earlier starts that are remembered, so that a late heartbeat revives none.
const MOST_REMEMBERED: usize = 16;
/// Numbers of the heartbeats of a start that has just begun: the first ones may be refused while the
/// agent itself starts.
const FIRST_SEQUENCES: u64 = 3;
/// Heartbeats of a start that lives are about a second apart; those that were held up on their way come
/// together.
const REPEATED_AFTER: Duration = Duration::from_millis(500);
/// Heartbeats come seconds late at most. A start that was born before the known one, but is heard for
/// longer than that while the known one is silent, lives: the clock that told its birth was set back.
const LATEST_HEARTBEAT: Duration = Duration::from_secs(5);

/// A back end's own heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendReport {
    /// Names this start of the back end.
    pub incarnation: Incarnation,
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
    Unconfirmed,
    /// Of a back end of another service than the one beside this agent: it names none to use.
    OtherService,
}

/// What is known of the back end.
///
/// A heartbeat that was held up on its way may come after its sender's crash, when the next start has
/// long been heard, or before that one is heard by an agent that has just started.
///
/// Invariants:
/// - A start that lives is heard again within two of its heartbeats, whatever late ones come.
/// - Late heartbeats never end the leave of the start that lives.
/// - What a start has said binds that start alone: a later one under the same id begins anew, and is
///   taken at its first heartbeat.
/// - The service is the one of the settings, whatever a heartbeat says.
#[derive(Debug)]
pub(crate) struct Backend {
    service: String,
    known: Option<Known>,
    /// A start under another id that has spoken since the known one did last.
    doubted: Option<Unconfirmed>,
    /// A start under the known one's id, born before it, that goes on speaking.
    backdated: Option<Unconfirmed>,
    /// The back end called itself healthy when it was asked at the agent's start.
    found_healthy: bool,
    /// Starts that were known before: a heartbeat of theirs is late, or the known one's was.
    former: VecDeque<Incarnation>,
    /// Starts that have said that they are gone.
    departed: VecDeque<Incarnation>,
}

#[derive(Debug)]
struct Known {
    incarnation: Incarnation,
    sequence: u64,
    heard_at: Duration,
    capacity: u16,
    is_leaving: bool,
    /// It has said that it is gone.
    has_departed: bool,
    cold_until: Duration,
}

/// A start that is believed when it speaks again.
#[derive(Debug)]
struct Unconfirmed {
    incarnation: Incarnation,
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
            backdated: None,
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
        if report.service != self.service {
            return ReportOutcome::OtherService;
        }
        if self.departed.iter().any(|gone| is_over(report, gone)) {
            return ReportOutcome::Outdated;
        }
        let Some(known) = &self.known else {
            self.know(now, report, false);
            return ReportOutcome::Updated;
        };
        match report.incarnation.compare(&known.incarnation) {
            Succession::Same if report.sequence <= known.sequence => ReportOutcome::Outdated,
            Succession::Same => {
                // A start that has said that it leaves does not come back.
                let was_leaving = known.is_leaving;
                self.know(now, report, was_leaving);
                ReportOutcome::Updated
            }
            Succession::Later => self.begin(now, report),
            Succession::Earlier => self.take_backdated(now, report),
            Succession::Unnamed => ReportOutcome::Outdated,
            Succession::OtherId => self.take_other(now, report),
        }
    }

    /// Takes a heartbeat under another id than the known one's.
    fn take_other(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        let came_before = |former| report.incarnation.compare(former) == Succession::Earlier;
        if self.former.iter().any(came_before) {
            return ReportOutcome::Outdated;
        }
        if !self.is_new_start(report) && !self.is_repeated(now, report) {
            doubt(&mut self.doubted, now, report);
            return ReportOutcome::Unconfirmed;
        }
        self.begin(now, report)
    }

    /// Takes a heartbeat under the known one's id that tells of an earlier birth.
    fn take_backdated(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        let heard_at = self.known.as_ref().map_or(Duration::ZERO, |known| known.heard_at);
        let lives = self.backdated.as_ref().is_some_and(|earlier| {
            let is_same = earlier.incarnation == report.incarnation;
            let both_since = earlier.since.max(heard_at);
            let is_late = now.saturating_sub(both_since) >= LATEST_HEARTBEAT;
            is_same && report.sequence > earlier.sequence && is_late
        });
        if lives {
            return self.begin(now, report);
        }
        doubt(&mut self.backdated, now, report);
        ReportOutcome::Outdated
    }

    /// A start has taken the known one's place.
    fn begin(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        if let Some(known) = self.known.take() {
            remember(&mut self.former, known.incarnation);
        }
        self.know(now, report, false);
        ReportOutcome::Started
    }

    /// Whether a heartbeat is among the first ones of a start that can have followed the known one.
    fn is_new_start(&self, report: &BackendReport) -> bool {
        let may_follow =
            self.known.as_ref().is_none_or(|known| !known.is_leaving || known.has_departed);
        let is_first = report.sequence <= FIRST_SEQUENCES;
        may_follow && is_first && !self.former.contains(&report.incarnation)
    }

    /// Whether a doubted start speaks again, later than heartbeats come that were held up together.
    fn is_repeated(&self, now: Duration, report: &BackendReport) -> bool {
        self.doubted.as_ref().is_some_and(|doubted| {
            let is_later = now.saturating_sub(doubted.since) >= REPEATED_AFTER;
            let is_same = doubted.incarnation == report.incarnation;
            is_same && report.sequence > doubted.sequence && is_later
        })
    }

    fn know(&mut self, now: Duration, report: &BackendReport, was_leaving: bool) {
        self.doubted = None;
        if self.known.as_ref().is_none_or(|known| known.incarnation != report.incarnation) {
            self.backdated = None;
        }
        self.known = Some(Known {
            incarnation: report.incarnation.clone(),
            sequence: report.sequence,
            heard_at: now,
            capacity: report.capacity,
            is_leaving: was_leaving || !report.is_ready,
            has_departed: false,
            cold_until: now + report.warm_up_left,
        });
    }

    /// A start says that it leaves or is gone. One that tells no birth means the known start of its id:
    /// nothing new is given to a back end that may be leaving.
    pub(crate) fn take_departure(&mut self, gone: &Incarnation) {
        if self.doubted.as_ref().is_some_and(|doubted| doubted.incarnation == *gone) {
            self.doubted = None;
        }
        let mut over = gone;
        match &mut self.known {
            Some(known) if ends(gone, &known.incarnation) => {
                known.is_leaving = true;
                known.has_departed = true;
                over = if gone.born_ms.is_none() { &known.incarnation } else { gone };
            }
            Some(_) => {}
            // Its agent has forgotten it: from now on only another start is taken.
            None => self.found_healthy = false,
        }
        remember(&mut self.departed, over.clone());
    }

    /// The back end answered a question about its health, before it sent a heartbeat.
    pub(crate) fn take_health(&mut self, is_healthy: bool) {
        self.found_healthy = is_healthy;
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

/// Whether a heartbeat is one of a start that has said that it is gone, or of one before it.
fn is_over(report: &BackendReport, gone: &Incarnation) -> bool {
    match (report.incarnation.compare(gone), gone.born_ms) {
        // Which start was meant was not told: the first ones of a start come after that.
        (Succession::Later, None) => report.sequence > FIRST_SEQUENCES,
        (Succession::Later | Succession::OtherId, _) => false,
        (Succession::Same | Succession::Earlier | Succession::Unnamed, _) => true,
    }
}

/// Whether a departure ends the known start: it is the one that goes, or has been followed by it.
fn ends(gone: &Incarnation, known: &Incarnation) -> bool {
    matches!(gone.compare(known), Succession::Same | Succession::Later | Succession::Unnamed)
}

/// Holds a start whose word is not believed yet.
fn doubt(held: &mut Option<Unconfirmed>, now: Duration, report: &BackendReport) {
    let same = held.as_ref().filter(|doubted| doubted.incarnation == report.incarnation);
    let since = same.map_or(now, |doubted| doubted.since);
    *held = Some(Unconfirmed {
        incarnation: report.incarnation.clone(),
        sequence: report.sequence,
        since,
        is_leaving: !report.is_ready,
        cold_until: now + report.warm_up_left,
    });
}

/// Adds a start to the ones remembered, in place of the oldest.
fn remember(starts: &mut VecDeque<Incarnation>, start: Incarnation) {
    if starts.len() == MOST_REMEMBERED {
        starts.pop_front();
    }
    starts.push_back(start);
}
