//! How many bytes of snapshots a node gives, as a share of its machine's link.

use std::time::Duration;

/// Share of the link that snapshots may take: what is left carries callers' packets, which fill
/// half of the slowest links in the busiest seconds.
const MAX_LINK_SHARE: f64 = 0.2;
/// So much of that is saved up while nobody asks.
const BURST_DURATION: Duration = Duration::from_millis(250);
const BITS_PER_BYTE: f64 = 8.0;

/// What a node may still give.
#[derive(Debug)]
pub struct SnapshotBudget {
    bytes_per_second: f64,
    /// Below zero after a snapshot that was larger than what was left.
    available_bytes: f64,
    refilled_at: Duration,
}

impl SnapshotBudget {
    /// That of a link with so many bits a second.
    pub fn for_link(bits_per_second: f64) -> Self {
        let bytes_per_second = bits_per_second / BITS_PER_BYTE * MAX_LINK_SHARE;
        let available_bytes = bytes_per_second * BURST_DURATION.as_secs_f64();
        SnapshotBudget { bytes_per_second, available_bytes, refilled_at: Duration::ZERO }
    }

    /// Whether a snapshot may be given now.
    pub fn may_send(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let burst_bytes = self.bytes_per_second * BURST_DURATION.as_secs_f64();
        self.available_bytes =
            (self.available_bytes + elapsed * self.bytes_per_second).min(burst_bytes);
        self.available_bytes > 0.0
    }

    /// So many bytes were given.
    pub fn spend(&mut self, bytes: usize) {
        self.available_bytes -= bytes as f64;
    }
}
