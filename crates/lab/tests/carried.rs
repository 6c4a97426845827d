//! Carried flows on a virtual clock under single faults, combined faults and random faults. Every
//! seed is fixed.

mod support;

use loftdrift_lab::{
    CarriedFault as Fault, CarriedWorld, CarriedWorldSettings, FailureMode, TimedFault,
    random_faults,
};
use support::carried_runs::{assert_no_violations, run_with_faults};
use support::seconds;

const RANDOM_RUNS: u64 = 150;
/// Seeds whose random faults once violated an invariant, with the cause: state of an earlier flow
/// on a port was applied to the next one (337, 1560, 3010, 4616); a balancer that started or
/// connected later than the others treated nodes without a heartbeat so far as gone (240, 2125,
/// 4109); a departure notice from before a stall was accepted (9094); bugs of the simulator (159,
/// 1936, 3231, 4724, 4900, 7934, 14873).
const FAILED_SEEDS: [u64; 15] =
    [159, 240, 337, 1560, 1936, 2125, 3010, 3231, 4109, 4616, 4724, 4900, 7934, 9094, 14873];

#[test]
fn without_faults_every_request_is_served() {
    let outcome = run_with_faults(&[]);
    assert_eq!(outcome.served, outcome.requests, "{outcome:?}");
    assert!(outcome.requests > 2_500, "{outcome:?}");
    assert_no_violations(outcome, 1.0);
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    let faults = [(3.0, Fault::KillAll(seconds(0.5))), (5.0, Fault::Loss(0.05, seconds(3.0)))];
    assert_eq!(run_with_faults(&faults), run_with_faults(&faults));
}

#[test]
fn planned_stops_of_all_balancers_in_turn_lose_nothing() {
    let stops: Vec<_> =
        (0..4).map(|node| (2.0 + 2.0 * node as f64, Fault::StopBalancer(node))).collect();
    assert_no_violations(run_with_faults(&stops), 1.0);
}

#[test]
fn replaced_back_ends_lose_nothing() {
    let leave: Vec<_> =
        (0..4).map(|agent| (2.0 + agent as f64, Fault::ReplaceBackend(agent))).collect();
    assert_no_violations(run_with_faults(&leave), 1.0);
}

#[test]
fn killing_an_agent_while_its_back_end_runs_loses_no_open_flow() {
    let kills =
        [(3.0, Fault::KillAgent(0, seconds(0.1))), (6.0, Fault::KillAgent(1, seconds(0.1)))];
    assert_no_violations(run_with_faults(&kills), 0.995);
}

#[test]
fn balancers_that_start_during_a_store_outage_get_all_state_from_agents() {
    let faults = [
        (3.0, Fault::MoveRoute),
        (4.0, Fault::StoreDown(seconds(8.0))),
        (5.0, Fault::KillBalancer(0, seconds(0.2))),
        (5.0, Fault::KillBalancer(1, seconds(0.2))),
        (5.0, Fault::KillBalancer(2, seconds(0.2))),
        (5.0, Fault::KillBalancer(3, seconds(0.2))),
    ];
    assert_no_violations(run_with_faults(&faults), 0.99);
}

#[test]
fn the_system_recovers_after_all_processes_are_killed() {
    assert_no_violations(run_with_faults(&[(6.0, Fault::KillAll(seconds(0.3)))]), 0.95);
}

#[test]
fn a_route_change_while_nodes_are_frozen_takes_effect_everywhere_in_time() {
    let faults = [
        (3.0, Fault::FreezeBalancer(0, seconds(3.0))),
        (3.5, Fault::MoveRoute),
        (3.6, Fault::FreezeAgent(2, seconds(2.0))),
        (8.0, Fault::IsolateBalancer(1, seconds(3.0))),
        (8.5, Fault::MoveRoute),
    ];
    assert_no_violations(run_with_faults(&faults), 0.9);
}

#[test]
fn back_ends_that_leave_during_a_partition_accept_no_late_flow() {
    let faults = [
        (3.0, Fault::IsolateAgent(0, seconds(4.0))),
        (3.2, Fault::ReplaceBackend(0)),
        (4.0, Fault::IsolateBalancer(1, seconds(3.0))),
        (4.1, Fault::ReplaceBackend(1)),
        (4.2, Fault::KillAgent(1, seconds(0.2))),
    ];
    assert_no_violations(run_with_faults(&faults), 0.9);
}

#[test]
fn lost_packets_break_no_flow() {
    let faults = [
        (2.0, Fault::Loss(0.1, seconds(8.0))),
        (4.0, Fault::StopBalancer(0)),
        (6.0, Fault::KillBalancer(1, seconds(0.5))),
        (7.0, Fault::ReplaceBackend(3)),
    ];
    assert_no_violations(run_with_faults(&faults), 0.9);
}

#[test]
fn a_crashed_back_end_loses_only_its_own_flows() {
    assert_no_violations(run_with_faults(&[(4.0, Fault::CrashBackend(0, seconds(4.0)))]), 0.99);
}

/// Runs over which unserved requests are summed, because a single run varies from 7 to 27.
const FAILING_RUNS: u64 = 16;

#[test]
fn failing_back_ends_receive_few_requests() {
    for mode in [FailureMode::Fail, FailureMode::Refuse, FailureMode::Hang] {
        let unserved: u64 = (1..=FAILING_RUNS)
            .map(|seed| {
                let settings = CarriedWorldSettings { seed, ..CarriedWorldSettings::default() };
                let fault = Fault::FailBackend(0, mode, seconds(8.0));
                let fault = TimedFault { at: seconds(4.0), fault };
                let outcome = CarriedWorld::new(settings, &[fault]).run();
                assert!(outcome.keeps_invariants(), "{mode:?}: {outcome:?}");
                outcome.requests - outcome.served
            })
            .sum();
        assert!(unserved <= 20 * FAILING_RUNS, "{mode:?}: {unserved} of {FAILING_RUNS} runs");
    }
}

#[test]
fn callers_get_errors_while_all_back_ends_fail_and_service_recovers_afterwards() {
    let faults: Vec<_> = (0..9)
        .map(|agent| (4.0, Fault::FailBackend(agent, FailureMode::Fail, seconds(3.0))))
        .collect();
    assert_no_violations(run_with_faults(&faults), 0.75);
}

#[test]
fn a_configuration_takes_effect_although_the_store_refuses_every_balancer() {
    let faults = [
        (3.0, Fault::RefuseBalancers(seconds(12.0))),
        (4.0, Fault::MoveRoute),
        (9.0, Fault::MoveRoute),
    ];
    assert_no_violations(run_with_faults(&faults), 0.99);
}

#[test]
fn callers_learn_of_lost_flows_after_a_complete_power_loss() {
    let outcome = run_with_faults(&[(6.0, Fault::PowerOff(seconds(0.4)))]);
    assert!(outcome.keeps_invariants(), "{outcome:?}");
    // Only requests in progress whose callers do not retry; callers with several requests do.
    assert!(outcome.lost + outcome.refused <= 40, "{outcome:?}");
}

#[test]
fn a_back_end_that_crashed_loses_its_idle_flows_only_until_their_next_request() {
    let faults: Vec<_> = (0..4)
        .map(|agent| (4.0 + agent as f64, Fault::CrashBackend(agent, seconds(2.0))))
        .collect();
    let outcome = run_with_faults(&faults);
    assert!(outcome.keeps_invariants(), "{outcome:?}");
    assert!(outcome.lost <= 30, "{outcome:?}");
}

#[test]
fn flows_are_found_at_any_size_of_a_service() {
    for backends in [7, 35, 163] {
        let settings =
            CarriedWorldSettings { backends, long_flow_interval: 2, ..Default::default() };
        // Each stop moves a quarter of the flows to balancers without state for them.
        let stops = (0..4).flat_map(|node| {
            let at = seconds(3.0 + 2.0 * node as f64);
            [TimedFault { at, fault: Fault::StopBalancer(node) }]
        });
        let faults: Vec<_> = stops.collect();
        let outcome = CarriedWorld::new(settings, &faults).run();
        assert_eq!(outcome.served, outcome.requests, "{backends}: {outcome:?}");
        assert_no_violations(outcome, 1.0);
    }
}

#[test]
fn flows_are_found_though_agents_and_balancers_are_killed_together() {
    for backends in [9, 35] {
        let settings =
            CarriedWorldSettings { backends, long_flow_interval: 2, ..Default::default() };
        let mut faults = Vec::new();
        for agent in (0..backends).step_by(2) {
            faults.push(TimedFault {
                at: seconds(5.0),
                fault: Fault::KillAgent(agent, seconds(0.3)),
            });
        }
        for node in 0..3 {
            let fault = Fault::KillBalancer(node, seconds(0.2));
            faults.push(TimedFault { at: seconds(5.0), fault });
        }
        assert_no_violations(CarriedWorld::new(settings, &faults).run(), 0.99);
    }
}

#[test]
fn random_faults_violate_no_invariant() {
    run_random_faults(1..=RANDOM_RUNS);
}

#[test]
fn seeds_that_once_violated_an_invariant_violate_none() {
    run_random_faults(FAILED_SEEDS);
}

fn run_random_faults(seeds: impl IntoIterator<Item = u64>) {
    let settings = CarriedWorldSettings::default();
    for seed in seeds {
        let faults = random_faults(seed, settings.balancers, settings.backends);
        let outcome = CarriedWorld::new(CarriedWorldSettings { seed, ..settings }, &faults).run();
        assert!(outcome.keeps_invariants(), "seed {seed}: {outcome:?}\n{faults:#?}");
    }
}
