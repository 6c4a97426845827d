//! Whether the back end takes new flows, and how the agent reports that to balancers.

use super::*;
use crate::flow_knowledge::FlowKnowledge;

impl<F: SegmentFormat> CarriedAgent<F> {
    /// If the condition differs from the one that balancers were notified of last, logs the change
    /// and brings forward the next heartbeats, which carry the new one.
    pub(super) fn announce_condition_change(&mut self, now: Duration, cause: &str) {
        let after = self.condition(now);
        let before = std::mem::replace(&mut self.announced_condition, after);
        if before != after {
            if after == BackendCondition::Ended {
                self.departure_notice_until = Some(now + DEPARTURE_NOTICE_DURATION);
                self.announced_end_at = Some(now);
            } else {
                self.withdraw_announced_end(now);
            }
            let (from, to) = (format!("{before:?}"), format!("{after:?}"));
            log::info!(backend = cause, from = from.as_str(), to = to.as_str(), waiting = self.in_flight; "backend_changed");
            self.cluster.membership.spread_news(now);
        }
    }

    /// Has the entry of this node written again if the end of its back end was announced long
    /// enough ago for auditors to have removed it.
    fn withdraw_announced_end(&mut self, now: Duration) {
        let announced_at = self.announced_end_at.take();
        if announced_at.is_some_and(|at| now.saturating_sub(at) >= DEPARTED_TIMEOUT) {
            self.outputs.push_back(Output::WriteEntry);
        }
    }

    /// When the condition may change without any input: the back end no longer counts as silent, the
    /// open circuit breaker lets a trial request through, or the health page is no longer relied on.
    pub(super) fn next_condition_change(&self) -> Option<Duration> {
        let presumed_until = self.backend.presumed_until();
        [self.silent_until, self.breaker.open_until(), presumed_until].into_iter().flatten().min()
    }

    pub(super) fn condition(&self, now: Duration) -> BackendCondition {
        if self.probe.has_ended {
            return BackendCondition::Ended;
        }
        if self.stopping {
            return BackendCondition::Leaving;
        }
        match self.backend.condition() {
            BackendCondition::Accepting if self.is_evacuated() => BackendCondition::Evacuated,
            BackendCondition::Accepting if self.silent_until.is_some_and(|until| now < until) => {
                BackendCondition::Silent
            }
            BackendCondition::Accepting if self.breaker.state(now) == BreakerState::Open => {
                BackendCondition::Failing
            }
            condition => condition,
        }
    }

    /// Whether the zone of this agent is evacuated, as far as this agent knows.
    pub(super) fn is_evacuated(&self) -> bool {
        self.cluster.is_evacuated(&self.settings.node.zone)
    }

    pub(super) fn is_cold(&self, now: Duration) -> bool {
        self.may_be_cold || self.backend.is_cold(now)
    }

    /// How many new flows the back end may still be given now; `None` when it is warm or no limit
    /// for cold back ends is configured.
    pub(super) fn cold_allowance(&self, now: Duration) -> Option<usize> {
        let service = self.cluster.configuration.service(self.backend.service())?;
        let may_be_cold = self.is_cold(now) || !self.backend.has_reported();
        if service.cold_flows_milli == 0 || !may_be_cold {
            return None;
        }
        let configured = f64::from(service.cold_flows_milli) / 1e3;
        // At least one: a back end that is given no flows never warms up.
        let limit = (configured * self.settings.cold_overshoot).max(1.0) as usize;
        Some(self.cold_rate_limit.remaining(now, limit))
    }

    /// How completely this agent knows the flows of its back end.
    fn flow_knowledge(&self, now: Duration) -> FlowKnowledge {
        match self.may_miss_flows && now < self.settings.max_flow_age {
            false => FlowKnowledge::Complete,
            true => FlowKnowledge::Partial,
        }
    }

    pub(super) fn report(&self, now: Duration) -> LoadReport {
        let is_young = now < self.settings.max_flow_age;
        let backend_started_at = self.backend_started_at.filter(|_| is_young);
        LoadReport {
            service: self.backend.service().to_owned(),
            condition: self.condition(now),
            capacity: self.backend.capacity(),
            waiting: self.in_flight.min(u32::from(u16::MAX)) as u16,
            queued: self.wait_queue.len().min(usize::from(u16::MAX)) as u16,
            service_time_us: self.work_meter.mean_us(),
            measured_ms_ago: self.work_meter.measured_ms_ago(now),
            is_cold: self.is_cold(now),
            cold_allowance: self
                .cold_allowance(now)
                .map(|allowance| allowance.min(usize::from(u16::MAX)) as u16),
            backend_age_ms: backend_started_at.map(|at| message_ms(now.saturating_sub(at))),
            flow_knowledge: self.flow_knowledge(now),
            uptime_ms: is_young.then(|| message_ms(now)),
        }
    }
}

/// A duration in milliseconds, as messages carry it; capped at `u32::MAX`.
pub(super) fn message_ms(now: Duration) -> u32 {
    u32::try_from(now.as_millis()).unwrap_or(u32::MAX)
}
