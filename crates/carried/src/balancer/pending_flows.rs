//! Pending flows: new flows offered to one agent after the other until one places them, or they are
//! refused, or dropped without a reset so that the caller's retransmitted SYN starts over.
//!
//! A flow is first offered for a free slot of a back end, then for a place in a back end's queue,
//! and then for a place in an agent's wait queue, where it waits until the back end has room.

use super::*;
use crate::offer_budget::FREE_OFFERS;
use crate::pending_flow::{ReceivedSyn, Requirements, may_reset_after};

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Handles a SYN, which is the first one of a new flow or a retransmission.
    pub(super) fn handle_syn(&mut self, now: Duration, segment: &Segment, datagram: &[u8]) {
        if self.admission_pause.is_active(now) {
            self.counters.openings_fenced += 1;
            return;
        }
        // The caller has retransmitted its SYN by now, or has given up and may have reused its port
        // for another flow, which a reset in answer to this packet would end.
        if !may_reset_after(segment.acknowledgement, self.input_age) {
            self.counters.openings_stale += 1;
            return;
        }
        let arrived_at = now.saturating_sub(self.input_age);
        let flow = segment.flow();
        if let Some(number) = self.lookups.number_of(&flow) {
            // The caller has reused its port: the flow that was looked up has ended.
            self.finish_lookup(now, number);
        }
        if let Some(number) = self.pending_flows.number_of(&flow) {
            self.pending_flows.note_retransmission(arrived_at, number, segment.acknowledgement);
            return self.check_queued_agent(now, number);
        }
        if let Some(agent) = self.flows.agent(&flow) {
            if segment.acknowledgement > 0 && self.may_repeat(now, agent, &flow) {
                return self.repeat_offer(agent, &flow, datagram);
            }
            self.flows.remove(&flow, agent);
        }
        let datagram = datagram.to_vec();
        let syn = ReceivedSyn {
            segment: *segment,
            datagram,
            arrived_at,
            received_at: now,
            first_arrived_at: arrived_at,
        };
        self.start_pending(now, syn);
    }

    /// Starts to offer a new flow to agents.
    pub(super) fn start_pending(&mut self, now: Duration, syn: ReceivedSyn) {
        let segment = syn.segment;
        let address = segment.flow().service;
        let Some(route) = self.routes.route(&address) else {
            self.counters.packets_without_route += 1;
            match self.routes.is_empty() {
                true => self.unrouted.keep(syn),
                false => self.refuse(now, &segment, Refusal::NoRoute, None),
            }
            return;
        };
        let latency_target = match route.latency_target_ms {
            0 => DEFAULT_LATENCY_TARGET,
            milliseconds => Duration::from_millis(u64::from(milliseconds)),
        };
        if self.pending_flows.is_full() {
            return self.refuse(now, &segment, Refusal::Busy, None);
        }
        let (regions, priority) = (route.regions.clone(), route.priority);
        let Some(service) = self.routes.next_service(&address) else {
            return self.refuse(now, &segment, Refusal::NoRoute, None);
        };
        self.counters.openings_started += 1;
        let requirements = Requirements { service, regions, latency_target, priority };
        let number = self.pending_flows.start(now, syn, requirements);
        self.advance_pending(now, number);
    }

    /// Starts to offer flows that arrived before any configuration was known.
    pub(super) fn start_unrouted(&mut self, now: Duration) {
        while let Some(syn) = self.unrouted.pop(now) {
            self.start_pending(now, syn);
        }
    }

    /// Whether a retransmitted SYN may be sent to the agent with which the flow was placed: the
    /// agent is not suspect, and the address is still routed to its service and region.
    pub(super) fn may_repeat(&self, now: Duration, agent: SocketAddrV4, flow: &FlowKey) -> bool {
        let Some(view) = self.pool.view(&agent) else { return false };
        let route = self.routes.route(&flow.service);
        let parts = route.map(|route| route.targets.as_slice()).unwrap_or_default();
        let is_part = parts.iter().any(|part| part.service == view.report.service);
        let is_allowed = route.is_some_and(|route| view.is_in(&route.regions));
        is_part && is_allowed && !view.is_suspect(now, self.cluster.membership.interval())
    }

    /// Forwards a placed flow's retransmitted SYN to its agent: the reply to the caller was lost.
    pub(super) fn repeat_offer(&mut self, agent: SocketAddrV4, flow: &FlowKey, datagram: &[u8]) {
        let Some(service) = self.pool.view(&agent).map(|view| view.report.service.clone()) else {
            return;
        };
        log::info!(flow = flow_name(flow).as_str(), agent:% = agent; "opening_repeated");
        let message = Message::Offer {
            number: 0,
            service,
            admission: Admission::Within(DEFAULT_LATENCY_TARGET.as_millis() as u32),
            datagram: datagram.to_vec(),
        };
        self.outputs.push_back(Output::ToPeer { to: agent, message });
    }

    /// Makes the next offer of a pending flow, if no answer is outstanding.
    pub(super) fn advance_pending(&mut self, now: Duration, number: u64) {
        let interval = self.cluster.membership.interval();
        let random = &mut self.random;
        let Some(pending) = self.pending_flows.get_mut(number) else { return };
        if pending.awaits_answer() {
            return;
        }
        // In overload no agent has a free slot: the flow is offered to a queue at once, if allowed.
        let is_overloaded = self.pool.is_budget_exhausted(now, &pending.service);
        // The last offer that costs no retry budget asks for a place in the queue: an agent without
        // a free slot can then still take the flow, which is cheaper than further offers.
        let is_last_free = pending.offer_count + 1 >= FREE_OFFERS;
        loop {
            let is_late = pending.is_late(now) && self.pool.is_recovering(now, &pending.service);
            let may_wait =
                self.policies.is_enabled(Policy::WaitQueue) && pending.wait_left(now).is_some();
            if pending.wants_wait_queue || (may_wait && (is_late || is_overloaded)) {
                break;
            }
            // Only flows that can still meet their latency target may be queued.
            let may_queue = !is_late && self.policies.is_enabled(Policy::SecondRound);
            pending.wants_queue |= (is_overloaded || is_last_free) && may_queue;
            let most = if pending.wants_queue { MAX_QUEUE_OFFERS } else { MAX_FREE_SLOT_OFFERS };
            let may_ask = |agent: &SocketAddrV4, view: &AgentView| {
                let may_have_room = pending.wants_queue || !view.is_known_full(now);
                may_have_room && !pending.excludes(agent) && view.is_in(&pending.regions)
            };
            let mut next = None;
            if pending.offers_in_round() < most {
                let noise = || random.random::<f64>();
                let ranking = Ranking::of(&pending.flow());
                next = self.pool.best(now, interval, &pending.service, ranking, may_ask, noise);
            }
            if let Some(agent) = next {
                if self.pool.take_offer(now, &pending.service, pending.offer_count) {
                    return self.offer(now, number, agent);
                }
                self.counters.offers_withheld += 1;
                break;
            }
            if pending.wants_queue || !may_queue {
                break;
            }
            pending.wants_queue = true;
        }
        self.settle_unplaced(now, number);
    }

    /// Decides about a pending flow that no suitable agent has accepted: offers it to suspect or
    /// failing agents as a last resort, or to a wait queue, retries later, or gives up.
    pub(super) fn settle_unplaced(&mut self, now: Duration, number: u64) {
        let interval = self.cluster.membership.interval();
        let Some(pending) = self.pending_flows.get_mut(number) else { return };
        let age = pending.age(now);
        let is_late = pending.is_late(now) && self.pool.is_recovering(now, &pending.service);
        let is_overloaded = is_late || self.pool.is_budget_exhausted(now, &pending.service);
        let is_full = pending.was_declined(DeclineReason::Busy)
            || pending.was_declined(DeclineReason::Returned)
            || pending.was_declined(DeclineReason::Cold)
            || (is_overloaded && self.policies.is_enabled(Policy::WaitQueue))
            || self.pool.is_known_full(now, interval, &pending.service);
        if !is_full && self.policies.is_enabled(Policy::LastResort) {
            let may_ask = |agent: &SocketAddrV4, view: &AgentView| {
                !pending.excludes(agent) && view.is_in(&pending.regions)
            };
            if let Some(agent) = self.pool.suspect(now, interval, &pending.service, may_ask) {
                pending.wants_wait_queue = false;
                return self.offer(now, number, agent);
            }
            let may_ask = |agent: &SocketAddrV4, view: &AgentView| {
                !pending.has_tried_failing(agent) && view.is_in(&pending.regions)
            };
            if let Some(agent) = self.pool.failing(now, interval, &pending.service, may_ask) {
                pending.is_last_resort = true;
                pending.wants_wait_queue = false;
                return self.offer(now, number, agent);
            }
        }
        let has_unanswered = pending.has_unanswered();
        let is_discovering = self.unrouted.is_discovering(now);
        let is_evacuated = self.pool.is_evacuated(&pending.service);
        if is_full && self.offer_to_wait_queue(now, number) {
            return;
        }
        let Some(pending) = self.pending_flows.get_mut(number) else { return };
        let refusal = match (has_unanswered, is_full) {
            (true, _) if pending.may_be_placed(now) => None,
            (true, _) => Some(Refusal::Unanswered),
            (false, true) => Some(Refusal::Busy),
            (false, false) if is_evacuated => Some(Refusal::Unavailable),
            (false, false) if age < pending.latency_target.mul_f64(RETRY_SHARE) => None,
            // Agents are still being discovered: the first configuration brought the node list.
            (false, false) if is_discovering && pending.wait_left(now).is_some() => None,
            (false, false) => Some(Refusal::Unavailable),
        };
        match refusal {
            None => self.pending_flows.wake_at(number, now + RETRY_INTERVAL),
            Some(refusal) => {
                let Some(pending) = self.pending_flows.finish(number) else { return };
                // This process is delayed: sockets may hold an answer or the caller's next packet.
                let may_be_open = has_unanswered && self.scheduling_delay.is_delayed(now);
                if may_be_open || !pending.may_reset(now) {
                    return self.give_up(now, &pending, refusal);
                }
                self.refuse(now, &pending.segment, refusal, Some(&pending));
            }
        }
    }

    /// Offers a flow for which there is no room to the wait queue of an agent. Returns `false` if
    /// there is no such agent or too little time left.
    fn offer_to_wait_queue(&mut self, now: Duration, number: u64) -> bool {
        if !self.policies.is_enabled(Policy::WaitQueue) {
            return false;
        }
        let interval = self.cluster.membership.interval();
        let Some(pending) = self.pending_flows.get_mut(number) else { return false };
        if pending.wait_left(now).is_none() || pending.wait_queues_left() == 0 {
            return false;
        }
        let may_ask = |agent: &SocketAddrV4, view: &AgentView| {
            !pending.excludes_wait_queue(agent) && view.is_in(&pending.regions)
        };
        let random = &mut self.random;
        let noise = || random.random::<f64>();
        let ranking = Ranking::of(&pending.flow());
        let shortest =
            self.pool.shortest_wait_queue(now, interval, &pending.service, ranking, may_ask, noise);
        let Some(agent) = shortest else { return false };
        // A flow may ask one wait queue; a second, shorter one must be covered by the retry budget.
        let is_paid = self.pool.take_offer(now, &pending.service, pending.offer_count);
        if !is_paid && pending.has_tried_wait_queue() {
            return false;
        }
        pending.wants_wait_queue = true;
        self.offer(now, number, agent);
        true
    }

    /// Handles an agent's message that a flow is in its wait queue until its back end has room.
    pub(super) fn handle_queued(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        number: u64,
        report: LoadReport,
    ) {
        self.pool.take_report(now, from, report);
        let Some(pending) = self.pending_flows.get_mut(number) else { return };
        let Some(offer) = pending.last_offer_to(from) else { return };
        offer.answer = OfferAnswer::Queued;
        self.counters.openings_queued += 1;
        // The agent reports the outcome before this time; otherwise the caller's attempt is over.
        let remaining = pending.wait_left(now).unwrap_or_default();
        self.pending_flows.wake_at(number, now + remaining + WAIT_QUEUE_REPLY_MARGIN);
    }

    /// Offers a flow to another agent on a retransmitted SYN, if that of its wait queue is suspect.
    fn check_queued_agent(&mut self, now: Duration, number: u64) {
        let interval = self.cluster.membership.interval();
        let Some(pending) = self.pending_flows.get_mut(number) else { return };
        let Some(agent) = pending.queued_agent() else { return };
        let is_gone = self.pool.view(&agent).is_none_or(|view| view.is_suspect(now, interval));
        if is_gone && let Some(offer) = pending.last_offer_to(agent) {
            offer.answer = OfferAnswer::Unanswered;
            self.advance_pending(now, number);
        }
    }

    /// Offers a pending flow to an agent, with the admission that the flow's state allows.
    pub(super) fn offer(&mut self, now: Duration, number: u64, agent: SocketAddrV4) {
        let Some(pending) = self.pending_flows.get_mut(number) else { return };
        let budget = pending.latency_target.mul_f64(QUEUE_SHARE).saturating_sub(pending.age(now));
        let budget_ms = budget.as_millis() as u32;
        let is_late = pending.is_late(now) && self.pool.is_recovering(now, &pending.service);
        let admission = match (pending.is_last_resort, pending.wants_queue) {
            _ if pending.wants_wait_queue => Admission::WaitQueue {
                within_ms: if is_late { 0 } else { budget_ms.min(u32::from(u16::MAX)) as u16 },
                attempt_remaining_ms: pending.wait_left(now).unwrap_or_default().as_millis() as u16,
                priority: pending.priority,
            },
            (true, _) => Admission::Failing(budget_ms),
            (false, true) => Admission::Within(budget_ms),
            (false, false) if is_late => Admission::Spare,
            (false, false) => Admission::FreeSlot,
        };
        pending.offers.push(Offer {
            agent,
            admission,
            answer: OfferAnswer::Pending,
            offered_at: now,
        });
        pending.offer_count += 1;
        let message = Message::Offer {
            number,
            service: pending.service.clone(),
            admission,
            datagram: pending.datagram.clone(),
        };
        self.outputs.push_back(Output::ToPeer { to: agent, message });
        let timeout = self.scheduling_delay.extend_timeout(now, OFFER_TIMEOUT);
        self.pending_flows.wake_at(number, now + timeout);
        self.pool.note_offer(&agent);
        self.counters.offers_made += 1;
    }

    pub(super) fn handle_placed(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        number: u64,
        report: LoadReport,
    ) {
        self.pool.take_report(now, from, report);
        let pending = self.pending_flows.get_mut(number);
        if !pending.is_some_and(|pending| pending.was_offered_to(from)) {
            self.counters.answers_unexpected += 1;
            return;
        }
        let Some(pending) = self.pending_flows.finish(number) else { return };
        self.counters.openings_placed += 1;
        self.pool.note_placed(now, &pending.service);
        self.note_offer_latency(now, &pending, from);
        self.latency.placement.observe(pending.age(now));
        self.latency.offers_per_flow.observe_count(pending.offers.len());
        log::info!(
            flow = flow_name(&pending.flow()).as_str(), agent:% = from,
            service = pending.service.as_str(), age_us = pending.age(now).as_micros() as u64,
            copy = pending.segment.acknowledgement,
            asked = self.describe_offers(now, &pending).as_str(),
            configuration:% = self.cluster.configuration.version; "opening_placed"
        );
        self.flows.insert(now, self.idle_timeout(), pending.flow(), from);
    }

    fn note_offer_latency(&self, now: Duration, pending: &PendingFlow, from: SocketAddrV4) {
        let made = pending.offers.iter().rev().find(|offer| offer.agent == from);
        if let Some(offer) = made {
            self.latency.offer_answer.observe(now.saturating_sub(offer.offered_at));
        }
    }

    pub(super) fn handle_declined(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        number: u64,
        reason: DeclineReason,
        report: LoadReport,
    ) {
        self.counters.offers_declined += 1;
        self.pool.take_report(now, from, report);
        let Some(pending) = self.pending_flows.get_mut(number) else { return };
        if let Some(offer) = pending.last_offer_to(from) {
            offer.answer = OfferAnswer::Declined(reason);
            self.latency.offer_answer.observe(now.saturating_sub(offer.offered_at));
        }
        self.advance_pending(now, number);
    }

    /// Handles a due timer of a pending flow: marks unanswered offers, or drops a queued flow.
    pub(super) fn wake_pending(&mut self, now: Duration, number: u64) {
        let is_delayed = self.scheduling_delay.is_delayed(now);
        let Some(pending) = self.pending_flows.get_mut(number) else { return };
        if pending.queued_agent().is_some() {
            // The agent or its message was lost; it is not known whether the flow was placed.
            if let Some(pending) = self.pending_flows.finish(number) {
                self.give_up(now, &pending, Refusal::Unanswered);
            }
            return;
        }
        for offer in &mut pending.offers {
            if offer.answer != OfferAnswer::Pending {
                continue;
            }
            offer.answer = OfferAnswer::Unanswered;
            self.counters.offers_unanswered += 1;
            if is_delayed {
                self.counters.unanswered_while_late += 1;
            } else if self.pool.note_unanswered(&offer.agent) {
                self.counters.suspicions += 1;
                log::warn!(agent:% = offer.agent, reason = "offers_unanswered"; "agent_suspect");
            }
        }
        self.advance_pending(now, number);
    }
}
