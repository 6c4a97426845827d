//! One agent as a balancer knows it, and what a request offered there is expected to cost.
//!
//! A word about a load is worth less the older it is: requests end and begin meanwhile. What is
//! known of an agent therefore drifts towards what is typical of its service, so that an old word
//! of rest does not draw the flows of every balancer, and an agent that has measured nothing looks
//! neither fast nor slow.

use crate::message::{BackendCondition, FlowMemory, LoadReport};
use crate::policy::{Policies, Policy};
use std::collections::BTreeSet;
use std::time::Duration;

/// So many offers in a row without an answer make an agent suspect.
pub(crate) const SUSPECT_AFTER: u32 = 2;
/// An agent that was silent for so many heartbeat intervals is suspect.
const SUSPECT_INTERVALS: u32 = 4;
/// An agent's word that no slot is free holds for so long.
const FULL_LASTS: Duration = Duration::from_millis(10);
/// An agent has just come for so long after it began to take new flows.
const JUST_COME: Duration = Duration::from_millis(1_500);
/// A back end that is cold is taken to be so much slower.
const COLD_FACTOR: f64 = 1.6;
/// A way to another zone is worth as much waiting as this share of a request's work: bytes between
/// zones are dear, and a zone's own back ends are used until their slots are.
const OTHER_ZONE_WORK: f64 = 0.7;
/// A way to another zone takes so long, in seconds.
const OTHER_ZONE_SECONDS: f64 = 0.002;
/// A way to another region, in seconds of waiting.
const OTHER_REGION_SECONDS: f64 = 0.04;
/// Least work that a request is worth, in seconds.
const LEAST_WORK_SECONDS: f64 = 0.001;
/// Work taken to be typical before any agent has measured it, in seconds.
const ASSUMED_WORK_SECONDS: f64 = 0.05;
/// Half of a measurement of work is forgotten in so many seconds, so that a back end that was slow
/// once is tried again.
const WORK_HALF_SECONDS: f64 = 2.0;
/// Half of a word about a load is forgotten in the time of so many requests.
const LOAD_HALF_REQUESTS: f64 = 2.0;

/// When another process started, in milliseconds since this one did; negative before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StartTime(i64);

impl StartTime {
    /// Of a process that says at `now` how many milliseconds it has run.
    pub(crate) fn from_uptime(now: Duration, up_ms: u32) -> Self {
        StartTime(i64::try_from(now.as_millis()).unwrap_or(i64::MAX) - i64::from(up_ms))
    }

    /// Time between two starts.
    pub(crate) fn between(self, other: StartTime) -> Duration {
        Duration::from_millis(self.0.abs_diff(other.0))
    }
}

/// Where an agent is, seen from a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    /// In the balancer's zone.
    SameZone,
    /// In another zone of its region.
    OtherZone,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// What the way is worth where a request takes `work` seconds.
    fn seconds(self, work: f64, policies: Policies) -> f64 {
        let work = if policies.has(Policy::OwnZone) { work } else { 0.0 };
        match self {
            Distance::SameZone => 0.0,
            Distance::OtherZone => OTHER_ZONE_SECONDS + OTHER_ZONE_WORK * work,
            Distance::OtherRegion => OTHER_REGION_SECONDS + OTHER_ZONE_WORK * work,
        }
    }
}

/// What is typical of the agents of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ServiceAverages {
    /// Time of one request, in seconds; never below the least.
    work: f64,
    /// Requests a slot.
    load: f64,
}

impl ServiceAverages {
    /// Means over `views`; agents that have measured nothing do not count for the work.
    pub(crate) fn of<'a>(views: impl Iterator<Item = &'a AgentView>) -> Self {
        let (mut work, mut measured, mut load, mut agents) = (0.0, 0.0, 0.0, 0.0);
        for view in views {
            load += view.reported_load();
            agents += 1.0;
            if let Some(seconds) = view.reported_work() {
                work += seconds;
                measured += 1.0;
            }
        }
        let work = if measured > 0.0 { work / measured } else { ASSUMED_WORK_SECONDS };
        ServiceAverages { work: work.max(LEAST_WORK_SECONDS), load: load / f64::max(agents, 1.0) }
    }
}

/// Where an agent is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) distance: Distance,
    pub(crate) zone: String,
    pub(crate) region: String,
}

/// An agent, as one balancer knows it.
#[derive(Debug)]
pub(crate) struct AgentView {
    pub(crate) report: LoadReport,
    /// Names no zone and no region before the agent has sent a heartbeat.
    pub(crate) location: Location,
    /// Its zone is evacuated, as the configuration in force here says.
    is_evacuated: bool,
    reported_at: Duration,
    /// When it was heard first.
    first_heard: Duration,
    /// Since when it has said that it takes new flows; `None` while it does not.
    accepts_since: Option<Duration>,
    /// Flows offered there since the report.
    placed_since: u32,
    /// Offers in a row that it did not answer.
    unanswered: u32,
    /// When the first question was asked that it has not answered, nor anything since.
    unresponsive_since: Option<Duration>,
}

impl AgentView {
    pub(crate) fn new(now: Duration) -> Self {
        AgentView {
            report: LoadReport::default(),
            location: Location {
                distance: Distance::OtherZone,
                zone: String::new(),
                region: String::new(),
            },
            is_evacuated: false,
            reported_at: now,
            first_heard: now,
            accepts_since: None,
            placed_since: 0,
            unanswered: 0,
            unresponsive_since: None,
        }
    }

    /// Takes the agent's word.
    pub(crate) fn update(&mut self, now: Duration, report: LoadReport) {
        self.report = report;
        self.reported_at = now;
        self.accepts_since = self.is_accepting().then(|| self.accepts_since.unwrap_or(now));
        self.placed_since = 0;
        self.unanswered = 0;
        self.unresponsive_since = None;
    }

    /// Takes any other word of the agent: it lives.
    pub(crate) fn note_alive(&mut self) {
        self.unresponsive_since = None;
    }

    /// A question that was asked then has had no answer.
    pub(crate) fn note_unanswered_query(&mut self, asked_at: Duration) {
        if self.reported_at <= asked_at {
            self.unresponsive_since.get_or_insert(asked_at);
        }
    }

    /// Since when it has answered nothing that it was asked.
    pub(crate) fn unresponsive_since(&self) -> Option<Duration> {
        self.unresponsive_since
    }

    pub(crate) fn note_offer(&mut self) {
        self.placed_since += 1;
    }

    /// An offer was not answered; `true` when that makes the agent suspect.
    pub(crate) fn note_unanswered(&mut self) -> bool {
        self.unanswered += 1;
        self.unanswered == SUSPECT_AFTER
    }

    /// Whether it takes new flows.
    pub(crate) fn is_accepting(&self) -> bool {
        self.report.condition == BackendCondition::Accepting && !self.is_evacuated
    }

    /// Takes which zones are evacuated.
    pub(crate) fn note_evacuated(&mut self, evacuated: &BTreeSet<String>) {
        self.is_evacuated = evacuated.contains(&self.location.zone);
    }

    /// Whether only the evacuation of its zone keeps new flows away.
    pub(crate) fn is_only_evacuated(&self) -> bool {
        let takes = matches!(
            self.report.condition,
            BackendCondition::Accepting | BackendCondition::Failing | BackendCondition::Silent
        );
        self.report.condition == BackendCondition::Evacuated || (takes && self.is_evacuated)
    }

    /// Whether a flow that may live in these regions only may be offered there; any will do where
    /// none is named.
    pub(crate) fn is_in(&self, regions: &[String]) -> bool {
        regions.is_empty() || regions.contains(&self.location.region)
    }

    /// Which flows of its back end it knows, as it says itself.
    pub(crate) fn memory(&self) -> FlowMemory {
        self.report.memory
    }

    /// Whether it has heard of a back end that lives.
    pub(crate) fn has_backend(&self) -> bool {
        !self.backend_ended() && self.report.condition != BackendCondition::Unknown
    }

    /// Whether its back end's process has ended.
    pub(crate) fn backend_ended(&self) -> bool {
        self.report.condition == BackendCondition::Ended
    }

    /// When its back end started, seen from this process's start, where its agent has run ever
    /// since; nothing below 0 is told from 0.
    fn backend_started_at(&self) -> Option<Duration> {
        let before = Duration::from_millis(u64::from(self.report.begun_ms_ago?));
        Some(self.reported_at.saturating_sub(before))
    }

    /// When the agent's process started; `None` when that is long ago.
    pub(crate) fn started_at(&self) -> Option<StartTime> {
        Some(StartTime::from_uptime(self.reported_at, self.report.up_ms?))
    }

    /// Whether its back end started after this process did, or no more than `spread` before it,
    /// and its agent has run ever since.
    pub(crate) fn backend_started_after(&self, now: Duration, spread: Duration) -> bool {
        self.report.begun_ms_ago.is_some_and(|milliseconds| {
            let age = Duration::from_millis(u64::from(milliseconds)) + self.age(now);
            age <= now + spread
        })
    }

    /// Whether it was heard as soon as both had started.
    pub(crate) fn was_discovered_within(&self, delay: Duration) -> bool {
        self.backend_started_at().is_some_and(|at| self.first_heard <= at + delay)
    }

    /// Whether new flows are taken, be it as a last resort.
    pub(crate) fn may_take_flows(&self) -> bool {
        let is_failing = self.report.condition == BackendCondition::Failing && !self.is_evacuated;
        self.is_accepting() || is_failing
    }

    pub(crate) fn is_suspect(&self, now: Duration, interval: Duration) -> bool {
        let is_unheard = self.age(now) > interval * SUSPECT_INTERVALS;
        is_unheard || self.unanswered >= SUSPECT_AFTER
    }

    /// Whether it has begun to take new flows only just now.
    pub(crate) fn is_newly_accepting(&self, now: Duration) -> bool {
        self.accepts_since.is_some_and(|since| now.saturating_sub(since) < JUST_COME)
    }

    /// Whether the agent has just said that no slot is free there.
    pub(crate) fn is_known_full(&self, now: Duration) -> bool {
        let capacity = u32::from(self.report.capacity);
        let is_full = u32::from(self.report.waiting) + self.placed_since >= capacity;
        let is_given_enough =
            self.report.cold_room.is_some_and(|room| self.placed_since >= u32::from(room));
        (is_full || is_given_enough) && self.age(now) < FULL_LASTS
    }

    /// Time since it was heard.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.reported_at)
    }

    /// When it was heard last.
    pub(crate) fn reported_at(&self) -> Duration {
        self.reported_at
    }

    fn capacity(&self) -> f64 {
        f64::from(self.report.capacity.max(1))
    }

    fn reported_load(&self) -> f64 {
        f64::from(self.report.waiting) / self.capacity()
    }

    fn reported_work(&self) -> Option<f64> {
        (self.report.work_us > 0).then(|| f64::from(self.report.work_us) / 1e6)
    }

    /// Time of one request, in seconds, as far as is known.
    fn work(&self, now: Duration, typical: &ServiceAverages, policies: Policies) -> f64 {
        let measured = self.reported_work().filter(|_| policies.has(Policy::WeighWork));
        let Some(measured) = measured else { return typical.work };
        if !policies.has(Policy::Drift) {
            return measured.max(LEAST_WORK_SECONDS);
        }
        let age = f64::from(self.report.measured_ms_ago) / 1e3 + self.age(now).as_secs_f64();
        drift(measured, typical.work, age / WORK_HALF_SECONDS).max(LEAST_WORK_SECONDS)
    }

    fn slowness(&self, policies: Policies) -> f64 {
        let is_slow = self.report.is_cold && policies.has(Policy::WeighCold);
        if is_slow { COLD_FACTOR } else { 1.0 }
    }

    /// Seconds until a flow that waits there until there is room is answered, as far as is known.
    pub(crate) fn wait_queue_cost(
        &self,
        now: Duration,
        typical: &ServiceAverages,
        policies: Policies,
    ) -> f64 {
        let ahead = f64::from(self.report.waiting) + f64::from(self.report.in_line);
        let rounds = (ahead + f64::from(self.placed_since) + 1.0) / self.capacity();
        self.work(now, typical, policies) * self.slowness(policies) * rounds
            + self.location.distance.seconds(typical.work, policies)
    }

    /// Seconds until a new request there would be answered, as far as is known.
    pub(crate) fn cost(&self, now: Duration, typical: &ServiceAverages, policies: Policies) -> f64 {
        let work = self.work(now, typical, policies);
        let half_lives = self.age(now).as_secs_f64() / (work * LOAD_HALF_REQUESTS);
        let load = match policies.has(Policy::Drift) {
            true => drift(self.reported_load(), typical.load, half_lives),
            false => self.reported_load(),
        };
        let with_new = load + (f64::from(self.placed_since) + 1.0) / self.capacity();
        let crowding = with_new.max(1.0);
        // Among back ends with a free slot the emptier one is better: its load is less likely to
        // have grown since.
        work * self.slowness(policies) * (crowding + with_new)
            + self.location.distance.seconds(typical.work, policies)
    }
}

/// A value known so many half-lives ago, on its way to what is typical.
fn drift(known: f64, typical: f64, half_lives: f64) -> f64 {
    typical + (known - typical) * 0.5_f64.powf(half_lives)
}
