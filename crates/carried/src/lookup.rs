//! A lookup of the agent that owns a flow missing in this balancer's flow cache.
//!
//! The balancer asks agents for the flow by its addresses and buffers its packets meanwhile. It
//! asks the first agents in the flow's ranking first and the others in growing batches. An agent's
//! answer applies to this one flow, which was opened before the lookup started, and only for as
//! long as the caller cannot have reused its port.

use crate::segment::Segment;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Number of agents asked first; each further batch is twice as large.
pub(crate) const INITIAL_BATCH: usize = 16;
/// How long an agent may take to answer before further agents are asked as well.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// How long a back end may take to react to a trial packet: a packet of the flow that is delivered
/// to it although it may not own the flow.
pub(crate) const TRIAL_TIMEOUT: Duration = Duration::from_millis(60);
/// Packets buffered per lookup at most: more than a caller has in flight.
const MAX_BUFFERED_PACKETS: usize = 16;
/// Maximum number of back ends that get a trial packet while the owner may be an agent that cannot
/// be asked now.
pub(crate) const MAX_TRIALS: usize = 2;
/// Number of back ends in the first round of trials; it doubles with each round.
///
/// New flows are placed at one of the first eight agents in their ranking, of the balancer's own
/// zone or of all others, so two rounds, of 4 and 8, nearly always reach the owner. Rounds of 2,
/// then 8, then all the rest sent ten times as many packets for a flow whose owner joined later.
pub(crate) const INITIAL_TRIALS: usize = 4;
/// After this many doublings, further rounds of trials stay at the same size.
pub(crate) const MAX_TRIAL_DOUBLINGS: u32 = 4;
/// Delay before the agents that have not answered are asked again; it doubles up to the maximum.
pub(crate) const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(40);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(640);
/// Maximum exponent of the retry delay.
const MAX_DELAY_DOUBLINGS: u32 = 8;
/// How long an agent's answer is valid and how long a packet is kept. After this time the caller
/// may have reused its port for another flow; older packets are left to its retransmissions, which
/// come within 1.6 s.
const ANSWER_TTL: Duration = Duration::from_millis(1_500);
/// A lookup is dropped this long after the caller's last packet.
pub(crate) const LOOKUP_TIMEOUT: Duration = Duration::from_secs(4);

/// What an agent has answered so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AgentAnswer {
    /// It was asked at this time and has not answered.
    Asked(Duration),
    /// It may have lost its record of the flow.
    Unknown,
    /// It was given a trial packet at this time.
    Tried(Duration),
    /// It answered at this time that it does not own the flow.
    Absent(Duration),
}

/// A lookup in progress.
#[derive(Debug)]
pub(crate) struct Lookup {
    /// The caller's latest packet; one with payload is not replaced by one without.
    pub(crate) segment: Segment,
    pub(crate) created_at: Duration,
    last_packet: Duration,
    /// Packets of the flow, each with the time of its arrival.
    buffered: Vec<(Duration, Vec<u8>)>,
    answers: BTreeMap<SocketAddrV4, AgentAnswer>,
    /// Agents that denied the flow in an earlier lookup. They remember what their back ends have
    /// returned, so a query is enough.
    denied_before: BTreeSet<SocketAddrV4>,
    /// Number of batches asked so far.
    pub(crate) batches: u32,
    /// Back ends given a trial packet; at most [`MAX_TRIALS`] while the owner may be an agent that
    /// cannot be asked.
    pub(crate) trials: usize,
    /// Number of rounds of trials so far.
    pub(crate) trial_rounds: u32,
    /// When the first agents were asked; `None` while the lookup waits for its turn.
    pub(crate) started_at: Option<Duration>,
    delay_doublings: u32,
    /// When the agents without a final answer are asked again.
    pub(crate) next_retry: Duration,
    /// Whether this lookup has already been logged as slow.
    pub(crate) slow_logged: bool,
    /// When the caller was last notified that no agent owns the flow.
    pub(crate) reset_at: Option<Duration>,
}

impl Lookup {
    pub(crate) fn new(now: Duration, segment: Segment, datagram: &[u8]) -> Self {
        Lookup {
            segment,
            created_at: now,
            last_packet: now,
            buffered: vec![(now, datagram.to_vec())],
            answers: BTreeMap::new(),
            denied_before: BTreeSet::new(),
            batches: 0,
            trials: 0,
            trial_rounds: 0,
            started_at: None,
            delay_doublings: 0,
            next_retry: now + INITIAL_RETRY_DELAY,
            slow_logged: false,
            reset_at: None,
        }
    }

    /// Takes over from an earlier lookup of the same flow what does not expire.
    pub(crate) fn continue_from(&mut self, before: Lookup) {
        self.trials = before.trials;
        self.denied_before = before.denied_before;
        let answers = before.answers.into_iter();
        let absent = answers.filter(|(_, answer)| matches!(answer, AgentAnswer::Absent(_)));
        self.denied_before.extend(absent.map(|(agent, _)| agent));
    }

    /// Whether an agent denied the flow in an earlier lookup.
    pub(crate) fn was_denied_by(&self, agent: &SocketAddrV4) -> bool {
        self.denied_before.contains(agent)
    }

    /// Whether a packet belongs to this lookup: it is of the same flow, not of another one between
    /// the same addresses, and the answers so far have not expired.
    pub(crate) fn applies_to(&self, now: Duration, segment: &Segment) -> bool {
        self.segment.may_share_flow(segment) && now.saturating_sub(self.created_at) < ANSWER_TTL
    }

    /// Adds another packet of the flow.
    pub(crate) fn add_packet(&mut self, now: Duration, segment: &Segment, datagram: &[u8]) {
        self.last_packet = now;
        if segment.payload_bytes > 0 || self.segment.payload_bytes == 0 {
            self.segment = *segment;
        }
        if self.buffered.len() < MAX_BUFFERED_PACKETS {
            self.buffered.push((now, datagram.to_vec()));
        }
        // Agents that did not react to a trial packet long ago may be tried once more.
        for answer in self.answers.values_mut() {
            if matches!(answer, AgentAnswer::Tried(at) if now.saturating_sub(*at) >= TRIAL_TIMEOUT)
            {
                *answer = AgentAnswer::Unknown;
            }
        }
        self.delay_doublings = 0;
        self.next_retry = self.next_retry.min(now + INITIAL_RETRY_DELAY);
    }

    /// Removes the buffered packets and returns those that have not expired.
    pub(crate) fn take_buffered(&mut self, now: Duration) -> Vec<Vec<u8>> {
        let buffered = std::mem::take(&mut self.buffered).into_iter();
        buffered
            .filter(|(received_at, _)| is_recent(now, *received_at))
            .map(|(_, packet)| packet)
            .collect()
    }

    /// Whether the caller has sent a packet recently.
    pub(crate) fn is_recent(&self, now: Duration) -> bool {
        is_recent(now, self.last_packet)
    }

    /// The latest buffered packet if it is one that the back end owning the flow reacts to.
    pub(crate) fn trial_packet(&self, now: Duration) -> Option<&Vec<u8>> {
        let last = self.buffered.last().filter(|(received_at, _)| is_recent(now, *received_at));
        last.filter(|_| self.expects_answer()).map(|(_, packet)| packet)
    }

    /// Whether the caller waits for an answer and has not closed the flow.
    pub(crate) fn expects_answer(&self) -> bool {
        self.segment.payload_bytes > 0 && !self.segment.fin && !self.segment.rst
    }

    pub(crate) fn answer(&self, agent: &SocketAddrV4) -> Option<AgentAnswer> {
        self.answers.get(agent).copied()
    }

    pub(crate) fn answers(&self) -> impl Iterator<Item = (&SocketAddrV4, &AgentAnswer)> {
        self.answers.iter()
    }

    pub(crate) fn note_answer(&mut self, agent: SocketAddrV4, answer: AgentAnswer) {
        self.answers.insert(agent, answer);
    }

    /// Whether any agent has answered that it does not own the flow.
    pub(crate) fn has_absent_answer(&self) -> bool {
        self.answers.values().any(|answer| matches!(answer, AgentAnswer::Absent(_)))
    }

    /// Agents whose answer or reaction is overdue, and agents that did not know.
    pub(crate) fn unresolved(&self, now: Duration) -> Vec<SocketAddrV4> {
        let is_unresolved = |answer: &AgentAnswer| match answer {
            AgentAnswer::Asked(at) => now.saturating_sub(*at) >= ANSWER_TIMEOUT,
            AgentAnswer::Tried(at) => now.saturating_sub(*at) >= TRIAL_TIMEOUT,
            AgentAnswer::Unknown => true,
            AgentAnswer::Absent(_) => false,
        };
        let unresolved = self.answers.iter().filter(|(_, answer)| is_unresolved(answer));
        unresolved.map(|(agent, _)| *agent).collect()
    }

    /// Agents that have not answered, with the time at which each was first asked.
    pub(crate) fn unanswered(&self) -> Vec<(SocketAddrV4, Duration)> {
        let unanswered = self.answers.iter().filter_map(|(agent, answer)| match answer {
            AgentAnswer::Asked(at) => Some((*agent, *at)),
            _ => None,
        });
        unanswered.collect()
    }

    /// When the answers in progress are due at the latest; `None` if none is awaited.
    pub(crate) fn answers_due_at(&self, now: Duration) -> Option<Duration> {
        let until = self.answers.values().filter_map(|answer| match answer {
            AgentAnswer::Asked(at) => Some(*at + ANSWER_TIMEOUT),
            AgentAnswer::Tried(at) => Some(*at + TRIAL_TIMEOUT),
            AgentAnswer::Unknown | AgentAnswer::Absent(_) => None,
        });
        until.filter(|until| *until > now).max()
    }

    /// Schedules the next retry; called when the agents without a final answer are asked again.
    pub(crate) fn note_retry(&mut self, now: Duration) {
        let delay = INITIAL_RETRY_DELAY * 2_u32.pow(self.delay_doublings);
        self.delay_doublings = (self.delay_doublings + 1).min(MAX_DELAY_DOUBLINGS);
        self.next_retry = now + delay.min(MAX_RETRY_DELAY);
    }

    /// Whether the caller has stopped sending.
    pub(crate) fn is_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_packet) >= LOOKUP_TIMEOUT
    }
}

fn is_recent(now: Duration, received_at: Duration) -> bool {
    now.saturating_sub(received_at) < ANSWER_TTL
}
