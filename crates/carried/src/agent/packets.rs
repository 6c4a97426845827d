//! Forwards packets of flows to the back end and from it, and follows the flows by them.

use super::*;
use crate::message::FlowStatus;

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Passes a caller's packet to the back end if the back end holds its flow, or may hold it as
    /// far as this agent knows; otherwise returns it to the balancer.
    pub(super) fn deliver(&mut self, now: Duration, from: SocketAddrV4, datagram: Vec<u8>) {
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        let flow = segment.flow();
        let id = match self.flows.find(&flow) {
            Some(id) => id,
            None if self.backend_may_hold(now, &flow) => self.start_trial(now, flow, from),
            None => return self.return_to_balancer(from, datagram),
        };
        let Some(entry) = self.flows.get_mut(id) else { return };
        if !entry.body.acknowledges_backend_data(&segment)
            || !entry.body.continues_caller_data(&segment)
        {
            return self.return_to_balancer(from, datagram);
        }
        if self.probe.has_ended {
            return self.handle_packet_after_end(now, from, id, &segment, datagram);
        }
        entry.body.balancer = from;
        entry.body.last_packet = now;
        if segment.ack {
            entry.body.caller_acknowledged = Some(segment.acknowledgement);
        }
        if segment.payload_bytes > 0 {
            self.probe.note_packet(now);
        }
        let is_trial = entry.body.phase == Phase::OnTrial;
        if !is_trial && entry.body.begins_request(&segment) {
            self.log_request(from, &flow, &datagram);
        }
        self.counters.packets_delivered += 1;
        self.outputs.push_back(Output::ToBackend(datagram));
        if !is_trial {
            self.track_caller_packet(now, id, &segment);
        }
    }

    /// Logs the identifier of a request if its first packet carries one.
    fn log_request(&self, balancer: SocketAddrV4, flow: &FlowKey, datagram: &[u8]) {
        if let Some(request) = self.format.request_id(datagram) {
            log::info!(
                flow = flow_name(flow).as_str(), request, balancer:% = balancer,
                waiting = self.in_flight, capacity = self.backend.capacity(); "request_arrived"
            );
        }
    }

    pub(super) fn return_to_balancer(&mut self, to: SocketAddrV4, datagram: Vec<u8>) {
        self.counters.packets_not_held += 1;
        self.outputs.push_back(Output::ToPeer { to, message: Message::NotOwned { datagram } });
    }

    /// Whether the back end may hold a flow that this agent does not know, because an earlier
    /// process of the agent placed it. Only possible until this process has run for the maximum age
    /// of a flow, and not for flows that the back end has shown not to hold.
    pub(super) fn backend_may_hold(&self, now: Duration, flow: &FlowKey) -> bool {
        let is_young = now < self.settings.max_flow_age;
        self.may_miss_flows && is_young && !self.absent_flows.contains(flow)
    }

    pub(super) fn start_trial(
        &mut self,
        now: Duration,
        flow: FlowKey,
        balancer: SocketAddrV4,
    ) -> FlowId {
        self.counters.packets_tried += 1;
        let id = self.flows.insert(flow, CarriedFlow::new(now, balancer, Phase::OnTrial));
        self.set_phase(now, id, Phase::OnTrial);
        id
    }

    /// Updates a flow by a packet from its caller.
    pub(super) fn track_caller_packet(&mut self, now: Duration, id: FlowId, segment: &Segment) {
        let Some(flow) = self.flows.get_mut(id) else { return };
        let body = &mut flow.body;
        if segment.rst || segment.fin {
            body.caller_closed = true;
            body.caller_reset |= segment.rst;
            if !body.phase.awaits_response() || segment.rst {
                self.set_phase(now, id, Phase::Closing);
            }
            return;
        }
        if segment.payload_bytes == 0 {
            if body.phase == Phase::SynAcked {
                // The caller has acknowledged the SYN-ACK; the timeout for its request starts anew.
                body.phase_since = now;
            }
            return;
        }
        if !body.is_new_data(segment) {
            return;
        }
        body.caller_data_end = Some(segment.end());
        if body.phase.awaits_response() {
            return;
        }
        let already = u32::from(body.phase.occupies_backend());
        let in_system = self.in_flight + 1 - already;
        self.set_phase(now, id, Phase::AwaitingResponse { in_system });
    }

    /// Handles a packet that the back end sent.
    pub fn handle_backend(&mut self, now: Duration, mut datagram: Vec<u8>) {
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        if segment.returned {
            self.format.clear_returned(&mut datagram);
            return self.handle_returned(now, &segment, datagram);
        }
        self.unanswered_syns = 0;
        self.silent_until = None;
        self.probe.note_activity();
        let flow = segment.flow_of_answer();
        if segment.rst && self.is_on_trial(&flow) {
            // The back end does not hold the flow on trial. Its reset concerns an earlier flow
            // between the same addresses and must not reach the caller.
            return self.end_trial(now, flow);
        }
        self.counters.packets_answered += 1;
        match self.flows.find(&flow) {
            Some(id) => self.track_backend_packet(now, id, &segment, &datagram),
            None => self.learn_flow(now, flow, &segment),
        }
        let host = *flow.caller.ip();
        self.outputs.push_back(Output::ToCaller { host, datagram });
        self.serve_wait_queue(now);
    }

    pub(super) fn is_on_trial(&self, flow: &FlowKey) -> bool {
        let id = self.flows.find(flow);
        let known = id.and_then(|id| self.flows.get(id));
        known.is_some_and(|flow| flow.body.phase == Phase::OnTrial)
    }

    /// Ends a trial: the back end does not hold the flow.
    pub(super) fn end_trial(&mut self, now: Duration, flow: FlowKey) {
        let Some(id) = self.flows.find(&flow) else { return };
        if let Some(balancer) = self.flows.get(id).map(|flow| flow.body.balancer) {
            self.send_lookup_answer(now, balancer, flow, FlowStatus::Absent);
        }
        self.remove(now, id);
        self.remember_absent(flow);
    }

    /// Adds a flow that this agent does not know but its back end has sent a packet of: an earlier
    /// process of the agent placed it.
    pub(super) fn learn_flow(&mut self, now: Duration, flow: FlowKey, segment: &Segment) {
        let own_address = self.settings.node.address;
        let mut body = CarriedFlow::new(now, own_address, Phase::Idle);
        body.backend_data_end = Some(segment.end());
        let id = self.flows.insert(flow, body);
        self.set_phase(now, id, Phase::Idle);
    }

    pub(super) fn track_backend_packet(
        &mut self,
        now: Duration,
        id: FlowId,
        segment: &Segment,
        datagram: &[u8],
    ) {
        let Some(flow) = self.flows.get_mut(id) else { return };
        let is_overtaking = flow.body.is_overtaking_fin(segment);
        flow.body.last_packet = now;
        flow.body.backend_data_end = Some(segment.end());
        flow.body.backend_closed |= segment.fin || segment.rst;
        let (balancer, phase, since) = (flow.body.balancer, flow.body.phase, flow.body.phase_since);
        let (key, caller_closed) = (flow.key, flow.body.caller_closed);
        match phase {
            Phase::Opening { number } if segment.syn => {
                self.send_placed(now, balancer, number);
                self.latency.handshake.observe(now.saturating_sub(since));
                self.set_phase(now, id, Phase::SynAcked);
            }
            Phase::AwaitingResponse { in_system } if segment.payload_bytes > 0 => {
                self.latency.answer.observe(now.saturating_sub(since));
                let outcome = self.response_outcome(in_system, datagram);
                if outcome == RequestOutcome::Answered {
                    self.work_meter.record(now);
                }
                self.note_outcome(now, &key, outcome);
                self.set_phase(now, id, Phase::Idle);
            }
            // Packets overtook each other: the answer sent before this one is still to arrive.
            Phase::AwaitingResponse { .. } if is_overtaking => return,
            Phase::AwaitingResponse { .. } if (segment.rst || segment.fin) && !caller_closed => {
                self.note_outcome(now, &key, RequestOutcome::Aborted);
            }
            Phase::Overdue if segment.payload_bytes > 0 => self.set_phase(now, id, Phase::Idle),
            Phase::OnTrial => {
                self.send_lookup_answer(now, balancer, key, FlowStatus::Owned);
                self.set_phase(now, id, Phase::Idle);
            }
            _ => {}
        }
        if segment.fin || segment.rst {
            self.set_phase(now, id, Phase::Closing);
        }
    }

    /// Handles a packet that the back end did not accept and has returned.
    pub(super) fn handle_returned(&mut self, now: Duration, segment: &Segment, datagram: Vec<u8>) {
        self.counters.packets_returned += 1;
        self.probe.note_returned_packet();
        let flow = segment.flow();
        let Some(id) = self.flows.find(&flow) else { return };
        let Some(entry) = self.flows.get(id) else { return };
        let (balancer, phase) = (entry.body.balancer, entry.body.phase);
        match phase {
            Phase::Opening { number } if segment.is_syn() => {
                self.remove(now, id);
                self.decline(now, balancer, number, &flow, DeclineReason::Returned);
            }
            // The packet belongs to an earlier flow between the same addresses and was returned
            // late, or to a flow that the back end has closed.
            Phase::Opening { .. } | Phase::Closing => {}
            _ if entry.body.backend_closed => {}
            _ if !entry.body.acknowledges_backend_data(segment) => {}
            _ if entry.body.is_proven_open_by(segment) => {
                self.remove(now, id);
                self.remember_absent(flow);
                self.reset_flow(balancer, segment, "lost_by_backend");
            }
            Phase::OnTrial => self.end_trial(now, flow),
            _ => {
                log::warn!(
                    flow = flow_name(&flow).as_str(), balancer:% = balancer;
                    "packet_returned_by_backend"
                );
                self.remove(now, id);
                self.remember_absent(flow);
                self.return_to_balancer(balancer, datagram);
            }
        }
    }

    pub(super) fn remember_absent(&mut self, flow: FlowKey) {
        if !self.absent_flows.insert(flow) {
            return;
        }
        self.absent_flows_order.push_back(flow);
        if self.absent_flows_order.len() > MAX_ABSENT_FLOWS
            && let Some(oldest) = self.absent_flows_order.pop_front()
        {
            self.absent_flows.remove(&oldest);
        }
    }
}
