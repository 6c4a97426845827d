//! Carried flows: flows that end at the back end itself, not at the agent.
//!
//! Balancers and agents relay the packets of such a flow and cannot change their contents.
//! [`CarriedBalancer`] assigns a new flow by offering its SYN to agents until one has placed it,
//! and remembers which agent owns which flow. [`CarriedAgent`] keeps the authoritative state of the
//! one back end beside it. Both are cores: state machines without I/O, clock or global random
//! number generator. They take the current time and inputs and return outputs.
//!
//! A [`SegmentFormat`] defines the packet layout; the cores see only [`Segment`]s.

mod agent;
mod backend;
mod balancer;
mod batches;
mod breaker;
mod cluster_state;
mod configuration;
mod counters;
mod flow_cache;
mod flow_knowledge;
mod flow_table;
mod incarnation;
mod input_age;
mod latency;
mod load;
mod lookup;
mod membership;
mod message;
mod offer_budget;
mod output;
mod pending_flow;
mod plain_format;
mod policy;
mod pool;
mod rank;
mod readiness;
mod retained_evacuations;
mod segment;
mod store_status;
mod version;
mod view;

pub use agent::{CarriedAgent, CarriedAgentSettings, ProbeOutcome};
pub use backend::{BackendReport, ReportOutcome};
pub use balancer::{CarriedBalancer, CarriedBalancerSettings, ListedNode, NodeList};
pub use configuration::{CarriedConfiguration, Route, RouteTarget, ServiceSettings};
pub use counters::{CarriedAgentCounters, CarriedBalancerCounters};
pub use flow_knowledge::FlowKnowledge;
pub use incarnation::Incarnation;
pub use input_age::InputAge;
pub use membership::{Membership, Node, Peer};
pub use message::{
    Admission, BackendCondition, DeclineReason, FlowAnswer, FlowName, FlowQuery, FlowStatus,
    Heartbeat, LoadReport, MAX_FLOWS_PER_MESSAGE, MAX_MESSAGE_BYTES, Message, NodeRole, Snapshot,
    TrialPacket,
};
pub use output::Output;
pub use plain_format::PlainFormat;
pub use policy::{Policies, Policy, UnknownPolicy};
pub use segment::{AnswerOutcome, Segment, SegmentError, SegmentFormat, flow_name};
pub use store_status::Confirmation;
pub use version::{Position, Version};
