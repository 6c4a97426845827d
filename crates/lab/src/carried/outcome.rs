//! What callers and back ends observed in a simulated run.

use std::time::Duration;

/// Counters of one run. The first eight describe the run; each of the others counts violations of
/// an invariant and must stay 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CarriedOutcome {
    /// Requests that callers started.
    pub requests: u64,
    /// Requests that were answered.
    pub served: u64,
    /// Requests given up after the last attempt was refused.
    pub refused: u64,
    /// Requests that the back end failed or refused.
    pub failed: u64,
    /// Requests without an answer at their deadline, or whose flow was reset and not retried.
    pub lost: u64,
    /// Reads of the node list or the configuration from the shared store.
    pub store_reads: u64,
    /// Agents that balancers suspected to have failed, counted in each balancer's last process.
    pub suspicions: u64,
    /// Longest time after a change at which a running, reachable node did not have it yet.
    pub max_propagation: Duration,
    /// Open flows that were reset while their back end was alive.
    pub broken_flows: u64,
    /// Answers that reached the caller of another request.
    pub mismatched_answers: u64,
    /// Attempts that back ends processed more than once.
    pub duplicate_runs: u64,
    /// Flows accepted by a service to which no configuration ever routed their address.
    pub wrong_service_runs: u64,
    /// Flows accepted by a back end after the time limit that starts when its agent receives the
    /// leaving report.
    pub late_drains: u64,
    /// Flows accepted by a back end after the time limit that starts when its zone is evacuated.
    pub late_evacuations: u64,
    /// Flows accepted under a configuration that was replaced longer ago than the time limit.
    pub stale_configurations: u64,
    /// Packets that reached a back end with bytes that no caller sent.
    pub changed_packets: u64,
}

impl CarriedOutcome {
    /// Whether no invariant was violated.
    pub fn keeps_invariants(&self) -> bool {
        let CarriedOutcome {
            requests,
            served,
            refused,
            failed,
            lost,
            store_reads,
            suspicions,
            max_propagation,
            ..
        } = *self;
        let kept = CarriedOutcome { requests, served, refused, failed, lost, ..Default::default() };
        *self == CarriedOutcome { store_reads, suspicions, max_propagation, ..kept }
    }
}
