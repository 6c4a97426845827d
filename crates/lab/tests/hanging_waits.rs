//! Watches on the store that hang: their connections stop carrying data without being closed, while
//! new ones work. In a system with few balancers all of them watch the store.

mod support;

use loftdrift_lab::{
    CarriedFault as Fault, CarriedWorld, CarriedWorldSettings, random_faults_with_hanging_watches,
};
use support::carried_runs::run_with_settings;
use support::seconds;

const RANDOM_RUNS: u64 = 80;

fn settings(balancers: usize, seed: u64) -> CarriedWorldSettings {
    CarriedWorldSettings { balancers, seed, ..CarriedWorldSettings::default() }
}

#[test]
fn changes_take_effect_in_time_although_all_watches_hang() {
    for balancers in [1, 2, 4, 12, 24] {
        let mut faults = vec![(4.0, Fault::HangWatches(seconds(11.5)))];
        faults.extend([4.1, 7.9, 12.0].map(|at| (at, Fault::MoveRoute)));
        let outcome = run_with_settings(settings(balancers, 1), &faults);
        assert!(outcome.keeps_invariants(), "{balancers} balancers: {outcome:?}");
    }
}

#[test]
fn changes_take_effect_in_time_although_watches_hang_and_other_balancers_fail() {
    let faults_by_node: [fn(usize) -> Fault; 4] = [
        |node| Fault::KillBalancer(node, seconds(6.0)),
        |node| Fault::FreezeBalancer(node, seconds(3.0)),
        |node| Fault::IsolateBalancer(node, seconds(3.0)),
        Fault::StopBalancer,
    ];
    for fault in faults_by_node {
        let mut faults: Vec<_> = (1..4).map(|node| (4.2, fault(node))).collect();
        faults.push((4.0, Fault::HangWatches(seconds(11.5))));
        faults.extend([4.4, 9.0].map(|at| (at, Fault::MoveRoute)));
        let outcome = run_with_settings(settings(4, 1), &faults);
        assert!(outcome.keeps_invariants(), "{:?}: {outcome:?}", fault(1));
    }
}

#[test]
fn random_faults_violate_no_invariant() {
    for seed in 1..=RANDOM_RUNS {
        let settings = settings(2 + seed as usize % 4, seed);
        let faults =
            random_faults_with_hanging_watches(seed, settings.balancers, settings.backends);
        let outcome = CarriedWorld::new(settings, &faults).run();
        assert!(outcome.keeps_invariants(), "seed {seed}: {outcome:?}\n{faults:#?}");
    }
}
