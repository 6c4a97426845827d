//! The agents that a balancer knows, and which of them to offer a new flow to.
//!
//! Loads are as old as the last word of an agent; what this balancer has placed there since is added
//! to them. A wrong choice costs a decline, never a wrong placement: the agent decides.

use crate::message::{BackendCondition, LoadReport};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

/// So many offers in a row without an answer make an agent suspect.
const SUSPECT_AFTER: u32 = 2;
/// An agent that was silent for so many heartbeat intervals is suspect.
const SUSPECT_INTERVALS: u32 = 4;
/// An agent's word that no slot is free holds for so long.
const FULL_LASTS: Duration = Duration::from_millis(10);
/// A back end that is cold is taken to be so much slower.
const COLD_FACTOR: f64 = 1.6;
/// A way to another zone is worth so much, in seconds of waiting.
const OTHER_ZONE_SECONDS: f64 = 0.002;
/// A way to another region, in seconds of waiting.
const OTHER_REGION_SECONDS: f64 = 0.04;
/// Least work that a load is worth, in seconds; keeps an agent without measurements comparable.
const LEAST_WORK_SECONDS: f64 = 0.001;

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
    fn seconds(self) -> f64 {
        match self {
            Distance::SameZone => 0.0,
            Distance::OtherZone => OTHER_ZONE_SECONDS,
            Distance::OtherRegion => OTHER_REGION_SECONDS,
        }
    }
}

/// An agent, as one balancer knows it.
#[derive(Debug)]
pub(crate) struct AgentView {
    pub(crate) report: LoadReport,
    pub(crate) distance: Distance,
    heard_at: Duration,
    /// Flows placed there since the report.
    placed_since: u32,
    /// Offers in a row that it did not answer.
    unanswered: u32,
}

impl AgentView {
    pub(crate) fn is_suspect(&self, now: Duration, interval: Duration) -> bool {
        let is_unheard = now.saturating_sub(self.heard_at) > interval * SUSPECT_INTERVALS;
        is_unheard || self.unanswered >= SUSPECT_AFTER
    }

    /// Whether the agent has just said that no slot is free there.
    pub(crate) fn is_known_full(&self, now: Duration) -> bool {
        let capacity = u32::from(self.report.capacity);
        let is_full = u32::from(self.report.waiting) + self.placed_since >= capacity;
        is_full && now.saturating_sub(self.heard_at) < FULL_LASTS
    }

    /// Seconds until a new request there would be answered, as far as is known.
    fn cost(&self) -> f64 {
        let capacity = f64::from(self.report.capacity.max(1));
        let in_system = f64::from(self.report.waiting) + f64::from(self.placed_since) + 1.0;
        let work = (f64::from(self.report.work_us) / 1e6).max(LEAST_WORK_SECONDS);
        let factor = if self.report.is_cold { COLD_FACTOR } else { 1.0 };
        let crowding = (in_system / capacity).max(1.0);
        // Among back ends with a free slot the emptier one is better: its load is less likely to
        // have grown since.
        let emptiness = in_system / capacity;
        work * factor * (crowding + emptiness) + self.distance.seconds()
    }

    /// Milliseconds since it was heard.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard_at)
    }
}

/// The agents of all services.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    agents: BTreeMap<SocketAddrV4, AgentView>,
    by_service: HashMap<String, BTreeSet<SocketAddrV4>>,
}

impl Pool {
    /// An agent's word about its load.
    pub(crate) fn take_report(
        &mut self,
        now: Duration,
        agent: SocketAddrV4,
        distance: Option<Distance>,
        report: LoadReport,
    ) {
        let view = self.agents.entry(agent).or_insert_with(|| AgentView {
            report: LoadReport::default(),
            distance: Distance::OtherZone,
            heard_at: now,
            placed_since: 0,
            unanswered: 0,
        });
        if view.report.service != report.service {
            if let Some(agents) = self.by_service.get_mut(&view.report.service) {
                agents.remove(&agent);
            }
            self.by_service.entry(report.service.clone()).or_default().insert(agent);
        }
        view.report = report;
        view.distance = distance.unwrap_or(view.distance);
        view.heard_at = now;
        view.placed_since = 0;
        view.unanswered = 0;
    }

    /// A flow was offered to an agent.
    pub(crate) fn note_offer(&mut self, agent: &SocketAddrV4) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.placed_since += 1;
        }
    }

    /// An agent did not answer an offer; `true` when that makes it suspect.
    pub(crate) fn note_unanswered(&mut self, agent: &SocketAddrV4) -> bool {
        let Some(view) = self.agents.get_mut(agent) else { return false };
        view.unanswered += 1;
        view.unanswered == SUSPECT_AFTER
    }

    pub(crate) fn forget(&mut self, keep: impl Fn(&SocketAddrV4) -> bool) {
        self.agents.retain(|agent, _| keep(agent));
        for agents in self.by_service.values_mut() {
            agents.retain(&keep);
        }
    }

    pub(crate) fn view(&self, agent: &SocketAddrV4) -> Option<&AgentView> {
        self.agents.get(agent)
    }

    pub(crate) fn len(&self) -> usize {
        self.agents.len()
    }

    /// Every agent with what is known of it.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&SocketAddrV4, &AgentView)> {
        self.agents.iter()
    }

    /// Agents of a service.
    pub(crate) fn of_service(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (&SocketAddrV4, &AgentView)> {
        let agents = self.by_service.get(service).into_iter().flatten();
        agents.filter_map(|agent| self.agents.get_key_value(agent))
    }

    /// Agents of a service that last said that they take new flows.
    fn accepting(&self, service: &str) -> impl Iterator<Item = (&SocketAddrV4, &AgentView)> {
        self.of_service(service)
            .filter(|(_, view)| view.report.condition == BackendCondition::Accepting)
    }

    /// The best agent to offer a new flow of `service` to, among those that `may_ask` names.
    /// `noise` gives numbers from 0 to 1 that break ties, so that balancers do not all choose alike.
    pub(crate) fn best(
        &self,
        now: Duration,
        interval: Duration,
        service: &str,
        may_ask: impl Fn(&SocketAddrV4, &AgentView) -> bool,
        mut noise: impl FnMut() -> f64,
    ) -> Option<SocketAddrV4> {
        let mut best: Option<(f64, SocketAddrV4)> = None;
        for (agent, view) in self.accepting(service) {
            if !may_ask(agent, view) || view.is_suspect(now, interval) {
                continue;
            }
            let cost = view.cost() * (1.0 + NOISE_SHARE * noise());
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *agent));
            }
        }
        best.map(|(_, agent)| agent)
    }

    /// A suspect agent of a service that last said that it takes new flows: the last resort.
    pub(crate) fn suspect(
        &self,
        now: Duration,
        interval: Duration,
        service: &str,
        asked: impl Fn(&SocketAddrV4) -> bool,
    ) -> Option<SocketAddrV4> {
        let suspects = self
            .accepting(service)
            .filter(|(agent, view)| view.is_suspect(now, interval) && !asked(agent));
        suspects.max_by_key(|(_, view)| view.heard_at).map(|(agent, _)| *agent)
    }

    /// Whether any agent that was heard lately takes new flows.
    pub(crate) fn any_accepting(&self, now: Duration, interval: Duration) -> bool {
        self.agents.values().any(|view| {
            view.report.condition == BackendCondition::Accepting && !view.is_suspect(now, interval)
        })
    }

    pub(crate) fn suspects(&self, now: Duration, interval: Duration) -> usize {
        self.agents.values().filter(|view| view.is_suspect(now, interval)).count()
    }
}

/// How far chance may move a cost, as a share of it.
const NOISE_SHARE: f64 = 0.1;
