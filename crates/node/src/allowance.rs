//! How many bytes of snapshots a node gives, as a share of its machine's link.

use std::time::Duration;

/// Share of the link that snapshots may take: what is left carries callers' packets, which fill
/// half of the slowest links in the busiest seconds.
const GIVE_SHARE: f64 = 0.2;
/// So much of that is saved up while nobody asks.
const SAVED: Duration = Duration::from_millis(250);
const BITS_A_BYTE: f64 = 8.0;

/// What a node may still give.
#[derive(Debug)]
pub struct Allowance {
    bytes_a_second: f64,
    /// Below zero after a snapshot that was larger than what was left.
    left: f64,
    counted_at: Duration,
}

impl Allowance {
    /// That of a link with so many bits a second.
    pub fn of_link(bits_a_second: f64) -> Self {
        let bytes_a_second = bits_a_second / BITS_A_BYTE * GIVE_SHARE;
        let left = bytes_a_second * SAVED.as_secs_f64();
        Allowance { bytes_a_second, left, counted_at: Duration::ZERO }
    }

    /// Whether a snapshot may be given now.
    pub fn may_give(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.counted_at = now;
        let most = self.bytes_a_second * SAVED.as_secs_f64();
        self.left = (self.left + elapsed * self.bytes_a_second).min(most);
        self.left > 0.0
    }

    /// So many bytes were given.
    pub fn take(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}
