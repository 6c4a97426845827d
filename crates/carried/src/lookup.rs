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
pub(crate) const FIRST_BATCH: usize = 16;
/// An agent has so long to answer before others are asked as well.
pub(crate) const WORD_PATIENCE: Duration = Duration::from_millis(20);
/// A back end has so long to react to a packet that it was given on trial.
pub(crate) const TRIAL_PATIENCE: Duration = Duration::from_millis(60);
/// Packets that wait, at most: more than a caller has under way.
const MOST_WAITING: usize = 16;
/// Back ends that get a packet which may not be theirs, while the holder may be one that cannot be
/// asked now.
pub(crate) const MOST_TRIALS: usize = 2;
/// Back ends that are tried at once at first; with each round their number doubles.
///
/// New flows are placed at the first eight in their ranking of the own zone and of all others: two
/// rounds, of 4 and 8, nearly always meet the holder. Rounds of 2, 8 and then all the rest, as they
/// were before, sent ten times the packets of a flow whose holder came later.
pub(crate) const FIRST_TRIALS: usize = 4;
/// Doublings after which their number grows no more.
pub(crate) const MOST_TRIAL_DOUBLINGS: u32 = 4;
/// First pause before those that have not answered are asked again; it doubles up to the last.
pub(crate) const FIRST_PAUSE: Duration = Duration::from_millis(40);
const LAST_PAUSE: Duration = Duration::from_millis(640);
/// Doublings after which the pause grows no more.
const MOST_PAUSES: u32 = 8;
/// What agents have said holds for so long, and packets that have waited for longer are left to their
/// callers' repetitions, which come within 1.6 s: a port may be used again meanwhile.
const SAID_LASTS: Duration = Duration::from_millis(1_500);
/// A search ends so long after the caller's last packet.
pub(crate) const LASTS: Duration = Duration::from_secs(4);

/// What an agent has said so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Said {
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
    pub(crate) started: Duration,
    last_packet: Duration,
    /// Packets with when each came.
    waiting: Vec<(Duration, Vec<u8>)>,
    said: BTreeMap<SocketAddrV4, Said>,
    /// Batches asked so far.
    pub(crate) batches: u32,
    /// Back ends tried; at most [`MOST_TRIALS`] while the holder may be one that cannot be asked.
    pub(crate) trials: usize,
    /// Rounds of trials so far.
    pub(crate) trial_rounds: u32,
    /// When the search began; `None` while it waits for its turn.
    pub(crate) began_at: Option<Duration>,
    pauses: u32,
    /// When those that have not settled the matter are asked again.
    pub(crate) next_ask: Duration,
    /// It was told that the search takes long.
    pub(crate) was_reported: bool,
    /// When the caller was told that nobody holds the flow.
    pub(crate) ended_at: Option<Duration>,
}

impl Lookup {
    pub(crate) fn new(now: Duration, segment: Segment, datagram: &[u8]) -> Self {
        Lookup {
            segment,
            started: now,
            last_packet: now,
            waiting: vec![(now, datagram.to_vec())],
            said: BTreeMap::new(),
            batches: 0,
            trials: 0,
            trial_rounds: 0,
            began_at: None,
            pauses: 0,
            next_ask: now + FIRST_PAUSE,
            was_reported: false,
            ended_at: None,
        }
    }

    /// Whether the search still serves a packet: it is of the same flow and not of another one
    /// between the same addresses, and what was said so far is not old.
    pub(crate) fn serves(&self, now: Duration, segment: &Segment) -> bool {
        self.segment.may_share_flow(segment) && now.saturating_sub(self.started) < SAID_LASTS
    }

    /// Another packet of the flow came.
    pub(crate) fn add(&mut self, now: Duration, segment: &Segment, datagram: &[u8]) {
        self.last_packet = now;
        if segment.payload_bytes > 0 || self.segment.payload_bytes == 0 {
            self.segment = *segment;
        }
        if self.waiting.len() < MOST_WAITING {
            self.waiting.push((now, datagram.to_vec()));
        }
        // What was tried long ago without a reaction may be tried once more.
        for word in self.said.values_mut() {
            if matches!(word, Said::Tried(at) if now.saturating_sub(*at) >= TRIAL_PATIENCE) {
                *word = Said::Unsure;
            }
        }
        self.pauses = 0;
        self.next_ask = self.next_ask.min(now + FIRST_PAUSE);
    }

    /// Takes the packets that wait and are not old.
    pub(crate) fn take_waiting(&mut self, now: Duration) -> Vec<Vec<u8>> {
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
        last.filter(|_| self.demands_answer()).map(|(_, packet)| packet)
    }

    /// Whether the caller waits for something, and has not left.
    pub(crate) fn demands_answer(&self) -> bool {
        self.segment.payload_bytes > 0 && !self.segment.fin && !self.segment.rst
    }

    pub(crate) fn said(&self, agent: &SocketAddrV4) -> Option<Said> {
        self.said.get(agent).copied()
    }

    pub(crate) fn all_said(&self) -> impl Iterator<Item = (&SocketAddrV4, &Said)> {
        self.said.iter()
    }

    pub(crate) fn note(&mut self, agent: SocketAddrV4, said: Said) {
        self.said.insert(agent, said);
    }

    /// Whether any agent has said that the flow does not live there.
    pub(crate) fn has_answer(&self) -> bool {
        self.said.values().any(|word| matches!(word, Said::Absent(_)))
    }

    /// Agents that have said nothing for longer than they need, and ones that were unsure.
    pub(crate) fn unsettled(&self, now: Duration) -> Vec<SocketAddrV4> {
        let is_unsettled = |word: &Said| match word {
            Said::Asked(at) => now.saturating_sub(*at) >= WORD_PATIENCE,
            Said::Tried(at) => now.saturating_sub(*at) >= TRIAL_PATIENCE,
            Said::Unsure => true,
            Said::Absent(_) => false,
        };
        let unsettled = self.said.iter().filter(|(_, word)| is_unsettled(word));
        unsettled.map(|(agent, _)| *agent).collect()
    }

    /// Agents that have said nothing, with when they were asked first.
    pub(crate) fn silent(&self) -> Vec<(SocketAddrV4, Duration)> {
        let silent = self.said.iter().filter_map(|(agent, word)| match word {
            Said::Asked(at) => Some((*agent, *at)),
            _ => None,
        });
        silent.collect()
    }

    /// When the words that are awaited are here or overdue; `None` when none is awaited.
    pub(crate) fn awaits_until(&self, now: Duration) -> Option<Duration> {
        let until = self.said.values().filter_map(|word| match word {
            Said::Asked(at) => Some(*at + WORD_PATIENCE),
            Said::Tried(at) => Some(*at + TRIAL_PATIENCE),
            Said::Unsure | Said::Absent(_) => None,
        });
        until.filter(|until| *until > now).max()
    }

    /// Those that have not settled the matter are asked again now.
    pub(crate) fn note_asked_again(&mut self, now: Duration) {
        let pause = FIRST_PAUSE * 2_u32.pow(self.pauses);
        self.pauses = (self.pauses + 1).min(MOST_PAUSES);
        self.next_ask = now + pause.min(LAST_PAUSE);
    }

    /// Whether the caller has stopped asking.
    pub(crate) fn is_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_packet) >= LASTS
    }
}

fn is_recent(now: Duration, came_at: Duration) -> bool {
    now.saturating_sub(came_at) < SAID_LASTS
}
