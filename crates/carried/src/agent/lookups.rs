//! Answers lookups of flows, delivers trial packets, and resets flows that the back end has lost.
//!
//! A trial packet belongs to a flow that this agent does not know but its back end may hold, since
//! an earlier process of the agent may have placed it there. How the back end reacts shows whether
//! it holds the flow.
//!
//! Invariant: a caller's flow is reset only when the flow was open at this back end, as shown by
//! what the caller's packets acknowledge, and the back end no longer holds it.

use super::condition::message_ms;
use super::*;
use crate::message::{FlowQuery, FlowStatus, MAX_FLOWS_PER_MESSAGE};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A live back end has sent a heartbeat by this time after its agent's start. Until then an agent
/// that has received none answers lookups of unknown flows with [`FlowStatus::NotReady`].
pub(super) const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Answers a balancer that asks whether this back end holds certain flows.
    pub(super) fn handle_lookup(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        queries: &[FlowQuery],
    ) {
        self.counters.lookups_received += queries.len() as u64;
        let mut answer = |query: &FlowQuery| {
            let status = self.lookup_answer(now, from, &query.flow.into(), query.acknowledged);
            FlowAnswer { flow: query.flow, status }
        };
        let answers = queries.iter().map(&mut answer).collect();
        self.reply_to_lookup(now, from, answers);
    }

    fn reply_to_lookup(&mut self, now: Duration, to: SocketAddrV4, answers: Vec<FlowAnswer>) {
        let message = Message::LookupReply { uptime_ms: message_ms(now), answers };
        self.outputs.push_back(Output::ToPeer { to, message });
    }

    /// The answer about one flow, given what the packet that the balancer received acknowledges.
    fn lookup_answer(
        &mut self,
        now: Duration,
        balancer: SocketAddrV4,
        flow: &FlowKey,
        acknowledged: Option<u32>,
    ) -> FlowStatus {
        if self.probe.has_ended {
            return FlowStatus::Absent;
        }
        if let Some(known) = self.flows.find(flow).and_then(|id| self.flows.get_mut(id)) {
            return match &mut known.body {
                // The back end has not reacted to the trial packet yet.
                body if body.phase == Phase::OnTrial => FlowStatus::Unknown,
                body if body.acknowledges_up_to(acknowledged) => {
                    body.balancer = balancer;
                    FlowStatus::Owned
                }
                _ => FlowStatus::Absent,
            };
        }
        if !self.backend_may_hold(now, flow) {
            return FlowStatus::Absent;
        }
        let is_early = !self.knows_backend() && now < FIRST_REPORT_TIMEOUT;
        if is_early { FlowStatus::NotReady } else { FlowStatus::Unknown }
    }

    /// Handles packets on trial, each of another flow. Answers that are known go back at once.
    pub(super) fn handle_trials(&mut self, now: Duration, packets: Vec<TrialPacket>) {
        let mut known: BTreeMap<SocketAddrV4, Vec<FlowAnswer>> = BTreeMap::new();
        for TrialPacket { balancer, datagram } in packets {
            if let Some(answer) = self.try_packet(now, balancer, datagram) {
                known.entry(balancer).or_default().push(answer);
            }
        }
        for (balancer, answers) in known {
            self.reply_to_lookup(now, balancer, answers);
        }
    }

    /// Passes a packet on trial to other agents, which answer the balancer.
    pub(super) fn relay_trial(
        &mut self,
        now: Duration,
        balancer: SocketAddrV4,
        agents: Vec<SocketAddrV4>,
        datagram: Vec<u8>,
    ) {
        self.counters.trials_relayed += agents.len() as u64;
        let datagram: Arc<[u8]> = datagram.into();
        for agent in agents {
            self.relayed_trials.add(now, agent, (balancer, datagram.clone()));
        }
        self.send_relayed_trials(now);
    }

    /// Sends the batched packets that this agent relays, if a batch is due.
    pub(super) fn send_relayed_trials(&mut self, now: Duration) {
        let me = self.cluster.membership.me().address;
        self.outputs.extend(self.relayed_trials.take_due_messages(now, me));
    }

    /// Passes a trial packet to the back end if this agent does not know whether the back end holds
    /// the flow; otherwise returns the answer.
    fn try_packet(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        datagram: Vec<u8>,
    ) -> Option<FlowAnswer> {
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return None;
        };
        let flow = segment.flow();
        let known = self.flows.find(&flow).and_then(|id| self.flows.get(id));
        let may_be_held = match known.map(|flow| flow.body.phase) {
            Some(phase) => phase == Phase::OnTrial,
            None => self.backend_may_hold(now, &flow),
        };
        if may_be_held && !self.probe.has_ended {
            self.deliver(now, from, datagram);
            return None;
        }
        let acknowledged = segment.ack.then_some(segment.acknowledgement);
        let status = self.lookup_answer(now, from, &flow, acknowledged);
        Some(FlowAnswer { flow: flow.into(), status })
    }

    /// Sends an answer that a back end's reaction to a packet on trial has given.
    pub(super) fn send_lookup_answer(
        &mut self,
        now: Duration,
        to: SocketAddrV4,
        flow: FlowKey,
        status: FlowStatus,
    ) {
        let answer = FlowAnswer { flow: flow.into(), status };
        if status == FlowStatus::Owned {
            // The caller waits for this one.
            return self.reply_to_lookup(now, to, vec![answer]);
        }
        self.answer_batches.add(now, to, answer);
        self.send_answers(now);
    }

    /// Sends the batched answers, if a batch is due.
    pub(super) fn send_answers(&mut self, now: Duration) {
        for (to, answers) in self.answer_batches.take_due(now) {
            for part in answers.chunks(MAX_FLOWS_PER_MESSAGE) {
                self.reply_to_lookup(now, to, part.to_vec());
            }
        }
    }

    /// Handles a packet of a known flow after the back end's process has ended: resets the flow if
    /// it was open, otherwise returns the packet to the balancer.
    pub(super) fn handle_packet_after_end(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        id: FlowId,
        segment: &Segment,
        datagram: Vec<u8>,
    ) {
        let was_open = self.flows.get(id).is_some_and(|flow| flow.body.is_proven_open_by(segment));
        self.remove(now, id);
        match was_open {
            true => self.reset_flow(from, segment, "backend_ended"),
            false => self.return_to_balancer(from, datagram),
        }
    }

    /// Sends the caller a reset of a flow that was open at the back end and is lost, and notifies
    /// the balancer, so that the caller need not wait for a timeout.
    pub(super) fn reset_flow(&mut self, balancer: SocketAddrV4, segment: &Segment, reason: &str) {
        let flow = segment.flow();
        if !self.settings.policies.is_enabled(Policy::ResetUnowned) {
            return;
        }
        self.counters.flows_reset += 1;
        log::warn!(
            flow = flow_name(&flow).as_str(), reason, balancer:% = balancer;
            "flow_reset"
        );
        let datagram = self.format.reset(segment);
        self.outputs.push_back(Output::ToCaller { host: *flow.caller.ip(), datagram });
        let message = Message::Ended { flow: flow.into() };
        self.outputs.push_back(Output::ToPeer { to: balancer, message });
    }
}
