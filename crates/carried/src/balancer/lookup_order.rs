//! Selects and orders the agents that a lookup asks about its flow.

use super::*;
use crate::flow_knowledge::FlowKnowledge;
use crate::lookup::{AgentAnswer, INITIAL_BATCH, Lookup};
use crate::pool::SAMPLE_SIZE;
use crate::rank::Ranking;

/// Maximum number of agents asked about one flow. In a system with more agents no caller is
/// notified that its flow has ended: asking them all would cost more than letting the caller wait.
pub(super) const MAX_AGENTS_ASKED: usize = 512;

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// The agents to ask next: first those of the services that the address is or was routed to,
    /// then all others, since it may have been routed to a service that this process never knew.
    pub(super) fn next_batch(&self, now: Duration, number: u64) -> Vec<SocketAddrV4> {
        let Some(lookup) = self.lookups.get(number) else { return Vec::new() };
        let asked = lookup.answers().count();
        let most =
            (INITIAL_BATCH << lookup.batches.min(8)).min(MAX_AGENTS_ASKED.saturating_sub(asked));
        let address = lookup.segment.flow().service;
        let services = self.routes.candidate_services(&address);
        let agents = services.flat_map(|service| self.pool.of_service(service));
        let batch = self.first_unanswered(now, lookup, agents.map(|(agent, _)| *agent), most);
        if !batch.is_empty() {
            return batch;
        }
        self.first_unanswered(now, lookup, self.known_agents(), most)
    }

    /// What an agent has answered about a flow, or would answer: one that may have lost flow
    /// records does not know.
    pub(super) fn known_answer(
        &self,
        lookup: &Lookup,
        agent: &SocketAddrV4,
    ) -> Option<AgentAnswer> {
        lookup
            .answer(agent)
            .or_else(|| self.would_not_know(lookup, agent).then_some(AgentAnswer::Unknown))
    }

    /// Whether an agent would answer that it does not know the flow.
    fn would_not_know(&self, lookup: &Lookup, agent: &SocketAddrV4) -> bool {
        self.may_have_forgotten(agent) && !lookup.was_denied_by(agent)
    }

    /// Whether an agent's back end may have flows that the agent has no record of. One that has
    /// ended has none, as the agent answers if it is asked.
    fn may_have_forgotten(&self, agent: &SocketAddrV4) -> bool {
        self.pool.view(agent).is_some_and(|view| {
            view.flow_knowledge() == FlowKnowledge::Partial && !view.backend_ended()
        })
    }

    /// Up to `most` of some agents whose answer is not known, the likeliest owners first.
    fn first_unanswered(
        &self,
        now: Duration,
        lookup: &Lookup,
        agents: impl Iterator<Item = SocketAddrV4>,
        most: usize,
    ) -> Vec<SocketAddrV4> {
        let is_open = |agent: &SocketAddrV4| self.known_answer(lookup, agent).is_none();
        let ranked = self.sort_by_likelihood(&lookup.segment.flow(), agents.filter(is_open));
        ranked.into_iter().filter(|agent| !self.is_gone(now, agent)).take(most).collect()
    }

    /// Sorts agents by how likely they own a flow: first those with which balancers of this zone
    /// place it, then those with which all other balancers do.
    pub(super) fn sort_by_likelihood(
        &self,
        flow: &FlowKey,
        agents: impl Iterator<Item = SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        let ranking = Ranking::of(flow);
        let rank =
            |agent: SocketAddrV4| (!self.is_in_same_zone(&agent), ranking.rank(&agent), agent);
        let mut ranked: Vec<_> = agents.map(rank).collect();
        ranked.sort_unstable();
        let near = ranked.iter().filter(|(is_far, ..)| !is_far).count();
        ranked[near.min(SAMPLE_SIZE)..].sort_unstable_by_key(|(_, rank, _)| *rank);
        ranked.into_iter().map(|(.., agent)| agent).collect()
    }

    fn is_in_same_zone(&self, agent: &SocketAddrV4) -> bool {
        self.pool.view(agent).is_some_and(|view| view.location.distance == Distance::SameZone)
    }
}
