//! Flows that rest for nearly as long as they may, after balancers froze while their last answers were
//! on the way.

mod support;

use loftdrift_lab::{CarriedFault as Fault, CarriedWorldSettings, random_faults};
use std::time::Duration;
use support::carried_runs::run_with_settings;

const RANDOM_RUNS: u64 = 30;
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long flows rest: less than the timeout by a few ways through the network.
const REST: Duration = Duration::from_millis(5_900);

fn settings(seed: u64) -> CarriedWorldSettings {
    CarriedWorldSettings {
        seed,
        idle_timeout: IDLE_TIMEOUT,
        pauses: [REST; 3],
        long_flow_interval: 2,
        requests_per_second: 60,
        duration: Duration::from_secs(45),
        ..CarriedWorldSettings::default()
    }
}

/// Guards against resets of flows that rested for less than the timeout: their rest was counted from
/// the first packet of an answer whose acknowledgement came late.
#[test]
fn flows_that_rest_after_a_freeze_are_kept() {
    let freezes = (0..6).map(|number| {
        let at = 4.0 + 4.1 * f64::from(number);
        (at, Fault::FreezeBalancer(number as usize % 4, Duration::from_millis(3_500)))
    });
    let freezes: Vec<_> = freezes.collect();
    for seed in 1..=5 {
        let outcome = run_with_settings(settings(seed), &freezes);
        assert!(outcome.keeps_invariants(), "seed {seed}: {outcome:?}");
        assert!(outcome.served > 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn long_rests_beside_random_faults_violate_no_invariant() {
    for seed in 1..=RANDOM_RUNS {
        let settings = settings(seed);
        let faults = random_faults(seed, settings.balancers, settings.backends);
        let faults: Vec<_> =
            faults.into_iter().map(|timed| (timed.at.as_secs_f64(), timed.fault)).collect();
        let outcome = run_with_settings(settings, &faults);
        assert!(outcome.keeps_invariants(), "seed {seed}: {outcome:?}\n{faults:#?}");
    }
}
