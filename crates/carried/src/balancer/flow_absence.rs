//! Whether nobody holds a flow.
//!
//! Invariant: an agent counts as denying a flow only by its own word, after a good-bye and a question
//! without an answer, or when it has answered nobody for longer than restarts, freezes and cuts last.

use super::lookup_order::MAX_ASKED;
use super::*;
use crate::lookup::{Lookup, Said, WORD_PATIENCE};
use crate::message::{BackendCondition, FlowMemory};
use crate::view::StartTime;

/// An agent that has said nothing for so long has ended, whatever it held. Longer than planned
/// restarts, freezes and cuts last: what a cut holder holds lives.
const GONE_TIMEOUT: Duration = Duration::from_secs(15);
/// Heartbeats that such an agent missed at least.
const MIN_GONE_INTERVALS: u32 = 4;
/// A balancer that could not read the list of nodes has heard of all of them after so long.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Where everything restarts at once, back ends start no longer than this before this process:
/// flows that opened in between may live at agents that were not heard since.
const RESTART_SPREAD: Duration = Duration::from_millis(800);
/// A balancer that nothing cuts off hears an agent so soon after both have started.
const MAX_PROMPT_DELAY: Duration = Duration::from_millis(200);
/// Agents that must have restarted with their back ends before that is believed of all.
const MIN_RESTARTED: usize = 2;
/// Agents that live have been heard so long after this process started, where all restarted.
const RESTART_GRACE: Duration = Duration::from_millis(300);
/// Agents that must presume a loss of power before it is believed.
const MIN_PRESUMED: usize = 3;
/// Time between two looks at what agents presume, for each agent.
const POWER_CHECK_PER_AGENT: Duration = Duration::from_micros(100);
/// Processes that lost power together start within this time of each other.
const JOINT_START_WINDOW: Duration = Duration::from_secs(1);

/// What this balancer must have seen before it may say that nobody holds a flow.
#[derive(Debug, Default)]
pub(super) struct AbsenceEvidence {
    /// It has read the list of nodes, which names every node that was entered before.
    has_list: bool,
    /// Silence counts from here: before, the process had not started or stood still.
    since: Duration,
    /// About when the agents' processes started, where everything has lost power.
    restarted_at: Option<StartTime>,
    /// When that is looked at next.
    next_look: Duration,
}

impl AbsenceEvidence {
    pub(super) fn note_member_list(&mut self) {
        self.has_list = true;
    }

    pub(super) fn note_stall(&mut self, now: Duration) {
        self.since = now;
    }

    /// Whether an agent whose process started then lost power with everything, its back end too: no
    /// flow of before lives there.
    pub(super) fn lost_power(&self, started_at: Option<StartTime>) -> bool {
        let with =
            |at: StartTime| started_at.is_some_and(|start| at.between(start) <= JOINT_START_WINDOW);
        self.restarted_at.is_some_and(with)
    }

    /// From when on this balancer knows who there is, as far as it can.
    pub(super) fn members_known_at(&self) -> Duration {
        if self.has_list { Duration::ZERO } else { DISCOVERY_TIMEOUT }
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Whether every agent known has said that the flow does not live there, or may be unsure.
    pub(super) fn all_ruled_out_or_unsure(&self, now: Duration, lookup: &Lookup) -> bool {
        let is_ruled_out = |agent: &SocketAddrV4| match self.known_answer(lookup, agent) {
            Some(Said::Unsure | Said::Tried(_)) => true,
            _ => self.is_ruled_out(now, lookup, agent),
        };
        self.known_agents().all(|agent| is_ruled_out(&agent))
    }

    /// Looks, now and then, whether everything has lost power: the agents' processes have all started
    /// together, and most say that their back ends seem to have started beside them.
    ///
    /// Either sign alone deceives: processes are killed together beside back ends that live, and one
    /// agent in seven whose process was replaced hears a regular heartbeat as early.
    pub(super) fn check_power_loss(&mut self, now: Duration) {
        if now < self.absence_evidence.next_look {
            return;
        }
        self.absence_evidence.next_look = now + POWER_CHECK_PER_AGENT * self.pool.len() as u32;
        let mut starts: Vec<StartTime> =
            self.pool.iter().filter_map(|(_, view)| view.started_at()).collect();
        starts.sort_unstable();
        let Some(middle) = starts.get(starts.len() / 2).copied() else { return };
        let together = starts.iter().filter(|at| at.between(middle) <= JOINT_START_WINDOW).count();
        let with_backend = || self.pool.iter().filter(|(_, view)| view.has_backend());
        let heard = with_backend().count();
        let presumed = with_backend().filter(|(_, view)| view.memory() == FlowMemory::Presumed);
        let presumed = presumed.count();
        let is_joint = 20 * together >= 19 * self.pool.len();
        let all_lost_power = self.policies.has(Policy::PowerLoss)
            && is_joint
            && presumed >= MIN_PRESUMED
            && 2 * presumed >= heard;
        let restarted_at = all_lost_power.then_some(middle);
        let before = std::mem::replace(&mut self.absence_evidence.restarted_at, restarted_at);
        if before.is_some() != all_lost_power {
            log::info!(all_lost_power, presumed, heard, together; "power_loss_presumed");
        }
    }

    pub(super) fn no_agent_owns(&self, now: Duration, number: u64) -> bool {
        let Some(lookup) = self.lookups.get(number) else { return false };
        let is_asked_enough = lookup.has_answer() && self.pool.len() <= MAX_ASKED;
        self.policies.has(Policy::TellOver)
            && lookup.demands_answer()
            && is_asked_enough
            && now >= self.absence_evidence.members_known_at()
            && self.known_agents().all(|agent| self.is_ruled_out(now, lookup, &agent))
    }

    /// Whether an agent holds the flow no more than it has said: it has denied, it said good-bye and
    /// does not answer, or it is gone.
    pub(super) fn is_ruled_out(
        &self,
        now: Duration,
        lookup: &Lookup,
        agent: &SocketAddrV4,
    ) -> bool {
        match lookup.said(agent) {
            Some(Said::Absent(_)) => true,
            Some(Said::Asked(at)) if now.saturating_sub(at) >= self.answer_timeout(now) => {
                self.has_departed(agent)
                    || self.never_had_backend(agent)
                    || self.is_gone(now, agent)
            }
            _ => self.is_gone(now, agent),
        }
    }

    /// An agent that lives has said what it knows of a flow in this time, and this process has read it.
    pub(super) fn answer_timeout(&self, now: Duration) -> Duration {
        self.scheduling_delay.extend_timeout(now, WORD_PATIENCE)
    }

    /// Whether an agent lost power with everything and had heard of no back end since, as it said
    /// last: a machine that was to be taken away may be gone by now.
    fn never_had_backend(&self, agent: &SocketAddrV4) -> bool {
        self.pool.view(agent).is_some_and(|view| {
            let is_unknown = view.report.condition == BackendCondition::Unknown;
            is_unknown && self.absence_evidence.lost_power(view.started_at())
        })
    }

    /// Whether an agent's last word was that its back end has ended. That may be long ago: one that
    /// answers holds what it says.
    pub(super) fn has_departed(&self, agent: &SocketAddrV4) -> bool {
        self.pool.view(agent).is_some_and(AgentView::has_ended)
    }

    /// Every agent that this balancer has heard of, be it by hearsay.
    pub(super) fn known_agents(&self) -> impl Iterator<Item = SocketAddrV4> {
        let peers = self.standing.membership.peers();
        let agents = peers.filter(|(_, peer)| peer.role == NodeRole::Agent);
        agents.map(|(address, _)| *address)
    }

    /// Whether an agent holds no flow any more: it has answered nobody for so long that it will not
    /// come back.
    pub(super) fn is_gone(&self, now: Duration, agent: &SocketAddrV4) -> bool {
        let view = self.pool.view(agent);
        // A process that runs late has not read yet what those that live have said.
        let grace = self.scheduling_delay.extend_timeout(now, RESTART_GRACE);
        if view.is_none() && now >= grace && self.has_system_restarted(now) {
            return true;
        }
        let since = self.absence_evidence.since;
        let asked_in_vain = self.pool.view(agent).and_then(|view| view.in_vain_since());
        let in_vain = asked_in_vain.map(|asked_at| now.saturating_sub(asked_at.max(since)));
        let last_word = match self.pool.view(agent) {
            Some(view) => view.heard_at(),
            None => self.standing.membership.last_word(agent).unwrap_or(now),
        };
        let silence = now.saturating_sub(last_word.max(since));
        let interval = self.standing.membership.interval();
        silence >= GONE_TIMEOUT.max(interval * MIN_GONE_INTERVALS)
            || in_vain.is_some_and(|in_vain| in_vain >= GONE_TIMEOUT)
    }

    /// Whether the whole system, back ends included, started about when this process did: no flow
    /// of before lives, and nodes that have not come back held none since.
    pub(super) fn has_system_restarted(&self, now: Duration) -> bool {
        let views = || self.pool.iter().map(|(_, view)| view).filter(|view| view.has_backend());
        let heard = views().count();
        let is_prompt = |view: &&AgentView| view.was_heard_within(MAX_PROMPT_DELAY);
        let prompt = views().filter(is_prompt).count();
        let lost_power = |view: &AgentView| self.absence_evidence.lost_power(view.started_at());
        views().all(|view| view.began_after(now, RESTART_SPREAD) || lost_power(view))
            && heard >= MIN_RESTARTED
            && 2 * prompt >= heard
            && 2 * heard >= self.known_agents().count()
    }
}
