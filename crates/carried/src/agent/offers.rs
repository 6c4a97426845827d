//! Accepts or declines new flows that balancers offer, with one final answer for each offer.

use super::*;

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Handles a balancer's offer of a new flow. `datagram` is its SYN.
    pub(super) fn handle_offer(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        number: u64,
        service: &str,
        admission: Admission,
        datagram: Vec<u8>,
    ) {
        self.counters.offers_received += 1;
        if now < self.ignore_offers_until {
            self.counters.offers_stale += 1;
            return;
        }
        let Ok(segment) = self.format.parse(&datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        let flow = segment.flow();
        if let Some(id) = self.flows.find(&flow) {
            match self.flows.get_mut(id).map(|flow| &mut flow.body) {
                // A retransmission, perhaps through another balancer: the back end answers it
                // again.
                Some(body) if body.accepts_retransmitted_syn(&segment) => {
                    body.balancer = from;
                    self.set_phase(now, id, Phase::Opening { number });
                    self.outputs.push_back(Output::ToBackend(datagram));
                    return;
                }
                // A retransmission that was delayed at a balancer: the flow is open or already
                // over.
                Some(body) if body.was_opened_by_syn(segment.sequence) => {
                    return self.send_placed(now, from, number);
                }
                // The caller reuses its port for a new flow.
                _ => self.remove(now, id),
            }
        }
        let entry = WaitingFlow {
            flow,
            number,
            balancer: from,
            datagram,
            syn_sequence: segment.sequence,
            expires_at: now,
            queued_at: now,
        };
        let decline = self.decline_reason(now, service, admission);
        if self.update_waiting(now, &entry, admission, decline) {
            return;
        }
        if let Some(reason) = decline {
            return self.decline(now, from, number, &flow, reason);
        }
        match admission {
            Admission::WaitQueue { within_ms, attempt_remaining_ms, priority } => {
                let expires_at = now + from_ms(attempt_remaining_ms);
                let entry = WaitingFlow { expires_at, ..entry };
                self.accept_or_queue(now, entry, from_ms(within_ms), priority);
            }
            _ => self.accept_flow(now, entry),
        }
    }

    /// Notifies a balancer that the back end has the flow of its offer.
    pub(super) fn send_placed(&mut self, now: Duration, to: SocketAddrV4, number: u64) {
        let message = Message::Placed { number, report: self.report(now) };
        self.outputs.push_back(Output::ToPeer { to, message });
    }

    /// Why a new flow of this service cannot be accepted under this admission; `None` if it can.
    pub(super) fn decline_reason(
        &self,
        now: Duration,
        service: &str,
        admission: Admission,
    ) -> Option<DeclineReason> {
        if service != self.backend.service() {
            return Some(DeclineReason::OtherService);
        }
        let is_last_resort = matches!(admission, Admission::Failing(_));
        if let Some(reason) = self.reason_to_decline_all(now, is_last_resort) {
            return Some(reason);
        }
        // The flow may wait until there is room, so the limits below do not apply.
        if matches!(admission, Admission::WaitQueue { .. }) {
            return None;
        }
        if self.cold_allowance(now) == Some(0) {
            return Some(DeclineReason::Cold);
        }
        let exceeds_breaker_limit =
            self.breaker_limit(now).is_some_and(|limit| self.in_flight >= limit);
        if exceeds_breaker_limit && !is_last_resort {
            return Some(DeclineReason::Failing);
        }
        let capacity = u32::from(self.backend.capacity());
        let limit = match admission {
            Admission::FreeSlot => capacity,
            Admission::Spare => (capacity * SPARE_SLOT_THIRDS / 3).max(1),
            _ if !self.settings.policies.is_enabled(Policy::QueueLimit) => u32::MAX,
            Admission::WaitQueue { .. } => u32::MAX,
            Admission::Within(within_ms) | Admission::Failing(within_ms) => {
                let budget = Duration::from_millis(u64::from(within_ms));
                self.work_meter.admission_limit(capacity, budget)
            }
        };
        (self.in_flight >= limit).then_some(DeclineReason::Busy)
    }

    /// Why no new flow can be accepted now, whatever its admission; `None` if one can.
    pub(super) fn reason_to_decline_all(
        &self,
        now: Duration,
        is_last_resort: bool,
    ) -> Option<DeclineReason> {
        match self.condition(now) {
            BackendCondition::Accepting => None,
            BackendCondition::Failing if is_last_resort => None,
            BackendCondition::Failing => Some(DeclineReason::Failing),
            BackendCondition::Evacuated => Some(DeclineReason::Evacuated),
            _ => Some(DeclineReason::NotAccepting),
        }
    }

    pub(super) fn decline(
        &mut self,
        now: Duration,
        to: SocketAddrV4,
        number: u64,
        flow: &FlowKey,
        reason: DeclineReason,
    ) {
        match reason {
            DeclineReason::Busy => self.counters.declined_busy += 1,
            DeclineReason::Returned => self.counters.declined_returned += 1,
            DeclineReason::NotAccepting => self.counters.declined_not_accepting += 1,
            DeclineReason::OtherService => self.counters.declined_other_service += 1,
            DeclineReason::Failing => self.counters.declined_failing += 1,
            DeclineReason::Evacuated => self.counters.declined_evacuated += 1,
            DeclineReason::Cold => self.counters.declined_cold += 1,
        }
        let report = self.report(now);
        log::info!(
            flow = flow_name(flow).as_str(), reason = reason.name(), balancer:% = to, waiting = report.waiting,
            capacity = report.capacity, work_us = report.service_time_us; "offer_declined"
        );
        let message = Message::Declined { number, reason, report };
        self.outputs.push_back(Output::ToPeer { to, message });
    }
}

fn from_ms(count: u16) -> Duration {
    Duration::from_millis(u64::from(count))
}
