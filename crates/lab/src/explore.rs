//! Runs scenarios with random timelines of changes and faults, and shrinks a failing one to a small
//! scenario.

use crate::plan::Plan;
use crate::run::run;
use crate::scenario::{Action, Scenario, ScenarioEvent, ScenarioService};
use anyhow::Result;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const MAX_EVENTS: usize = 10;
const MAX_FREEZE_SECONDS: f64 = 4.0;

/// A timeline that violated an invariant.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The scenario including the events of the timeline.
    pub scenario: Scenario,
    /// Seed of the run and of the timeline.
    pub seed: u64,
    /// Each violated invariant, with its count.
    pub violations: Vec<String>,
}

/// Runs `base` with the random timeline of a seed; `None` when every invariant held.
pub fn explore(base: &Scenario, seed: u64) -> Result<Option<Failure>> {
    run_and_check(&random_timeline(base, seed), seed)
}

/// Runs a scenario; returns a failure if it violates an invariant.
///
/// Returns an error when the timeline cannot be executed, for example because an event names a back
/// end that does not exist.
fn run_and_check(scenario: &Scenario, seed: u64) -> Result<Option<Failure>> {
    let violations = run(&Plan::new(scenario, seed))?.report.violated_invariants();
    let failed = !violations.is_empty();
    Ok(failed.then(|| Failure { scenario: scenario.clone(), seed, violations }))
}

/// Removes events and reduces the load as long as the scenario still fails.
pub fn shrink(failing: Failure) -> Failure {
    let mut smallest = failing;
    let mut index = 0;
    while index < smallest.scenario.events.len() {
        let mut candidate = smallest.scenario.clone();
        candidate.events.remove(index);
        if !is_survivable(&candidate) {
            index += 1;
            continue;
        }
        match run_and_check(&candidate, smallest.seed) {
            Ok(Some(failure)) => smallest = failure,
            Ok(None) | Err(_) => index += 1,
        }
    }
    for service in 0..smallest.scenario.services.len() {
        smallest = shrink_load(smallest, service);
    }
    smallest
}

/// Whether a balancer and, in each service, a back end that accepts new flows remain at all times.
fn is_survivable(scenario: &Scenario) -> bool {
    let mut remaining = RemainingNodes::new(scenario);
    scenario.events.iter().all(|event| {
        match &event.action {
            Action::StopBalancer | Action::KillBalancer => {
                remaining.balancers = remaining.balancers.saturating_sub(1);
            }
            Action::StartBalancer => remaining.balancers += 1,
            Action::AddBackend(service) => remaining.add(scenario, service),
            Action::KillAgent(name) | Action::KillBackend(name) => remaining.remove(name),
            Action::Command(command) => {
                // The commands of a random timeline are all `drain backend NAME`.
                remaining.remove(command.rsplit(' ').next().unwrap_or_default());
            }
            Action::FreezeAgent(..) => {}
        }
        remaining.balancers > 0 && remaining.active.iter().all(|names| !names.is_empty())
    })
}

/// Halves the load of a service as long as the scenario still fails.
fn shrink_load(mut smallest: Failure, service: usize) -> Failure {
    loop {
        let mut candidate = smallest.scenario.clone();
        let load = &mut candidate.services[service];
        load.initial_flows /= 2;
        load.flows_per_second /= 2.0;
        let is_empty = load.initial_flows == 0 && load.flows_per_second < 0.1;
        match run_and_check(&candidate, smallest.seed) {
            Ok(Some(failure)) if !is_empty => smallest = failure,
            _ => return smallest,
        }
    }
}

/// Balancers and back ends that remain after the events of a timeline so far.
struct RemainingNodes {
    balancers: u32,
    /// Per service, the names of back ends that accept new flows.
    active: Vec<Vec<String>>,
    /// Per service, how many back ends were ever added; gives the number of the next one.
    backend_counts: Vec<u32>,
}

/// Adds a random timeline that a deployment must survive to a scenario: a balancer and, in each
/// service, a back end that accepts new flows always remain.
fn random_timeline(base: &Scenario, seed: u64) -> Scenario {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xE8B1);
    let mut scenario = base.clone();
    let mut remaining = RemainingNodes::new(base);
    let mut times: Vec<f64> = (0..random.random_range(1..=MAX_EVENTS))
        .map(|_| random.random_range(0.5..base.duration.as_secs_f64()))
        .collect();
    times.sort_unstable_by(f64::total_cmp);
    for at in times {
        let action = remaining.random_action(base, &mut random);
        scenario.events.push(ScenarioEvent { at: Duration::from_secs_f64(at), action });
    }
    scenario
}

impl RemainingNodes {
    fn new(base: &Scenario) -> Self {
        let names = |service: &ScenarioService| {
            (1..=service.backends).map(|number| format!("{}-{number}", service.name)).collect()
        };
        RemainingNodes {
            balancers: base.balancers,
            active: base.services.iter().map(names).collect(),
            backend_counts: base.services.iter().map(|service| service.backends).collect(),
        }
    }

    fn add(&mut self, base: &Scenario, service: &str) {
        let index = base.services.iter().position(|one| one.name == service);
        let Some(index) = index else { return };
        self.backend_counts[index] += 1;
        self.active[index].push(format!("{service}-{}", self.backend_counts[index]));
    }

    fn remove(&mut self, name: &str) {
        self.active.iter_mut().for_each(|names| names.retain(|known| known != name));
    }

    /// Draws an action and applies it to the remaining nodes.
    fn random_action(&mut self, base: &Scenario, random: &mut ChaCha8Rng) -> Action {
        let service = random.random_range(0..base.services.len());
        match random.random_range(0..8) {
            0 if self.balancers > 1 => {
                self.balancers -= 1;
                Action::StopBalancer
            }
            1 if self.balancers > 1 => {
                self.balancers -= 1;
                Action::KillBalancer
            }
            2 if self.active[service].len() > 1 => {
                let name = self.take(service, random);
                Action::Command(format!("drain backend {name}"))
            }
            3 if self.active[service].len() > 2 => Action::KillAgent(self.take(service, random)),
            4 if self.active[service].len() > 2 => Action::KillBackend(self.take(service, random)),
            5 => {
                let name = self.active[service].choose(random).cloned().unwrap_or_default();
                let time = random.random_range(0.1..MAX_FREEZE_SECONDS);
                Action::FreezeAgent(name, Duration::from_secs_f64(time))
            }
            6 => {
                let name = base.services[service].name.clone();
                self.add(base, &name);
                Action::AddBackend(name)
            }
            _ => {
                self.balancers += 1;
                Action::StartBalancer
            }
        }
    }

    /// Removes a random back end of a service and returns its name.
    fn take(&mut self, service: usize, random: &mut ChaCha8Rng) -> String {
        let index = random.random_range(0..self.active[service].len());
        self.active[service].remove(index)
    }
}
