//! Trials: packets of a flow that are given to back ends whose agents may have lost their record of
//! it. The back ends' reactions show which of them holds the flow.
//!
//! The likeliest owners are tried first, then more in each round. Once agents have answered in a
//! lookup, they relay its packet to the others for a balancer with a narrower link: after a restart
//! of all processes every open flow is tried at every back end.

use super::*;
use crate::lookup::{
    AgentAnswer, INITIAL_TRIALS, Lookup, MAX_TRIAL_DOUBLINGS, MAX_TRIALS, TRIAL_TIMEOUT,
};
use crate::message::MAX_RELAYED_AGENTS;

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Sends the batched packets on trial, if a batch is due.
    pub(super) fn send_trials(&mut self, now: Duration) {
        let me = self.cluster.membership.me().address;
        self.outputs.extend(self.trial_batches.take_due_messages(now, me));
    }

    /// Sends a packet on trial to back ends whose agents may have lost their record of the flow,
    /// the likeliest owners first. Returns `false` if there are none or no further trial is
    /// allowed.
    pub(super) fn send_trial_packets(&mut self, now: Duration, number: u64) -> bool {
        let Some(lookup) = self.lookups.get(number) else { return false };
        let Some(datagram) = lookup.trial_packet(now) else { return false };
        let datagram: Arc<[u8]> = datagram.as_slice().into();
        let relays = self.trial_relays(lookup);
        let most = match self.all_ruled_out_or_unknown(now, lookup) {
            true => INITIAL_TRIALS << lookup.trial_rounds.min(MAX_TRIAL_DOUBLINGS),
            false => MAX_TRIALS.saturating_sub(lookup.trials),
        };
        let mut candidates = self.trial_candidates(lookup);
        candidates.truncate(most);
        if candidates.is_empty() {
            return false;
        }
        let Some(lookup) = self.lookups.get_mut(number) else { return false };
        lookup.trial_rounds += 1;
        lookup.trials += candidates.len();
        self.counters.lookup_trials += candidates.len() as u64;
        log::debug!(
            flow = flow_name(&lookup.segment.flow()).as_str(), agents = candidates.len(); "flow_tried"
        );
        for to in &candidates {
            lookup.note_answer(*to, AgentAnswer::Tried(now));
        }
        match relays.is_empty() || candidates.len() <= INITIAL_TRIALS {
            true => self.try_directly(now, &candidates, &datagram),
            false => self.try_through_relays(&candidates, &relays, &datagram),
        }
        self.lookups.wake_at(number, now + TRIAL_TIMEOUT);
        true
    }

    fn try_directly(&mut self, now: Duration, agents: &[SocketAddrV4], datagram: &Arc<[u8]>) {
        let me = self.cluster.membership.me().address;
        for to in agents {
            self.trial_batches.add(now, *to, (me, datagram.clone()));
        }
    }

    /// Has relays pass a packet on trial to the agents. Over this node's link it goes once for many
    /// agents.
    fn try_through_relays(
        &mut self,
        agents: &[SocketAddrV4],
        relays: &[SocketAddrV4],
        datagram: &Arc<[u8]>,
    ) {
        for (agents, to) in agents.chunks(MAX_RELAYED_AGENTS).zip(relays.iter().cycle()) {
            let message =
                Message::RelayTrial { agents: agents.to_vec(), datagram: datagram.to_vec() };
            self.outputs.push_back(Output::ToPeer { to: *to, message });
        }
    }

    /// Agents that may have lost their record of a flow and may receive its packets, the likeliest
    /// owners first: those of the services that the address is or was routed to, if any, else all
    /// others.
    fn trial_candidates(&self, lookup: &Lookup) -> Vec<SocketAddrV4> {
        let flow = lookup.segment.flow();
        let is_candidate = |agent: &SocketAddrV4| {
            self.known_answer(lookup, agent) == Some(AgentAnswer::Unknown)
                && self.is_region_allowed(&flow, agent)
        };
        let services = self.routes.candidate_services(&flow.service);
        let of_services = services.flat_map(|service| self.pool.of_service(service));
        let likely: Vec<_> = of_services.map(|(agent, _)| *agent).filter(is_candidate).collect();
        if !likely.is_empty() {
            return self.sort_by_likelihood(&flow, likely.into_iter());
        }
        self.sort_by_likelihood(&flow, self.known_agents().filter(is_candidate))
    }

    /// Agents that can pass a packet on trial to others: they have answered in this lookup, and their
    /// links are wider than this node's. The flow's ranking spreads the flows over them.
    fn trial_relays(&self, lookup: &Lookup) -> Vec<SocketAddrV4> {
        let membership = &self.cluster.membership;
        let has_wider_link = |agent: &SocketAddrV4| {
            membership.peer(agent).is_some_and(|peer| peer.link_mbps > membership.me().link_mbps)
        };
        let answered = lookup.answers().filter_map(|(agent, answer)| match answer {
            AgentAnswer::Absent(_) => Some(*agent),
            _ => None,
        });
        self.sort_by_likelihood(&lookup.segment.flow(), answered.filter(has_wider_link))
    }

    /// Whether the flow's route allows its data to be sent to an agent's region.
    fn is_region_allowed(&self, flow: &FlowKey, agent: &SocketAddrV4) -> bool {
        let Some(route) = self.routes.route(&flow.service) else { return true };
        self.pool.view(agent).is_some_and(|view| view.is_in(&route.regions))
    }
}
