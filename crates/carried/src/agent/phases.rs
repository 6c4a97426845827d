//! Phases of flows, and the timeouts that end them.

use super::*;

impl<F: SegmentFormat> CarriedAgent<F> {
    pub(super) fn set_phase(&mut self, now: Duration, id: FlowId, phase: Phase) {
        let Some(is_over) = self.flows.get(id).map(|flow| flow.body.is_over()) else {
            return;
        };
        let timeout = self.phase_timeout(phase, is_over);
        let Some(flow) = self.flows.get_mut(id) else { return };
        let before = std::mem::replace(&mut flow.body.phase, phase);
        flow.body.phase_since = now;
        self.in_flight = self.in_flight + u32::from(phase.occupies_backend())
            - u32::from(before.occupies_backend());
        self.note_work(now, before, Some(phase));
        self.flows.wake_by(id, Some(now + timeout));
    }

    pub(super) fn phase_timeout(&self, phase: Phase, is_over: bool) -> Duration {
        match phase {
            Phase::Opening { .. } => SYN_ACK_TIMEOUT,
            Phase::SynAcked => HANDSHAKE_TIMEOUT,
            Phase::AwaitingResponse { in_system } => self.response_timeout(in_system),
            Phase::Overdue => OVERDUE_TIMEOUT,
            Phase::Idle | Phase::OnTrial => self.rest_timeout(),
            Phase::Closing if is_over => CLOSING_TTL,
            // The end that has not closed the flow still sends, or has not received the other's FIN
            // yet. If the flow were forgotten now, its caller's next packet would get a reset.
            Phase::Closing => self.rest_timeout(),
        }
    }

    /// How long a request may take before it is overdue, if `in_system` flows occupied the back end
    /// when it began.
    fn response_timeout(&self, in_system: u32) -> Duration {
        let capacity = u32::from(self.backend.capacity());
        let expected = self.work_meter.expected_latency(in_system, capacity);
        (expected * RESPONSE_TIMEOUT_FACTOR).clamp(MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT)
    }

    /// How long a flow that rests is remembered.
    fn rest_timeout(&self) -> Duration {
        self.cluster.idle_timeout(self.settings.max_flow_age) + REST_MARGIN
    }

    /// Updates the number of requests in work when a flow's change of phase begins or ends one.
    fn note_work(&mut self, now: Duration, before: Phase, after: Option<Phase>) {
        let is_at_work = |phase: Phase| matches!(phase, Phase::AwaitingResponse { .. });
        let (was, is) = (is_at_work(before), after.is_some_and(is_at_work));
        if was != is {
            self.awaiting_response = self.awaiting_response + u32::from(is) - u32::from(was);
            self.work_meter.note_working(
                now,
                self.awaiting_response,
                u32::from(self.backend.capacity()),
            );
        }
    }

    pub(super) fn remove(&mut self, now: Duration, id: FlowId) {
        if let Some(phase) = self.flows.get(id).map(|flow| flow.body.phase) {
            self.in_flight -= u32::from(phase.occupies_backend());
            self.note_work(now, phase, None);
        }
        self.flows.remove(id);
    }

    pub(super) fn handle_phase_timeout(&mut self, now: Duration, id: FlowId) {
        let Some(flow) = self.flows.get(id) else { return };
        let phase = flow.body.phase;
        let since = flow.body.timeout_begins_at();
        let ends_at = since + self.phase_timeout(phase, flow.body.is_over());
        if now < ends_at {
            return self.flows.wake_by(id, Some(ends_at));
        }
        match phase {
            Phase::Opening { .. } => {
                log::warn!(
                    flow = flow_name(&flow.key).as_str(), balancer:% = flow.body.balancer,
                    in_a_row = self.unanswered_syns + 1; "opening_unanswered_by_backend"
                );
                self.note_unanswered_syn(now);
                self.set_phase(now, id, Phase::Idle);
            }
            Phase::AwaitingResponse { .. } => {
                let key = flow.key;
                self.note_outcome(now, &key, RequestOutcome::Overdue);
                self.set_phase(now, id, Phase::Overdue);
            }
            Phase::Overdue => {
                log::warn!(
                    flow = flow_name(&flow.key).as_str(), overdue_ms = OVERDUE_TIMEOUT.as_millis() as u64;
                    "request_unanswered_by_backend"
                );
                self.set_phase(now, id, Phase::Idle);
            }
            Phase::SynAcked => self.set_phase(now, id, Phase::Idle),
            Phase::Idle | Phase::OnTrial | Phase::Closing => self.remove(now, id),
        }
    }

    pub(super) fn note_unanswered_syn(&mut self, now: Duration) {
        self.unanswered_syns += 1;
        if self.unanswered_syns < SILENT_AFTER_SYNS {
            return;
        }
        self.counters.backend_silences +=
            u64::from(self.announced_condition != BackendCondition::Silent);
        self.silent_until = Some(now + SILENCE_DURATION);
        self.announce_condition_change(now, "silent");
    }
}
