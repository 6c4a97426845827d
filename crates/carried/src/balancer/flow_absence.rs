//! Decides whether no agent owns a flow.
//!
//! Invariant: an agent is ruled out as the owner of a flow only by its own answer, by an unanswered
//! query after its departure notice, or when it has answered no node for longer than restarts,
//! freezes and network partitions last. A restart or loss of power of the whole system, back ends
//! included, ends all earlier flows as well.

use super::lookup_order::MAX_AGENTS_ASKED;
use super::*;
use crate::lookup::{ANSWER_TIMEOUT, AgentAnswer, Lookup};
use crate::message::{BackendCondition, FlowKnowledge};
use crate::view::StartTime;

/// Silence after which an agent is presumed gone, and its flows ended. It is longer than planned
/// restarts, freezes and network partitions last: flows owned by a partitioned agent are still
/// open.
const AGENT_GONE_TIMEOUT: Duration = Duration::from_secs(15);
/// Minimum number of heartbeats that an agent that is presumed gone has missed.
const MIN_GONE_INTERVALS: u32 = 4;
/// Maximum time by which back ends start earlier than this process if the whole system restarts at
/// once. Flows opened in between may be owned by agents that have sent nothing since.
const RESTART_SPREAD: Duration = Duration::from_millis(800);
/// Maximum time after the start of both until a balancer that is not partitioned has
/// received a message from an agent.
const MAX_PROMPT_DELAY: Duration = Duration::from_millis(200);
/// The same for an agent that presumes that its back end started along with it: its back end's
/// first heartbeat may take another 150 ms.
const MAX_PROMPT_REPORT_DELAY: Duration = Duration::from_millis(350);
/// Minimum number of agents that must have restarted with their back ends before a restart of the
/// whole system is assumed.
const MIN_RESTARTED_AGENTS: usize = 2;
/// Time after the start of this process by which it has received a message from every live agent,
/// if the whole system has restarted.
const RESTART_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum number of agents that must presume a loss of power before it is assumed.
const MIN_PRESUMING_AGENTS: usize = 3;
/// Time between two checks for a loss of power, per known agent.
const POWER_CHECK_INTERVAL_PER_AGENT: Duration = Duration::from_micros(100);
/// Maximum time between the starts of processes that have lost power together.
const JOINT_START_WINDOW: Duration = Duration::from_secs(1);
/// How long after their start the processes are presumed to have lost power together. Back ends
/// may have run for a few heartbeats by then, beside processes that were killed since, so flows
/// that rest longer are decided by the back ends. Callers that wait for an answer retransmit their
/// packets every 1.6 s at least, and their lookups wait for a second.
const PRESUMPTION_DURATION: Duration = Duration::from_secs(3);

/// What this balancer must have observed before it may report that no agent owns a flow.
#[derive(Debug, Default)]
pub(super) struct AbsenceEvidence {
    /// Peers' silence counts only from here on: before, this process had not started or was
    /// stalled.
    observing_since: Duration,
    /// Approximate start time of the agents' processes, if the whole system has lost power.
    restarted_at: Option<StartTime>,
    /// When a loss of power is checked for next.
    next_check: Duration,
}

impl AbsenceEvidence {
    pub(super) fn note_stall(&mut self, now: Duration) {
        self.observing_since = now;
    }

    /// Whether an agent whose process started at `started_at` is presumed to have lost power with
    /// the whole system, and its back end too: it owns no flow from before.
    pub(super) fn lost_power(&self, now: Duration, started_at: Option<StartTime>) -> bool {
        let with =
            |at: StartTime| started_at.is_some_and(|start| at.between(start) <= JOINT_START_WINDOW);
        let is_recent = |at: &StartTime| at.age(now) <= PRESUMPTION_DURATION;
        self.restarted_at.filter(is_recent).is_some_and(with)
    }

    /// Whether this process started together with the agents that lost power.
    fn has_restarted_with_agents(&self) -> bool {
        let with_own = |at: StartTime| at.between(StartTime::OWN) <= JOINT_START_WINDOW;
        self.restarted_at.is_some_and(with_own)
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Whether an agent, whose process started at `started_at`, is presumed to know every flow of
    /// its back end since a loss of power: it presumes that itself, or has had no back end since.
    /// Another one may have flows whose state at the back end it does not know.
    pub(super) fn knows_flows_since_power_loss(
        &self,
        now: Duration,
        agent: &SocketAddrV4,
        started_at: Option<StartTime>,
    ) -> bool {
        let is_presumed = |view: &AgentView| {
            view.flow_knowledge() == FlowKnowledge::PresumedComplete
                || view.report.condition == BackendCondition::Unknown
        };
        self.pool.view(agent).is_some_and(is_presumed)
            && self.absence_evidence.lost_power(now, started_at)
    }

    /// Whether every known agent is ruled out as the owner of a flow, or does not know.
    pub(super) fn all_ruled_out_or_unknown(&self, now: Duration, lookup: &Lookup) -> bool {
        let is_ruled_out = |agent: &SocketAddrV4| match self.known_answer(now, lookup, agent) {
            Some(AgentAnswer::Unknown | AgentAnswer::Tried(_)) => true,
            _ => self.is_ruled_out(now, lookup, agent),
        };
        self.known_agents().all(|agent| is_ruled_out(&agent))
    }

    /// Checks periodically whether the whole system has lost power: nearly all agents' processes
    /// have started at the same time, and most agents report that their back ends seem to have
    /// started along with them.
    ///
    /// Neither sign is sufficient alone: agents' processes may be killed together while their back
    /// ends go on, and one in seven agents whose process was replaced receives a regular heartbeat
    /// of its back end so early that the back end seems to have just started.
    pub(super) fn check_power_loss(&mut self, now: Duration) {
        if now < self.absence_evidence.next_check {
            return;
        }
        self.absence_evidence.next_check =
            now + POWER_CHECK_INTERVAL_PER_AGENT * self.pool.len() as u32;
        let mut starts: Vec<StartTime> =
            self.pool.iter().filter_map(|(_, view)| view.started_at()).collect();
        starts.sort_unstable();
        let Some(middle) = starts.get(starts.len() / 2).copied() else { return };
        let together = starts.iter().filter(|at| at.between(middle) <= JOINT_START_WINDOW).count();
        let with_backend = || self.pool.iter().filter(|(_, view)| view.has_backend());
        let reported = with_backend().count();
        let presumed = with_backend()
            .filter(|(_, view)| view.flow_knowledge() == FlowKnowledge::PresumedComplete);
        let presumed = presumed.count();
        let is_joint = 20 * together >= 19 * self.pool.len();
        let all_lost_power = self.policies.is_enabled(Policy::PowerLoss)
            && is_joint
            && presumed >= MIN_PRESUMING_AGENTS
            && 2 * presumed >= reported;
        let restarted_at = all_lost_power.then_some(middle);
        let before = std::mem::replace(&mut self.absence_evidence.restarted_at, restarted_at);
        if before.is_some() != all_lost_power {
            log::info!(all_lost_power, presumed, heard = reported, together; "power_loss_presumed");
        }
    }

    /// Whether every known agent is ruled out as the owner of a lookup's flow, so that the caller
    /// may be reset.
    pub(super) fn no_agent_owns(&self, now: Duration, number: u64) -> bool {
        let Some(lookup) = self.lookups.get(number) else { return false };
        let is_asked_enough = lookup.has_absent_answer() && self.pool.len() <= MAX_AGENTS_ASKED;
        self.policies.is_enabled(Policy::ResetUnowned)
            && lookup.expects_answer()
            && is_asked_enough
            && now >= self.members_known_at()
            && self.known_agents().all(|agent| self.is_ruled_out(now, lookup, &agent))
    }

    /// Whether an agent is ruled out as the owner of a flow: it has answered so, it has sent a
    /// departure notice and does not answer, it lost power and had no back end since, or it is
    /// presumed gone.
    pub(super) fn is_ruled_out(
        &self,
        now: Duration,
        lookup: &Lookup,
        agent: &SocketAddrV4,
    ) -> bool {
        match lookup.answer(agent) {
            Some(AgentAnswer::Absent(_)) => true,
            Some(AgentAnswer::Asked(at)) if now.saturating_sub(at) >= self.answer_timeout(now) => {
                self.has_departed(agent)
                    || self.never_had_backend(now, agent)
                    || self.is_gone(now, agent)
            }
            _ => self.is_gone(now, agent),
        }
    }

    /// Time in which a live agent answers a query and this process, if delayed, reads the
    /// answer.
    pub(super) fn answer_timeout(&self, now: Duration) -> Duration {
        self.scheduling_delay.extend_timeout(now, ANSWER_TIMEOUT)
    }

    /// Whether an agent lost power with the whole system and, by its last report, had received
    /// nothing from a back end since: its machine may have been removed from service meanwhile.
    fn never_had_backend(&self, now: Duration, agent: &SocketAddrV4) -> bool {
        self.pool.view(agent).is_some_and(|view| {
            let is_unknown = view.report.condition == BackendCondition::Unknown;
            is_unknown && self.absence_evidence.lost_power(now, view.started_at())
        })
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
    /// long that it will not return, or the whole system has restarted and it has sent nothing
    /// since.
    pub(super) fn is_gone(&self, now: Duration, agent: &SocketAddrV4) -> bool {
        let view = self.pool.view(agent);
        // A delayed process may not have read yet what live agents have sent.
        let grace = self.scheduling_delay.extend_timeout(now, RESTART_DISCOVERY_TIMEOUT);
        if view.is_none() && now >= grace && self.has_system_restarted(now) {
            return true;
        }
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

    /// Whether the whole system, back ends included, started at about the same time as this
    /// process: then all earlier flows have ended, and nodes that have not returned own none opened
    /// since.
    pub(super) fn has_system_restarted(&self, now: Duration) -> bool {
        let views = || self.pool.iter().map(|(_, view)| view).filter(|view| view.has_backend());
        let reported = views().count();
        let is_joint = self.absence_evidence.has_restarted_with_agents();
        let lost_power =
            |view: &AgentView| is_joint && self.absence_evidence.lost_power(now, view.started_at());
        let is_prompt = |view: &&AgentView| {
            view.was_discovered_within(MAX_PROMPT_DELAY)
                || (lost_power(view) && view.reported_within(MAX_PROMPT_REPORT_DELAY))
        };
        let prompt = views().filter(is_prompt).count();
        views().all(|view| view.backend_started_after(now, RESTART_SPREAD) || lost_power(view))
            && reported >= MIN_RESTARTED_AGENTS
            && 2 * prompt >= reported
            && 2 * reported >= self.known_agents().count()
    }
}
