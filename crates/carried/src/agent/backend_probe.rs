//! Finds out whether the back end's process is alive, by probing its port.
//!
//! A back end that crashed sends no notice, but its port then refuses connections. The agent probes
//! the port only when it has a reason for doubt: the back end has not reacted to packets for longer
//! than a live one leaves a retransmission unanswered; the agent has just started; or the agent is
//! stopping, since a machine is taken away once its back end has ended.
//!
//! A port that refuses connections at the agent's start proves that every flow of earlier processes
//! is over: the next back end starts while this process runs. Nothing else is known that soon of a
//! machine that has returned without its back end, and may be gone again within a second.

use super::*;

/// A back end that has not reacted to packets for this long is probed. A caller retransmits a
/// packet after 200 ms, and a live back end acknowledges the retransmission.
const QUIET_TIMEOUT: Duration = Duration::from_millis(450);
/// Consecutive refused connections after which the back end counts as ended.
const REFUSALS_UNTIL_ENDED: u32 = 2;
/// Minimum time between two probes, unless the back end may be alive.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Consecutive probes without any answer after which the back end counts as ended, if the agent has
/// received nothing from it since its own start: no back end runs on the machine any more. A live
/// one on the same machine would have sent a heartbeat, and its port accepts connections even while
/// the process is stalled. At 150 ms a probe this takes 0.9 s. Until then lookups of flows
/// that the back end held end without a result; with 91 machines this failed 2,500 requests.
const MAX_TIMEOUTS: u32 = 4;
/// Minimum time until the next probe of a back end that may be alive.
const ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A probe whose outcome is not known after this time is abandoned.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The outcome of an attempt to connect to the back end's port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The connection was refused: no process listens at the port.
    Refused,
    /// The connection was accepted, or failed otherwise than by a refusal: the back end may be
    /// alive.
    NotRefused,
    /// The attempt timed out.
    TimedOut,
}

/// What is known about whether the back end's process is alive.
#[derive(Debug, Default)]
pub(super) struct BackendProbe {
    /// When the first packet was passed to the back end since it last sent anything.
    unanswered_since: Option<Duration>,
    /// When the outstanding probe was requested.
    sent_at: Option<Duration>,
    /// Consecutive refused connections.
    refusals: u32,
    /// No probe is sent before this time.
    next_at: Duration,
    /// The agent is stopping and needs to know at once whether the back end has ended.
    is_urgent: bool,
    /// Consecutive probes that timed out.
    timeouts: u32,
    /// The back end has sent something since the agent's start.
    has_received: bool,
    pub(super) has_ended: bool,
}

impl BackendProbe {
    /// Records that the back end has sent something.
    pub(super) fn note_activity(&mut self) {
        self.unanswered_since = None;
        self.refusals = 0;
        self.timeouts = 0;
        self.has_received = true;
        self.has_ended = false;
    }

    /// Records that the back end's machine has returned a packet. That shows nothing of the port.
    pub(super) fn note_returned_packet(&mut self) {
        self.unanswered_since = None;
    }

    /// Records that a packet to which a live back end reacts was passed to it.
    pub(super) fn note_packet(&mut self, now: Duration) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether the back end's port has refused connections and nothing was received since.
    pub(super) fn is_refused(&self) -> bool {
        self.refusals >= REFUSALS_UNTIL_ENDED
    }

    /// Whether the agent's stop has to wait for the outcome of a probe.
    pub(super) fn delays_stop(&self) -> bool {
        self.is_urgent && !self.has_ended
    }

    /// When the back end is to be probed next.
    pub(super) fn next_probe(&self) -> Option<Duration> {
        if self.has_ended {
            return None;
        }
        let due_by_silence = match self.has_received {
            true => self.unanswered_since.map(|since| since + QUIET_TIMEOUT),
            false => Some(Duration::ZERO),
        };
        let due = if self.is_urgent { Some(self.next_at) } else { due_by_silence };
        let earliest = self.sent_at.map_or(self.next_at, |at| at + PROBE_TIMEOUT);
        due.map(|due| due.max(earliest))
    }
}

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Has the back end probed at once, since the agent is stopping.
    pub(super) fn probe_urgently(&mut self, now: Duration) {
        self.probe.is_urgent = self.settings.policies.is_enabled(Policy::Probes);
        self.probe.next_at = now;
    }

    /// When the back end is to be probed next; `None` if [`Policy::Probes`] is off.
    pub(super) fn next_probe(&self) -> Option<Duration> {
        let next = self.probe.next_probe();
        next.filter(|_| self.settings.policies.is_enabled(Policy::Probes))
    }

    /// Requests a probe of the back end if one is due.
    pub(super) fn probe_if_due(&mut self, now: Duration) {
        if self.next_probe().is_some_and(|at| at <= now) {
            self.probe.sent_at = Some(now);
            self.probe.next_at = now + RETRY_INTERVAL;
            self.counters.backend_probes += 1;
            self.outputs.push_back(Output::ProbeBackend);
        }
    }

    /// Handles the outcome of the attempt that [`Output::ProbeBackend`] asked for.
    pub fn take_probe(&mut self, now: Duration, outcome: ProbeOutcome) {
        if self.probe.sent_at.take().is_none() {
            return;
        }
        match outcome {
            ProbeOutcome::TimedOut if !self.probe.has_received => {
                self.probe.timeouts += 1;
                self.probe.next_at = now + RETRY_INTERVAL;
                if self.probe.timeouts >= MAX_TIMEOUTS && !self.probe.has_ended {
                    self.note_backend_end(now, "answers_nothing");
                }
            }
            ProbeOutcome::NotRefused | ProbeOutcome::TimedOut => {
                self.probe.refusals = 0;
                self.probe.timeouts = 0;
                self.probe.is_urgent = false;
                self.probe.next_at = now + ALIVE_INTERVAL;
                self.probe.unanswered_since = self.probe.unanswered_since.map(|_| now);
            }
            ProbeOutcome::Refused => {
                self.probe.refusals += 1;
                self.probe.next_at = now + RETRY_INTERVAL;
                if self.probe.is_refused() && !self.probe.has_ended {
                    self.may_miss_flows = false;
                    self.note_backend_end(now, "refuses_connections");
                }
            }
        }
    }

    /// Handles the end of the back end's process: every flow that it held is over.
    fn note_backend_end(&mut self, now: Duration, cause: &str) {
        self.probe.has_ended = true;
        self.probe.is_urgent = false;
        self.counters.backend_ends += 1;
        self.announce_condition_change(now, cause);
        self.decline_all_waiting(now, DeclineReason::NotAccepting);
        for id in self.flows.ids() {
            let Some(flow) = self.flows.get(id) else { continue };
            if flow.body.phase.awaits_response()
                && let Some(segment) = flow.body.last_acknowledgement(&flow.key)
            {
                let balancer = flow.body.balancer;
                self.remove(now, id);
                self.reset_flow(balancer, &segment, "backend_ended");
            }
        }
    }
}
