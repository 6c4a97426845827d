//! Decides whether no agent owns a flow.
//!
//! Invariant: an agent is ruled out as the owner of a flow only by its own answer, by an unanswered
//! query after its departure notice, or when it has answered no node for longer than restarts,
//! freezes and network partitions last. How the system has started decides nothing: processes that
//! were killed together, beside back ends that had just started, look as after a loss of power.

use super::lookup_order::MAX_AGENTS_ASKED;
use super::*;
use crate::lookup::{ANSWER_TIMEOUT, AgentAnswer, Lookup};

/// Silence after which an agent is presumed gone, and its flows ended. It is longer than planned
/// restarts, freezes and network partitions last: flows owned by a partitioned agent are still
/// open.
const AGENT_GONE_TIMEOUT: Duration = Duration::from_secs(15);
/// Minimum number of heartbeats that an agent that is presumed gone has missed.
const MIN_GONE_INTERVALS: u32 = 4;

/// What this balancer must have observed before it may report that no agent owns a flow.
#[derive(Debug, Default)]
pub(super) struct AbsenceEvidence {
    /// Peers' silence counts only from here on: before, this process had not started or was
    /// stalled.
    observing_since: Duration,
}

impl AbsenceEvidence {
    pub(super) fn note_stall(&mut self, now: Duration) {
        self.observing_since = now;
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Whether every known agent is ruled out as the owner of a flow, or does not know.
    pub(super) fn all_ruled_out_or_unknown(&self, now: Duration, lookup: &Lookup) -> bool {
        let is_ruled_out = |agent: &SocketAddrV4| match self.known_answer(lookup, agent) {
            Some(AgentAnswer::Unknown | AgentAnswer::Tried(_)) => true,
            _ => self.is_ruled_out(now, lookup, agent),
        };
        self.known_agents().all(|agent| is_ruled_out(&agent))
    }

    /// Whether every known agent is ruled out as the owner of a lookup's flow, so that the caller
    /// may be reset.
    pub(super) fn no_agent_owns(&self, now: Duration, number: u64) -> bool {
        let Some(lookup) = self.lookups.get(number) else { return false };
        let is_asked_enough = lookup.has_absent_answer() && self.pool.len() <= MAX_AGENTS_ASKED;
        self.policies.is_enabled(Policy::ResetUnowned)
            && lookup.expects_answer()
            && is_asked_enough
            && self.knows_all_nodes(now)
            && self.known_agents().all(|agent| self.is_ruled_out(now, lookup, &agent))
    }

    /// Whether an agent is ruled out as the owner of a flow: it has answered so, it has sent a
    /// departure notice and does not answer, or it is presumed gone.
    pub(super) fn is_ruled_out(
        &self,
        now: Duration,
        lookup: &Lookup,
        agent: &SocketAddrV4,
    ) -> bool {
        let is_overdue = |at: Duration| now.saturating_sub(at) >= self.answer_timeout(now);
        match lookup.answer(agent) {
            Some(AgentAnswer::Absent(_)) => true,
            Some(AgentAnswer::Asked(at) | AgentAnswer::Tried(at)) if is_overdue(at) => {
                self.has_departed(agent) || self.is_gone(now, agent)
            }
            _ => self.is_gone(now, agent),
        }
    }

    /// Time in which a live agent answers a query and this process, if delayed, reads the
    /// answer.
    pub(super) fn answer_timeout(&self, now: Duration) -> Duration {
        self.scheduling_delay.extend_timeout(now, ANSWER_TIMEOUT)
    }

    /// Whether an agent's last report was its departure notice, that its back end has ended. The
    /// report may be old, so an agent that answers a query is believed instead.
    pub(super) fn has_departed(&self, agent: &SocketAddrV4) -> bool {
        self.pool.view(agent).is_some_and(AgentView::backend_ended)
    }

    /// Every agent that this balancer knows of, directly or through other nodes.
    pub(super) fn known_agents(&self) -> impl Iterator<Item = SocketAddrV4> {
        let peers = self.cluster.membership.peers();
        let agents = peers.filter(|(_, peer)| peer.role == NodeRole::Agent);
        agents.map(|(address, _)| *address)
    }

    /// Whether an agent is presumed gone and owns no flow any more: it has answered no node for so
    /// long that it will not return.
    pub(super) fn is_gone(&self, now: Duration, agent: &SocketAddrV4) -> bool {
        let since = self.absence_evidence.observing_since;
        let unresponsive_since = self.pool.view(agent).and_then(|view| view.unresponsive_since());
        let unanswered_for =
            unresponsive_since.map(|asked_at| now.saturating_sub(asked_at.max(since)));
        let last_contact = match self.pool.view(agent) {
            Some(view) => view.reported_at(),
            None => self.cluster.membership.last_contact_at(agent).unwrap_or(now),
        };
        let silence = now.saturating_sub(last_contact.max(since));
        let interval = self.cluster.membership.interval();
        silence >= AGENT_GONE_TIMEOUT.max(interval * MIN_GONE_INTERVALS)
            || unanswered_for.is_some_and(|unanswered_for| unanswered_for >= AGENT_GONE_TIMEOUT)
    }
}
