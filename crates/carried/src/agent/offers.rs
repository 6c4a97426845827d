//! New flows: taken or declined, with one answer an offer.

use super::*;

impl<F: SegmentFormat> CarriedAgent<F> {
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
        if now < self.stale_until {
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
                // A copy, perhaps through another balancer: the back end answers it again.
                Some(body) if body.awaits_opening_of(&segment) => {
                    body.balancer = from;
                    self.set_phase(now, id, Phase::Offered { number });
                    self.outputs.push_back(Output::ToBackend(datagram));
                    return;
                }
                // A copy that comes late, through a balancer that is behind: the flow is open, or over.
                Some(body) if body.was_opened_by(segment.sequence) => {
                    return self.tell_placed(now, from, number);
                }
                // The caller uses its port again.
                _ => self.remove(now, id),
            }
        }
        let entry = InLine {
            flow,
            number,
            balancer: from,
            datagram,
            opened_with: segment.sequence,
            expires_at: now,
            joined_at: now,
        };
        let refusal = self.refusal(now, service, admission);
        if self.keeps_waiting(now, &entry, admission, refusal) {
            return;
        }
        if let Some(reason) = refusal {
            return self.decline(now, from, number, &flow, reason);
        }
        match admission {
            Admission::WaitQueue { within_ms, attempt_remaining_ms, priority } => {
                let expires_at = now + milliseconds(attempt_remaining_ms);
                let entry = InLine { expires_at, ..entry };
                self.admit_to_line(now, entry, milliseconds(within_ms), priority);
            }
            _ => self.take_flow(now, entry),
        }
    }

    /// Tells a balancer that the flow of its offer lives here.
    pub(super) fn tell_placed(&mut self, now: Duration, to: SocketAddrV4, number: u64) {
        let message = Message::Placed { number, report: self.report(now) };
        self.outputs.push_back(Output::ToPeer { to, message });
    }

    pub(super) fn refusal(
        &self,
        now: Duration,
        service: &str,
        admission: Admission,
    ) -> Option<DeclineReason> {
        if service != self.backend.service() {
            return Some(DeclineReason::OtherService);
        }
        let is_last_resort = matches!(admission, Admission::Failing(_));
        if let Some(reason) = self.closed(now, is_last_resort) {
            return Some(reason);
        }
        // It waits for as long as there is no room.
        if matches!(admission, Admission::WaitQueue { .. }) {
            return None;
        }
        if self.cold_room(now) == Some(0) {
            return Some(DeclineReason::Cold);
        }
        let breaks = self.breaker_limit(now).is_some_and(|limit| self.waiting >= limit);
        if breaks && !is_last_resort {
            return Some(DeclineReason::Failing);
        }
        let capacity = u32::from(self.backend.capacity());
        let limit = match admission {
            Admission::FreeSlot => capacity,
            Admission::Spare => (capacity * SPARE_OF_THREE / 3).max(1),
            _ if !self.settings.policies.is_enabled(Policy::QueueLimit) => u32::MAX,
            Admission::WaitQueue { .. } => u32::MAX,
            Admission::Within(milliseconds) | Admission::Failing(milliseconds) => {
                let budget = Duration::from_millis(u64::from(milliseconds));
                self.work.admission_limit(capacity, budget)
            }
        };
        (self.waiting >= limit).then_some(DeclineReason::Busy)
    }

    /// Why no new flow at all is taken just now.
    pub(super) fn closed(&self, now: Duration, is_last_resort: bool) -> Option<DeclineReason> {
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

fn milliseconds(count: u16) -> Duration {
    Duration::from_millis(u64::from(count))
}
