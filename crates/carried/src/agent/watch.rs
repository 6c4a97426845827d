//! Whether the back end's process lives.
//!
//! A back end that crashed says nothing; its port refuses connections then. The agent asks only
//! when it has a reason to doubt: packets had no reaction for longer than any living back end
//! leaves a repeated packet without one, the agent has just started and heard nothing, or it is
//! stopping, since machines are taken away once their back end has ended.

use super::*;

/// Packets without any reaction for so long are a reason to doubt. A caller repeats a packet after
/// 200 ms, and a living back end acknowledges the repetition.
const QUIET: Duration = Duration::from_millis(450);
/// A back end that lives has sent a heartbeat, or answers, so long after its agent's start.
const FIRST_QUIET: Duration = Duration::from_millis(120);
/// Refusals in a row that make a back end ended.
const REFUSALS: u32 = 2;
/// Time between them.
const REFUSAL_PAUSE: Duration = Duration::from_millis(40);
/// Questions in a row without any answer, from an agent that has heard nothing of its back end since
/// its start, that make the back end ended: a machine where no back end runs any more. One that
/// lives on the same machine takes the connection even while its process stands still, and would
/// have sent a heartbeat. At 150 ms a question this takes 0.9 s; until then each flow that was
/// forgotten is searched for in vain, 2,500 failed requests on a day of 91 machines.
const MOST_UNANSWERED: u32 = 4;
/// A back end that took the connection is not asked again for so long.
const ALIVE_PAUSE: Duration = Duration::from_secs(1);
/// A question without an answer is over after so long.
const ANSWER_PATIENCE: Duration = Duration::from_millis(500);

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
pub(super) struct Watch {
    /// The first packet passed to the back end since its last sign of life.
    quiet_since: Option<Duration>,
    /// A question is under way since.
    asked_at: Option<Duration>,
    refusals: u32,
    /// Not to be asked before.
    next: Duration,
    /// The agent stops: whether the back end has ended is to be known at once.
    is_urgent: bool,
    /// Questions in a row that nobody answered.
    unanswered: u32,
    /// The back end has sent something since the agent's start.
    has_heard: bool,
    pub(super) has_ended: bool,
}

impl Watch {
    /// The back end has sent something.
    pub(super) fn note_sign(&mut self) {
        self.quiet_since = None;
        self.refusals = 0;
        self.unanswered = 0;
        self.has_heard = true;
        self.has_ended = false;
    }

    /// A packet that a living back end reacts to was passed to it.
    pub(super) fn note_packet(&mut self, now: Duration) {
        self.quiet_since.get_or_insert(now);
    }

    /// Whether the agent's stop waits for an answer.
    pub(super) fn is_open(&self) -> bool {
        self.is_urgent && !self.has_ended
    }

    /// When the back end is to be asked next.
    pub(super) fn next_question(&self) -> Option<Duration> {
        if self.has_ended {
            return None;
        }
        let doubts = match self.has_heard {
            true => self.quiet_since.map(|since| since + QUIET),
            false => Some(FIRST_QUIET),
        };
        let due = if self.is_urgent { Some(self.next) } else { doubts };
        let earliest = self.asked_at.map_or(self.next, |at| at + ANSWER_PATIENCE);
        due.map(|due| due.max(earliest))
    }
}

impl<F: SegmentFormat> CarriedAgent<F> {
    /// The back end is to be asked at once, since the agent stops.
    pub(super) fn hurry_watch(&mut self, now: Duration) {
        self.watch.is_urgent = self.settings.policies.has(Policy::Probes);
        self.watch.next = now;
    }

    /// When the back end is to be asked next.
    pub(super) fn next_question(&self) -> Option<Duration> {
        let next = self.watch.next_question();
        next.filter(|_| self.settings.policies.has(Policy::Probes))
    }

    pub(super) fn ask_backend(&mut self, now: Duration) {
        if self.next_question().is_some_and(|at| at <= now) {
            self.watch.asked_at = Some(now);
            self.watch.next = now + REFUSAL_PAUSE;
            self.counters.backend_probes += 1;
            self.outputs.push_back(Output::ProbeBackend);
        }
    }

    /// Takes what became of the attempt that [`Output::ProbeBackend`] asked for.
    pub fn take_probe(&mut self, now: Duration, outcome: ProbeOutcome) {
        if self.watch.asked_at.take().is_none() {
            return;
        }
        match outcome {
            ProbeOutcome::TimedOut if !self.watch.has_heard => {
                self.watch.unanswered += 1;
                self.watch.next = now + REFUSAL_PAUSE;
                if self.watch.unanswered >= MOST_UNANSWERED && !self.watch.has_ended {
                    self.end_backend(now, "answers_nothing");
                }
            }
            ProbeOutcome::NotRefused | ProbeOutcome::TimedOut => {
                self.watch.refusals = 0;
                self.watch.unanswered = 0;
                self.watch.is_urgent = false;
                self.watch.next = now + ALIVE_PAUSE;
                self.watch.quiet_since = self.watch.quiet_since.map(|_| now);
            }
            ProbeOutcome::Refused => {
                self.watch.refusals += 1;
                self.watch.next = now + REFUSAL_PAUSE;
                if self.watch.refusals >= REFUSALS && !self.watch.has_ended {
                    self.end_backend(now, "refuses_connections");
                }
            }
        }
    }

    /// Nobody is where the back end was: every flow that it held is over.
    fn end_backend(&mut self, now: Duration, cause: &str) {
        self.watch.has_ended = true;
        self.watch.is_urgent = false;
        self.counters.backend_ends += 1;
        self.tell_change(now, cause);
        self.empty_line(now, DeclineReason::NotAccepting);
        for id in self.flows.ids() {
            let Some(flow) = self.flows.get(id) else { continue };
            if flow.body.phase.is_waiting()
                && let Some(segment) = flow.body.last_segment(&flow.key)
            {
                let balancer = flow.body.balancer;
                self.remove(now, id);
                self.tell_over(balancer, &segment, "backend_ended");
            }
        }
    }
}
