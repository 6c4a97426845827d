//! The steering option: which agents may own a packet's flow, and which of them the packet has
//! visited.

use bincode::{Decode, Encode};
use std::net::SocketAddrV4;
use thiserror::Error;

/// Maximum number of candidates in one packet.
pub const MAX_CANDIDATES: usize = 12;
/// Maximum number of further candidate lists (pages) that a packet gets if no agent on its first
/// list owns its flow.
pub const MAX_PAGES: u8 = 4;
/// Maximum length of the option's body. GENEVE allows 124 bytes.
pub const MAX_OPTION_BYTES: usize = FIXED_BYTES + MAX_CANDIDATES * CANDIDATE_BYTES;

const FIXED_BYTES: usize = 16;
const CANDIDATE_BYTES: usize = 8;
const NO_CANDIDATE: u8 = 0xFF;

const CODEC: bincode::config::Configuration<bincode::config::BigEndian, bincode::config::Fixint> =
    bincode::config::standard().with_big_endian().with_fixed_int_encoding();

/// Id of a service, at most 24 bits. It is used as the GENEVE virtual network identifier (VNI).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub u32);

/// Id of a back end, unique over all services and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendId(pub u16);

/// A back end that may own a flow, and its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The back end.
    pub backend: BackendId,
    /// UDP address of its agent.
    pub agent: SocketAddrV4,
}

/// What the agents on the list do with the packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SteeringMode {
    /// Find an existing flow: the first agent that owns it takes the packet.
    Locate,
    /// Select an agent for a new flow: every candidate compares its load with the lowest so far,
    /// and the last one forwards the packet to the least loaded.
    Select,
    /// Open the flow: this agent was selected.
    Open,
}

/// The least loaded candidate that a packet has visited so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeastLoaded {
    /// Its index in the candidate list.
    pub index: u8,
    /// Its load: flows per slot, in units that only serve for comparison.
    pub load: u16,
}

/// An ordered list of candidates that does not allocate.
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
    /// Creates an empty list.
    pub const fn new() -> Self {
        CandidateList { length: 0, entries: [EMPTY_CANDIDATE; MAX_CANDIDATES] }
    }

    /// Appends a candidate unless its back end is already listed or the list is full.
    pub fn push(&mut self, candidate: Candidate) {
        let full = usize::from(self.length) == MAX_CANDIDATES;
        if full || self.position(candidate.backend).is_some() {
            return;
        }
        self.entries[usize::from(self.length)] = candidate;
        self.length += 1;
    }

    /// Appends a candidate unless the list is full. The caller must know that its back end is not
    /// listed yet.
    pub fn push_distinct(&mut self, candidate: Candidate) {
        if let Some(entry) = self.entries.get_mut(usize::from(self.length)) {
            *entry = candidate;
            self.length += 1;
        }
    }

    /// The candidates, in the order in which they are asked.
    pub fn as_slice(&self) -> &[Candidate] {
        &self.entries[..usize::from(self.length)]
    }

    /// Index of a back end in the list.
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

/// The content of a steering option.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SteeringOption {
    /// What the agents do with the packet.
    pub mode: SteeringMode,
    /// Index in the list of the candidate that the packet is sent to.
    pub cursor: u8,
    /// How many more times agents may forward the packet.
    pub hops_left: u8,
    /// How many candidate lists (pages) were asked without success before this one, at most
    /// [`MAX_PAGES`].
    pub page: u8,
    /// Number of candidates, from the start of the list, that are asked first to open a new flow.
    /// The rest may own existing flows, and are asked if none of the first accepts.
    pub eligible_count: u8,
    /// The least loaded candidate so far; `None` if none has accepted the flow.
    pub least_loaded: Option<LeastLoaded>,
    /// Epoch of the service's configuration from which the list was made.
    pub epoch: u64,
    /// The agents to ask, in order.
    pub candidates: CandidateList,
}

/// Why an option's body is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OptionError {
    /// The body's length does not match its content.
    #[error("the length does not match the content")]
    Length,
    /// The mode is unknown.
    #[error("unknown steering mode")]
    Mode,
    /// The cursor, the eligible count or the index of the least loaded candidate is out of range of
    /// the list, or the page exceeds [`MAX_PAGES`].
    #[error("an index is out of range of the candidate list, or there are too many pages")]
    Index,
    /// A back end is listed twice, or the list is too long.
    #[error("a candidate is listed twice, or there are too many candidates")]
    Candidates,
}

/// The first byte holds the mode in its lower and the page in its upper four bits.
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
    lowest_load: u16,
    epoch: u64,
}

#[derive(Encode, Decode)]
struct CandidatePart {
    agent_address: [u8; 4],
    agent_port: u16,
    backend: u16,
}

impl SteeringOption {
    /// The candidate that the packet is sent to.
    pub fn current(&self) -> Option<Candidate> {
        self.candidates.as_slice().get(usize::from(self.cursor)).copied()
    }

    /// Index of the least loaded candidate so far.
    pub fn least_loaded_index(&self) -> Option<u8> {
        self.least_loaded.map(|entry| entry.index)
    }

    /// Encodes the body and returns its length in bytes, a multiple of 4.
    pub fn encode(&self, body: &mut [u8; MAX_OPTION_BYTES]) -> usize {
        let fixed = FixedPart {
            mode: self.mode as u8 | (self.page << PAGE_SHIFT),
            cursor: self.cursor,
            hops_left: self.hops_left,
            eligible_count: self.eligible_count,
            least_loaded_index: self.least_loaded.map_or(NO_CANDIDATE, |entry| entry.index),
            length: self.candidates.length,
            lowest_load: self.least_loaded.map_or(0, |entry| entry.load),
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

    /// Decodes a body and checks that every index lies in the list.
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
        let least_loaded = (self.least_loaded_index != NO_CANDIDATE)
            .then_some(LeastLoaded { index: self.least_loaded_index, load: self.lowest_load });
        let index_in_list = least_loaded.is_none_or(|entry| entry.index < self.length);
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
