//! What nodes say to each other, in `bincode`, a message a datagram.

use crate::configuration::CarriedConfiguration;
use crate::store_status::Confirmation;
use crate::version::Version;
use bincode::{Decode, Encode};
use std::net::SocketAddrV4;

/// Largest message: a caller's packet with what stands before it.
pub const MAX_MESSAGE_BYTES: usize = 2_048;

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub enum NodeRole {
    /// Takes callers' packets and sends them on to agents.
    Balancer,
    /// Stands beside one back end.
    Agent,
}

/// How much an agent may take beyond its free slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Admission {
    /// Only when a slot is free.
    FreeSlot,
    /// When the request can still be answered within so many milliseconds.
    Within(u32),
    /// As `Within`, though the back end fails: no other one is there.
    Failing(u32),
    /// Only when slots are to spare: the request is late already.
    Spare,
    /// When there is room, or when the request can still be answered in time; until then it waits in
    /// the agent's line.
    WaitQueue {
        /// In time is within so many milliseconds.
        within_ms: u16,
        /// The caller's try lasts for so many milliseconds more.
        attempt_remaining_ms: u16,
        /// How urgent the route's requests are; 0 is the most urgent.
        priority: u8,
    },
}

/// Whether the back end beside an agent takes new flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum BackendCondition {
    /// Nothing is known of it yet.
    #[default]
    Unknown,
    /// It takes new flows.
    Accepting,
    /// It answers nothing just now.
    Silent,
    /// It leaves, has left, or its agent stops.
    Leaving,
    /// It fails what it is asked and rests.
    Failing,
    /// Its process has ended: it holds no flow.
    Ended,
    /// It would take new flows, but its zone is evacuated.
    Evacuated,
}

/// An agent's load, as only it knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Name of the back end's service.
    pub service: String,
    /// Whether new flows are taken.
    pub condition: BackendCondition,
    /// Requests that the back end works on at once.
    pub capacity: u16,
    /// Requests that wait for an answer, those in work included.
    pub waiting: u16,
    /// New flows that wait until the back end has room.
    pub queued: u16,
    /// Mean time from a request to its answer when slots were free, in microseconds; 0 before any
    /// was measured.
    pub service_time_us: u32,
    /// Milliseconds since the last measurement of it.
    pub measured_ms_ago: u32,
    /// The back end is still slow from its start.
    pub is_cold: bool,
    /// New flows that it may still be given just now, where it is cold and a limit is told.
    pub cold_allowance: Option<u16>,
    /// Milliseconds since the back end's start, if this process of the agent has run ever since and
    /// is young.
    pub backend_age_ms: Option<u32>,
    /// Which flows of its back end the agent knows.
    pub memory: FlowKnowledge,
    /// Milliseconds since the agent's process started; `None` once it has run for as long as a flow
    /// lasts. By it balancers tell whether all processes started together.
    pub uptime_ms: Option<u32>,
}

/// Which flows of its back end an agent knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum FlowKnowledge {
    /// All: the back end's very first heartbeat came to this process, or the process has run for as
    /// long as a flow lasts.
    #[default]
    Complete,
    /// All, if the back end started beside this process, as it seems to the agent alone. Where the
    /// same is seen beside nearly every agent, everything has lost power.
    PresumedComplete,
    /// An earlier process of the agent may have placed flows that this one does not know. Asked for
    /// one of those it is unsure, so it need not be asked.
    Partial,
}

/// Why an agent does not take a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum DeclineReason {
    /// The back end has as much to do as the offer's admission allows.
    Busy,
    /// The back end sent the opening packet back.
    Returned,
    /// The back end leaves, is silent, or is not known yet.
    NotAccepting,
    /// The back end is of another service.
    OtherService,
    /// The back end fails what it is asked.
    Failing,
    /// The back end's zone is evacuated.
    Evacuated,
    /// The back end is cold and has been given as many new flows as it bears.
    Cold,
}

impl DeclineReason {
    /// Whether the agent may have room in a moment.
    pub(crate) fn is_transient(self) -> bool {
        matches!(self, DeclineReason::Busy | DeclineReason::Returned | DeclineReason::Cold)
    }

    /// The reason's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            DeclineReason::Busy => "busy",
            DeclineReason::Returned => "returned_by_backend",
            DeclineReason::NotAccepting => "not_accepting",
            DeclineReason::OtherService => "other_service",
            DeclineReason::Failing => "failing",
            DeclineReason::Evacuated => "zone_evacuated",
            DeclineReason::Cold => "cold",
        }
    }
}

/// A flow, as the packets of its caller name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FlowName {
    /// The flow's caller.
    pub caller: SocketAddrV4,
    /// The address that the caller dialled.
    pub service: SocketAddrV4,
}

/// The question whether a flow lives at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FlowQuery {
    /// The flow.
    pub flow: FlowName,
    /// What its caller's last packet acknowledges.
    pub acknowledged: Option<u32>,
}

/// What an agent knows of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum FlowStatus {
    /// It lives here.
    Owned,
    /// It does not live here: the agent knows every flow of its back end.
    Absent,
    /// The agent does not know it; an earlier process of the agent may have placed it.
    Unknown,
    /// The agent has not heard of its back end yet and will know soon.
    NotReady,
}

/// An agent's word about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FlowAnswer {
    /// The flow.
    pub flow: FlowName,
    /// What the agent knows of it.
    pub status: FlowStatus,
}

/// Most flows that one message asks for or answers about; it stays below [`MAX_MESSAGE_BYTES`].
pub const MAX_FLOWS_PER_MESSAGE: usize = 64;

/// What nodes tell each other without being asked.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// What the sender does.
    pub role: NodeRole,
    /// The sender's zone.
    pub zone: String,
    /// The sender's region.
    pub region: String,
    /// Rises with each start of the sender.
    pub incarnation: u64,
    /// Megabits a second of the sender's link.
    pub link_mbps: u32,
    /// Version of the configuration in force at the sender.
    pub configuration: Version,
    /// Digest of it.
    pub digest: u64,
    /// The shared store's last word known to the sender that nothing newer was there.
    pub confirmation: Option<Confirmation>,
    /// How often the shared store has come back, as far as the sender knows.
    pub store_restores: u32,
    /// An agent's load.
    pub report: Option<LoadReport>,
    /// The sender does not know the receiver well and wants a heartbeat in return.
    pub wants_reply: bool,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Balancer to agent: take this flow, whose opening packet is `datagram`.
    Offer {
        /// The balancer's number for the offer.
        number: u64,
        /// The service that the flow is for.
        service: String,
        /// How much the agent may take.
        admission: Admission,
        /// The opening packet.
        datagram: Vec<u8>,
    },
    /// Agent to balancer: the back end has answered the opening packet.
    Placed {
        /// The offer's number.
        number: u64,
        /// The agent's load.
        report: LoadReport,
    },
    /// Agent to balancer: the flow waits until the back end has room; `Placed` or `Declined` follows.
    Queued {
        /// The offer's number.
        number: u64,
        /// The agent's load.
        report: LoadReport,
    },
    /// Agent to balancer: not taken, and nothing of it has run.
    Declined {
        /// The offer's number.
        number: u64,
        /// Why.
        reason: DeclineReason,
        /// The agent's load.
        report: LoadReport,
    },
    /// Balancer to agent: a packet of a flow that lives there.
    Forward {
        /// The packet.
        datagram: Vec<u8>,
    },
    /// Balancer to agent: do these flows live there?
    Lookup {
        /// At most [`MAX_FLOWS_PER_MESSAGE`].
        queries: Vec<FlowQuery>,
    },
    /// Agent to balancer: what it knows of flows that it was asked for, or that were tried.
    LookupReply {
        /// Milliseconds since the agent's process started.
        uptime_ms: u32,
        /// A word for each.
        answers: Vec<FlowAnswer>,
    },
    /// Balancer to agent: a packet of a flow that an earlier process of the agent may have placed;
    /// the back end is to tell.
    TryForward {
        /// The packet.
        datagram: Vec<u8>,
    },
    /// Agent to balancer: the flow lived here and is over; its caller has been told.
    Ended {
        /// The flow.
        flow: FlowName,
    },
    /// Agent to balancer: the flow of a forwarded packet does not live here.
    NotOwned {
        /// The packet, as its sender wrote it.
        datagram: Vec<u8>,
    },
    /// Any node to any other.
    Heartbeat(Heartbeat),
    /// Balancer to agent: the shared store refuses the balancer; read the configuration there and
    /// tell.
    ReadStore,
    /// Balancer to any node: the shared store's list does not name it; it is to enter itself again.
    NotListed,
}

impl Message {
    /// The datagram that carries the message.
    pub fn encode(&self) -> Vec<u8> {
        // Plain data in a growing buffer always encodes.
        bincode::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Reads a datagram; `None` when it is no message, or one with bytes left over.
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let limited = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
        let (message, used) = bincode::decode_from_slice(datagram, limited).ok()?;
        (used == datagram.len()).then_some(message)
    }
}

/// Largest snapshot that is read, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;

/// What a node gives to whoever asks: all that a node which starts with nothing needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Snapshot {
    /// The newest configuration known.
    pub configuration: Option<CarriedConfiguration>,
    /// Nodes known, with what they do.
    pub members: Vec<(SocketAddrV4, NodeRole)>,
}

impl Snapshot {
    /// The snapshot's bytes.
    pub fn encode(&self) -> Vec<u8> {
        bincode::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Reads a snapshot's bytes.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let limited = bincode::config::standard().with_limit::<MAX_SNAPSHOT_BYTES>();
        let (snapshot, used) = bincode::decode_from_slice(bytes, limited).ok()?;
        (used == bytes.len()).then_some(snapshot)
    }
}
