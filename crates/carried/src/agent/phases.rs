//! Where each flow stands, and what is due when.

use super::*;

impl<F: SegmentFormat> CarriedAgent<F> {
    pub(super) fn set_phase(&mut self, now: Duration, id: FlowId, phase: Phase) {
        let Some(caller_left) = self.flows.get(id).map(|flow| flow.body.caller_left) else {
            return;
        };
        let lasts = self.phase_lasts(phase, caller_left);
        let Some(flow) = self.flows.get_mut(id) else { return };
        let before = std::mem::replace(&mut flow.body.phase, phase);
        flow.body.since = now;
        self.waiting = self.waiting + u32::from(phase.burdens()) - u32::from(before.burdens());
        self.note_work(now, before, Some(phase));
        self.flows.wake_by(id, Some(now + lasts));
    }

    pub(super) fn phase_lasts(&self, phase: Phase, caller_left: bool) -> Duration {
        match phase {
            Phase::Offered { .. } => OPENING_PATIENCE,
            Phase::Answered => HANDSHAKE_PATIENCE,
            Phase::Waiting { in_system } => self.overdue_after(in_system),
            Phase::Overdue => WAITING_PATIENCE,
            Phase::Resting | Phase::Tried => self.idle_timeout(),
            Phase::Closing if caller_left => CLOSING_LASTS,
            // The caller may not have heard of the end, and is not to be told that nobody knows it.
            Phase::Closing => self.idle_timeout(),
        }
    }

    /// After how long a request that began with so many in the system is overdue.
    fn overdue_after(&self, in_system: u32) -> Duration {
        let capacity = u32::from(self.backend.capacity());
        let expected = self.work.expected(in_system, capacity);
        (expected * OVERDUE_TIMES).clamp(SOONEST_OVERDUE, LATEST_OVERDUE)
    }

    pub(super) fn idle_timeout(&self) -> Duration {
        self.standing.idle_timeout(self.settings.max_flow_age)
    }

    /// Has the meter learn when a request begins or ends its work.
    fn note_work(&mut self, now: Duration, before: Phase, after: Option<Phase>) {
        let is_at_work = |phase: Phase| matches!(phase, Phase::Waiting { .. });
        let (was, is) = (is_at_work(before), after.is_some_and(is_at_work));
        if was != is {
            self.working = self.working + u32::from(is) - u32::from(was);
            self.work.note_working(now, self.working, u32::from(self.backend.capacity()));
        }
    }

    pub(super) fn remove(&mut self, now: Duration, id: FlowId) {
        if let Some(phase) = self.flows.get(id).map(|flow| flow.body.phase) {
            self.waiting -= u32::from(phase.burdens());
            self.note_work(now, phase, None);
        }
        self.flows.remove(id);
    }

    pub(super) fn wake(&mut self, now: Duration, id: FlowId) {
        let Some(flow) = self.flows.get(id) else { return };
        let phase = flow.body.phase;
        let ends_at = flow.body.since + self.phase_lasts(phase, flow.body.caller_left);
        if now < ends_at {
            return self.flows.wake_by(id, Some(ends_at));
        }
        match phase {
            Phase::Offered { .. } => {
                log::warn!(
                    flow = flow_name(&flow.key).as_str(), balancer:% = flow.body.balancer,
                    in_a_row = self.unanswered + 1; "opening_unanswered_by_backend"
                );
                self.note_silence(now);
                self.set_phase(now, id, Phase::Resting);
            }
            Phase::Waiting { .. } => {
                let key = flow.key;
                self.note_outcome(now, &key, RequestOutcome::Overdue);
                self.set_phase(now, id, Phase::Overdue);
            }
            Phase::Overdue => {
                log::warn!(
                    flow = flow_name(&flow.key).as_str(), overdue_ms = WAITING_PATIENCE.as_millis() as u64;
                    "request_unanswered_by_backend"
                );
                self.set_phase(now, id, Phase::Resting);
            }
            Phase::Answered => self.set_phase(now, id, Phase::Resting),
            Phase::Resting | Phase::Tried | Phase::Closing => self.remove(now, id),
        }
    }

    pub(super) fn note_silence(&mut self, now: Duration) {
        self.unanswered += 1;
        if self.unanswered < SILENT_AFTER {
            return;
        }
        self.counters.backend_silences += u64::from(self.told != BackendCondition::Silent);
        self.silent_until = Some(now + SILENCE_LASTS);
        self.tell_change(now, "silent");
    }
}
