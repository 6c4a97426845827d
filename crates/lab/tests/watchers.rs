//! A few balancers watch the shared store on behalf of all nodes. Changes reach every node within
//! the time limit although those few are killed, frozen or isolated together, and the number of
//! store requests does not grow with the number of balancers.

use loftdrift_lab::{
    CarriedFault as Fault, CarriedOutcome, CarriedWorld, CarriedWorldSettings, TimedFault,
};
use std::time::Duration;

/// Number of balancers that watch the store in these systems: the first by address.
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

/// Applies one fault to all balancers that watch the store, just before the configuration changes.
fn fault_all_watchers(fault: impl Fn(usize) -> Fault) -> CarriedOutcome {
    let mut faults: Vec<_> = (0..WATCHERS).map(|node| (5.9, fault(node))).collect();
    faults.push((6.0, Fault::MoveRoute));
    faults.push((13.0, Fault::MoveRoute));
    run_with_faults(24, &faults)
}

#[test]
fn a_change_takes_effect_in_time_although_all_watchers_are_down() {
    let outcome = fault_all_watchers(|node| Fault::KillBalancer(node, seconds(6.0)));
    assert!(outcome.keeps_invariants(), "{outcome:?}");
}

#[test]
fn a_change_takes_effect_in_time_although_all_watchers_freeze() {
    let outcome = fault_all_watchers(|node| Fault::FreezeBalancer(node, seconds(4.0)));
    assert!(outcome.keeps_invariants(), "{outcome:?}");
}

#[test]
fn a_change_takes_effect_in_time_although_all_watchers_are_isolated() {
    let outcome = fault_all_watchers(|node| Fault::IsolateBalancer(node, seconds(4.0)));
    assert!(outcome.keeps_invariants(), "{outcome:?}");
}

#[test]
fn a_change_takes_effect_in_time_although_the_store_refuses_every_balancer() {
    let outcome = run_with_faults(
        24,
        &[(4.0, Fault::RefuseBalancers(seconds(8.0))), (6.0, Fault::MoveRoute)],
    );
    assert!(outcome.keeps_invariants(), "{outcome:?}");
}

#[test]
fn store_requests_grow_with_process_starts_and_not_with_balancers() {
    let calls = |balancers: usize| {
        // Each node reads the node list and the configuration when it starts.
        let starts = 2 * (balancers + CarriedWorldSettings::default().backends) as u64;
        run_with_faults(balancers, &[]).store_reads - starts
    };
    let (few, many) = (calls(12), calls(48));
    assert!(many <= few + few / 4, "{few} calls of 12 balancers, {many} of 48");
}
