//! A configuration change reaches every node of a system in time.

use loftdrift_lab::{
    CarriedFault as Fault, CarriedOutcome, CarriedWorld, CarriedWorldSettings, StoreRestore,
    TimedFault,
};
use std::time::Duration;

/// Time of the change: all nodes have started, and it falls between two regular heartbeats.
const CHANGE_AT: Duration = Duration::from_secs(6);
/// Every node must have a change within this time, a third of the shortest time limit that users
/// set (3 s). The rest is a reserve for full links, nodes that are refused, and lost messages.
const MAX_PROPAGATION: Duration = Duration::from_secs(1);

fn run_change(balancers: usize, backends: usize, seed: u64) -> CarriedOutcome {
    run_after_faults(&[], balancers, backends, seed)
}

/// Applies these faults, then the change.
fn run_after_faults(
    faults: &[TimedFault],
    balancers: usize,
    backends: usize,
    seed: u64,
) -> CarriedOutcome {
    let settings = CarriedWorldSettings {
        balancers,
        backends,
        requests_per_second: 100,
        duration: CHANGE_AT + Duration::from_secs(6),
        seed,
        ..CarriedWorldSettings::default()
    };
    let change = TimedFault { at: CHANGE_AT, fault: Fault::MoveRoute };
    CarriedWorld::new(settings, &[faults, &[change]].concat()).run()
}

/// Nodes that start at the same time must not keep sending heartbeats at the same time. Otherwise,
/// in a system of 986 nodes, all are silent for half a minute and learn of a change only by chance.
#[test]
fn a_change_reaches_every_node_within_a_second_at_any_size() {
    for (balancers, backends) in [(10, 20), (100, 200)] {
        let outcome = run_change(balancers, backends, 1);
        assert!(outcome.keeps_invariants(), "{balancers} balancers: {outcome:?}");
        let delay = outcome.max_propagation;
        assert!(delay <= MAX_PROPAGATION, "{balancers} balancers, {backends} agents: {delay:?}");
    }
}

/// The store is restored from a backup without the change at 4 s, whose revisions are used again
/// before the last change is made.
#[test]
fn a_change_after_a_store_restore_reaches_every_node_within_a_second_at_any_size() {
    let at = |seconds: f64, fault| TimedFault { at: Duration::from_secs_f64(seconds), fault };
    let restore = StoreRestore {
        backup_age: Duration::from_millis(1_500),
        outage: Duration::from_millis(100),
        rewrite_delay: Duration::from_millis(100),
    };
    let faults = [
        at(3.0, Fault::MoveRoute),
        at(4.0, Fault::MoveRoute),
        at(4.5, Fault::StoreRestored(restore)),
    ];
    for (balancers, backends) in [(10, 20), (100, 200)] {
        let outcome = run_after_faults(&faults, balancers, backends, 1);
        assert!(outcome.keeps_invariants(), "{balancers} balancers: {outcome:?}");
        let delay = outcome.max_propagation;
        assert!(delay <= MAX_PROPAGATION, "{balancers} balancers, {backends} agents: {delay:?}");
    }
}
