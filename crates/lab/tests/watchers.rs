//! A few balancers wait at the shared store for all: changes reach everybody within the bound though
//! those few are killed, frozen or cut off together, and calls do not grow with balancers.

use loftdrift_lab::{
    CarriedFault as Fault, CarriedOutcome, CarriedWorld, CarriedWorldSettings, TimedFault,
};
use std::time::Duration;

/// Balancers that wait at the store in these systems: the first by address.
const WATCHERS: usize = 6;

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

fn run_with_faults(balancers: usize, faults: &[(f64, Fault)]) -> CarriedOutcome {
    let settings = CarriedWorldSettings {
        balancers,
        requests_per_second: 150,
        ..CarriedWorldSettings::default()
    };
    let faults: Vec<_> =
        faults.iter().map(|(at, fault)| TimedFault { at: seconds(*at), fault: *fault }).collect();
    CarriedWorld::new(settings, &faults).run()
}

/// The same trouble for all that wait, a moment before the configuration changes.
fn fault_all_watchers(fault: impl Fn(usize) -> Fault) -> CarriedOutcome {
    let mut faults: Vec<_> = (0..WATCHERS).map(|node| (5.9, fault(node))).collect();
    faults.push((6.0, Fault::MoveRoute));
    faults.push((13.0, Fault::MoveRoute));
    run_with_faults(24, &faults)
}

#[test]
fn a_change_is_in_force_in_time_though_all_who_wait_are_killed_for_long() {
    let outcome = fault_all_watchers(|node| Fault::KillBalancer(node, seconds(6.0)));
    assert!(outcome.keeps_invariants(), "{outcome:?}");
}

#[test]
fn a_change_is_in_force_in_time_though_all_who_wait_freeze() {
    let outcome = fault_all_watchers(|node| Fault::FreezeBalancer(node, seconds(4.0)));
    assert!(outcome.keeps_invariants(), "{outcome:?}");
}

#[test]
fn a_change_is_in_force_in_time_though_all_who_wait_are_cut_off() {
    let outcome = fault_all_watchers(|node| Fault::IsolateBalancer(node, seconds(4.0)));
    assert!(outcome.keeps_invariants(), "{outcome:?}");
}

#[test]
fn a_change_is_in_force_in_time_though_the_store_refuses_every_balancer() {
    let outcome = run_with_faults(
        24,
        &[(4.0, Fault::RefuseBalancers(seconds(8.0))), (6.0, Fault::MoveRoute)],
    );
    assert!(outcome.keeps_invariants(), "{outcome:?}");
}

#[test]
fn calls_to_the_store_grow_with_starts_and_not_with_balancers() {
    let calls = |balancers: usize| {
        // Each node reads the list and the configuration at its start.
        let starts = 2 * (balancers + CarriedWorldSettings::default().backends) as u64;
        run_with_faults(balancers, &[]).store_calls - starts
    };
    let (few, many) = (calls(12), calls(48));
    assert!(many <= few + few / 4, "{few} calls of 12 balancers, {many} of 48");
}
