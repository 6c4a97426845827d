//! Packets of flows, to the back end and from it.

use super::*;

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Passes a caller's packet to the back end when its flow lives here. A forwarded packet goes
    /// back to the balancer when it does not; a located one was sent to others as well.
    pub(super) fn deliver(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        datagram: Vec<u8>,
        forwarded: bool,
    ) {
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        let flow = segment.flow();
        let id = match self.flows.find(&flow) {
            Some(id) => id,
            None if self.may_have_forgotten(now, &flow) => self.start_trial(now, flow, from),
            None => return self.pass_back(from, datagram, forwarded),
        };
        let Some(entry) = self.flows.get_mut(id) else { return };
        if !entry.body.acknowledges_here(&segment) {
            return self.pass_back(from, datagram, forwarded);
        }
        entry.body.balancer = from;
        let is_trial = entry.body.phase == Phase::Tried;
        if entry.body.begins_request(&segment) {
            self.tell_request(from, &flow, &datagram);
        }
        self.counters.packets_delivered += 1;
        self.outputs.push_back(Output::ToBackend(datagram));
        if !is_trial {
            self.follow_caller(now, id, &segment);
            if !forwarded {
                self.tell_held(from, &flow);
            }
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

    pub(super) fn pass_back(&mut self, to: SocketAddrV4, datagram: Vec<u8>, forwarded: bool) {
        self.counters.packets_not_held += 1;
        if forwarded {
            let message = Message::NotHeld { datagram };
            self.outputs.push_back(Output::ToPeer { to, message });
        }
    }

    pub(super) fn tell_held(&mut self, to: SocketAddrV4, flow: &FlowKey) {
        let message = Message::Held { caller: flow.caller, service: flow.service };
        self.outputs.push_back(Output::ToPeer { to, message });
    }

    /// An agent that has not run for as long as a flow may last cannot know that a flow does not
    /// live here; its back end can.
    pub(super) fn may_have_forgotten(&self, now: Duration, flow: &FlowKey) -> bool {
        let is_young = now < self.settings.longest_flow;
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
        let flow = segment.flow_of_answer();
        if segment.resets && self.is_trial(&flow) {
            // The back end speaks of an earlier flow between the same addresses.
            return self.end_trial(flow);
        }
        self.counters.packets_answered += 1;
        match self.flows.find(&flow) {
            Some(id) => self.follow_backend(now, id, &segment, &datagram),
            None => self.remember(now, flow),
        }
        let host = *flow.caller.ip();
        self.outputs.push_back(Output::ToCaller { host, datagram });
    }

    pub(super) fn is_trial(&self, flow: &FlowKey) -> bool {
        let id = self.flows.find(flow);
        let known = id.and_then(|id| self.flows.get(id));
        known.is_some_and(|flow| flow.body.phase == Phase::Tried)
    }

    pub(super) fn end_trial(&mut self, flow: FlowKey) {
        if let Some(id) = self.flows.find(&flow) {
            self.remove(id);
        }
        self.remember_foreign(flow);
    }

    /// A flow that the back end speaks of and this agent has forgotten.
    pub(super) fn remember(&mut self, now: Duration, flow: FlowKey) {
        let me = self.settings.node.address;
        let id = self.flows.insert(flow, CarriedFlow::new(now, me, Phase::Resting));
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
        let (balancer, phase, since) = (flow.body.balancer, flow.body.phase, flow.body.since);
        let (key, caller_left) = (flow.key, flow.body.caller_left);
        match phase {
            Phase::Offered { number } if segment.opens => {
                let message = Message::Placed { number, report: self.report(now) };
                self.outputs.push_back(Output::ToPeer { to: balancer, message });
                self.latency.handshake.observe(now.saturating_sub(since));
                self.set_phase(now, id, Phase::Answered);
            }
            Phase::Waiting { in_system } if segment.payload_bytes > 0 => {
                self.latency.answer.observe(now.saturating_sub(since));
                let outcome = self.outcome(in_system, datagram);
                if outcome == RequestOutcome::Answered {
                    let capacity = u32::from(self.backend.capacity());
                    self.work.record(now, now.saturating_sub(since), in_system, capacity);
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
                self.tell_held(balancer, &key);
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
        let flow = segment.flow();
        let Some(id) = self.flows.find(&flow) else { return };
        let Some(entry) = self.flows.get(id) else { return };
        let (balancer, phase) = (entry.body.balancer, entry.body.phase);
        self.remove(id);
        match phase {
            Phase::Offered { number } if segment.is_opening() => {
                self.decline(now, balancer, number, &flow, DeclineReason::Returned);
            }
            Phase::Tried => self.remember_foreign(flow),
            _ => {
                log::warn!(
                    flow = flow_name(&flow).as_str(), balancer:% = balancer;
                    "packet_returned_by_backend"
                );
                self.remember_foreign(flow);
                self.pass_back(balancer, datagram, true);
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
