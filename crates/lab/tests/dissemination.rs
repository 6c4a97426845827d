//! A change of the configuration reaches every node of a fleet.

use loftdrift_lab::{
    CarriedFault as Fault, CarriedOutcome, CarriedWorld, CarriedWorldSettings, StoreRestore,
    TimedFault,
};
use std::time::Duration;

/// The change comes so long after every node has started, between two regular heartbeats.
const CHANGE_AT: Duration = Duration::from_secs(6);
/// Nodes must have a change by then: a third of the shortest bound that users set for it (3 s); the rest is
/// for links that are full, nodes that are refused and messages that are lost.
const MAX_PROPAGATION: Duration = Duration::from_secs(1);

fn run_change(balancers: usize, backends: usize, seed: u64) -> CarriedOutcome {
    run_after_faults(&[], balancers, backends, seed)
}

/// The change comes after these faults.
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

/// Nodes that start together must not speak together ever after: at 986 nodes they would all be silent for
/// half a minute, and hear of a change by chance alone.
#[test]
fn a_change_is_everywhere_within_a_second_at_any_size() {
    for (balancers, backends) in [(10, 20), (100, 200)] {
        let outcome = run_change(balancers, backends, 1);
        assert!(outcome.keeps_invariants(), "{balancers} balancers: {outcome:?}");
        let took = outcome.max_propagation;
        assert!(took <= MAX_PROPAGATION, "{balancers} balancers, {backends} agents: {took:?}");
    }
}

/// The store comes back from a copy from before the last change but one; its revisions are given out again.
#[test]
fn a_change_after_the_store_has_gone_back_is_everywhere_within_a_second_at_any_size() {
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
        let took = outcome.max_propagation;
        assert!(took <= MAX_PROPAGATION, "{balancers} balancers, {backends} agents: {took:?}");
    }
}
