//! Random fault schedules drawn from a seed: up to six faults of any kind at any time.

use super::fault::{CarriedFault, FailureMode, StoreRestore, TimedFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const MAX_FAULTS: usize = 6;
const FIRST_FAULT_MS: u64 = 1_000;
const LAST_FAULT_MS: u64 = 14_000;
const MIN_FAULT_MS: u64 = 100;
const MAX_FAULT_MS: u64 = 4_000;
const MAX_EVACUATIONS: u32 = 3;
const MAX_EVACUATION_MS: u64 = 10_000;
const ZONES: usize = 3;
const MAX_RESTORES: u32 = 3;
const MAX_BACKUP_AGE_MS: u64 = 6_000;
const MAX_OUTAGE_MS: u64 = 3_000;
const MAX_REWRITE_DELAY_MS: u64 = 5_000;
const MAX_HANGS: u32 = 3;
/// The maximum duration of a watch, 10 s, plus the 1.5 s after which a client gives it up.
const MAX_HANG_MS: u64 = 11_500;
const MAX_LATE_REPORTS: u32 = 4;
/// Heartbeats arrive less than 5 s late.
const MAX_HEARTBEAT_DELAY_MS: u64 = 4_900;
const MAX_LOSS_PROBABILITY: f64 = 0.1;

/// Draws the faults of one run, sorted by time.
pub fn random_faults(seed: u64, balancers: usize, agents: usize) -> Vec<TimedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = random.random_range(1..=MAX_FAULTS);
    let mut faults: Vec<TimedFault> = (0..count)
        .map(|_| {
            let at = Duration::from_millis(random.random_range(FIRST_FAULT_MS..LAST_FAULT_MS));
            TimedFault { at, fault: random_fault(&mut random, balancers, agents) }
        })
        .collect();
    faults.sort_by_key(|timed| timed.at);
    faults
}

/// The faults of [`random_faults`], with up to three zone evacuations that also end.
pub fn random_faults_with_evacuations(
    seed: u64,
    balancers: usize,
    agents: usize,
) -> Vec<TimedFault> {
    let mut faults = random_faults(seed, balancers, agents);
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    for _ in 0..random.random_range(1..=MAX_EVACUATIONS) {
        let zone = random.random_range(0..ZONES);
        let at = Duration::from_millis(random.random_range(FIRST_FAULT_MS..LAST_FAULT_MS));
        let duration = Duration::from_millis(random.random_range(MIN_FAULT_MS..MAX_EVACUATION_MS));
        faults.push(TimedFault { at, fault: CarriedFault::Evacuate(zone) });
        faults.push(TimedFault { at: at + duration, fault: CarriedFault::EndEvacuation(zone) });
    }
    faults.sort_by_key(|timed| timed.at);
    faults
}

/// The faults of [`random_faults`], with up to three restores of the store from older backups and
/// a route change before and after each.
pub fn random_faults_with_restores(seed: u64, balancers: usize, agents: usize) -> Vec<TimedFault> {
    let mut faults = random_faults(seed, balancers, agents);
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    for _ in 0..random.random_range(1..=MAX_RESTORES) {
        let at = random.random_range(FIRST_FAULT_MS..LAST_FAULT_MS);
        let mut milliseconds = |min, max| Duration::from_millis(random.random_range(min..max));
        let restore = StoreRestore {
            backup_age: milliseconds(MIN_FAULT_MS, MAX_BACKUP_AGE_MS),
            outage: milliseconds(1, MAX_OUTAGE_MS),
            rewrite_delay: milliseconds(0, MAX_REWRITE_DELAY_MS),
        };
        let at = Duration::from_millis(at);
        let before = at.saturating_sub(milliseconds(0, MAX_BACKUP_AGE_MS));
        let after = at + restore.outage + milliseconds(0, MAX_FAULT_MS);
        faults.push(TimedFault { at: before, fault: CarriedFault::MoveRoute });
        faults.push(TimedFault { at, fault: CarriedFault::StoreRestored(restore) });
        faults.push(TimedFault { at: after, fault: CarriedFault::MoveRoute });
    }
    faults.sort_by_key(|timed| timed.at);
    faults
}

/// The faults of [`random_faults`], with up to three periods of hanging watches on the store, and a
/// route change during each.
pub fn random_faults_with_hanging_watches(
    seed: u64,
    balancers: usize,
    agents: usize,
) -> Vec<TimedFault> {
    let mut faults = random_faults(seed, balancers, agents);
    let mut random = ChaCha8Rng::seed_from_u64(!seed.rotate_left(32));
    for _ in 0..random.random_range(1..=MAX_HANGS) {
        let mut milliseconds = |min, max| Duration::from_millis(random.random_range(min..max));
        let at = milliseconds(FIRST_FAULT_MS, LAST_FAULT_MS);
        let duration = milliseconds(MAX_FAULT_MS, MAX_HANG_MS);
        let changed_at = at + milliseconds(0, MAX_FAULT_MS);
        faults.push(TimedFault { at, fault: CarriedFault::HangWatches(duration) });
        faults.push(TimedFault { at: changed_at, fault: CarriedFault::MoveRoute });
    }
    faults.sort_by_key(|timed| timed.at);
    faults
}

/// The faults of [`random_faults`], with up to four periods of late heartbeats. In each, the back
/// end leaves or crashes, and its agent is killed or stopped, or all processes are killed.
pub fn random_faults_with_late_reports(
    seed: u64,
    balancers: usize,
    agents: usize,
) -> Vec<TimedFault> {
    let mut faults = random_faults(seed, balancers, agents);
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    for _ in 0..random.random_range(1..=MAX_LATE_REPORTS) {
        let agent = random.random_range(0..agents);
        let mut milliseconds = |min, max| Duration::from_millis(random.random_range(min..max));
        let at = milliseconds(FIRST_FAULT_MS, LAST_FAULT_MS);
        let duration = milliseconds(MIN_FAULT_MS, MAX_FAULT_MS);
        let delay = milliseconds(MIN_FAULT_MS, MAX_HEARTBEAT_DELAY_MS);
        let leaves_at = at + milliseconds(1, MAX_FAULT_MS);
        let restarts_at = leaves_at + milliseconds(1, MAX_FAULT_MS);
        let down = milliseconds(MIN_FAULT_MS, MAX_FAULT_MS / 4);
        let leave = match random.random_range(0..4) {
            0 => CarriedFault::CrashBackend(agent, down),
            1 => CarriedFault::ReplaceBackend(agent),
            _ => CarriedFault::DepartBackend(agent),
        };
        let restart = match random.random_range(0..4) {
            0 => CarriedFault::StopAgent(agent),
            1 => CarriedFault::KillAll(down),
            _ => CarriedFault::KillAgent(agent, down),
        };
        let late = CarriedFault::DelayHeartbeats(agent, duration, delay);
        faults.push(TimedFault { at, fault: late });
        faults.push(TimedFault { at: leaves_at, fault: leave });
        faults.push(TimedFault { at: restarts_at, fault: restart });
    }
    faults.sort_by_key(|timed| timed.at);
    faults
}

/// The faults of [`random_faults_with_late_reports`], beside health pages that say the opposite of
/// the truth. The store answers every node: what an agent acknowledges without it may be lost.
pub fn random_faults_with_lying_health_pages(
    seed: u64,
    balancers: usize,
    agents: usize,
) -> Vec<TimedFault> {
    let mut faults = random_faults_with_late_reports(seed, balancers, agents);
    faults.retain(|timed| {
        !matches!(timed.fault, CarriedFault::StoreDown(_) | CarriedFault::IsolateAgent(..))
    });
    let mut random = ChaCha8Rng::seed_from_u64(!seed.rotate_left(16));
    for agent in 0..agents {
        let mut milliseconds = |min, max| Duration::from_millis(random.random_range(min..max));
        let at = milliseconds(FIRST_FAULT_MS, LAST_FAULT_MS);
        let duration = milliseconds(MAX_FAULT_MS, 2 * MAX_FAULT_MS);
        faults.push(TimedFault { at, fault: CarriedFault::LyingHealthPage(agent, duration) });
    }
    faults.sort_by_key(|timed| timed.at);
    faults
}

fn random_fault(random: &mut ChaCha8Rng, balancers: usize, agents: usize) -> CarriedFault {
    let balancer = random.random_range(0..balancers);
    let agent = random.random_range(0..agents);
    let duration = Duration::from_millis(random.random_range(MIN_FAULT_MS..MAX_FAULT_MS));
    match random.random_range(0..16) {
        0 => CarriedFault::KillBalancer(balancer, duration),
        1 => CarriedFault::KillAgent(agent, duration),
        2 => CarriedFault::KillAll(duration / 4),
        3 => CarriedFault::FreezeBalancer(balancer, duration),
        4 => CarriedFault::FreezeAgent(agent, duration),
        5 => CarriedFault::StopBalancer(balancer),
        6 => CarriedFault::IsolateBalancer(balancer, duration),
        7 => CarriedFault::IsolateAgent(agent, duration),
        8 => CarriedFault::Loss(random.random_range(0.0..MAX_LOSS_PROBABILITY), duration),
        9 => CarriedFault::StoreDown(duration),
        10 => CarriedFault::MoveRoute,
        11 => CarriedFault::ReplaceBackend(agent),
        12 => CarriedFault::RefuseBalancers(duration),
        14 => CarriedFault::PowerOff(duration / 4),
        13 => {
            let modes = [FailureMode::Fail, FailureMode::Refuse, FailureMode::Hang];
            CarriedFault::FailBackend(agent, modes[random.random_range(0..modes.len())], duration)
        }
        _ => CarriedFault::CrashBackend(agent, duration),
    }
}
