//! The search for the agent that holds a flow which this balancer does not remember.
//!
//! Agents are asked by the flow's addresses; its packets wait here meanwhile. The first ones in the
//! flow's ranking are asked first, the others follow in growing batches. What an agent has said holds
//! for this one flow, which opened before the search began, and no longer than a caller may take to
//! use its port again.

use crate::segment::Segment;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Agents that are asked first; each further batch is twice as large.
pub(crate) const INITIAL_BATCH: usize = 16;
/// An agent has so long to answer before others are asked as well.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// A back end has so long to react to a packet that it was given on trial.
pub(crate) const TRIAL_TIMEOUT: Duration = Duration::from_millis(60);
/// Packets that wait, at most: more than a caller has under way.
const MOST_WAITING: usize = 16;
/// Back ends that get a packet which may not be theirs, while the holder may be one that cannot be
/// asked now.
pub(crate) const MAX_TRIALS: usize = 2;
/// Back ends that are tried at once at first; with each round their number doubles.
///
/// New flows are placed at the first eight in their ranking of the own zone and of all others: two
/// rounds, of 4 and 8, nearly always meet the holder. Rounds of 2, 8 and then all the rest, as they
/// were before, sent ten times the packets of a flow whose holder came later.
pub(crate) const INITIAL_TRIALS: usize = 4;
/// Doublings after which their number grows no more.
pub(crate) const MAX_TRIAL_DOUBLINGS: u32 = 4;
/// First pause before those that have not answered are asked again; it doubles up to the last.
pub(crate) const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(40);
const LAST_PAUSE: Duration = Duration::from_millis(640);
/// Doublings after which the pause grows no more.
const MOST_PAUSES: u32 = 8;
/// What agents have said holds for so long, and packets that have waited for longer are left to their
/// callers' repetitions, which come within 1.6 s: a port may be used again meanwhile.
const SAID_LASTS: Duration = Duration::from_millis(1_500);
/// A search ends so long after the caller's last packet.
pub(crate) const LOOKUP_TIMEOUT: Duration = Duration::from_secs(4);

/// What an agent has said so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AgentAnswer {
    /// Nothing since it was asked.
    Asked(Duration),
    /// It may have forgotten the flow.
    Unsure,
    /// It was given a packet on trial.
    Tried(Duration),
    /// The flow does not live there.
    Absent(Duration),
}

/// A search under way.
#[derive(Debug)]
pub(crate) struct Lookup {
    /// The caller's last packet, one with data before any other.
    pub(crate) segment: Segment,
    pub(crate) created_at: Duration,
    last_packet: Duration,
    /// Packets with when each came.
    waiting: Vec<(Duration, Vec<u8>)>,
    answers: BTreeMap<SocketAddrV4, AgentAnswer>,
    /// Batches asked so far.
    pub(crate) batches: u32,
    /// Back ends tried; at most [`MOST_TRIALS`] while the holder may be one that cannot be asked.
    pub(crate) trials: usize,
    /// Rounds of trials so far.
    pub(crate) trial_rounds: u32,
    /// When the search began; `None` while it waits for its turn.
    pub(crate) started_at: Option<Duration>,
    pauses: u32,
    /// When those that have not settled the matter are asked again.
    pub(crate) next_retry: Duration,
    /// It was told that the search takes long.
    pub(crate) slow_logged: bool,
    /// When the caller was told that nobody holds the flow.
    pub(crate) reset_at: Option<Duration>,
}

impl Lookup {
    pub(crate) fn new(now: Duration, segment: Segment, datagram: &[u8]) -> Self {
        Lookup {
            segment,
            created_at: now,
            last_packet: now,
            waiting: vec![(now, datagram.to_vec())],
            answers: BTreeMap::new(),
            batches: 0,
            trials: 0,
            trial_rounds: 0,
            started_at: None,
            pauses: 0,
            next_retry: now + INITIAL_RETRY_DELAY,
            slow_logged: false,
            reset_at: None,
        }
    }

    /// Whether the search still serves a packet: it is of the same flow and not of another one
    /// between the same addresses, and what was said so far is not old.
    pub(crate) fn applies_to(&self, now: Duration, segment: &Segment) -> bool {
        self.segment.is_near(segment) && now.saturating_sub(self.created_at) < SAID_LASTS
    }

    /// Another packet of the flow came.
    pub(crate) fn add_packet(&mut self, now: Duration, segment: &Segment, datagram: &[u8]) {
        self.last_packet = now;
        if segment.payload_bytes > 0 || self.segment.payload_bytes == 0 {
            self.segment = *segment;
        }
        if self.waiting.len() < MOST_WAITING {
            self.waiting.push((now, datagram.to_vec()));
        }
        // What was tried long ago without a reaction may be tried once more.
        for word in self.answers.values_mut() {
            if matches!(word, AgentAnswer::Tried(at) if now.saturating_sub(*at) >= TRIAL_TIMEOUT) {
                *word = AgentAnswer::Unsure;
            }
        }
        self.pauses = 0;
        self.next_retry = self.next_retry.min(now + INITIAL_RETRY_DELAY);
    }

    /// Takes the packets that wait and are not old.
    pub(crate) fn take_buffered(&mut self, now: Duration) -> Vec<Vec<u8>> {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        waiting.filter(|(came_at, _)| is_recent(now, *came_at)).map(|(_, packet)| packet).collect()
    }

    /// Whether its caller has sent something lately.
    pub(crate) fn is_recent(&self, now: Duration) -> bool {
        is_recent(now, self.last_packet)
    }

    /// A packet that a back end which holds the flow reacts to.
    pub(crate) fn trial_packet(&self, now: Duration) -> Option<&Vec<u8>> {
        let last = self.waiting.last().filter(|(came_at, _)| is_recent(now, *came_at));
        last.filter(|_| self.expects_answer()).map(|(_, packet)| packet)
    }

    /// Whether the caller waits for something, and has not left.
    pub(crate) fn expects_answer(&self) -> bool {
        self.segment.payload_bytes > 0 && !self.segment.finishes && !self.segment.resets
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

    /// Whether any agent has said that the flow does not live there.
    pub(crate) fn has_absent_answer(&self) -> bool {
        self.answers.values().any(|word| matches!(word, AgentAnswer::Absent(_)))
    }

    /// Agents that have said nothing for longer than they need, and ones that were unsure.
    pub(crate) fn unresolved(&self, now: Duration) -> Vec<SocketAddrV4> {
        let is_unsettled = |word: &AgentAnswer| match word {
            AgentAnswer::Asked(at) => now.saturating_sub(*at) >= ANSWER_TIMEOUT,
            AgentAnswer::Tried(at) => now.saturating_sub(*at) >= TRIAL_TIMEOUT,
            AgentAnswer::Unsure => true,
            AgentAnswer::Absent(_) => false,
        };
        let unresolved = self.answers.iter().filter(|(_, word)| is_unsettled(word));
        unresolved.map(|(agent, _)| *agent).collect()
    }

    /// Agents that have said nothing, with when they were asked first.
    pub(crate) fn unanswered(&self) -> Vec<(SocketAddrV4, Duration)> {
        let unanswered = self.answers.iter().filter_map(|(agent, word)| match word {
            AgentAnswer::Asked(at) => Some((*agent, *at)),
            _ => None,
        });
        unanswered.collect()
    }

    /// When the words that are awaited are here or overdue; `None` when none is awaited.
    pub(crate) fn answers_due_at(&self, now: Duration) -> Option<Duration> {
        let until = self.answers.values().filter_map(|word| match word {
            AgentAnswer::Asked(at) => Some(*at + ANSWER_TIMEOUT),
            AgentAnswer::Tried(at) => Some(*at + TRIAL_TIMEOUT),
            AgentAnswer::Unsure | AgentAnswer::Absent(_) => None,
        });
        until.filter(|until| *until > now).max()
    }

    /// Those that have not settled the matter are asked again now.
    pub(crate) fn note_retry(&mut self, now: Duration) {
        let pause = INITIAL_RETRY_DELAY * 2_u32.pow(self.pauses);
        self.pauses = (self.pauses + 1).min(MOST_PAUSES);
        self.next_retry = now + pause.min(LAST_PAUSE);
    }

    /// Whether the caller has stopped asking.
    pub(crate) fn is_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_packet) >= LOOKUP_TIMEOUT
    }
}

fn is_recent(now: Duration, came_at: Duration) -> bool {
    now.saturating_sub(came_at) < SAID_LASTS
}
