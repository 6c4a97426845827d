//! Thin shells around the cores of carried flows: sockets, timers, signals, the shared store.
//!
//! One task owns the core with its two UDP sockets; the others speak with it by [`Command`]s and
//! read its [`NodeStatus`]. What outside systems speak is told by three traits that an adapter
//! implements: [`SegmentFormat`](loftdrift_carried::SegmentFormat), [`RequestDecoder`] and
//! [`SharedStore`].

mod agent_core;
mod backoff;
mod balancer_core;
mod command;
mod configuration_follower;
mod core;
mod counted_store;
mod driver;
mod health;
mod member_audit;
mod member_list;
mod metrics;
mod operator_document;
mod probe;
mod registration;
mod request_decoder;
mod run;
mod settings;
mod settings_check;
mod shared_store;
mod shutdown;
mod snapshot_budget;
mod snapshots;
mod store_reader;

pub use command::{Command, CoreMetrics, MemberUpdate, NodeStatus};
pub use configuration_follower::ConfigurationFollower;
pub use member_audit::run as audit_members;
pub use request_decoder::{Request, RequestDecoder, RequestKind};
pub use run::run;
pub use settings::{AgentSettings, BalancerSettings, NodeSettings, RoleSettings};
pub use shared_store::{
    Consistency, Member, MemberEntry, MemberList, OperatorChange, OperatorState, SharedStore,
    StoreFailure,
};
pub use snapshot_budget::SnapshotBudget;
