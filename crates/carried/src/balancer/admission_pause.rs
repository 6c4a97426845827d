//! A balancer whose process stood still knows an old configuration and old members, and its socket
//! holds opening packets that their callers have long given up. It takes no new flow until a peer
//! has said that it is not behind, or a short time is over. Packets of open flows go on: agents
//! decide about those.

use super::*;

/// Longest time without new flows after a standstill.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// What comes earlier waited in a socket all the while: words of peers that are old themselves, and
/// opening packets that would take slots for nobody.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Peers that are asked for their word at once.
const MAX_PEERS_ASKED: usize = 8;

/// Until when new flows are not taken.
#[derive(Debug, Default)]
pub(super) struct AdmissionPause {
    until: Option<Duration>,
    /// No word before this counts.
    earliest_end: Duration,
}

impl AdmissionPause {
    pub(super) fn is_active(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    fn start(&mut self, now: Duration) {
        self.until = Some(now + MAX_PAUSE);
        self.earliest_end = now + MIN_PAUSE;
    }

    pub(super) fn end(&mut self, now: Duration) {
        if now >= self.earliest_end {
            self.until = None;
        }
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// The process has stood still for longer than any peer waits.
    pub fn resume(&mut self, now: Duration) {
        if self.policies.has(Policy::Fence) {
            self.admission_pause.start(now);
        }
        self.absence_evidence.note_stall(now);
        self.counters.standstills += 1;
        log::warn!(configuration:% = self.standing.configuration.version; "resumed_after_standstill");
        let peers: Vec<SocketAddrV4> =
            self.standing.membership.peers().map(|(address, _)| *address).collect();
        let first = self.random.random_range(0..peers.len().max(1));
        for peer in peers.iter().cycle().skip(first).take(MAX_PEERS_ASKED.min(peers.len())) {
            self.send_heartbeat(now, *peer, true);
        }
    }

    /// A peer's word: when it is not ahead, nothing was missed.
    pub(super) fn note_peer_version(&mut self, now: Duration, configuration: Version) {
        if self.standing.configuration.version.covers(&configuration) {
            self.admission_pause.end(now);
        }
    }
}
