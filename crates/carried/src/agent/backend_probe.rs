//! Whether the back end's process lives.
//!
//! A back end that crashed says nothing; its port refuses connections then. The agent asks only
//! when it has a reason to doubt: packets had no reaction for longer than any living back end
//! leaves a repeated packet without one, the agent has just started and heard nothing, or it is
//! stopping, since machines are taken away once their back end has ended.

use super::*;

/// Packets without any reaction for so long are a reason to doubt. A caller repeats a packet after
/// 200 ms, and a living back end acknowledges the repetition.
const QUIET_TIMEOUT: Duration = Duration::from_millis(450);
/// A back end that lives has sent a heartbeat, or answers, so long after its agent's start.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(120);
/// Refusals in a row that make a back end ended.
const REFUSALS_UNTIL_ENDED: u32 = 2;
/// Time between them.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Questions in a row without any answer, from an agent that has heard nothing of its back end since
/// its start, that make the back end ended: a machine where no back end runs any more. One that
/// lives on the same machine takes the connection even while its process stands still, and would
/// have sent a heartbeat. At 150 ms a question this takes 0.9 s; until then each flow that was
/// forgotten is searched for in vain, 2,500 failed requests on a day of 91 machines.
const MAX_TIMEOUTS: u32 = 4;
/// A back end that took the connection is not asked again for so long.
const ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A question without an answer is over after so long.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// What became of an attempt to connect to the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// Nobody listens at its port.
    Refused,
    /// It took the connection: it may live.
    NotRefused,
    /// Nothing was said in time.
    TimedOut,
}

/// What is known of the back end's process.
#[derive(Debug, Default)]
pub(super) struct BackendProbe {
    /// The first packet passed to the back end since its last sign of life.
    unanswered_since: Option<Duration>,
    /// A question is under way since.
    sent_at: Option<Duration>,
    refusals: u32,
    /// Not to be asked before.
    next_at: Duration,
    /// The agent stops: whether the back end has ended is to be known at once.
    is_urgent: bool,
    /// Questions in a row that nobody answered.
    timeouts: u32,
    /// The back end has sent something since the agent's start.
    has_received: bool,
    pub(super) has_ended: bool,
}

impl BackendProbe {
    /// The back end has sent something.
    pub(super) fn note_activity(&mut self) {
        self.unanswered_since = None;
        self.refusals = 0;
        self.timeouts = 0;
        self.has_received = true;
        self.has_ended = false;
    }

    /// A packet that a living back end reacts to was passed to it.
    pub(super) fn note_packet(&mut self, now: Duration) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether the agent's stop waits for an answer.
    pub(super) fn delays_stop(&self) -> bool {
        self.is_urgent && !self.has_ended
    }

    /// When the back end is to be asked next.
    pub(super) fn next_probe(&self) -> Option<Duration> {
        if self.has_ended {
            return None;
        }
        let doubts = match self.has_received {
            true => self.unanswered_since.map(|since| since + QUIET_TIMEOUT),
            false => Some(FIRST_PROBE_DELAY),
        };
        let due = if self.is_urgent { Some(self.next_at) } else { doubts };
        let earliest = self.sent_at.map_or(self.next_at, |at| at + PROBE_TIMEOUT);
        due.map(|due| due.max(earliest))
    }
}

impl<F: SegmentFormat> CarriedAgent<F> {
    /// The back end is to be asked at once, since the agent stops.
    pub(super) fn probe_urgently(&mut self, now: Duration) {
        self.probe.is_urgent = self.settings.policies.has(Policy::Probes);
        self.probe.next_at = now;
    }

    /// When the back end is to be asked next.
    pub(super) fn next_probe(&self) -> Option<Duration> {
        let next = self.probe.next_probe();
        next.filter(|_| self.settings.policies.has(Policy::Probes))
    }

    pub(super) fn probe_if_due(&mut self, now: Duration) {
        if self.next_probe().is_some_and(|at| at <= now) {
            self.probe.sent_at = Some(now);
            self.probe.next_at = now + RETRY_INTERVAL;
            self.counters.backend_probes += 1;
            self.outputs.push_back(Output::ProbeBackend);
        }
    }

    /// Takes what became of the attempt that [`Output::ProbeBackend`] asked for.
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
                if self.probe.refusals >= REFUSALS_UNTIL_ENDED && !self.probe.has_ended {
                    self.note_backend_end(now, "refuses_connections");
                }
            }
        }
    }

    /// Nobody is where the back end was: every flow that it held is over.
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
