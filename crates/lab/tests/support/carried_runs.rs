//! Runs of carried flows with faults at given times.
use super::seconds;
use loftdrift_lab::{CarriedFault, CarriedOutcome, CarriedWorld, CarriedWorldSettings, TimedFault};
pub fn run_with_settings(
    settings: CarriedWorldSettings,
    faults: &[(f64, CarriedFault)],
) -> CarriedOutcome {
    let faults: Vec<_> =
        faults.iter().map(|(at, fault)| TimedFault { at: seconds(*at), fault: *fault }).collect();
    CarriedWorld::new(settings, &faults).run()
}

pub fn run_with_faults(faults: &[(f64, CarriedFault)]) -> CarriedOutcome {
    run_with_settings(CarriedWorldSettings::default(), faults)
}

/// Asserts that no invariant was violated and that at least this share of requests was served.
pub fn assert_no_violations(outcome: CarriedOutcome, min_served: f64) {
    assert!(outcome.keeps_invariants(), "{outcome:?}");
    let share = outcome.served as f64 / outcome.requests as f64;
    assert!(share >= min_served, "{share}: {outcome:?}");
}
