//! New flows: offered to one agent after the other, placed, refused or left to their copies.

use super::*;
use crate::offer_budget::FREE_OFFERS;
use crate::opening::{Opened, Wanted, may_reset_copy};

impl<F: SegmentFormat> CarriedBalancer<F> {
    pub(super) fn handle_opening(&mut self, now: Duration, segment: &Segment, datagram: &[u8]) {
        if self.fence.is_up(now) {
            self.counters.openings_fenced += 1;
            return;
        }
        // The caller has sent the next copy by now, or has given up and may use its port for another
        // flow, which this packet would end.
        if !may_reset_copy(segment.acknowledgement, self.input_waited) {
            self.counters.openings_stale += 1;
            return;
        }
        let came_at = now.saturating_sub(self.input_waited);
        let flow = segment.flow();
        if let Some(number) = self.lookups.number_of(&flow) {
            // The caller uses its port again: what was searched for is over.
            self.finish_lookup(now, number);
        }
        if let Some(number) = self.openings.number_of(&flow) {
            self.openings.note_copy(came_at, number, segment.acknowledgement);
            return self.check_line(now, number);
        }
        if let Some(agent) = self.flows.agent(&flow) {
            if segment.acknowledgement > 0 && self.may_repeat(now, agent, &flow) {
                return self.repeat_offer(agent, &flow, datagram);
            }
            self.flows.remove(&flow, agent);
        }
        let datagram = datagram.to_vec();
        let opened =
            Opened { segment: *segment, datagram, came_at, started: now, first_came: came_at };
        self.open(now, opened);
    }

    /// Begins to look for a place for a new flow.
    pub(super) fn open(&mut self, now: Duration, opened: Opened) {
        let segment = opened.segment;
        let address = segment.flow().service;
        let Some(route) = self.routes.route(&address) else {
            self.counters.packets_without_route += 1;
            match self.routes.is_empty() {
                true => self.unrouted.keep(opened),
                false => self.refuse(now, &segment, Refusal::NoRoute, None),
            }
            return;
        };
        let aim = match route.latency_target_ms {
            0 => DEFAULT_AIM,
            milliseconds => Duration::from_millis(u64::from(milliseconds)),
        };
        if self.openings.is_full() {
            return self.refuse(now, &segment, Refusal::Busy, None);
        }
        let (regions, priority) = (route.regions.clone(), route.priority);
        let Some(service) = self.routes.next_service(&address) else {
            return self.refuse(now, &segment, Refusal::NoRoute, None);
        };
        self.counters.openings_started += 1;
        let wanted = Wanted { service, regions, aim, priority };
        let number = self.openings.start(now, opened, wanted);
        self.advance(now, number);
    }

    /// Begins to look for places for flows that were asked for before any configuration was known.
    pub(super) fn open_kept(&mut self, now: Duration) {
        while let Some(opened) = self.unrouted.pop(now) {
            self.open(now, opened);
        }
    }

    /// Whether a repeated opening packet may go where the flow was placed: the agent seems to live
    /// and the address still stands for its service.
    pub(super) fn may_repeat(&self, now: Duration, agent: SocketAddrV4, flow: &FlowKey) -> bool {
        let Some(view) = self.pool.view(&agent) else { return false };
        let route = self.routes.route(&flow.service);
        let parts = route.map(|route| route.targets.as_slice()).unwrap_or_default();
        let is_part = parts.iter().any(|part| part.service == view.report.service);
        let is_allowed = route.is_some_and(|route| view.is_in(&route.regions));
        is_part && is_allowed && !view.is_suspect(now, self.standing.membership.interval())
    }

    /// A caller repeats the opening packet of a flow that has been placed: its answer was lost.
    pub(super) fn repeat_offer(&mut self, agent: SocketAddrV4, flow: &FlowKey, datagram: &[u8]) {
        let Some(service) = self.pool.view(&agent).map(|view| view.report.service.clone()) else {
            return;
        };
        log::info!(flow = flow_name(flow).as_str(), agent:% = agent; "opening_repeated");
        let message = Message::Offer {
            number: 0,
            service,
            admission: Admission::Within(DEFAULT_AIM.as_millis() as u32),
            datagram: datagram.to_vec(),
        };
        self.outputs.push_back(Output::ToPeer { to: agent, message });
    }

    /// Takes an opening as far as it goes without another word from an agent.
    pub(super) fn advance(&mut self, now: Duration, number: u64) {
        let interval = self.standing.membership.interval();
        let random = &mut self.random;
        let Some(opening) = self.openings.get_mut(number) else { return };
        if opening.is_pending() {
            return;
        }
        // In overload nobody has a free slot: the flow goes to a queue at once, if it may.
        let is_scarce = self.pool.is_budget_spent(now, &opening.service);
        // The last offer that is free must not go to waste: an agent without a free slot takes the flow
        // into its queue, which costs less than asking on.
        let is_last_free = opening.offers + 1 >= FREE_OFFERS;
        loop {
            let is_late = opening.is_late(now) && self.pool.is_recovering(now, &opening.service);
            let has_line =
                self.policies.is_enabled(Policy::WaitQueue) && opening.patience(now).is_some();
            if opening.wants_line || (has_line && (is_late || is_scarce)) {
                break;
            }
            // A place in the queue is for those that still meet their aim.
            let may_queue = !is_late && self.policies.is_enabled(Policy::SecondRound);
            opening.wants_queue |= (is_scarce || is_last_free) && may_queue;
            let most = if opening.wants_queue { MOST_QUEUE_ASKED } else { MOST_FREE_ASKED };
            let may_ask = |agent: &SocketAddrV4, view: &AgentView| {
                let may_have_room = opening.wants_queue || !view.is_known_full(now);
                may_have_room && !opening.has_asked(agent) && view.is_in(&opening.regions)
            };
            let mut next = None;
            if opening.asked_in_round() < most {
                let noise = || random.random::<f64>();
                let ranking = Ranking::of(&opening.flow());
                next = self.pool.best(now, interval, &opening.service, ranking, may_ask, noise);
            }
            if let Some(agent) = next {
                if self.pool.take_offer(now, &opening.service, opening.offers) {
                    return self.offer(now, number, agent);
                }
                self.counters.offers_withheld += 1;
                break;
            }
            if opening.wants_queue || !may_queue {
                break;
            }
            opening.wants_queue = true;
        }
        self.settle_unplaced(now, number);
    }

    /// Everybody who seems able to take the flow was asked, and nobody has.
    pub(super) fn settle_unplaced(&mut self, now: Duration, number: u64) {
        let interval = self.standing.membership.interval();
        let Some(opening) = self.openings.get_mut(number) else { return };
        let age = opening.age(now);
        let is_late = opening.is_late(now) && self.pool.is_recovering(now, &opening.service);
        let is_scarce = is_late || self.pool.is_budget_spent(now, &opening.service);
        let is_full = opening.was_declined(DeclineReason::Busy)
            || opening.was_declined(DeclineReason::Returned)
            || opening.was_declined(DeclineReason::Cold)
            || (is_scarce && self.policies.is_enabled(Policy::WaitQueue))
            || self.pool.is_known_full(now, interval, &opening.service);
        if !is_full && self.policies.is_enabled(Policy::LastResort) {
            let may_ask = |agent: &SocketAddrV4, view: &AgentView| {
                !opening.has_asked(agent) && view.is_in(&opening.regions)
            };
            if let Some(agent) = self.pool.suspect(now, interval, &opening.service, may_ask) {
                opening.wants_line = false;
                return self.offer(now, number, agent);
            }
            let may_ask = |agent: &SocketAddrV4, view: &AgentView| {
                !opening.has_asked_failing(agent) && view.is_in(&opening.regions)
            };
            if let Some(agent) = self.pool.failing(now, interval, &opening.service, may_ask) {
                opening.is_last_resort = true;
                opening.wants_line = false;
                return self.offer(now, number, agent);
            }
        }
        let has_unanswered = opening.has_unanswered();
        let is_young = self.unrouted.is_young(now);
        let is_evacuated = self.pool.is_evacuated(&opening.service);
        if is_full && self.join_line(now, number) {
            return;
        }
        let Some(opening) = self.openings.get_mut(number) else { return };
        let refusal = match (has_unanswered, is_full) {
            (true, _) if opening.may_be_placed(now) => None,
            (true, _) => Some(Refusal::Unanswered),
            (false, true) => Some(Refusal::Busy),
            (false, false) if is_evacuated => Some(Refusal::Unavailable),
            (false, false) if age < opening.aim.mul_f64(SEARCH_SHARE) => None,
            // Agents are being heard of: the list of nodes came with the first configuration.
            (false, false) if is_young && opening.patience(now).is_some() => None,
            (false, false) => Some(Refusal::Unavailable),
        };
        match refusal {
            None => self.openings.wake_at(number, now + SEARCH_INTERVAL),
            Some(refusal) => {
                let Some(opening) = self.openings.finish(number) else { return };
                // The answer, or the caller's next packet, may wait in a socket of this process.
                let may_be_open = has_unanswered && self.lateness.is_late(now);
                if may_be_open || !opening.may_reset(now) {
                    return self.give_up(now, &opening, refusal);
                }
                self.refuse(now, &opening.segment, refusal, Some(&opening));
            }
        }
    }

    /// Offers a flow that nobody has room for to an agent where it may wait; `false` when there is
    /// none, or too little time.
    fn join_line(&mut self, now: Duration, number: u64) -> bool {
        if !self.policies.is_enabled(Policy::WaitQueue) {
            return false;
        }
        let interval = self.standing.membership.interval();
        let Some(opening) = self.openings.get_mut(number) else { return false };
        if opening.patience(now).is_none() || opening.lines_left() == 0 {
            return false;
        }
        let may_ask = |agent: &SocketAddrV4, view: &AgentView| {
            !opening.has_asked_line(agent) && view.is_in(&opening.regions)
        };
        let random = &mut self.random;
        let noise = || random.random::<f64>();
        let ranking = Ranking::of(&opening.flow());
        let shortest =
            self.pool.shortest_line(now, interval, &opening.service, ranking, may_ask, noise);
        let Some(agent) = shortest else { return false };
        // Each flow may wait in some line; that another one is shorter is worth an offer in calm only.
        let is_paid = self.pool.take_offer(now, &opening.service, opening.offers);
        if !is_paid && opening.has_asked_any_line() {
            return false;
        }
        opening.wants_line = true;
        self.offer(now, number, agent);
        true
    }

    /// An agent has a flow wait until its back end has room.
    pub(super) fn handle_queued(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        number: u64,
        report: LoadReport,
    ) {
        self.pool.take_report(now, from, report);
        let Some(opening) = self.openings.get_mut(number) else { return };
        let Some(asked) = opening.last_offer_to(from) else { return };
        asked.answer = Answer::Queued;
        self.counters.openings_queued += 1;
        // The agent tells before; if it does not, the caller's try is over.
        let patience = opening.patience(now).unwrap_or_default();
        self.openings.wake_at(number, now + patience + LINE_GRACE);
    }

    /// A copy came of a flow that waits at an agent: while that agent seems to be gone, another one
    /// is to take the flow.
    fn check_line(&mut self, now: Duration, number: u64) {
        let interval = self.standing.membership.interval();
        let Some(opening) = self.openings.get_mut(number) else { return };
        let Some(agent) = opening.queued_at() else { return };
        let is_gone = self.pool.view(&agent).is_none_or(|view| view.is_suspect(now, interval));
        if is_gone && let Some(asked) = opening.last_offer_to(agent) {
            asked.answer = Answer::Unanswered;
            self.advance(now, number);
        }
    }

    pub(super) fn offer(&mut self, now: Duration, number: u64, agent: SocketAddrV4) {
        let Some(opening) = self.openings.get_mut(number) else { return };
        let budget = opening.aim.mul_f64(QUEUE_SHARE).saturating_sub(opening.age(now));
        let budget_ms = budget.as_millis() as u32;
        let is_late = opening.is_late(now) && self.pool.is_recovering(now, &opening.service);
        let admission = match (opening.is_last_resort, opening.wants_queue) {
            _ if opening.wants_line => Admission::WaitQueue {
                within_ms: if is_late { 0 } else { budget_ms.min(u32::from(u16::MAX)) as u16 },
                attempt_remaining_ms: opening.patience(now).unwrap_or_default().as_millis() as u16,
                priority: opening.priority,
            },
            (true, _) => Admission::Failing(budget_ms),
            (false, true) => Admission::Within(budget_ms),
            (false, false) if is_late => Admission::Spare,
            (false, false) => Admission::FreeSlot,
        };
        opening.asked.push(Asked { agent, admission, answer: Answer::Pending, asked_at: now });
        opening.offers += 1;
        let message = Message::Offer {
            number,
            service: opening.service.clone(),
            admission,
            datagram: opening.datagram.clone(),
        };
        self.outputs.push_back(Output::ToPeer { to: agent, message });
        let patience = self.lateness.stretch(now, OFFER_PATIENCE);
        self.openings.wake_at(number, now + patience);
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
        let opening = self.openings.get_mut(number);
        if !opening.is_some_and(|opening| opening.was_offered_to(from)) {
            self.counters.answers_unexpected += 1;
            return;
        }
        let Some(opening) = self.openings.finish(number) else { return };
        self.counters.openings_placed += 1;
        self.pool.note_placed(now, &opening.service);
        self.note_answer(now, &opening, from);
        self.latency.opening.observe(opening.age(now));
        self.latency.offers.observe_count(opening.asked.len());
        log::info!(
            flow = flow_name(&opening.flow()).as_str(), agent:% = from,
            service = opening.service.as_str(), age_us = opening.age(now).as_micros() as u64,
            copy = opening.segment.acknowledgement,
            asked = self.describe_asked(now, &opening).as_str(),
            configuration:% = self.standing.configuration.version; "opening_placed"
        );
        self.flows.insert(now, self.idle_timeout(), opening.flow(), from);
    }

    fn note_answer(&self, now: Duration, opening: &Opening, from: SocketAddrV4) {
        let made = opening.asked.iter().rev().find(|asked| asked.agent == from);
        if let Some(asked) = made {
            self.latency.offer.observe(now.saturating_sub(asked.asked_at));
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
        let Some(opening) = self.openings.get_mut(number) else { return };
        if let Some(asked) = opening.last_offer_to(from) {
            asked.answer = Answer::Declined(reason);
            self.latency.offer.observe(now.saturating_sub(asked.asked_at));
        }
        self.advance(now, number);
    }

    pub(super) fn wake_opening(&mut self, now: Duration, number: u64) {
        let is_late = self.lateness.is_late(now);
        let Some(opening) = self.openings.get_mut(number) else { return };
        if opening.queued_at().is_some() {
            // Its agent, or what it said, is lost; whether it has opened is not known here.
            if let Some(opening) = self.openings.finish(number) {
                self.give_up(now, &opening, Refusal::Unanswered);
            }
            return;
        }
        for asked in &mut opening.asked {
            if asked.answer != Answer::Pending {
                continue;
            }
            asked.answer = Answer::Unanswered;
            self.counters.offers_unanswered += 1;
            if is_late {
                self.counters.unanswered_while_late += 1;
            } else if self.pool.note_unanswered(&asked.agent) {
                self.counters.suspicions += 1;
                log::warn!(agent:% = asked.agent, reason = "offers_unanswered"; "agent_suspect");
            }
        }
        self.advance(now, number);
    }
}
