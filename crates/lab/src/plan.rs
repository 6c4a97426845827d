//! A plan: a scenario with its load, all random choices of the load already drawn.

use crate::scenario::Scenario;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A flow that a caller will open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFlow {
    /// When it is opened, in microseconds of virtual time.
    pub at_micros: u64,
    /// Index of its service in the scenario.
    pub service: usize,
    /// Number of requests on the flow.
    pub requests: u32,
    /// Whether it offers TCP timestamps.
    pub timestamps: bool,
}

impl PlannedFlow {
    /// When it is opened.
    pub fn at(&self) -> Duration {
        Duration::from_micros(self.at_micros)
    }
}

/// A scenario with the flows that callers open.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The scenario.
    pub scenario: Scenario,
    /// Seed from which the flows were drawn, and of all random choices during the run.
    pub seed: u64,
    /// The flows, in the order in which they open.
    pub flows: Vec<PlannedFlow>,
}

impl Plan {
    /// Draws the flows of a scenario from a seed.
    pub fn new(scenario: &Scenario, seed: u64) -> Plan {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut flows = Vec::new();
        for (index, service) in scenario.services.iter().enumerate() {
            let mut open = |at: f64, random: &mut ChaCha8Rng| {
                let (min, max) = service.requests;
                flows.push(PlannedFlow {
                    at_micros: (at * 1e6) as u64,
                    service: index,
                    requests: random.random_range(min..=max),
                    timestamps: random.random_bool(service.timestamps),
                });
            };
            for _ in 0..service.initial_flows {
                let at = random.random::<f64>() * service.initial_time.as_secs_f64();
                open(at, &mut random);
            }
            let end = scenario.duration.as_secs_f64();
            let mut at = next_arrival(0.0, service.flows_per_second, &mut random);
            while at < end {
                open(at, &mut random);
                at = next_arrival(at, service.flows_per_second, &mut random);
            }
        }
        flows.sort_by_key(|flow| flow.at_micros);
        Plan { scenario: scenario.clone(), seed, flows }
    }
}

/// The time of the next flow: Poisson arrivals, so the gaps are distributed exponentially.
fn next_arrival(after: f64, per_second: f64, random: &mut ChaCha8Rng) -> f64 {
    if per_second == 0.0 {
        return f64::INFINITY;
    }
    after - (1.0 - random.random::<f64>()).ln() / per_second
}
