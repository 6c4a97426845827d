//! Limits the bytes of snapshots that a node sends to a share of its machine's link.

use std::time::Duration;

/// Share of the link that snapshots may use. The rest is left to callers' packets, which fill half
/// of the slowest links in the busiest seconds.
const MAX_LINK_SHARE: f64 = 0.2;
/// The token bucket holds at most what this share carries in this time.
const BURST_DURATION: Duration = Duration::from_millis(250);
const BITS_PER_BYTE: f64 = 8.0;

/// A token bucket, in bytes, for the snapshots that a node sends.
#[derive(Debug)]
pub struct SnapshotBudget {
    bytes_per_second: f64,
    /// Negative after a snapshot that was larger than what was available.
    available_bytes: f64,
    refilled_at: Duration,
}

impl SnapshotBudget {
    /// Creates the budget for a link of this bandwidth.
    pub fn for_link(bits_per_second: f64) -> Self {
        let bytes_per_second = bits_per_second / BITS_PER_BYTE * MAX_LINK_SHARE;
        let available_bytes = bytes_per_second * BURST_DURATION.as_secs_f64();
        SnapshotBudget { bytes_per_second, available_bytes, refilled_at: Duration::ZERO }
    }

    /// Whether a snapshot may be sent now; one that exceeds the available bytes may be too.
    pub fn may_send(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let burst_bytes = self.bytes_per_second * BURST_DURATION.as_secs_f64();
        self.available_bytes =
            (self.available_bytes + elapsed * self.bytes_per_second).min(burst_bytes);
        self.available_bytes > 0.0
    }

    /// Records that a snapshot of this size is sent.
    pub fn spend(&mut self, bytes: usize) {
        self.available_bytes -= bytes as f64;
    }
}
