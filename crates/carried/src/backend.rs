//! State of the back end beside an agent, as its own heartbeats report it.
//!
//! A *start* is one run of the back end's process; its [`Incarnation`] identifies it.

use crate::incarnation::{Incarnation, StartOrder};
use crate::message::BackendCondition;
use crate::readiness::{MAX_HEARTBEAT_DELAY, Readiness};
use std::collections::VecDeque;
use std::time::Duration;

/// Capacity assumed until the first heartbeat reports the real one.
const DEFAULT_CAPACITY: u16 = 4;
/// Earlier starts that are remembered, so that a delayed heartbeat does not revive one of them.
const MAX_REMEMBERED_STARTS: usize = 16;
/// Heartbeats up to this sequence number count as those of a start that has just begun. It is more
/// than one because the agent may refuse the first heartbeats while it is starting itself.
const MAX_INITIAL_SEQUENCE: u64 = 3;
/// Minimum time between two heartbeats that confirm an unconfirmed start. A live start sends a
/// heartbeat about once per second, whereas heartbeats delayed on the network arrive in one burst.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A heartbeat sent by the back end itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendReport {
    /// Identifies this start of the back end.
    pub incarnation: Incarnation,
    /// Service that the back end serves.
    pub service: String,
    /// Number of requests that it processes concurrently.
    pub capacity: u16,
    /// Whether it takes new flows; if not, it is leaving.
    pub is_ready: bool,
    /// Time until its warm-up after the start ends; it is slower until then.
    pub warm_up_left: Duration,
    /// Increases with each heartbeat of the same start.
    pub sequence: u64,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// A new start has replaced the current one: flows of the earlier start are over.
    Started,
    /// The heartbeat was newer than the known state and has updated it.
    Updated,
    /// The heartbeat was older than the known state; nothing changed.
    Outdated,
    /// From a start with another id than the current one. It may be a delayed heartbeat of a start
    /// that ended long ago, so it is accepted only once it is repeated.
    Unconfirmed,
    /// From a back end of another service than the one beside this agent. It is ignored.
    OtherService,
}

/// What is known of the departures that earlier processes of the agent have acknowledged. The
/// shared store holds a record of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EarlierDepartures {
    /// The record is being read; no flow is accepted before.
    Awaited,
    /// The store does not answer. Flows are accepted as if there were none, until it does.
    Unavailable,
    /// All are known, or there was no earlier process.
    Known,
}

/// What the agent knows about its back end.
///
/// A heartbeat that was delayed on the network may arrive after its sender crashed: when the next
/// start has been reporting for long, or before an agent that has just started receives the first
/// heartbeat of that next start.
///
/// Invariants:
/// - A live start is accepted again within two of its heartbeats, whichever delayed ones arrive.
/// - Delayed heartbeats never revoke the leaving state of the live start, also if that was reported
///   to an earlier process of the agent.
/// - What a start has reported applies to that start only: a later start under the same id begins
///   with fresh state and is accepted at its first heartbeat.
/// - A start whose leaving was acknowledged is not accepted by later processes either, unless the
///   acknowledgement could not be recorded or the record cannot be read.
/// - The service is the one from the settings, whatever a heartbeat names.
#[derive(Debug)]
pub(crate) struct Backend {
    service: String,
    current: Option<CurrentStart>,
    readiness: Readiness,
    /// A start under another id, received since the last heartbeat of the current one.
    unconfirmed: Option<UnconfirmedStart>,
    /// A start under the current id with an earlier start time that keeps sending heartbeats.
    backdated: Option<UnconfirmedStart>,
    earlier_departures: EarlierDepartures,
    /// Starts that were current before. A heartbeat from one of them means that either this
    /// heartbeat or the one that made the current start current was delayed.
    previous: VecDeque<Incarnation>,
    /// Starts that have sent a departure notice.
    departed: VecDeque<Incarnation>,
}

#[derive(Debug)]
struct CurrentStart {
    incarnation: Incarnation,
    sequence: u64,
    /// When its first and its last heartbeat arrived.
    first_received: Duration,
    received_at: Duration,
    capacity: u16,
    is_leaving: bool,
    /// Whether it has sent a departure notice.
    has_departed: bool,
    cold_until: Duration,
}

/// A start that is not accepted until it sends another heartbeat.
#[derive(Debug)]
struct UnconfirmedStart {
    incarnation: Incarnation,
    sequence: u64,
    /// When its first and its last heartbeat arrived.
    first_received: Duration,
    received_at: Duration,
    is_leaving: bool,
    cold_until: Duration,
}

impl Backend {
    /// A back end of which only the service, taken from the settings, is known.
    /// `is_first_start`: no earlier process of the agent has run.
    pub(crate) fn new(service: String, is_first_start: bool) -> Self {
        let (readiness, earlier_departures) = match is_first_start {
            true => (Readiness::verified(), EarlierDepartures::Known),
            false => (Readiness::after_restart(), EarlierDepartures::Awaited),
        };
        Backend {
            service,
            current: None,
            readiness,
            unconfirmed: None,
            backdated: None,
            earlier_departures,
            previous: VecDeque::new(),
            departed: VecDeque::new(),
        }
    }

    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    /// Whether any heartbeat has been accepted.
    pub(crate) fn has_reported(&self) -> bool {
        self.current.is_some()
    }

    pub(crate) fn take_report(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        if report.service != self.service {
            return ReportOutcome::OtherService;
        }
        if self.departed.iter().any(|gone| belongs_to_departed(report, gone)) {
            return ReportOutcome::Outdated;
        }
        let Some(current) = &self.current else {
            self.set_current(now, report, false);
            return ReportOutcome::Updated;
        };
        match report.incarnation.compare(&current.incarnation) {
            StartOrder::Same if report.sequence <= current.sequence => ReportOutcome::Outdated,
            StartOrder::Same => {
                // A start that has reported that it is leaving does not become ready again.
                let was_leaving = current.is_leaving;
                self.set_current(now, report, was_leaving);
                ReportOutcome::Updated
            }
            StartOrder::Later => self.replace_current(now, report, true),
            StartOrder::Earlier => self.take_backdated(now, report),
            StartOrder::MissingStartTime => ReportOutcome::Outdated,
            StartOrder::OtherId => self.take_other_id(now, report),
        }
    }

    /// Handles a heartbeat whose id differs from that of the current start.
    fn take_other_id(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        let is_older_start = |previous| report.incarnation.compare(previous) == StartOrder::Earlier;
        if self.previous.iter().any(is_older_start) {
            return ReportOutcome::Outdated;
        }
        if !self.is_new_start(report) && !self.is_repeated(now, report) {
            set_unconfirmed(&mut self.unconfirmed, now, report);
            return ReportOutcome::Unconfirmed;
        }
        self.replace_current(now, report, false)
    }

    /// Handles a heartbeat with the current start's id and an earlier start time. If it is received
    /// for longer than heartbeats are delayed, while the current start is silent, it is the live
    /// one: the clock that its start time comes from was set back.
    fn take_backdated(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        let received_at =
            self.current.as_ref().map_or(Duration::ZERO, |current| current.received_at);
        let is_alive = self.backdated.as_ref().is_some_and(|earlier| {
            let is_same = earlier.incarnation == report.incarnation;
            let silent_since = earlier.first_received.max(received_at);
            let is_late = now.saturating_sub(silent_since) >= MAX_HEARTBEAT_DELAY;
            is_same && report.sequence > earlier.sequence && is_late
        });
        if is_alive {
            return self.replace_current(now, report, true);
        }
        set_unconfirmed(&mut self.backdated, now, report);
        ReportOutcome::Outdated
    }

    /// Replaces the current start by the one that sent `report`. `is_later`: it is certain that
    /// this one started later. Otherwise the report may be a delayed one of a start before, and if
    /// the current start leaves, nothing else shows that the back end takes flows again.
    fn replace_current(
        &mut self,
        now: Duration,
        report: &BackendReport,
        is_later: bool,
    ) -> ReportOutcome {
        if let Some(leaving) = self.current.as_ref().filter(|current| current.is_leaving)
            && !is_later
        {
            // Every start before the leaving one had ended when that one was first heard.
            self.readiness.verify(leaving.first_received);
        }
        if let Some(current) = self.current.take() {
            remember(&mut self.previous, current.incarnation);
        }
        self.set_current(now, report, false);
        ReportOutcome::Started
    }

    /// Whether a heartbeat is one of the first of a start that may have followed the current one.
    fn is_new_start(&self, report: &BackendReport) -> bool {
        let may_follow =
            self.current.as_ref().is_none_or(|current| !current.is_leaving || current.has_departed);
        let is_first = report.sequence <= MAX_INITIAL_SEQUENCE;
        may_follow && is_first && !self.previous.contains(&report.incarnation)
    }

    /// Whether an unconfirmed start has sent another heartbeat, later than heartbeats that were
    /// delayed together would arrive.
    fn is_repeated(&self, now: Duration, report: &BackendReport) -> bool {
        self.unconfirmed.as_ref().is_some_and(|unconfirmed| {
            let is_later = now.saturating_sub(unconfirmed.first_received) >= MIN_REPEAT_INTERVAL;
            let is_same = unconfirmed.incarnation == report.incarnation;
            is_same && report.sequence > unconfirmed.sequence && is_later
        })
    }

    fn set_current(&mut self, now: Duration, report: &BackendReport, was_leaving: bool) {
        let other = self.unconfirmed.take().filter(|start| start.incarnation != report.incarnation);
        if let Some(leaving) = other.filter(|start| start.is_leaving) {
            // The report may have been sent before the other start began.
            self.readiness.verify(leaving.received_at);
        }
        if self.current.as_ref().is_none_or(|current| current.incarnation != report.incarnation) {
            self.backdated = None;
        }
        if self.is_certainly_latest(&report.incarnation) {
            self.readiness.confirm();
        }
        if report.is_ready {
            self.readiness.note_heartbeat(now);
        }
        let same =
            self.current.as_ref().filter(|current| current.incarnation == report.incarnation);
        let first_received = same.map_or(now, |current| current.first_received);
        self.current = Some(CurrentStart {
            incarnation: report.incarnation.clone(),
            sequence: report.sequence,
            first_received,
            received_at: now,
            capacity: report.capacity,
            is_leaving: was_leaving || !report.is_ready,
            has_departed: false,
            cold_until: now + report.warm_up_left,
        });
    }

    /// Whether a start is later than all that have departed, as their start times show. Earlier
    /// processes of the agent have acknowledged no departure of it then.
    fn is_certainly_latest(&self, start: &Incarnation) -> bool {
        let is_later = |gone: &Incarnation| {
            gone.started_at_ms.is_some() && start.compare(gone) == StartOrder::Later
        };
        self.knows_earlier_departures()
            && !self.departed.is_empty()
            && self.departed.iter().all(is_later)
    }

    /// Handles a notice that a start is leaving or gone. A notice without a start time is taken to
    /// mean the current start of that id: a back end that may be leaving must get no new flows.
    pub(crate) fn take_departure(&mut self, now: Duration, gone: &Incarnation) {
        if self.unconfirmed.as_ref().is_some_and(|unconfirmed| unconfirmed.incarnation == *gone) {
            self.unconfirmed = None;
        }
        let Some(current) = &mut self.current else {
            return self.note_departed(now, gone);
        };
        if departure_ends(gone, &current.incarnation) {
            current.is_leaving = true;
            current.has_departed = true;
            let is_named = gone.started_at_ms.is_some();
            let ended = if is_named { gone } else { &current.incarnation }.clone();
            return remember(&mut self.departed, ended);
        }
        match gone.compare(&current.incarnation) {
            StartOrder::Earlier => remember(&mut self.departed, gone.clone()),
            _ => self.note_departed(now, gone),
        }
    }

    /// Remembers the departure of a start that is not known to be the current one or an earlier
    /// one: it may be the live one.
    fn note_departed(&mut self, now: Duration, gone: &Incarnation) {
        if !self.departed.contains(gone) {
            self.readiness.verify(now);
            remember(&mut self.departed, gone.clone());
        }
    }

    /// Records that the back end's health page has answered that the back end takes flows.
    pub(crate) fn take_healthy(&mut self, now: Duration) {
        self.readiness.note_healthy(now);
    }

    /// Whether the answer of the health page is needed.
    pub(crate) fn needs_health_check(&self) -> bool {
        self.readiness.needs_health_check(self.has_reported())
    }

    /// Until when the word of the health page is relied on.
    pub(crate) fn presumed_until(&self) -> Option<Duration> {
        self.readiness.presumed_until()
    }

    /// Ends the reliance on the health page if it is due.
    pub(crate) fn expire_presumption(&mut self, now: Duration) {
        self.readiness.expire_presumption(now);
    }

    /// Records the departures that earlier processes of the agent have acknowledged; `None` if they
    /// cannot be read now.
    pub(crate) fn take_earlier_departures(
        &mut self,
        now: Duration,
        departed: Option<&[Incarnation]>,
    ) {
        match departed {
            Some(departed) => {
                self.earlier_departures = EarlierDepartures::Known;
                departed.iter().for_each(|gone| self.take_departure(now, gone));
            }
            None if self.earlier_departures == EarlierDepartures::Awaited => {
                self.earlier_departures = EarlierDepartures::Unavailable;
            }
            None => {}
        }
    }

    /// Whether the departures that earlier processes have acknowledged are known.
    pub(crate) fn knows_earlier_departures(&self) -> bool {
        self.earlier_departures == EarlierDepartures::Known
    }

    /// The starts whose leaving was acknowledged, for as long as later processes have to know them:
    /// until another start takes flows.
    pub(crate) fn acknowledged_departures(&self) -> Vec<Incarnation> {
        if self.condition() == BackendCondition::Accepting {
            return Vec::new();
        }
        let current = self.current.as_ref().filter(|current| current.is_leaving);
        let unconfirmed = self.unconfirmed.as_ref().filter(|start| start.is_leaving);
        let leaving = [
            current.map(|current| &current.incarnation),
            unconfirmed.map(|start| &start.incarnation),
        ];
        let leaving = leaving.into_iter().flatten().filter(|start| !self.departed.contains(start));
        self.departed.iter().chain(leaving).cloned().collect()
    }

    pub(crate) fn condition(&self) -> BackendCondition {
        let unconfirmed_leaves =
            self.unconfirmed.as_ref().is_some_and(|unconfirmed| unconfirmed.is_leaving);
        let may_accept = self.earlier_departures != EarlierDepartures::Awaited;
        match &self.current {
            Some(current) if current.is_leaving || unconfirmed_leaves => BackendCondition::Leaving,
            Some(_) if may_accept && self.readiness.is_reliable() => BackendCondition::Accepting,
            Some(_) => BackendCondition::Unverified,
            None if !self.departed.is_empty() => BackendCondition::Leaving,
            None if may_accept && self.readiness.is_presumed() => BackendCondition::Accepting,
            None => BackendCondition::Unknown,
        }
    }

    pub(crate) fn capacity(&self) -> u16 {
        self.current.as_ref().map_or(DEFAULT_CAPACITY, |current| current.capacity.max(1))
    }

    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        let current = self.current.as_ref().map(|current| current.cold_until);
        let unconfirmed = self.unconfirmed.as_ref().map(|unconfirmed| unconfirmed.cold_until);
        [current, unconfirmed].into_iter().flatten().any(|until| now < until)
    }
}

/// Whether a heartbeat comes from a start that has sent a departure notice, or from an earlier one.
fn belongs_to_departed(report: &BackendReport, gone: &Incarnation) -> bool {
    match (report.incarnation.compare(gone), gone.started_at_ms) {
        // The notice did not name a start time. Only a start that is sending its first
        // heartbeats can have begun after the notice.
        (StartOrder::Later, None) => report.sequence > MAX_INITIAL_SEQUENCE,
        (StartOrder::Later | StartOrder::OtherId, _) => false,
        (StartOrder::Same | StartOrder::Earlier | StartOrder::MissingStartTime, _) => true,
    }
}

/// Whether a departure notice ends the current start: it names this start or a later one, or names
/// none.
fn departure_ends(gone: &Incarnation, current: &Incarnation) -> bool {
    matches!(
        gone.compare(current),
        StartOrder::Same | StartOrder::Later | StartOrder::MissingStartTime
    )
}

/// Stores a start that is not accepted yet.
fn set_unconfirmed(slot: &mut Option<UnconfirmedStart>, now: Duration, report: &BackendReport) {
    let same = slot.as_ref().filter(|unconfirmed| unconfirmed.incarnation == report.incarnation);
    let first_received = same.map_or(now, |unconfirmed| unconfirmed.first_received);
    *slot = Some(UnconfirmedStart {
        incarnation: report.incarnation.clone(),
        sequence: report.sequence,
        first_received,
        received_at: now,
        is_leaving: !report.is_ready,
        cold_until: now + report.warm_up_left,
    });
}

/// Adds a start to the remembered ones, dropping the oldest if there are too many.
fn remember(starts: &mut VecDeque<Incarnation>, start: Incarnation) {
    if starts.contains(&start) {
        return;
    }
    if starts.len() == MAX_REMEMBERED_STARTS {
        starts.pop_front();
    }
    starts.push_back(start);
}
