//! What callers and back ends of a simulated day saw.

use std::time::Duration;

/// Counts of one day. All but the first eight must stay 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CarriedOutcome {
    /// Requests asked.
    pub requests: u64,
    /// Requests answered whole.
    pub served: u64,
    /// Requests given up after their last try was refused.
    pub refused: u64,
    /// Requests that their back end failed.
    pub failed: u64,
    /// Requests without an answer at their deadline.
    pub lost: u64,
    /// Times that nodes asked the shared store for the list or the configuration.
    pub store_calls: u64,
    /// Agents that balancers held for dead, in the last process of each balancer.
    pub suspicions: u64,
    /// Longest time after a change at which a node that ran, and was not cut off, had not got it.
    pub max_propagation: Duration,
    /// Open flows that were reset though their back end lived.
    pub broken_flows: u64,
    /// Answers of another request.
    pub mismatched_answers: u64,
    /// Tries that ran more than once.
    pub duplicate_runs: u64,
    /// Tries that ran at a service that no configuration ever sent them to.
    pub wrong_service_runs: u64,
    /// Flows taken by a back end long after it was acknowledged that it leaves.
    pub late_drains: u64,
    /// Flows taken by a back end long after its zone was evacuated.
    pub late_evacuations: u64,
    /// Flows opened under a configuration that another one had replaced long before.
    pub stale_configurations: u64,
    /// Packets that reached a back end in a form that its caller did not write.
    pub changed_packets: u64,
}

impl CarriedOutcome {
    /// Whether every rule was kept.
    pub fn keeps_invariants(&self) -> bool {
        let CarriedOutcome {
            requests,
            served,
            refused,
            failed,
            lost,
            store_calls,
            suspicions,
            max_propagation,
            ..
        } = *self;
        let kept = CarriedOutcome { requests, served, refused, failed, lost, ..Default::default() };
        *self == CarriedOutcome { store_calls, suspicions, max_propagation, ..kept }
    }
}
