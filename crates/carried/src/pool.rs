//! The agents known to a balancer, and the choice of the agent that a new flow is offered to.
//!
//! The load of an agent is as old as its last report, so the flows that this balancer has offered
//! there since are added to it. A wrong choice costs a declined offer and never a wrong placement,
//! because the agent decides.

use crate::message::LoadReport;
use crate::offer_budget::OfferBudget;
use crate::policy::{Policies, Policy};
use crate::rank::Ranking;
use crate::view::{AgentView, Distance, Location, ServiceAverages};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Identifies an agent by the address at which it receives messages.
pub(crate) type AgentId = SocketAddrV4;

/// Maximum random addition to a cost, as a share of the cost.
const NOISE_SHARE: f64 = 0.1;
/// Number of candidates compared in a large service, taken from the top of the flow's ranking: this
/// many of the balancer's own zone and this many of all others. Balancers with the same knowledge
/// thus do not all choose the same agent, and each of them can work out later where a flow may be.
pub(crate) const SAMPLE_SIZE: usize = 8;

/// The agents of all services.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    policies: Policies,
    agents: BTreeMap<AgentId, AgentView>,
    /// Each agent is listed under the service that it reported last, and under no other.
    by_service: HashMap<String, BTreeSet<AgentId>>,
    /// Budget of repeated offers of each service.
    budgets: HashMap<String, OfferBudget>,
    /// Zones whose agents get no offers.
    evacuated: BTreeSet<String>,
}

impl Pool {
    /// Creates a pool without agents.
    pub(crate) fn new(policies: Policies) -> Self {
        Pool { policies, ..Pool::default() }
    }

    /// Records an agent's load report.
    pub(crate) fn take_report(&mut self, now: Duration, agent: AgentId, report: LoadReport) {
        let view = self.agents.entry(agent).or_insert_with(|| AgentView::new(now));
        if view.report.service != report.service {
            if let Some(agents) = self.by_service.get_mut(&view.report.service) {
                agents.remove(&agent);
            }
            self.by_service.entry(report.service.clone()).or_default().insert(agent);
        }
        view.update(now, report);
    }

    /// Sets where an agent is; ignored for an agent that has not reported its load yet.
    pub(crate) fn set_location(&mut self, agent: &AgentId, location: Location) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.location = location;
            view.note_evacuated(&self.evacuated);
        }
    }

    /// Sets the evacuated zones: their agents get no offers, those of all other zones do.
    pub(crate) fn evacuate(&mut self, zones: &BTreeSet<String>) {
        self.evacuated.clone_from(zones);
        for view in self.agents.values_mut() {
            view.note_evacuated(zones);
        }
    }

    /// Whether a service takes no new flows only because zones are evacuated.
    pub(crate) fn is_evacuated(&self, service: &str) -> bool {
        let mut any_evacuated = false;
        for (_, view) in self.of_service(service) {
            if view.may_take_flows() {
                return false;
            }
            any_evacuated |= view.is_only_evacuated();
        }
        any_evacuated
    }

    fn budget(&mut self, now: Duration, service: &str) -> &mut OfferBudget {
        // One lookup in the common case that the service is known, and no copy of its name.
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), OfferBudget::new(now));
        }
        self.budgets.get_mut(service).expect("inserted above")
    }

    /// Whether so many flows of a service are declined that no repeated offers are available.
    pub(crate) fn is_budget_exhausted(&mut self, now: Duration, service: &str) -> bool {
        self.policies.is_enabled(Policy::OfferBudget) && self.budget(now, service).is_exhausted(now)
    }

    /// Pays for an offer of a flow that has been offered `made` times before; returns `false` if
    /// the offer must not be made.
    pub(crate) fn take_offer(&mut self, now: Duration, service: &str, made: u32) -> bool {
        !self.policies.is_enabled(Policy::OfferBudget) || self.budget(now, service).take(now, made)
    }

    /// Records that a flow of a service was placed.
    pub(crate) fn note_placed(&mut self, now: Duration, service: &str) {
        self.budget(now, service).note_placed();
    }

    /// Records an offer to an agent.
    pub(crate) fn note_offer(&mut self, agent: &AgentId) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.note_offer();
        }
    }

    /// Records that an agent did not answer an offer; returns `true` if that makes it suspect.
    pub(crate) fn note_unanswered(&mut self, agent: &AgentId) -> bool {
        self.agents.get_mut(agent).is_some_and(AgentView::note_unanswered)
    }

    /// Records a message from an agent; returns `false` if the agent is unknown.
    pub(crate) fn note_alive(&mut self, agent: &AgentId) -> bool {
        let view = self.agents.get_mut(agent);
        view.map(AgentView::note_alive).is_some()
    }

    /// Records an answer about flows of an agent's process that has run for `uptime`.
    pub(crate) fn note_answer(&mut self, now: Duration, agent: &AgentId, uptime: Duration) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.note_answer(now, uptime);
        }
    }

    /// Records that an agent has not answered a query sent at `asked_at`.
    pub(crate) fn note_unanswered_query(&mut self, agent: &AgentId, asked_at: Duration) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.note_unanswered_query(asked_at);
        }
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&AgentId) -> bool) {
        self.agents.retain(|agent, _| keep(agent));
        for agents in self.by_service.values_mut() {
            agents.retain(&keep);
        }
    }

    pub(crate) fn view(&self, agent: &AgentId) -> Option<&AgentView> {
        self.agents.get(agent)
    }

    pub(crate) fn len(&self) -> usize {
        self.agents.len()
    }

    /// Iterates over all agents.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&AgentId, &AgentView)> {
        self.agents.iter()
    }

    /// Iterates over the agents of a service.
    pub(crate) fn of_service(&self, service: &str) -> impl Iterator<Item = (&AgentId, &AgentView)> {
        let agents = self.by_service.get(service).into_iter().flatten();
        agents.filter_map(|agent| self.agents.get_key_value(agent))
    }

    /// Iterates over the agents of a service whose last report says that they take new flows.
    fn accepting(&self, service: &str) -> impl Iterator<Item = (&AgentId, &AgentView)> {
        self.of_service(service).filter(|(_, view)| view.is_accepting())
    }

    /// The best agent to offer a new flow of `service` to, among those that `may_ask` accepts.
    /// `interval` is the heartbeat interval; `noise` returns random numbers from 0 to 1, which
    /// break ties.
    pub(crate) fn best(
        &self,
        now: Duration,
        interval: Duration,
        service: &str,
        ranking: Ranking,
        may_ask: impl Fn(&AgentId, &AgentView) -> bool,
        noise: impl FnMut() -> f64,
    ) -> Option<AgentId> {
        let cost =
            |view: &AgentView, averages: &ServiceAverages| view.cost(now, averages, self.policies);
        self.cheapest(now, interval, service, ranking, may_ask, noise, cost)
    }

    /// The agent of `service` in whose wait queue a flow is expected to wait for the shortest time.
    pub(crate) fn shortest_wait_queue(
        &self,
        now: Duration,
        interval: Duration,
        service: &str,
        ranking: Ranking,
        may_ask: impl Fn(&AgentId, &AgentView) -> bool,
        noise: impl FnMut() -> f64,
    ) -> Option<AgentId> {
        let cost = |view: &AgentView, averages: &ServiceAverages| {
            view.wait_queue_cost(now, averages, self.policies)
        };
        self.cheapest(now, interval, service, ranking, may_ask, noise, cost)
    }

    /// The agent of the lowest cost among the first in a flow's ranking.
    #[allow(clippy::too_many_arguments)]
    fn cheapest(
        &self,
        now: Duration,
        interval: Duration,
        service: &str,
        ranking: Ranking,
        may_ask: impl Fn(&AgentId, &AgentView) -> bool,
        mut noise: impl FnMut() -> f64,
        cost: impl Fn(&AgentView, &ServiceAverages) -> f64,
    ) -> Option<AgentId> {
        let not_suspect =
            || self.accepting(service).filter(|(_, view)| !view.is_suspect(now, interval));
        let averages = ServiceAverages::of(not_suspect().map(|(_, view)| view));
        let candidates = not_suspect().filter(|(agent, view)| may_ask(agent, view));
        let candidates: Vec<_> =
            candidates.map(|(agent, view)| (ranking.rank(agent), agent, view)).collect();
        let candidates = match self.policies.is_enabled(Policy::SampledChoice) {
            true => sample(candidates),
            false => candidates,
        };
        let costs = candidates.into_iter().map(|(_, agent, view)| {
            (cost(view, &averages) * (1.0 + NOISE_SHARE * noise()), *agent)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, agent)| agent)
    }

    /// The suspect agent of a service with the newest report, among those whose last report says
    /// that they take new flows: a last resort.
    pub(crate) fn suspect(
        &self,
        now: Duration,
        interval: Duration,
        service: &str,
        may_ask: impl Fn(&AgentId, &AgentView) -> bool,
    ) -> Option<AgentId> {
        let suspects = self
            .accepting(service)
            .filter(|(agent, view)| view.is_suspect(now, interval) && may_ask(agent, view));
        suspects.max_by_key(|(_, view)| view.reported_at()).map(|(agent, _)| *agent)
    }

    /// The agent with the fewest waiting requests among those of a service that take new flows or
    /// whose back end fails its requests.
    pub(crate) fn failing(
        &self,
        now: Duration,
        interval: Duration,
        service: &str,
        may_ask: impl Fn(&AgentId, &AgentView) -> bool,
    ) -> Option<AgentId> {
        let failing = self.of_service(service).filter(|(agent, view)| {
            view.may_take_flows() && !view.is_suspect(now, interval) && may_ask(agent, view)
        });
        failing.min_by_key(|(_, view)| view.report.waiting).map(|(agent, _)| *agent)
    }

    /// Whether any agent of a service has begun to take new flows only recently.
    pub(crate) fn is_recovering(&self, now: Duration, service: &str) -> bool {
        self.accepting(service).any(|(_, view)| view.is_newly_accepting(now))
    }

    /// Whether every agent of a service that takes new flows has just reported that it is full.
    pub(crate) fn is_known_full(&self, now: Duration, interval: Duration, service: &str) -> bool {
        let mut not_suspect =
            self.accepting(service).filter(|(_, view)| !view.is_suspect(now, interval)).peekable();
        not_suspect.peek().is_some() && not_suspect.all(|(_, view)| view.is_known_full(now))
    }

    /// Whether any agent that is not suspect takes new flows, or would if its zone were not
    /// evacuated. The latter counts as well, so that callers are refused immediately.
    pub(crate) fn any_accepting(&self, now: Duration, interval: Duration) -> bool {
        let takes = |view: &AgentView| view.may_take_flows() || view.is_only_evacuated();
        self.agents.values().any(|view| takes(view) && !view.is_suspect(now, interval))
    }

    pub(crate) fn suspects(&self, now: Duration, interval: Duration) -> usize {
        self.agents.values().filter(|view| view.is_suspect(now, interval)).count()
    }
}

/// An agent with its rank for a flow.
type Ranked<'a> = (u64, &'a AgentId, &'a AgentView);

/// The first candidates of the own zone and the first of all others, by rank.
fn sample(candidates: Vec<Ranked<'_>>) -> Vec<Ranked<'_>> {
    let is_near = |(_, _, view): &Ranked<'_>| view.location.distance == Distance::SameZone;
    let (near, far): (Vec<_>, Vec<_>) = candidates.into_iter().partition(is_near);
    let mut sample = first_ranked(near);
    sample.extend(first_ranked(far));
    sample
}

fn first_ranked(mut candidates: Vec<Ranked<'_>>) -> Vec<Ranked<'_>> {
    if candidates.len() > SAMPLE_SIZE {
        candidates.select_nth_unstable_by_key(SAMPLE_SIZE - 1, |(rank, _, _)| *rank);
        candidates.truncate(SAMPLE_SIZE);
    }
    candidates
}
