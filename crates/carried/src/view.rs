//! A balancer's view of one agent, and the expected cost of a request that is offered to it.
//!
//! A load report loses value as it ages, because requests end and begin meanwhile. The value used
//! for an agent therefore decays towards the average of its service. An old report of an idle back
//! end then does not attract the flows of every balancer, and an agent that has measured nothing
//! appears neither fast nor slow.

use crate::flow_knowledge::FlowKnowledge;
use crate::message::{BackendCondition, LoadReport};
use crate::policy::{Policies, Policy};
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of consecutive unanswered offers that makes an agent suspect.
pub(crate) const SUSPECT_UNANSWERED_OFFERS: u32 = 2;
/// Number of heartbeat intervals without a report that makes an agent suspect.
const SUSPECT_HEARTBEAT_INTERVALS: u32 = 4;
/// How long an agent's report that no slot is free is valid.
const FULL_TTL: Duration = Duration::from_millis(10);
/// How long an agent counts as newly accepting after it has begun to take new flows.
const NEWLY_ACCEPTING_DURATION: Duration = Duration::from_millis(1_500);
/// Factor by which a cold back end is assumed to be slower.
const COLD_SLOWDOWN: f64 = 1.6;
/// Cost of choosing another zone, as a share of the service's average time per request. Traffic
/// between zones is expensive, so the zone's own back ends are preferred until their slots are
/// used.
const OTHER_ZONE_WORK_SHARE: f64 = 0.7;
/// Added latency of another zone, in seconds.
const OTHER_ZONE_SECONDS: f64 = 0.002;
/// Cost of choosing another region, in seconds of waiting.
const OTHER_REGION_SECONDS: f64 = 0.04;
/// Lower bound of the time that a request is assumed to take, in seconds.
const MIN_WORK_SECONDS: f64 = 0.001;
/// Time per request that is assumed before any agent has measured it, in seconds.
const DEFAULT_WORK_SECONDS: f64 = 0.05;
/// Half-life of a measured time per request, in seconds: a back end that was slow once is tried
/// again.
const WORK_HALF_LIFE_SECONDS: f64 = 2.0;
/// Half-life of a reported load, as a multiple of the time per request.
const LOAD_HALF_LIFE_REQUESTS: f64 = 2.0;

/// Distance of an agent from the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    /// In the balancer's zone.
    SameZone,
    /// In another zone of the balancer's region.
    OtherZone,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Cost of the distance, in seconds, where the average request takes `work` seconds.
    fn cost_seconds(self, work: f64, policies: Policies) -> f64 {
        let work = if policies.is_enabled(Policy::OwnZone) { work } else { 0.0 };
        match self {
            Distance::SameZone => 0.0,
            Distance::OtherZone => OTHER_ZONE_SECONDS + OTHER_ZONE_WORK_SHARE * work,
            Distance::OtherRegion => OTHER_REGION_SECONDS + OTHER_ZONE_WORK_SHARE * work,
        }
    }
}

/// Averages over the agents of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ServiceAverages {
    /// Time per request, in seconds; at least [`MIN_WORK_SECONDS`].
    work: f64,
    /// Requests per slot.
    load: f64,
}

impl ServiceAverages {
    /// Averages over `views`; agents that have measured nothing do not count towards the time per
    /// request.
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
        let work = if measured > 0.0 { work / measured } else { DEFAULT_WORK_SECONDS };
        ServiceAverages { work: work.max(MIN_WORK_SECONDS), load: load / f64::max(agents, 1.0) }
    }
}

/// Where an agent runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) distance: Distance,
    pub(crate) zone: String,
    pub(crate) region: String,
}

/// What a balancer knows about one agent.
#[derive(Debug)]
pub(crate) struct AgentView {
    pub(crate) report: LoadReport,
    /// Zone and region are empty until the agent has sent a heartbeat.
    pub(crate) location: Location,
    /// Whether the configuration in use by this balancer evacuates the agent's zone.
    is_evacuated: bool,
    reported_at: Duration,
    /// Since when its reports say that it takes new flows; `None` while they do not.
    accepting_since: Option<Duration>,
    /// Number of offers made to the agent since its last report.
    offered_since_report: u32,
    /// Number of consecutive offers that it has not answered.
    unanswered_offers: u32,
    /// When the first query was sent that it has not answered; reset by any message from it.
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
            accepting_since: None,
            offered_since_report: 0,
            unanswered_offers: 0,
            unresponsive_since: None,
        }
    }

    /// Applies a load report.
    pub(crate) fn update(&mut self, now: Duration, report: LoadReport) {
        self.report = report;
        self.reported_at = now;
        self.accepting_since = self.is_accepting().then(|| self.accepting_since.unwrap_or(now));
        self.offered_since_report = 0;
        self.unanswered_offers = 0;
        self.unresponsive_since = None;
    }

    /// Records any other message from the agent, which shows that it is alive.
    pub(crate) fn note_alive(&mut self) {
        self.unresponsive_since = None;
    }

    /// Records an answer about flows of a process that has run for `uptime`. If the last report is
    /// older, it is that of an earlier process: a back end whose end it reported may have been
    /// followed by another one.
    pub(crate) fn note_answer(&mut self, now: Duration, uptime: Duration) {
        self.note_alive();
        if self.backend_ended() && uptime < self.age(now) {
            self.report.condition = BackendCondition::Unknown;
            self.report.flow_knowledge = FlowKnowledge::Partial;
        }
    }

    /// Describes the last report for logs: its age, the condition, how long the process had run and
    /// how long its back end, if known.
    pub(crate) fn describe_report(&self, now: Duration) -> String {
        let LoadReport { condition, flow_knowledge, uptime_ms, backend_age_ms, .. } = &self.report;
        let milliseconds = |value: &Option<u32>| value.map_or("-".to_owned(), |ms| ms.to_string());
        let (uptime, backend_age) = (milliseconds(uptime_ms), milliseconds(backend_age_ms));
        let age = self.age(now).as_millis();
        format!("{age}ms:{condition:?}:{flow_knowledge:?}:up={uptime}:backend={backend_age}")
    }

    /// Records that a query sent at `asked_at` has not been answered.
    pub(crate) fn note_unanswered_query(&mut self, asked_at: Duration) {
        if self.reported_at <= asked_at {
            self.unresponsive_since.get_or_insert(asked_at);
        }
    }

    /// Since when it has answered no query.
    pub(crate) fn unresponsive_since(&self) -> Option<Duration> {
        self.unresponsive_since
    }

    pub(crate) fn note_offer(&mut self) {
        self.offered_since_report += 1;
    }

    /// Records an unanswered offer; returns `true` if that makes the agent suspect.
    pub(crate) fn note_unanswered(&mut self) -> bool {
        self.unanswered_offers += 1;
        self.unanswered_offers == SUSPECT_UNANSWERED_OFFERS
    }

    /// Whether it takes new flows.
    pub(crate) fn is_accepting(&self) -> bool {
        self.report.condition == BackendCondition::Accepting && !self.is_evacuated
    }

    /// Updates whether the agent's zone is evacuated.
    pub(crate) fn note_evacuated(&mut self, evacuated: &BTreeSet<String>) {
        self.is_evacuated = evacuated.contains(&self.location.zone);
    }

    /// Whether it takes no new flows only because its zone is evacuated.
    pub(crate) fn is_only_evacuated(&self) -> bool {
        let takes = matches!(
            self.report.condition,
            BackendCondition::Accepting | BackendCondition::Failing | BackendCondition::Silent
        );
        self.report.condition == BackendCondition::Evacuated || (takes && self.is_evacuated)
    }

    /// Whether the agent is in one of the regions that a flow may be placed in; an empty list
    /// allows all.
    pub(crate) fn is_in(&self, regions: &[String]) -> bool {
        regions.is_empty() || regions.contains(&self.location.region)
    }

    /// How complete the agent's knowledge of its back end's flows is, as the agent itself reports.
    pub(crate) fn flow_knowledge(&self) -> FlowKnowledge {
        self.report.flow_knowledge
    }

    /// Whether its back end's process has ended.
    pub(crate) fn backend_ended(&self) -> bool {
        self.report.condition == BackendCondition::Ended
    }

    /// Whether it takes new flows, even if only as a last resort because its back end fails
    /// requests.
    pub(crate) fn may_take_flows(&self) -> bool {
        let is_failing = self.report.condition == BackendCondition::Failing && !self.is_evacuated;
        self.is_accepting() || is_failing
    }

    pub(crate) fn is_suspect(&self, now: Duration, interval: Duration) -> bool {
        let is_overdue = self.age(now) > interval * SUSPECT_HEARTBEAT_INTERVALS;
        is_overdue || self.unanswered_offers >= SUSPECT_UNANSWERED_OFFERS
    }

    /// Whether it has begun to take new flows only recently.
    pub(crate) fn is_newly_accepting(&self, now: Duration) -> bool {
        self.accepting_since
            .is_some_and(|since| now.saturating_sub(since) < NEWLY_ACCEPTING_DURATION)
    }

    /// Whether the agent has just reported that no slot is free, or this balancer has used up,
    /// since the report, the free slots or the new flows allowed during warm-up.
    pub(crate) fn is_known_full(&self, now: Duration) -> bool {
        let capacity = u32::from(self.report.capacity);
        let is_full = u32::from(self.report.waiting) + self.offered_since_report >= capacity;
        let is_cold_allowance_used = self
            .report
            .cold_allowance
            .is_some_and(|allowance| self.offered_since_report >= u32::from(allowance));
        (is_full || is_cold_allowance_used) && self.age(now) < FULL_TTL
    }

    /// Time since its last report.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.reported_at)
    }

    /// Time of its last report.
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
        (self.report.service_time_us > 0).then(|| f64::from(self.report.service_time_us) / 1e6)
    }

    /// Expected time per request, in seconds.
    fn work(&self, now: Duration, averages: &ServiceAverages, policies: Policies) -> f64 {
        let measured =
            self.reported_work().filter(|_| policies.is_enabled(Policy::WeighServiceTime));
        let Some(measured) = measured else { return averages.work };
        if !policies.is_enabled(Policy::EstimateDecay) {
            return measured.max(MIN_WORK_SECONDS);
        }
        let age = f64::from(self.report.measured_ms_ago) / 1e3 + self.age(now).as_secs_f64();
        decay_towards(measured, averages.work, age / WORK_HALF_LIFE_SECONDS).max(MIN_WORK_SECONDS)
    }

    fn slowness(&self, policies: Policies) -> f64 {
        let is_slow = self.report.is_cold && policies.is_enabled(Policy::WeighCold);
        if is_slow { COLD_SLOWDOWN } else { 1.0 }
    }

    /// Expected time, in seconds, until the agent answers a flow that waits in its wait queue.
    pub(crate) fn wait_queue_cost(
        &self,
        now: Duration,
        averages: &ServiceAverages,
        policies: Policies,
    ) -> f64 {
        let ahead = f64::from(self.report.waiting) + f64::from(self.report.queued);
        let rounds = (ahead + f64::from(self.offered_since_report) + 1.0) / self.capacity();
        self.work(now, averages, policies) * self.slowness(policies) * rounds
            + self.location.distance.cost_seconds(averages.work, policies)
    }

    /// Expected time, in seconds, until a new request is answered.
    pub(crate) fn cost(
        &self,
        now: Duration,
        averages: &ServiceAverages,
        policies: Policies,
    ) -> f64 {
        let work = self.work(now, averages, policies);
        let half_lives = self.age(now).as_secs_f64() / (work * LOAD_HALF_LIFE_REQUESTS);
        let load = match policies.is_enabled(Policy::EstimateDecay) {
            true => decay_towards(self.reported_load(), averages.load, half_lives),
            false => self.reported_load(),
        };
        let with_new = load + (f64::from(self.offered_since_report) + 1.0) / self.capacity();
        let crowding = with_new.max(1.0);
        // Among back ends with a free slot, the emptier one is better: its load is less likely to
        // have grown since the report.
        work * self.slowness(policies) * (crowding + with_new)
            + self.location.distance.cost_seconds(averages.work, policies)
    }
}

/// Value of a quantity that was known the given number of half-lives ago, as it decays towards the
/// typical value.
fn decay_towards(known: f64, typical: f64, half_lives: f64) -> f64 {
    typical + (known - typical) * 0.5_f64.powf(half_lives)
}
