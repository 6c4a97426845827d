//! Pauses the admission of new flows after a stall of the process.
//!
//! A balancer whose process did not run for a while may have an outdated configuration and member
//! list, and its socket buffers hold SYNs whose callers have long given up. It admits no new flow
//! until a peer reports a configuration version that is no newer than its own, or a short time has
//! passed. Packets of open flows are still handled, since agents decide about those.

use super::*;

/// Maximum length of the pause.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// Minimum length of the pause. Datagrams handled earlier had waited in a socket buffer during the
/// stall: outdated reports of peers, and SYNs whose callers have gone and that would occupy slots.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of peers that are asked for a heartbeat when the process resumes.
const MAX_HEARTBEAT_REQUESTS: usize = 8;

/// Whether and until when new flows are not admitted.
#[derive(Debug, Default)]
pub(super) struct AdmissionPause {
    until: Option<Duration>,
    /// Nothing ends the pause before this time.
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
    /// Handles the end of a stall, in which the process did not run for longer than peers wait for
    /// an answer.
    pub fn resume(&mut self, now: Duration) {
        if self.policies.is_enabled(Policy::AdmissionPause) {
            self.admission_pause.start(now);
        }
        self.absence_evidence.note_stall(now);
        self.counters.standstills += 1;
        log::warn!(configuration:% = self.cluster.configuration.version; "resumed_after_standstill");
        let peers: Vec<SocketAddrV4> =
            self.cluster.membership.peers().map(|(address, _)| *address).collect();
        let first = self.random.random_range(0..peers.len().max(1));
        for peer in peers.iter().cycle().skip(first).take(MAX_HEARTBEAT_REQUESTS.min(peers.len())) {
            self.send_heartbeat(now, *peer, true);
        }
    }

    /// Ends the pause if a peer's configuration is not newer than the one in force here: then
    /// no change was missed during the stall.
    pub(super) fn note_peer_version(&mut self, now: Duration, configuration: Version) {
        if self.cluster.configuration.version.covers(&configuration) {
            self.admission_pause.end(now);
        }
    }
}
