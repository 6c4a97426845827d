//! Zones that operators evacuate: no back end there gets a new flow once the bound is over, whatever
//! else happens, and it gets some again after the end.

mod support;

use loftdrift_lab::{
    CarriedFault as Fault, CarriedWorld, CarriedWorldSettings, random_faults_with_evacuations,
};
use support::carried_runs::{assert_no_violations, run_with_faults, run_with_settings};
use support::seconds;

/// Both hold half of the first service's back ends; all of the second one's are in zone 0.
const HALF: usize = 1;
const OTHER_HALF: usize = 2;
const RANDOM_RUNS: u64 = 120;

#[test]
fn a_zone_is_evacuated_and_taken_back_unnoticed() {
    assert_no_violations(
        run_with_faults(&[(3.0, Fault::Evacuate(HALF)), (12.0, Fault::EndEvacuation(HALF))]),
        1.0,
    );
}

#[test]
fn two_zones_one_after_the_other_and_one_twice() {
    let faults = [
        (2.0, Fault::Evacuate(HALF)),
        (7.0, Fault::EndEvacuation(HALF)),
        (7.1, Fault::Evacuate(OTHER_HALF)),
        (11.0, Fault::EndEvacuation(OTHER_HALF)),
        (11.5, Fault::Evacuate(HALF)),
        (16.0, Fault::EndEvacuation(HALF)),
    ];
    assert_no_violations(run_with_faults(&faults), 1.0);
}

#[test]
fn while_everything_loses_power() {
    let faults = [(3.0, Fault::Evacuate(OTHER_HALF)), (4.0, Fault::PowerOff(seconds(0.5)))];
    assert_no_violations(run_with_faults(&faults), 0.8);
}

#[test]
fn while_all_processes_are_killed_the_state_is_found_again() {
    let faults = [(3.0, Fault::Evacuate(OTHER_HALF)), (8.0, Fault::KillAll(seconds(0.3)))];
    assert_no_violations(run_with_faults(&faults), 0.8);
}

#[test]
fn while_the_store_refuses_every_balancer() {
    let faults = [(2.0, Fault::RefuseBalancers(seconds(10.0))), (3.0, Fault::Evacuate(HALF))];
    assert_no_violations(run_with_faults(&faults), 1.0);
}

#[test]
fn while_back_ends_are_replaced() {
    let faults = [
        (3.0, Fault::Evacuate(HALF)),
        (3.5, Fault::ReplaceBackend(0)),
        (4.0, Fault::ReplaceBackend(3)),
        (5.0, Fault::ReplaceBackend(6)),
    ];
    assert_no_violations(run_with_faults(&faults), 0.98);
}

#[test]
fn while_all_who_wait_at_the_store_are_killed() {
    let mut faults: Vec<_> =
        (0..6).map(|node| (2.9, Fault::KillBalancer(node, seconds(6.0)))).collect();
    faults.push((3.0, Fault::Evacuate(HALF)));
    let settings = CarriedWorldSettings { balancers: 24, ..CarriedWorldSettings::default() };
    assert_no_violations(run_with_settings(settings, &faults), 0.95);
}

#[test]
fn an_end_is_heard_by_nodes_that_were_cut_off_meanwhile() {
    // One half alone is too little.
    let settings =
        CarriedWorldSettings { requests_per_second: 750, ..CarriedWorldSettings::default() };
    let mut faults = vec![(3.0, Fault::Evacuate(HALF)), (6.0, Fault::EndEvacuation(HALF))];
    faults.extend([0, 3, 6].map(|agent| (5.5, Fault::IsolateAgent(agent, seconds(1.5)))));
    let ended = run_with_settings(settings, &faults);
    assert!(ended.keeps_invariants(), "{ended:?}");
    let lasting = run_with_settings(settings, &[(3.0, Fault::Evacuate(HALF))]);
    assert!(2 * lasting.refused > 3 * ended.refused, "{lasting:?} {ended:?}");
}

#[test]
fn a_service_whose_zones_are_all_evacuated_refuses_and_comes_back() {
    let mut faults: Vec<_> = (0..3).map(|zone| (5.0, Fault::Evacuate(zone))).collect();
    faults.extend((0..3).map(|zone| (8.0, Fault::EndEvacuation(zone))));
    let outcome = run_with_faults(&faults);
    assert!(outcome.keeps_invariants(), "{outcome:?}");
    assert_eq!(outcome.served + outcome.refused, outcome.requests, "{outcome:?}");
    assert!(outcome.refused * 10 > outcome.requests, "{outcome:?}");
    assert!(outcome.refused * 4 < outcome.requests, "{outcome:?}");
}

#[test]
fn random_days_keep_the_rules() {
    for seed in 1..=RANDOM_RUNS {
        let settings = CarriedWorldSettings { seed, ..CarriedWorldSettings::default() };
        let faults = random_faults_with_evacuations(seed, settings.balancers, settings.backends);
        let outcome = CarriedWorld::new(settings, &faults).run();
        assert!(outcome.keeps_invariants(), "seed {seed}: {outcome:?}");
    }
}
