//! The steering option: which agents may hold a packet's flow, and how far the packet has come.

use bincode::{Decode, Encode};
use std::net::SocketAddrV4;
use thiserror::Error;

/// Most candidates that one packet carries.
pub const MAX_CANDIDATES: usize = 12;
/// Most further lists that a packet is given when nobody on its first one knows its flow.
pub const MAX_PAGES: u8 = 4;
/// Most bytes of the option's body; GENEVE allows 124.
pub const MAX_OPTION_BYTES: usize = FIXED_BYTES + MAX_CANDIDATES * CANDIDATE_BYTES;

const FIXED_BYTES: usize = 16;
const CANDIDATE_BYTES: usize = 8;
const NO_BEST: u8 = 0xFF;

const CODEC: bincode::config::Configuration<bincode::config::BigEndian, bincode::config::Fixint> =
    bincode::config::standard().with_big_endian().with_fixed_int_encoding();

/// Identity of a service, at most 24 bits: the GENEVE virtual network identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub u32);

/// Identity of a back end, unique over all services and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendId(pub u16);

/// A back end that may hold a flow, by the address of the agent beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The back end.
    pub backend: BackendId,
    /// UDP address of its agent.
    pub agent: SocketAddrV4,
}

/// What the packet asks of the agents on its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SteeringMode {
    /// The flow exists: the first agent that knows it takes the packet.
    Locate,
    /// A new flow: every candidate adds its load, the last one hands the packet to the best.
    Select,
    /// The tour chose this agent: it opens the flow.
    Open,
}

/// The least loaded candidate seen so far on a tour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeastLoaded {
    /// Its place in the candidate list.
    pub index: u8,
    /// Its load: open flows as a share of its weight, in units that only compare.
    pub load: u16,
}

/// An ordered list of candidates without allocation.
#[derive(Clone, Copy, Debug)]
pub struct CandidateList {
    length: u8,
    entries: [Candidate; MAX_CANDIDATES],
}

const EMPTY_CANDIDATE: Candidate = Candidate {
    backend: BackendId(0),
    agent: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
};

impl CandidateList {
    /// An empty list.
    pub const fn new() -> Self {
        CandidateList { length: 0, entries: [EMPTY_CANDIDATE; MAX_CANDIDATES] }
    }

    /// Appends a candidate unless its back end is listed already or the list is full.
    pub fn push(&mut self, candidate: Candidate) {
        let full = usize::from(self.length) == MAX_CANDIDATES;
        if full || self.position(candidate.backend).is_some() {
            return;
        }
        self.entries[usize::from(self.length)] = candidate;
        self.length += 1;
    }

    /// Appends a candidate whose back end the caller knows not to be listed; a full list stays.
    pub fn push_distinct(&mut self, candidate: Candidate) {
        if let Some(entry) = self.entries.get_mut(usize::from(self.length)) {
            *entry = candidate;
            self.length += 1;
        }
    }

    /// The candidates in the order of asking.
    pub fn as_slice(&self) -> &[Candidate] {
        &self.entries[..usize::from(self.length)]
    }

    /// Where a back end stands in the list.
    pub fn position(&self, backend: BackendId) -> Option<usize> {
        self.as_slice().iter().position(|candidate| candidate.backend == backend)
    }
}

impl Default for CandidateList {
    fn default() -> Self {
        Self::new()
    }
}

impl PartialEq for CandidateList {
    fn eq(&self, other: &Self) -> bool {
        self.as_slice() == other.as_slice()
    }
}

impl Eq for CandidateList {}

/// The steering option's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SteeringOption {
    /// What is asked of the agents.
    pub mode: SteeringMode,
    /// Place in the list of the agent that the packet is on its way to.
    pub cursor: u8,
    /// How many more times agents may pass the packet on.
    pub hops_left: u8,
    /// How many lists before this one were asked in vain, at most [`MAX_PAGES`].
    pub page: u8,
    /// The first so many candidates may open new flows; the rest may only hold old ones.
    pub eligible_count: u8,
    /// The best candidate seen on the tour.
    pub least_loaded: Option<LeastLoaded>,
    /// The service's configuration epoch in which the balancer decided.
    pub epoch: u64,
    /// The agents to ask, in order.
    pub candidates: CandidateList,
}

/// Why an option's body is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OptionError {
    /// The body does not have the length its content needs.
    #[error("wrong length")]
    Length,
    /// The mode is none of the known ones.
    #[error("unknown mode")]
    Mode,
    /// The cursor, the eligible count or the best index points behind the list.
    #[error("an index points behind the candidate list")]
    Index,
    /// Two candidates are the same back end, or the list is too long.
    #[error("a candidate is listed twice, or too many are")]
    Candidates,
}

/// The lower half of the first byte is the mode, the upper half the page.
const PAGE_SHIFT: u32 = 4;
const MODE_MASK: u8 = 0x0F;

#[derive(Encode, Decode)]
struct FixedPart {
    mode: u8,
    cursor: u8,
    hops_left: u8,
    eligible_count: u8,
    least_loaded_index: u8,
    length: u8,
    least_load: u16,
    epoch: u64,
}

#[derive(Encode, Decode)]
struct CandidatePart {
    agent_address: [u8; 4],
    agent_port: u16,
    backend: u16,
}

impl SteeringOption {
    /// The candidate that the packet is on its way to.
    pub fn current(&self) -> Option<Candidate> {
        self.candidates.as_slice().get(usize::from(self.cursor)).copied()
    }

    /// Place of the best candidate seen on the tour.
    pub fn least_loaded_index(&self) -> Option<u8> {
        self.least_loaded.map(|best| best.index)
    }

    /// Writes the body and returns its length in bytes, a multiple of 4.
    pub fn encode(&self, body: &mut [u8; MAX_OPTION_BYTES]) -> usize {
        let fixed = FixedPart {
            mode: self.mode as u8 | (self.page << PAGE_SHIFT),
            cursor: self.cursor,
            hops_left: self.hops_left,
            eligible_count: self.eligible_count,
            least_loaded_index: self.least_loaded.map_or(NO_BEST, |best| best.index),
            length: self.candidates.length,
            least_load: self.least_loaded.map_or(0, |best| best.load),
            epoch: self.epoch,
        };
        let mut written = bincode::encode_into_slice(fixed, body, CODEC).unwrap_or(0);
        for candidate in self.candidates.as_slice() {
            let part = CandidatePart {
                agent_address: candidate.agent.ip().octets(),
                agent_port: candidate.agent.port(),
                backend: candidate.backend.0,
            };
            written += bincode::encode_into_slice(part, &mut body[written..], CODEC).unwrap_or(0);
        }
        written
    }

    /// Reads a body and checks that every index lies in the list.
    pub fn decode(body: &[u8]) -> Result<Self, OptionError> {
        let (fixed, mut read): (FixedPart, usize) =
            bincode::decode_from_slice(body, CODEC).map_err(|_| OptionError::Length)?;
        if usize::from(fixed.length) > MAX_CANDIDATES {
            return Err(OptionError::Candidates);
        }
        let mut candidates = CandidateList::new();
        for _ in 0..fixed.length {
            let (part, bytes): (CandidatePart, usize) =
                bincode::decode_from_slice(&body[read..], CODEC)
                    .map_err(|_| OptionError::Length)?;
            read += bytes;
            candidates.push(Candidate {
                backend: BackendId(part.backend),
                agent: SocketAddrV4::new(part.agent_address.into(), part.agent_port),
            });
        }
        if read != body.len() {
            return Err(OptionError::Length);
        }
        if candidates.length != fixed.length {
            return Err(OptionError::Candidates);
        }
        fixed.into_option(candidates)
    }
}

impl FixedPart {
    fn into_option(self, candidates: CandidateList) -> Result<SteeringOption, OptionError> {
        let page = self.mode >> PAGE_SHIFT;
        if page > MAX_PAGES {
            return Err(OptionError::Index);
        }
        let mode = match self.mode & MODE_MASK {
            0 => SteeringMode::Locate,
            1 => SteeringMode::Select,
            2 => SteeringMode::Open,
            _ => return Err(OptionError::Mode),
        };
        let least_loaded = (self.least_loaded_index != NO_BEST)
            .then_some(LeastLoaded { index: self.least_loaded_index, load: self.least_load });
        let index_in_list = least_loaded.is_none_or(|best| best.index < self.length);
        if self.cursor >= self.length || self.eligible_count > self.length || !index_in_list {
            return Err(OptionError::Index);
        }
        Ok(SteeringOption {
            mode,
            cursor: self.cursor,
            hops_left: self.hops_left,
            page,
            eligible_count: self.eligible_count,
            least_loaded,
            epoch: self.epoch,
            candidates,
        })
    }
}
