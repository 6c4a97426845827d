//! Days drawn from a seed: few faults each, of every kind, at any moment.

use super::fault::{CarriedFault, FailureMode, StoreRestore, TimedFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const MOST_FAULTS: usize = 6;
const FIRST_FAULT_MS: u64 = 1_000;
const LAST_FAULT_MS: u64 = 14_000;
const SHORTEST_MS: u64 = 100;
const LONGEST_MS: u64 = 4_000;
const MOST_EVACUATIONS: u32 = 3;
const LONGEST_EVACUATION_MS: u64 = 10_000;
const ZONES: usize = 3;
const MOST_RETURNS: u32 = 3;
const OLDEST_COPY_MS: u64 = 6_000;
const LONGEST_ABSENCE_MS: u64 = 3_000;
const LATEST_OPERATOR_MS: u64 = 5_000;
const MOST_HANGS: u32 = 3;
/// What a wait and its time-out take at the longest.
const LONGEST_HANG_MS: u64 = 11_500;
const MOST_LOSS: f64 = 0.1;

/// The faults of a day.
pub fn random_faults(seed: u64, balancers: usize, agents: usize) -> Vec<TimedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = random.random_range(1..=MOST_FAULTS);
    let mut day: Vec<TimedFault> = (0..count)
        .map(|_| {
            let at = Duration::from_millis(random.random_range(FIRST_FAULT_MS..LAST_FAULT_MS));
            TimedFault { at, fault: random_fault(&mut random, balancers, agents) }
        })
        .collect();
    day.sort_by_key(|timed| timed.at);
    day
}

/// The same day with zones evacuated and taken back, up to three times.
pub fn random_faults_with_evacuations(
    seed: u64,
    balancers: usize,
    agents: usize,
) -> Vec<TimedFault> {
    let mut day = random_faults(seed, balancers, agents);
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    for _ in 0..random.random_range(1..=MOST_EVACUATIONS) {
        let zone = random.random_range(0..ZONES);
        let at = Duration::from_millis(random.random_range(FIRST_FAULT_MS..LAST_FAULT_MS));
        let lasts = Duration::from_millis(random.random_range(SHORTEST_MS..LONGEST_EVACUATION_MS));
        day.push(TimedFault { at, fault: CarriedFault::Evacuate(zone) });
        day.push(TimedFault { at: at + lasts, fault: CarriedFault::EndEvacuation(zone) });
    }
    day.sort_by_key(|timed| timed.at);
    day
}

/// The same day, with the store coming back from older copies up to three times, and a change before and
/// after each.
pub fn random_faults_with_restores(seed: u64, balancers: usize, agents: usize) -> Vec<TimedFault> {
    let mut day = random_faults(seed, balancers, agents);
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    for _ in 0..random.random_range(1..=MOST_RETURNS) {
        let at = random.random_range(FIRST_FAULT_MS..LAST_FAULT_MS);
        let mut milliseconds =
            |least, most| Duration::from_millis(random.random_range(least..most));
        let back = StoreRestore {
            copy_age: milliseconds(SHORTEST_MS, OLDEST_COPY_MS),
            away: milliseconds(1, LONGEST_ABSENCE_MS),
            operator_after: milliseconds(0, LATEST_OPERATOR_MS),
        };
        let at = Duration::from_millis(at);
        let before = at.saturating_sub(milliseconds(0, OLDEST_COPY_MS));
        let after = at + back.away + milliseconds(0, LONGEST_MS);
        day.push(TimedFault { at: before, fault: CarriedFault::MoveRoute });
        day.push(TimedFault { at, fault: CarriedFault::StoreRestored(back) });
        day.push(TimedFault { at: after, fault: CarriedFault::MoveRoute });
    }
    day.sort_by_key(|timed| timed.at);
    day
}

/// The same day, with waits at the store that hang up to three times, and a change within the trouble.
pub fn random_faults_with_hanging_watches(
    seed: u64,
    balancers: usize,
    agents: usize,
) -> Vec<TimedFault> {
    let mut day = random_faults(seed, balancers, agents);
    let mut random = ChaCha8Rng::seed_from_u64(!seed.rotate_left(32));
    for _ in 0..random.random_range(1..=MOST_HANGS) {
        let mut milliseconds =
            |least, most| Duration::from_millis(random.random_range(least..most));
        let at = milliseconds(FIRST_FAULT_MS, LAST_FAULT_MS);
        let lasts = milliseconds(LONGEST_MS, LONGEST_HANG_MS);
        let changed_at = at + milliseconds(0, LONGEST_MS);
        day.push(TimedFault { at, fault: CarriedFault::HangWaits(lasts) });
        day.push(TimedFault { at: changed_at, fault: CarriedFault::MoveRoute });
    }
    day.sort_by_key(|timed| timed.at);
    day
}

fn random_fault(random: &mut ChaCha8Rng, balancers: usize, agents: usize) -> CarriedFault {
    let balancer = random.random_range(0..balancers);
    let agent = random.random_range(0..agents);
    let lasts = Duration::from_millis(random.random_range(SHORTEST_MS..LONGEST_MS));
    match random.random_range(0..16) {
        0 => CarriedFault::KillBalancer(balancer, lasts),
        1 => CarriedFault::KillAgent(agent, lasts),
        2 => CarriedFault::KillAll(lasts / 4),
        3 => CarriedFault::FreezeBalancer(balancer, lasts),
        4 => CarriedFault::FreezeAgent(agent, lasts),
        5 => CarriedFault::StopBalancer(balancer),
        6 => CarriedFault::CutBalancer(balancer, lasts),
        7 => CarriedFault::CutAgent(agent, lasts),
        8 => CarriedFault::Loss(random.random_range(0.0..MOST_LOSS), lasts),
        9 => CarriedFault::StoreDown(lasts),
        10 => CarriedFault::MoveRoute,
        11 => CarriedFault::ReplaceBackend(agent),
        12 => CarriedFault::RefuseBalancers(lasts),
        14 => CarriedFault::PowerOff(lasts / 4),
        13 => {
            let modes = [FailureMode::Fail, FailureMode::Refuse, FailureMode::Hang];
            CarriedFault::FailBackend(agent, modes[random.random_range(0..modes.len())], lasts)
        }
        _ => CarriedFault::CrashBackend(agent, lasts),
    }
}
