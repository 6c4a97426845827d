//! Days of carried flows, with faults at chosen times.
use super::seconds;
use loftdrift_lab::{CarriedFault, CarriedOutcome, CarriedWorld, CarriedWorldSettings, TimedFault};
pub fn play_with(settings: CarriedWorldSettings, faults: &[(f64, CarriedFault)]) -> CarriedOutcome {
    let faults: Vec<_> =
        faults.iter().map(|(at, fault)| TimedFault { at: seconds(*at), fault: *fault }).collect();
    CarriedWorld::new(settings, &faults).run()
}

pub fn play(faults: &[(f64, CarriedFault)]) -> CarriedOutcome {
    play_with(CarriedWorldSettings::default(), faults)
}

pub fn assert_kept(outcome: CarriedOutcome, least_served: f64) {
    assert!(outcome.keeps_invariants(), "{outcome:?}");
    let share = outcome.served as f64 / outcome.requests as f64;
    assert!(share >= least_served, "{share}: {outcome:?}");
}
