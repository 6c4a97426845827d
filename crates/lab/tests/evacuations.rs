//! Zone evacuations: once the time limit has passed, no back end of an evacuated zone receives a
//! new flow, whatever other faults occur. After the evacuation it receives flows again.

mod support;

use loftdrift_lab::{
    CarriedFault as Fault, CarriedWorld, CarriedWorldSettings, random_faults_with_evacuations,
};
use support::carried_runs::{assert_no_violations, run_with_faults, run_with_settings};
use support::seconds;

/// Zones with half of the first service's back ends each. All back ends of the second service are
/// in zone 0.
const HALF: usize = 1;
const OTHER_HALF: usize = 2;
const RANDOM_RUNS: u64 = 120;

#[test]
fn evacuating_a_zone_and_ending_it_loses_no_request() {
    assert_no_violations(
        run_with_faults(&[(3.0, Fault::Evacuate(HALF)), (12.0, Fault::EndEvacuation(HALF))]),
        1.0,
    );
}

#[test]
fn evacuating_two_zones_in_turn_and_one_of_them_twice_loses_no_request() {
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
fn evacuation_while_everything_loses_power() {
    let faults = [(3.0, Fault::Evacuate(OTHER_HALF)), (4.0, Fault::PowerOff(seconds(0.5)))];
    assert_no_violations(run_with_faults(&faults), 0.8);
}

#[test]
fn evacuation_is_recovered_after_all_processes_were_killed() {
    let faults = [(3.0, Fault::Evacuate(OTHER_HALF)), (8.0, Fault::KillAll(seconds(0.3)))];
    assert_no_violations(run_with_faults(&faults), 0.8);
}

#[test]
fn evacuation_while_the_store_refuses_every_balancer() {
    let faults = [(2.0, Fault::RefuseBalancers(seconds(10.0))), (3.0, Fault::Evacuate(HALF))];
    assert_no_violations(run_with_faults(&faults), 1.0);
}

#[test]
fn evacuation_while_back_ends_are_replaced() {
    let faults = [
        (3.0, Fault::Evacuate(HALF)),
        (3.5, Fault::ReplaceBackend(0)),
        (4.0, Fault::ReplaceBackend(3)),
        (5.0, Fault::ReplaceBackend(6)),
    ];
    assert_no_violations(run_with_faults(&faults), 0.98);
}

#[test]
fn evacuation_while_all_balancers_that_watch_the_store_are_down() {
    let mut faults: Vec<_> =
        (0..6).map(|node| (2.9, Fault::KillBalancer(node, seconds(6.0)))).collect();
    faults.push((3.0, Fault::Evacuate(HALF)));
    let settings = CarriedWorldSettings { balancers: 24, ..CarriedWorldSettings::default() };
    assert_no_violations(run_with_settings(settings, &faults), 0.95);
}

#[test]
fn the_end_of_an_evacuation_reaches_nodes_that_were_isolated() {
    // At this rate, half of the back ends cannot serve all requests.
    let settings =
        CarriedWorldSettings { requests_per_second: 750, ..CarriedWorldSettings::default() };
    let mut faults = vec![(3.0, Fault::Evacuate(HALF)), (6.0, Fault::EndEvacuation(HALF))];
    faults.extend([0, 3, 6].map(|agent| (5.5, Fault::IsolateAgent(agent, seconds(1.5)))));
    let ended = run_with_settings(settings, &faults);
    assert!(ended.keeps_invariants(), "{ended:?}");
    let not_ended = run_with_settings(settings, &[(3.0, Fault::Evacuate(HALF))]);
    assert!(2 * not_ended.refused > 3 * ended.refused, "{not_ended:?} {ended:?}");
}

#[test]
fn a_service_refuses_while_all_zones_are_evacuated_and_recovers() {
    let mut faults: Vec<_> = (0..3).map(|zone| (5.0, Fault::Evacuate(zone))).collect();
    faults.extend((0..3).map(|zone| (8.0, Fault::EndEvacuation(zone))));
    let outcome = run_with_faults(&faults);
    assert!(outcome.keeps_invariants(), "{outcome:?}");
    assert_eq!(outcome.served + outcome.refused, outcome.requests, "{outcome:?}");
    assert!(outcome.refused * 10 > outcome.requests, "{outcome:?}");
    assert!(outcome.refused * 4 < outcome.requests, "{outcome:?}");
}

#[test]
fn random_faults_violate_no_invariant() {
    for seed in 1..=RANDOM_RUNS {
        let settings = CarriedWorldSettings { seed, ..CarriedWorldSettings::default() };
        let faults = random_faults_with_evacuations(seed, settings.balancers, settings.backends);
        let outcome = CarriedWorld::new(settings, &faults).run();
        assert!(outcome.keeps_invariants(), "seed {seed}: {outcome:?}");
    }
}
