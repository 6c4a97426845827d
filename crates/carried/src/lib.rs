//! Carried flows: flows that end at the back end itself, not at the agent.
//!
//! The system carries their packets and cannot change what they say. [`CarriedBalancer`] opens a
//! flow by offering its first packet to agents until one has placed it, and remembers where flows
//! live; [`CarriedAgent`] owns the truth about the one back end beside it. Both are cores without
//! I/O, clock or global random number: they take `now` and inputs and give outputs.
//!
//! What a packet looks like is told by a [`SegmentFormat`]; the cores see [`Segment`]s only.

mod agent;
mod backend;
mod balancer;
mod breaker;
mod configuration;
mod counters;
mod flow_cache;
mod flow_table;
mod incarnation;
mod input_age;
mod kept_evacuations;
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
mod segment;
mod standing;
mod store_news;
mod version;
mod view;

pub use agent::{CarriedAgent, CarriedAgentSettings, ProbeOutcome};
pub use backend::{BackendReport, ReportOutcome};
pub use balancer::{CarriedBalancer, CarriedBalancerSettings, ListedNode, NodeList};
pub use configuration::{CarriedConfiguration, Part, Route, ServiceSettings};
pub use counters::{CarriedAgentCounters, CarriedBalancerCounters};
pub use incarnation::Incarnation;
pub use input_age::InputAge;
pub use membership::{Membership, Node, Peer};
pub use message::{
    Admission, BackendCondition, DeclineReason, FlowMemory, FlowName, FlowQuestion, FlowWord,
    Heartbeat, LoadReport, MAX_MESSAGE_BYTES, MOST_FLOWS_ASKED, Message, NodeRole, Snapshot, Word,
};
pub use output::Output;
pub use plain_format::PlainFormat;
pub use policy::{Policies, Policy, UnknownPolicy};
pub use segment::{AnswerOutcome, Segment, SegmentError, SegmentFormat, flow_name};
pub use store_news::Confirmation;
pub use version::{Position, Version};
