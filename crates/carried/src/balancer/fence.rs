//! A balancer whose process stood still knows an old configuration and old members, and its socket
//! holds opening packets that their callers have long given up. It takes no new flow until a peer
//! has said that it is not behind, or a short time is over. Packets of open flows go on: agents
//! decide about those.

use super::*;

/// Longest time without new flows after a standstill.
const FENCE_LASTS: Duration = Duration::from_millis(150);
/// What comes earlier waited in a socket all the while: words of peers that are old themselves, and
/// opening packets that would take slots for nobody.
const FENCE_LEAST: Duration = Duration::from_millis(20);
/// Peers that are asked for their word at once.
const PEERS_ASKED: usize = 8;

/// Until when new flows are not taken.
#[derive(Debug, Default)]
pub(super) struct Fence {
    until: Option<Duration>,
    /// No word before this counts.
    least: Duration,
}

impl Fence {
    pub(super) fn is_up(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    fn raise(&mut self, now: Duration) {
        self.until = Some(now + FENCE_LASTS);
        self.least = now + FENCE_LEAST;
    }

    pub(super) fn lift(&mut self, now: Duration) {
        if now >= self.least {
            self.until = None;
        }
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// The process has stood still for longer than any peer waits.
    pub fn resume(&mut self, now: Duration) {
        if self.policies.is_enabled(Policy::AdmissionPause) {
            self.fence.raise(now);
        }
        self.acquaintance.note_standstill(now);
        self.counters.standstills += 1;
        log::warn!(configuration:% = self.standing.configuration.version; "resumed_after_standstill");
        let peers: Vec<SocketAddrV4> =
            self.standing.membership.peers().map(|(address, _)| *address).collect();
        let first = self.random.random_range(0..peers.len().max(1));
        for peer in peers.iter().cycle().skip(first).take(PEERS_ASKED.min(peers.len())) {
            self.send_heartbeat(now, *peer, true);
        }
    }

    /// A peer's word: when it is not ahead, nothing was missed.
    pub(super) fn compare_with_peer(&mut self, now: Duration, configuration: Version) {
        if self.standing.configuration.version.covers(&configuration) {
            self.fence.lift(now);
        }
    }
}
