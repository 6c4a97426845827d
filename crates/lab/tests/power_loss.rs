//! Losses of power that are followed by kills of processes, with flows that are used at any time
//! from the processes' start on: a flow that its back end holds is never reset.

mod support;

use loftdrift_lab::{CarriedFault as Fault, CarriedOutcome, CarriedWorldSettings};
use support::carried_runs::run_with_settings;
use support::seconds;

const LOST_AT: f64 = 5.0;
const DARK_SECONDS: f64 = 0.6;
const RETURN_AT: f64 = LOST_AT + DARK_SECONDS;
/// Time until killed processes start again.
const DOWN_SECONDS: f64 = 0.25;
/// Covers the first five heartbeats of the back ends.
const LATEST_KILL: f64 = 5.6;
const KILL_STEP: f64 = 0.16;
/// Pauses of callers, which use their flows again this long after each answer.
const PAUSES: [[f64; 3]; 2] = [[0.12, 0.5, 1.1], [1.7, 2.6, 3.9]];

fn all_lose_power() -> Vec<(f64, Fault)> {
    vec![(LOST_AT, Fault::PowerOff(seconds(DARK_SECONDS)))]
}

/// All processes are killed, and these back ends crash, at the same moment.
fn some_lose_power(backends: impl Iterator<Item = usize>) -> Vec<(f64, Fault)> {
    let crashes =
        backends.map(|agent| (LOST_AT, Fault::CrashBackend(agent, seconds(DARK_SECONDS))));
    crashes.chain([(LOST_AT, Fault::KillAll(seconds(DARK_SECONDS)))]).collect()
}

fn kill_all(at: f64) -> (f64, Fault) {
    (at, Fault::KillAll(seconds(DOWN_SECONDS)))
}

/// Kills after the return of the power, through the first five heartbeats.
fn kill_times() -> impl Iterator<Item = f64> {
    let steps = (LATEST_KILL / KILL_STEP) as u32;
    (0..=steps).map(|step| RETURN_AT + 0.05 + KILL_STEP * f64::from(step))
}

fn run(faults: &[(f64, Fault)], pauses: [f64; 3]) -> CarriedOutcome {
    let settings = CarriedWorldSettings {
        long_flow_interval: 1,
        requests_per_second: 60,
        pauses: pauses.map(seconds),
        ..CarriedWorldSettings::default()
    };
    run_with_settings(settings, faults)
}

fn assert_no_flow_broken(faults: impl Fn(f64) -> Vec<(f64, Fault)>) {
    for pauses in PAUSES {
        for killed_at in kill_times() {
            let outcome = run(&faults(killed_at), pauses);
            assert!(
                outcome.keeps_invariants(),
                "killed at {killed_at:.2} s, pauses {pauses:?}: {outcome:?}"
            );
        }
    }
}

/// Guards against resets of all flows that were opened between the return of the power and a kill
/// of all processes, by processes that take the loss of power for a later one.
#[test]
fn flows_opened_between_a_power_loss_and_a_kill_of_all_are_kept() {
    assert_no_flow_broken(|killed_at| {
        let mut faults = all_lose_power();
        faults.push(kill_all(killed_at));
        faults
    });
}

/// Guards against the same where the processes are killed twice in a row.
#[test]
fn flows_opened_between_a_power_loss_and_two_kills_of_all_are_kept() {
    assert_no_flow_broken(|killed_at| {
        let mut faults = all_lose_power();
        faults.extend([kill_all(killed_at), kill_all(killed_at + DOWN_SECONDS + 0.3)]);
        faults
    });
}

/// Guards against resets of flows at machines that kept their power while most others lost it.
#[test]
fn flows_of_machines_that_kept_their_power_are_kept() {
    assert_no_flow_broken(|killed_at| {
        let mut faults = some_lose_power((0..9).filter(|agent| agent % 4 != 0));
        faults.push(kill_all(killed_at));
        faults
    });
}

/// Guards against the same while the store does not answer.
#[test]
fn flows_opened_between_a_power_loss_and_a_kill_of_all_are_kept_without_the_store() {
    assert_no_flow_broken(|killed_at| {
        let mut faults = all_lose_power();
        faults.push((killed_at - 0.02, Fault::StoreDown(seconds(2.0))));
        faults.push(kill_all(killed_at));
        faults
    });
}
