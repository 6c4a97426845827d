//! Snapshots leave most of a link to callers' packets.

use loftdrift_node::SnapshotBudget;
use std::time::Duration;

/// A configuration of 1,525 routes.
const SNAPSHOT_BYTES: usize = 36_000;
const ASKED_EACH: Duration = Duration::from_millis(5);

/// Bytes given in ten seconds on a link while somebody asks all the time.
fn given(bits_a_second: f64) -> usize {
    let mut budget = SnapshotBudget::for_link(bits_a_second);
    let mut given = 0;
    for step in 0..2_000 {
        if budget.may_send(ASKED_EACH * step) {
            budget.spend(SNAPSHOT_BYTES);
            given += SNAPSHOT_BYTES;
        }
    }
    given
}

#[test]
fn a_slow_link_gives_few_and_a_fast_one_all_that_are_asked_for() {
    let slow = given(10e6) as f64 / 10.0;
    assert!((0.15..0.25).contains(&(slow * 8.0 / 10e6)), "{slow} bytes a second");
    assert_eq!(given(1e9), 2_000 * SNAPSHOT_BYTES);
}

#[test]
fn the_first_who_asks_is_given_one_on_any_link() {
    assert!(SnapshotBudget::for_link(0.1e6).may_send(Duration::ZERO));
}

#[test]
fn what_was_saved_up_is_bounded() {
    let mut budget = SnapshotBudget::for_link(10e6);
    let later = Duration::from_secs(3_600);
    let mut given = 0;
    while budget.may_send(later) {
        budget.spend(SNAPSHOT_BYTES);
        given += 1;
    }
    assert!(given <= 2, "{given}");
}
