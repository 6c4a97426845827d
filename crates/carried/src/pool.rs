//! The agents that a balancer knows, and which of them to offer a new flow to.
//!
//! Loads are as old as the last word of an agent; what this balancer has placed there since is added
//! to them. A wrong choice costs a decline, never a wrong placement: the agent decides.

use crate::message::LoadReport;
use crate::offer_budget::OfferBudget;
use crate::policy::{Policies, Policy};
use crate::rank::Ranking;
use crate::view::{AgentView, Distance, Location, ServiceAverages};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Names an agent: where it takes messages.
pub(crate) type AgentId = SocketAddrV4;

/// How far chance may move a cost, as a share of it.
const NOISE_SHARE: f64 = 0.1;
/// So many agents, the first in the flow's ranking, are compared in a larger service, and as many of
/// the balancer's own zone: balancers that know the same do not all choose the same, and each can
/// tell later where a flow may live.
pub(crate) const SAMPLE_SIZE: usize = 8;

/// The agents of all services.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    policies: Policies,
    agents: BTreeMap<AgentId, AgentView>,
    /// Every agent stands under the service that it last named, and under no other.
    by_service: HashMap<String, BTreeSet<AgentId>>,
    /// Repeated offers that flows of each service may still cost.
    budgets: HashMap<String, OfferBudget>,
    /// Zones whose agents are offered nothing.
    evacuated: BTreeSet<String>,
}

impl Pool {
    /// No agents yet.
    pub(crate) fn new(policies: Policies) -> Self {
        Pool { policies, ..Pool::default() }
    }

    /// An agent's word about its load.
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

    /// Takes where an agent is; one that has said nothing else yet is passed over.
    pub(crate) fn set_location(&mut self, agent: &AgentId, location: Location) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.location = location;
            view.note_evacuated(&self.evacuated);
        }
    }

    /// Offers nothing in these zones from now on, and something in all others.
    pub(crate) fn evacuate(&mut self, zones: &BTreeSet<String>) {
        self.evacuated.clone_from(zones);
        for view in self.agents.values_mut() {
            view.note_evacuated(zones);
        }
    }

    /// Whether evacuations alone keep a service from taking new flows.
    pub(crate) fn is_evacuated(&self, service: &str) -> bool {
        let mut is_any = false;
        for (_, view) in self.of_service(service) {
            if view.may_take_flows() {
                return false;
            }
            is_any |= view.is_only_evacuated();
        }
        is_any
    }

    fn budget(&mut self, now: Duration, service: &str) -> &mut OfferBudget {
        // One look-up where it is known, as nearly always, and no copy of the name.
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), OfferBudget::new(now));
        }
        self.budgets.get_mut(service).expect("inserted above")
    }

    /// Whether flows of a service are declined so often that repeated offers are not to be had.
    pub(crate) fn is_budget_spent(&mut self, now: Duration, service: &str) -> bool {
        self.policies.has(Policy::OfferBudget) && self.budget(now, service).is_exhausted(now)
    }

    /// Takes what an offer of a flow costs that was offered `made` times before; `false` when it is
    /// not to be made.
    pub(crate) fn take_offer(&mut self, now: Duration, service: &str, made: u32) -> bool {
        !self.policies.has(Policy::OfferBudget) || self.budget(now, service).take(now, made)
    }

    /// A flow of a service was placed.
    pub(crate) fn note_placed(&mut self, now: Duration, service: &str) {
        self.budget(now, service).note_placed();
    }

    /// A flow was offered to an agent.
    pub(crate) fn note_offer(&mut self, agent: &AgentId) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.note_offer();
        }
    }

    /// An agent did not answer an offer; `true` when that makes it suspect.
    pub(crate) fn note_unanswered(&mut self, agent: &AgentId) -> bool {
        self.agents.get_mut(agent).is_some_and(AgentView::note_unanswered)
    }

    /// An agent said something; `false` when it is not known.
    pub(crate) fn note_alive(&mut self, agent: &AgentId) -> bool {
        let view = self.agents.get_mut(agent);
        view.map(AgentView::note_alive).is_some()
    }

    /// An agent has not answered a question that was asked then.
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

    /// Every agent with what is known of it.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&AgentId, &AgentView)> {
        self.agents.iter()
    }

    /// Agents of a service.
    pub(crate) fn of_service(&self, service: &str) -> impl Iterator<Item = (&AgentId, &AgentView)> {
        let agents = self.by_service.get(service).into_iter().flatten();
        agents.filter_map(|agent| self.agents.get_key_value(agent))
    }

    /// Agents of a service that last said that they take new flows.
    fn accepting(&self, service: &str) -> impl Iterator<Item = (&AgentId, &AgentView)> {
        self.of_service(service).filter(|(_, view)| view.is_accepting())
    }

    /// The best agent to offer a new flow of `service` to, among those that `may_ask` names.
    /// `noise` gives numbers from 0 to 1: they break ties.
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
            |view: &AgentView, typical: &ServiceAverages| view.cost(now, typical, self.policies);
        self.cheapest(now, interval, service, ranking, may_ask, noise, cost)
    }

    /// The agent of `service` where a flow waits for the shortest time until there is room.
    pub(crate) fn shortest_wait_queue(
        &self,
        now: Duration,
        interval: Duration,
        service: &str,
        ranking: Ranking,
        may_ask: impl Fn(&AgentId, &AgentView) -> bool,
        noise: impl FnMut() -> f64,
    ) -> Option<AgentId> {
        let cost = |view: &AgentView, typical: &ServiceAverages| {
            view.wait_queue_cost(now, typical, self.policies)
        };
        self.cheapest(now, interval, service, ranking, may_ask, noise, cost)
    }

    /// The agent of the least cost among the first in a flow's ranking.
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
        let alive = || self.accepting(service).filter(|(_, view)| !view.is_suspect(now, interval));
        let typical = ServiceAverages::of(alive().map(|(_, view)| view));
        let candidates = alive().filter(|(agent, view)| may_ask(agent, view));
        let candidates: Vec<_> =
            candidates.map(|(agent, view)| (ranking.rank(agent), agent, view)).collect();
        let candidates = match self.policies.has(Policy::Sample) {
            true => sample(candidates),
            false => candidates,
        };
        let costs = candidates
            .into_iter()
            .map(|(_, agent, view)| (cost(view, &typical) * (1.0 + NOISE_SHARE * noise()), *agent));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, agent)| agent)
    }

    /// A suspect agent of a service that last said that it takes new flows: the last resort.
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

    /// An agent of a service whose back end fails what it is asked, the emptiest one.
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

    /// Whether agents of a service have begun to take new flows only just now.
    pub(crate) fn is_recovering(&self, now: Duration, service: &str) -> bool {
        self.accepting(service).any(|(_, view)| view.is_newly_accepting(now))
    }

    /// Whether every agent of a service that takes new flows has just said that it is full.
    pub(crate) fn is_known_full(&self, now: Duration, interval: Duration, service: &str) -> bool {
        let mut alive =
            self.accepting(service).filter(|(_, view)| !view.is_suspect(now, interval)).peekable();
        alive.peek().is_some() && alive.all(|(_, view)| view.is_known_full(now))
    }

    /// Whether any agent that was heard lately takes new flows, or would if its zone were not
    /// evacuated: callers are refused at once then.
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

/// The first of the own zone, and the first of all others.
fn sample(candidates: Vec<Ranked<'_>>) -> Vec<Ranked<'_>> {
    let is_near = |(_, _, view): &Ranked<'_>| view.location.distance == Distance::SameZone;
    let (near, far): (Vec<_>, Vec<_>) = candidates.into_iter().partition(is_near);
    let mut sample = first(near);
    sample.extend(first(far));
    sample
}

fn first(mut candidates: Vec<Ranked<'_>>) -> Vec<Ranked<'_>> {
    if candidates.len() > SAMPLE_SIZE {
        candidates.select_nth_unstable_by_key(SAMPLE_SIZE - 1, |(rank, _, _)| *rank);
        candidates.truncate(SAMPLE_SIZE);
    }
    candidates
}
