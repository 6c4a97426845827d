//! Health checks of back ends by their agents.

use super::*;

/// Time from the need of a health check to its answer.
const ANSWER_DELAY: Duration = Duration::from_millis(1);
/// Time until a check without a favourable answer is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of requests for one check.
const MAX_ATTEMPTS: u32 = 5;

/// A request of the health page by one process of an agent.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthCheck {
    agent: usize,
    incarnation: u64,
    attempt: u32,
}

impl CarriedWorld {
    /// Requests the health page if the agent needs a check that has not begun.
    pub(super) fn check_health_if_needed(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        if !process.needs_health_check() || process.has_checked_health {
            return;
        }
        process.has_checked_health = true;
        let agent = node - self.settings.balancers;
        let incarnation = self.nodes[node].incarnation;
        let check = HealthCheck { agent, incarnation, attempt: 1 };
        self.events.push(self.now + ANSWER_DELAY, Event::HealthChecked(check));
    }

    /// The health page answers, if the back end runs, whether it takes flows.
    pub(super) fn finish_health_check(&mut self, check: HealthCheck) {
        let node = self.settings.balancers + check.agent;
        let process = &self.nodes[node];
        let is_current = process.incarnation == check.incarnation && process.needs_health_check();
        if !is_current {
            return;
        }
        if let Some(frozen_until) = self.frozen_until(node) {
            return self.events.push(frozen_until, Event::HealthChecked(check));
        }
        let backend = &self.backends[check.agent];
        let is_lying = self.now < self.health_pages_lie_until[check.agent];
        if !backend.is_alive || backend.is_leaving != is_lying {
            if check.attempt < MAX_ATTEMPTS {
                let again = HealthCheck { attempt: check.attempt + 1, ..check };
                self.events.push(self.now + RETRY_DELAY, Event::HealthChecked(again));
            }
            return;
        }
        let uptime = self.nodes[node].uptime(self.now);
        if let Some(core) = self.nodes[node].agent() {
            core.take_healthy(uptime);
        }
        self.process_outputs(node);
    }
}
