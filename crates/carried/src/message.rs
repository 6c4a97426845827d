//! Messages between nodes, encoded with `bincode`, one message per datagram.

use crate::configuration::CarriedConfiguration;
use crate::flow_knowledge::FlowKnowledge;
use crate::store_status::Confirmation;
use crate::version::Version;
use bincode::{Decode, Encode};
use std::net::SocketAddrV4;

/// Maximum size of a message: a caller's packet plus the fields in front of it.
pub const MAX_MESSAGE_BYTES: usize = 2_048;

/// The role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub enum NodeRole {
    /// Receives callers' packets and forwards them to agents.
    Balancer,
    /// Runs beside one back end.
    Agent,
}

/// How many requests an agent may admit beyond its free slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Admission {
    /// Only if a slot is free.
    FreeSlot,
    /// If the request can still be answered within this many milliseconds.
    Within(u32),
    /// Like `Within`, although the back end fails its requests: there is no other one.
    Failing(u32),
    /// Only if slots are to spare, because the request is already late.
    Spare,
    /// If there is room or the request can still be answered in time; otherwise it waits in the
    /// agent's wait queue.
    WaitQueue {
        /// Milliseconds within which an answer is in time.
        within_ms: u16,
        /// Milliseconds until the caller's attempt ends.
        attempt_remaining_ms: u16,
        /// Priority of the route's requests; 0 is the most urgent.
        priority: u8,
    },
}

/// Whether the back end beside an agent takes new flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum BackendCondition {
    /// Nothing has been reported yet.
    #[default]
    Unknown,
    /// It takes new flows.
    Accepting,
    /// It currently does not respond.
    Silent,
    /// It is leaving or has left, or its agent is stopping.
    Leaving,
    /// It fails its requests and the circuit breaker is open.
    Failing,
    /// Its process has exited: it has no open flows.
    Ended,
    /// It would accept new flows, but its zone is evacuated.
    Evacuated,
    /// It has reported that it takes new flows, but that report may be outdated.
    Unverified,
}

/// An agent's load report; only the agent itself knows these figures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Name of the back end's service.
    pub service: String,
    /// Whether new flows are accepted.
    pub condition: BackendCondition,
    /// Requests that the back end processes concurrently.
    pub capacity: u16,
    /// Requests without an answer yet, including those in progress.
    pub waiting: u16,
    /// New flows queued until the back end has room.
    pub queued: u16,
    /// Mean time from a request to its answer while slots were free, in microseconds; 0 before the
    /// first measurement.
    pub service_time_us: u32,
    /// Milliseconds since its last measurement.
    pub measured_ms_ago: u32,
    /// Whether the back end is still slow after its start.
    pub is_cold: bool,
    /// New flows that a cold back end may still be given at this time; `None` without a limit.
    pub cold_allowance: Option<u16>,
    /// Milliseconds since the back end's start, if this agent process has run since then and is
    /// young. For logs.
    pub backend_age_ms: Option<u32>,
    /// Whether the agent knows all flows of its back end.
    pub flow_knowledge: FlowKnowledge,
    /// Milliseconds since the agent process started; `None` once it has run for as long as a flow
    /// lasts. For logs.
    pub uptime_ms: Option<u32>,
}

/// Why an agent declines a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum DeclineReason {
    /// The back end is at the limit of the offer's admission.
    Busy,
    /// The back end returned the SYN.
    Returned,
    /// The back end is leaving, does not respond, or has not reported reliably yet.
    NotAccepting,
    /// The back end belongs to another service.
    OtherService,
    /// The back end fails its requests.
    Failing,
    /// The back end's zone is evacuated.
    Evacuated,
    /// The back end is cold and has reached its limit of new flows.
    Cold,
}

impl DeclineReason {
    /// Whether the agent may have room again within a short time.
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

/// A flow's identity, as in the packets of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FlowName {
    /// The flow's caller.
    pub caller: SocketAddrV4,
    /// The address that the caller connected to.
    pub service: SocketAddrV4,
}

/// A query whether an agent owns a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FlowQuery {
    /// The flow in question.
    pub flow: FlowName,
    /// Acknowledgement number of its caller's last packet, if any.
    pub acknowledged: Option<u32>,
}

/// What an agent knows of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum FlowStatus {
    /// The agent owns the flow.
    Owned,
    /// The agent does not own the flow, and it knows every flow of its back end.
    Absent,
    /// The agent does not know the flow; an earlier process of the agent may have placed it.
    Unknown,
    /// The agent has not received a report of its back end yet and will know soon.
    NotReady,
}

/// An agent's answer about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FlowAnswer {
    /// The flow in question.
    pub flow: FlowName,
    /// What the agent knows of it.
    pub status: FlowStatus,
}

/// Maximum size of all packets in one `TryForwardBatch`; with addresses and lengths, no packet being
/// shorter than its header, it stays below the usual size of an IP packet.
pub(crate) const MAX_PACKET_BYTES_PER_MESSAGE: usize = 1_100;
/// Maximum number of agents in one `RelayTrial`; with the largest packet it stays below the usual
/// size of an IP packet.
pub(crate) const MAX_RELAYED_AGENTS: usize = 24;
/// Maximum size of a decoded message in memory: lists take more room there than in a datagram.
const MAX_DECODED_BYTES: usize = 2 * MAX_MESSAGE_BYTES;

/// A packet on trial, passed on for a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TrialPacket {
    /// The balancer that gets the answer.
    pub balancer: SocketAddrV4,
    /// The packet.
    pub datagram: Vec<u8>,
}

/// Maximum number of flows in one lookup or reply; keeps it below [`MAX_MESSAGE_BYTES`].
pub const MAX_FLOWS_PER_MESSAGE: usize = 64;

/// What nodes send each other regularly.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Whether the sender is a balancer or an agent.
    pub role: NodeRole,
    /// The sender's zone.
    pub zone: String,
    /// The sender's region.
    pub region: String,
    /// Increases with each start of the sender.
    pub incarnation: u64,
    /// Bandwidth of the sender's link in megabits per second.
    pub link_mbps: u32,
    /// Version of the configuration in force at the sender.
    pub configuration: Version,
    /// Digest of that configuration.
    pub digest: u64,
    /// The latest confirmation known to the sender that the shared store held nothing newer.
    pub confirmation: Option<Confirmation>,
    /// How often the shared store recovered from an outage, as far as the sender knows.
    pub store_recoveries: u32,
    /// Load of the sender, if it is an agent.
    pub report: Option<LoadReport>,
    /// The sender has no recent heartbeat of the receiver and wants one in return.
    pub wants_reply: bool,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Balancer to agent: offers a new flow, whose SYN is `datagram`.
    Offer {
        /// Number that the balancer gave to the offer.
        number: u64,
        /// The service that the flow is for.
        service: String,
        /// How many requests the agent may admit beyond its free slots.
        admission: Admission,
        /// The SYN.
        datagram: Vec<u8>,
    },
    /// Agent to balancer: the back end has answered the SYN.
    Placed {
        /// The offer's number.
        number: u64,
        /// The agent's load.
        report: LoadReport,
    },
    /// Agent to balancer: the flow is queued until the back end has room; `Placed` or `Declined`
    /// follows.
    Queued {
        /// The offer's number.
        number: u64,
        /// The agent's load.
        report: LoadReport,
    },
    /// Agent to balancer: the flow was not accepted, and no part of it was processed.
    Declined {
        /// The offer's number.
        number: u64,
        /// Why it was declined.
        reason: DeclineReason,
        /// The agent's load.
        report: LoadReport,
    },
    /// Balancer to agent: a packet of a flow that the agent owns.
    Forward {
        /// The packet.
        datagram: Vec<u8>,
    },
    /// Balancer to agent: asks whether the agent owns these flows.
    Lookup {
        /// At most [`MAX_FLOWS_PER_MESSAGE`].
        queries: Vec<FlowQuery>,
    },
    /// Agent to balancer: what it knows of flows it was asked about or got a `TryForward` for.
    LookupReply {
        /// Milliseconds since the agent process started.
        uptime_ms: u32,
        /// One answer per flow.
        answers: Vec<FlowAnswer>,
    },
    /// Balancer to agent: a packet of a flow that an earlier process of the agent may have placed;
    /// the back end decides whether the flow is its own.
    TryForward {
        /// The packet.
        datagram: Vec<u8>,
    },
    /// Agent to balancer: the agent owned the flow, which is over; its caller has been reset.
    Ended {
        /// The flow.
        flow: FlowName,
    },
    /// Agent to balancer: the agent does not own the flow of a forwarded packet.
    NotOwned {
        /// The packet, as its sender wrote it.
        datagram: Vec<u8>,
    },
    /// Any node to any other: the regular heartbeat.
    Heartbeat(Heartbeat),
    /// Balancer to agent: requests a delegated store read. The shared store refuses the balancer,
    /// so the agent reads the configuration and reports it.
    ReadStore,
    /// Balancer to any node: the shared store's list lacks the receiver, which should add itself
    /// again.
    NotListed,
    /// Balancer or relay to agent: like several `TryForward`, each with a packet of another flow and
    /// perhaps of another balancer.
    TryForwardBatch {
        /// The packets, [`MAX_PACKET_BYTES_PER_MESSAGE`] together unless there is only one.
        packets: Vec<TrialPacket>,
    },
    /// Balancer to agent: asks the agent to pass a packet on trial to other agents, which answer the
    /// balancer.
    RelayTrial {
        /// The agents, at most [`MAX_RELAYED_AGENTS`].
        agents: Vec<SocketAddrV4>,
        /// The packet.
        datagram: Vec<u8>,
    },
}

impl Message {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data into a growing buffer cannot fail.
        bincode::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Decodes a datagram; `None` if it is not a message or has trailing bytes.
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let limited = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
        let (message, used) = bincode::decode_from_slice(datagram, limited).ok()?;
        (used == datagram.len()).then_some(message)
    }
}

/// Maximum size of a snapshot that is decoded.
const MAX_SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;

/// All that a node needs which starts without any state; served by every node on request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Snapshot {
    /// The newest known configuration.
    pub configuration: Option<CarriedConfiguration>,
    /// The known nodes with their roles, the sender first.
    pub members: Vec<(SocketAddrV4, NodeRole)>,
}

impl Snapshot {
    /// Encodes the snapshot.
    pub fn encode(&self) -> Vec<u8> {
        bincode::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Decodes a snapshot; `None` if the bytes are not one or some are left over.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let limited = bincode::config::standard().with_limit::<MAX_SNAPSHOT_BYTES>();
        let (snapshot, used) = bincode::decode_from_slice(bytes, limited).ok()?;
        (used == bytes.len()).then_some(snapshot)
    }
}
