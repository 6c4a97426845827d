//! Snapshots use only a small share of a link, so that the rest is left to callers' packets.

use loftdrift_node::SnapshotBudget;
use std::time::Duration;

/// Size of the snapshot of a configuration of 1,525 routes.
const SNAPSHOT_BYTES: usize = 36_000;
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Bytes sent in ten seconds of continual requests.
fn sent_bytes(bits_per_second: f64) -> usize {
    let mut budget = SnapshotBudget::for_link(bits_per_second);
    let mut sent = 0;
    for step in 0..2_000 {
        if budget.may_send(REQUEST_INTERVAL * step) {
            budget.spend(SNAPSHOT_BYTES);
            sent += SNAPSHOT_BYTES;
        }
    }
    sent
}

#[test]
fn a_slow_link_limits_snapshots_and_a_fast_link_sends_all_requested() {
    let slow = sent_bytes(10e6) as f64 / 10.0;
    assert!((0.15..0.25).contains(&(slow * 8.0 / 10e6)), "{slow} bytes per second");
    assert_eq!(sent_bytes(1e9), 2_000 * SNAPSHOT_BYTES);
}

#[test]
fn the_first_request_is_served_on_any_link() {
    assert!(SnapshotBudget::for_link(0.1e6).may_send(Duration::ZERO));
}

#[test]
fn the_burst_after_an_idle_hour_is_bounded() {
    let mut budget = SnapshotBudget::for_link(10e6);
    let later = Duration::from_secs(3_600);
    let mut sent = 0;
    while budget.may_send(later) {
        budget.spend(SNAPSHOT_BYTES);
        sent += 1;
    }
    assert!(sent <= 2, "{sent}");
}
