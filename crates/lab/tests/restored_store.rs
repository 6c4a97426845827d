//! The store comes back from a copy some seconds old: revisions are given out a second time, and what
//! operators wrote since is there again only when they have written it again.

mod support;

use loftdrift_lab::{
    CarriedFault as Fault, CarriedWorld, CarriedWorldSettings, StoreRestore,
    random_faults_with_restores,
};
use support::carried_runs::{assert_no_violations, run_with_faults};
use support::seconds;

/// Holds half of the first service's back ends.
const HALF: usize = 1;
const RANDOM_RUNS: u64 = 120;

/// A return from a copy so many seconds old, after a short absence.
fn restore(backup_age: f64, rewrite_delay: f64) -> Fault {
    Fault::StoreRestored(StoreRestore {
        backup_age: seconds(backup_age),
        outage: seconds(0.3),
        rewrite_delay: seconds(rewrite_delay),
    })
}

/// Changes before, within the copy's age, and after the return.
fn changes(at: &[f64]) -> Vec<(f64, Fault)> {
    at.iter().map(|at| (*at, Fault::MoveRoute)).collect()
}

#[test]
fn changes_after_a_return_are_in_force_in_time() {
    let mut faults = changes(&[2.0, 3.0, 4.0, 5.0, 9.0, 13.0]);
    faults.push((6.0, restore(3.5, 0.0)));
    assert_no_violations(run_with_faults(&faults), 1.0);
}

#[test]
fn two_returns_in_a_row_and_one_in_the_middle_of_another() {
    let mut faults = changes(&[2.0, 3.0, 4.0, 5.0, 8.5, 9.0, 14.0]);
    faults.push((6.0, restore(3.5, 0.2)));
    faults.push((6.4, restore(0.2, 0.5)));
    faults.push((10.0, restore(2.0, 0.0)));
    assert_no_violations(run_with_faults(&faults), 1.0);
}

#[test]
fn nothing_goes_back_while_operators_are_late() {
    for rewrite_delay in [1.0, 4.0, 8.0] {
        // The last change is in force for longer than its bound when the store loses it.
        let mut faults = changes(&[1.5, 2.5]);
        faults.push((6.0, restore(4.3, rewrite_delay)));
        // Whoever starts knows nothing and asks others and the store at once.
        faults.push((7.0, Fault::KillBalancer(0, seconds(0.1))));
        faults.push((8.0, Fault::KillAgent(2, seconds(0.1))));
        assert_no_violations(run_with_faults(&faults), 0.995);
    }
}

#[test]
fn nodes_that_were_cut_off_frozen_refused_or_restarted_through_it_catch_up() {
    let through = [
        Fault::IsolateBalancer(0, seconds(3.0)),
        Fault::FreezeBalancer(0, seconds(3.0)),
        Fault::KillBalancer(0, seconds(1.0)),
        Fault::StopBalancer(0),
        Fault::IsolateAgent(1, seconds(3.0)),
        Fault::KillAgent(1, seconds(1.0)),
        Fault::RefuseBalancers(seconds(8.0)),
    ];
    for fault in through {
        let mut faults = changes(&[2.0, 3.0, 4.0, 10.0]);
        faults.push((4.5, fault));
        faults.push((5.0, restore(2.5, 0.1)));
        let outcome = run_with_faults(&faults);
        assert!(outcome.keeps_invariants(), "{fault:?}: {outcome:?}");
    }
}

#[test]
fn all_processes_are_killed_while_the_store_is_behind() {
    for rewrite_delay in [0.0, 3.0] {
        let mut faults = changes(&[2.0, 3.0, 5.0, 12.0]);
        faults.push((6.0, restore(2.0, rewrite_delay)));
        faults.push((7.0, Fault::KillAll(seconds(0.3))));
        assert_no_violations(run_with_faults(&faults), 0.9);
    }
}

/// The zone's evacuation is lost, is there all along, or its end is lost.
#[test]
fn zones_stay_evacuated_while_operators_write_again() {
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
fn random_days_break_no_rule() {
    for seed in 1..=RANDOM_RUNS {
        let settings = CarriedWorldSettings { seed, ..CarriedWorldSettings::default() };
        let faults = random_faults_with_restores(seed, settings.balancers, settings.backends);
        let outcome = CarriedWorld::new(settings, &faults).run();
        assert!(outcome.keeps_invariants(), "seed {seed}: {outcome:?}\n{faults:#?}");
    }
}
