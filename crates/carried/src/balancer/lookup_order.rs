//! Which agents a search asks for its flow, or gives a packet on trial, and in which order.

use super::*;
use crate::lookup::{AgentAnswer, INITIAL_BATCH, Lookup};
use crate::message::FlowMemory;
use crate::pool::SAMPLE_SIZE;
use crate::rank::Ranking;

/// Agents are asked about one flow, at most; where there are more, nobody is told that its flow is
/// over: the question would cost more than the wait.
pub(super) const MOST_ASKED: usize = 512;

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// The agents to ask next: those of the services that the address stands or stood for, then
    /// all others, since an address may have stood for a service that this process never knew.
    pub(super) fn next_batch(&self, now: Duration, number: u64) -> Vec<SocketAddrV4> {
        let Some(lookup) = self.lookups.get(number) else { return Vec::new() };
        let asked = lookup.answers().count();
        let most = (INITIAL_BATCH << lookup.batches.min(8)).min(MOST_ASKED.saturating_sub(asked));
        let address = lookup.segment.flow().service;
        let holders = self.routes.holders(&address);
        let agents = holders.flat_map(|service| self.pool.of_service(service));
        let batch = self.first_open(now, lookup, agents.map(|(agent, _)| *agent), most);
        if !batch.is_empty() {
            return batch;
        }
        self.first_open(now, lookup, self.agents_known(), most)
    }

    /// What an agent has said of a flow, or would say: one that has forgotten flows is unsure.
    pub(super) fn known_word(&self, lookup: &Lookup, agent: &SocketAddrV4) -> Option<AgentAnswer> {
        lookup.answer(agent).or_else(|| self.has_forgotten(agent).then_some(AgentAnswer::Unsure))
    }

    /// Whether an agent may hold flows that it does not know.
    fn has_forgotten(&self, agent: &SocketAddrV4) -> bool {
        let Some(view) = self.pool.view(agent) else { return false };
        view.memory() != FlowMemory::Whole && !self.acquaintance.lost_power(view.started_at())
    }

    /// The first of some agents whose word is not known, as the flow's ranking and new flows go.
    fn first_open(
        &self,
        now: Duration,
        lookup: &Lookup,
        agents: impl Iterator<Item = SocketAddrV4>,
        most: usize,
    ) -> Vec<SocketAddrV4> {
        let is_open = |agent: &SocketAddrV4| self.known_word(lookup, agent).is_none();
        let ranked = self.in_order(&lookup.segment.flow(), agents.filter(is_open));
        ranked.into_iter().filter(|agent| !self.is_gone(now, agent)).take(most).collect()
    }

    /// Agents that may have forgotten a flow and may be given its packets, the likeliest first: those
    /// of the services that the address stands or stood for, then all others.
    pub(super) fn unsure_agents(&self, lookup: &Lookup) -> Vec<SocketAddrV4> {
        let flow = lookup.segment.flow();
        let is_unsure = |agent: &SocketAddrV4| {
            self.known_word(lookup, agent) == Some(AgentAnswer::Unsure)
                && self.may_enter(&flow, agent)
        };
        let holders = self.routes.holders(&flow.service);
        let of_holders = holders.flat_map(|service| self.pool.of_service(service));
        let likely: Vec<_> = of_holders.map(|(agent, _)| *agent).filter(is_unsure).collect();
        if !likely.is_empty() {
            return self.in_order(&flow, likely.into_iter());
        }
        self.in_order(&flow, self.agents_known().filter(is_unsure))
    }

    /// Agents in the order in which they are likely to hold a flow: where the balancers of this zone
    /// place it, then where all others do.
    fn in_order(
        &self,
        flow: &FlowKey,
        agents: impl Iterator<Item = SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        let ranking = Ranking::of(flow);
        let rank = |agent: SocketAddrV4| (!self.is_near(&agent), ranking.rank(&agent), agent);
        let mut ranked: Vec<_> = agents.map(rank).collect();
        ranked.sort_unstable();
        let near = ranked.iter().filter(|(is_far, ..)| !is_far).count();
        ranked[near.min(SAMPLE_SIZE)..].sort_unstable_by_key(|(_, rank, _)| *rank);
        ranked.into_iter().map(|(.., agent)| agent).collect()
    }

    /// Whether what a flow's caller says may reach an agent's region.
    fn may_enter(&self, flow: &FlowKey, agent: &SocketAddrV4) -> bool {
        let Some(route) = self.routes.route(&flow.service) else { return true };
        self.pool.view(agent).is_some_and(|view| view.is_in(&route.regions))
    }

    fn is_near(&self, agent: &SocketAddrV4) -> bool {
        self.pool.view(agent).is_some_and(|view| view.location.distance == Distance::SameZone)
    }
}
