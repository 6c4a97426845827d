//! The store is restored from a backup that is some seconds old: revisions are used a second time,
//! and what operators wrote since is lost until they write it again.

mod support;

use loftdrift_lab::{
    CarriedFault as Fault, CarriedWorld, CarriedWorldSettings, StoreRestore,
    random_faults_with_restores,
};
use support::carried_runs::{assert_no_violations, run_with_faults};
use support::seconds;

/// A zone with half of the first service's back ends.
const HALF: usize = 1;
const RANDOM_RUNS: u64 = 120;

/// A restore from a backup `backup_age` seconds old, after a short outage.
fn restore(backup_age: f64, rewrite_delay: f64) -> Fault {
    Fault::StoreRestored(StoreRestore {
        backup_age: seconds(backup_age),
        outage: seconds(0.3),
        rewrite_delay: seconds(rewrite_delay),
    })
}

/// Route changes at these times: before the backup, between backup and restore, and after both.
fn changes(at: &[f64]) -> Vec<(f64, Fault)> {
    at.iter().map(|at| (*at, Fault::MoveRoute)).collect()
}

#[test]
fn changes_after_a_restore_take_effect_in_time() {
    let mut faults = changes(&[2.0, 3.0, 4.0, 5.0, 9.0, 13.0]);
    faults.push((6.0, restore(3.5, 0.0)));
    assert_no_violations(run_with_faults(&faults), 1.0);
}

#[test]
fn changes_take_effect_in_time_across_several_restores() {
    let mut faults = changes(&[2.0, 3.0, 4.0, 5.0, 8.5, 9.0, 14.0]);
    faults.push((6.0, restore(3.5, 0.2)));
    faults.push((6.4, restore(0.2, 0.5)));
    faults.push((10.0, restore(2.0, 0.0)));
    assert_no_violations(run_with_faults(&faults), 1.0);
}

#[test]
fn nodes_do_not_revert_while_operators_have_not_rewritten() {
    for rewrite_delay in [1.0, 4.0, 8.0] {
        // The time limit of the last change has passed when the store loses the change.
        let mut faults = changes(&[1.5, 2.5]);
        faults.push((6.0, restore(4.3, rewrite_delay)));
        // A process that starts has no state and reads from other nodes and the store at once.
        faults.push((7.0, Fault::KillBalancer(0, seconds(0.1))));
        faults.push((8.0, Fault::KillAgent(2, seconds(0.1))));
        assert_no_violations(run_with_faults(&faults), 0.995);
    }
}

#[test]
fn nodes_that_were_isolated_frozen_refused_or_restarted_during_a_restore_catch_up() {
    let concurrent_faults = [
        Fault::IsolateBalancer(0, seconds(3.0)),
        Fault::FreezeBalancer(0, seconds(3.0)),
        Fault::KillBalancer(0, seconds(1.0)),
        Fault::StopBalancer(0),
        Fault::IsolateAgent(1, seconds(3.0)),
        Fault::KillAgent(1, seconds(1.0)),
        Fault::RefuseBalancers(seconds(8.0)),
    ];
    for fault in concurrent_faults {
        let mut faults = changes(&[2.0, 3.0, 4.0, 10.0]);
        faults.push((4.5, fault));
        faults.push((5.0, restore(2.5, 0.1)));
        let outcome = run_with_faults(&faults);
        assert!(outcome.keeps_invariants(), "{fault:?}: {outcome:?}");
    }
}

#[test]
fn all_processes_are_killed_while_the_store_lacks_changes() {
    for rewrite_delay in [0.0, 3.0] {
        let mut faults = changes(&[2.0, 3.0, 5.0, 12.0]);
        faults.push((6.0, restore(2.0, rewrite_delay)));
        faults.push((7.0, Fault::KillAll(seconds(0.3))));
        assert_no_violations(run_with_faults(&faults), 0.9);
    }
}

/// The three cases: the restore loses the evacuation, keeps it, or loses its end.
#[test]
fn zones_stay_evacuated_until_operators_have_rewritten() {
    for (evacuated_at, ended_at, backup_age) in
        [(2.0, 14.0, 4.5), (2.0, 14.0, 1.0), (1.0, 5.0, 2.0)]
    {
        for rewrite_delay in [0.0, 1.0, 1.9] {
            let faults = [
                (evacuated_at, Fault::Evacuate(HALF)),
                (ended_at, Fault::EndEvacuation(HALF)),
                (6.0, restore(backup_age, rewrite_delay)),
                (7.0, Fault::KillBalancer(1, seconds(0.1))),
            ];
            assert_no_violations(run_with_faults(&faults), 0.99);
        }
    }
}

#[test]
fn random_faults_violate_no_invariant() {
    for seed in 1..=RANDOM_RUNS {
        let settings = CarriedWorldSettings { seed, ..CarriedWorldSettings::default() };
        let faults = random_faults_with_restores(seed, settings.balancers, settings.backends);
        let outcome = CarriedWorld::new(settings, &faults).run();
        assert!(outcome.keeps_invariants(), "seed {seed}: {outcome:?}\n{faults:#?}");
    }
}
