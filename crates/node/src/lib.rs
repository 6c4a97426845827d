//! Thin shells around the cores of carried flows: sockets, timers, signals, the shared store.
//!
//! One task owns the core with its two UDP sockets; the others speak with it by [`Command`]s and
//! read its [`NodeStatus`]. What outside systems speak is told by three traits that an adapter
//! implements: [`SegmentFormat`](loftdrift_carried::SegmentFormat), [`RequestDecoder`] and
//! [`SharedStore`].

mod agent_core;
mod allowance;
mod balancer_core;
mod command;
mod configuration_follower;
mod core;
mod counted_store;
mod health;
mod member_audit;
mod member_list;
mod metrics;
mod operator_document;
mod pace;
mod probe;
mod registration;
mod reloading;
mod request_decoder;
mod run;
mod settings;
mod shared_store;
mod shell;
mod snapshots;
mod stopping;
mod store_reader;

pub use allowance::Allowance;
pub use command::{Command, Measures, MemberNews, NodeStatus};
pub use configuration_follower::Follower;
pub use member_audit::audit as audit_members;
pub use request_decoder::{Request, RequestDecoder, RequestKind};
pub use run::run;
pub use settings::{AgentSettings, BalancerSettings, NodeSettings, RoleSettings};
pub use shared_store::{
    Consistency, Member, MemberEntry, MemberList, OperatorChange, OperatorState, SharedStore,
    StoreFailure,
};
