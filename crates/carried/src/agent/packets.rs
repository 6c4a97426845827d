//! Packets of flows, to the back end and from it.

use super::*;
use crate::message::Word;

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Passes a caller's packet to the back end when its flow lives here, or may live here as far
    /// as this agent knows; otherwise it goes back to the balancer.
    pub(super) fn deliver(&mut self, now: Duration, from: SocketAddrV4, datagram: Vec<u8>) {
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        let flow = segment.flow();
        let id = match self.flows.find(&flow) {
            Some(id) => id,
            None if self.may_have_forgotten(now, &flow) => self.start_trial(now, flow, from),
            None => return self.pass_back(from, datagram),
        };
        let Some(entry) = self.flows.get_mut(id) else { return };
        if !entry.body.acknowledges_here(&segment) || !entry.body.continues(&segment) {
            return self.pass_back(from, datagram);
        }
        if self.watch.has_ended {
            return self.refuse_ended(now, from, id, &segment, datagram);
        }
        entry.body.balancer = from;
        if segment.acknowledges {
            entry.body.caller_acknowledges = Some(segment.acknowledgement);
        }
        if segment.payload_bytes > 0 {
            self.watch.note_packet(now);
        }
        let is_trial = entry.body.phase == Phase::Tried;
        if !is_trial && entry.body.begins_request(&segment) {
            self.tell_request(from, &flow, &datagram);
        }
        self.counters.packets_delivered += 1;
        self.outputs.push_back(Output::ToBackend(datagram));
        if !is_trial {
            self.follow_caller(now, id, &segment);
        }
    }

    /// Tells which request a flow carries, where its first packet says so.
    fn tell_request(&self, balancer: SocketAddrV4, flow: &FlowKey, datagram: &[u8]) {
        if let Some(request) = self.format.request_id(datagram) {
            log::info!(
                flow = flow_name(flow).as_str(), request, balancer:% = balancer,
                waiting = self.waiting, capacity = self.backend.capacity(); "request_arrived"
            );
        }
    }

    pub(super) fn pass_back(&mut self, to: SocketAddrV4, datagram: Vec<u8>) {
        self.counters.packets_not_held += 1;
        self.outputs.push_back(Output::ToPeer { to, message: Message::NotHeld { datagram } });
    }

    /// An agent that has not run for as long as a flow may last cannot know that a flow does not
    /// live here; its back end can.
    pub(super) fn may_have_forgotten(&self, now: Duration, flow: &FlowKey) -> bool {
        let is_young = now < self.settings.max_flow_age;
        self.may_have_forgotten && is_young && !self.foreign.contains(flow)
    }

    pub(super) fn start_trial(
        &mut self,
        now: Duration,
        flow: FlowKey,
        balancer: SocketAddrV4,
    ) -> FlowId {
        self.counters.packets_tried += 1;
        let id = self.flows.insert(flow, CarriedFlow::new(now, balancer, Phase::Tried));
        self.set_phase(now, id, Phase::Tried);
        id
    }

    /// Follows what a caller's packet says about its flow.
    pub(super) fn follow_caller(&mut self, now: Duration, id: FlowId, segment: &Segment) {
        let Some(flow) = self.flows.get_mut(id) else { return };
        let body = &mut flow.body;
        if segment.resets || segment.finishes {
            body.caller_left = true;
            if !body.phase.is_waiting() || segment.resets {
                self.set_phase(now, id, Phase::Closing);
            }
            return;
        }
        if segment.payload_bytes == 0 {
            if body.phase == Phase::Answered {
                // The request follows at once.
                body.since = now;
            }
            return;
        }
        if !body.is_new_data(segment) {
            return;
        }
        body.caller_end = Some(segment.end());
        if body.phase.is_waiting() {
            return;
        }
        let already = u32::from(body.phase.burdens());
        let in_system = self.waiting + 1 - already;
        self.set_phase(now, id, Phase::Waiting { in_system });
    }

    /// Takes a packet that the back end sent.
    pub fn handle_backend(&mut self, now: Duration, mut datagram: Vec<u8>) {
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        if segment.returned {
            self.format.clear_returned(&mut datagram);
            return self.handle_returned(now, &segment, datagram);
        }
        self.unanswered = 0;
        self.silent_until = None;
        self.watch.note_sign();
        let flow = segment.flow_of_answer();
        if segment.resets && self.is_trial(&flow) {
            // The back end speaks of an earlier flow between the same addresses.
            return self.end_trial(now, flow);
        }
        self.counters.packets_answered += 1;
        match self.flows.find(&flow) {
            Some(id) => self.follow_backend(now, id, &segment, &datagram),
            None => self.remember(now, flow, &segment),
        }
        let host = *flow.caller.ip();
        self.outputs.push_back(Output::ToCaller { host, datagram });
        self.serve_line(now);
    }

    pub(super) fn is_trial(&self, flow: &FlowKey) -> bool {
        let id = self.flows.find(flow);
        let known = id.and_then(|id| self.flows.get(id));
        known.is_some_and(|flow| flow.body.phase == Phase::Tried)
    }

    /// The back end does not hold the flow of a packet that it was given on trial.
    pub(super) fn end_trial(&mut self, now: Duration, flow: FlowKey) {
        let Some(id) = self.flows.find(&flow) else { return };
        if let Some(balancer) = self.flows.get(id).map(|flow| flow.body.balancer) {
            self.tell_word(now, balancer, flow, Word::Absent);
        }
        self.remove(now, id);
        self.remember_foreign(flow);
    }

    /// A flow that the back end speaks of and this agent has forgotten.
    pub(super) fn remember(&mut self, now: Duration, flow: FlowKey, segment: &Segment) {
        let me = self.settings.node.address;
        let mut body = CarriedFlow::new(now, me, Phase::Resting);
        body.backend_end = Some(segment.end());
        let id = self.flows.insert(flow, body);
        self.set_phase(now, id, Phase::Resting);
    }

    pub(super) fn follow_backend(
        &mut self,
        now: Duration,
        id: FlowId,
        segment: &Segment,
        datagram: &[u8],
    ) {
        let Some(flow) = self.flows.get_mut(id) else { return };
        let is_early = flow.body.is_ahead_of_answer(segment);
        flow.body.backend_end = Some(segment.end());
        flow.body.backend_left |= segment.finishes || segment.resets;
        let (balancer, phase, since) = (flow.body.balancer, flow.body.phase, flow.body.since);
        let (key, caller_left) = (flow.key, flow.body.caller_left);
        match phase {
            Phase::Offered { number } if segment.opens => {
                self.tell_placed(now, balancer, number);
                self.latency.handshake.observe(now.saturating_sub(since));
                self.set_phase(now, id, Phase::Answered);
            }
            Phase::Waiting { in_system } if segment.payload_bytes > 0 => {
                self.latency.answer.observe(now.saturating_sub(since));
                let outcome = self.outcome(in_system, datagram);
                if outcome == RequestOutcome::Answered {
                    self.work.record(now);
                }
                self.note_outcome(now, &key, outcome);
                self.set_phase(now, id, Phase::Resting);
            }
            // Packets overtake each other: the answer that this one stands behind is to come.
            Phase::Waiting { .. } if is_early => return,
            Phase::Waiting { .. } if (segment.resets || segment.finishes) && !caller_left => {
                self.note_outcome(now, &key, RequestOutcome::BrokenOff);
            }
            Phase::Overdue if segment.payload_bytes > 0 => self.set_phase(now, id, Phase::Resting),
            Phase::Tried => {
                self.tell_word(now, balancer, key, Word::Held);
                self.set_phase(now, id, Phase::Resting);
            }
            _ => {}
        }
        if segment.finishes || segment.resets {
            self.set_phase(now, id, Phase::Closing);
        }
    }

    /// The back end did not take a packet.
    pub(super) fn handle_returned(&mut self, now: Duration, segment: &Segment, datagram: Vec<u8>) {
        self.counters.packets_returned += 1;
        self.watch.note_sign();
        let flow = segment.flow();
        let Some(id) = self.flows.find(&flow) else { return };
        let Some(entry) = self.flows.get(id) else { return };
        let (balancer, phase) = (entry.body.balancer, entry.body.phase);
        match phase {
            Phase::Offered { number } if segment.is_opening() => {
                self.remove(now, id);
                self.decline(now, balancer, number, &flow, DeclineReason::Returned);
            }
            // A packet of an earlier flow between the same addresses, which came back late, or of
            // one that the back end has ended.
            Phase::Offered { .. } | Phase::Closing => {}
            _ if entry.body.backend_left => {}
            _ if !entry.body.acknowledges_here(segment) => {}
            _ if entry.body.is_open_here(segment) => {
                self.remove(now, id);
                self.remember_foreign(flow);
                self.tell_over(balancer, segment, "lost_by_backend");
            }
            Phase::Tried => self.end_trial(now, flow),
            _ => {
                log::warn!(
                    flow = flow_name(&flow).as_str(), balancer:% = balancer;
                    "packet_returned_by_backend"
                );
                self.remove(now, id);
                self.remember_foreign(flow);
                self.pass_back(balancer, datagram);
            }
        }
    }

    pub(super) fn remember_foreign(&mut self, flow: FlowKey) {
        if !self.foreign.insert(flow) {
            return;
        }
        self.foreign_order.push_back(flow);
        if self.foreign_order.len() > MOST_FOREIGN
            && let Some(oldest) = self.foreign_order.pop_front()
        {
            self.foreign.remove(&oldest);
        }
    }
}
