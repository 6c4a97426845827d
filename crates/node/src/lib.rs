//! Runs the I/O-free cores of `loftdrift_carried` as processes: sockets, timers, signals and the
//! shared store.
//!
//! One task, the driver, owns the core and its two UDP sockets. Other tasks send it [`Command`]s
//! and read the [`NodeStatus`] that it publishes. The formats and protocols of outside systems are
//! behind three traits that an adapter implements:
//! [`SegmentFormat`](loftdrift_carried::SegmentFormat), [`RequestDecoder`] and [`SharedStore`].

mod agent_core;
mod backoff;
mod balancer_core;
mod command;
mod configuration_follower;
mod core;
mod counted_store;
mod departure_record;
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
pub use departure_record::DepartureRecord;
pub use member_audit::run as audit_members;
pub use request_decoder::{Request, RequestDecoder, RequestKind};
pub use run::run;
pub use settings::{AgentSettings, BalancerSettings, NodeSettings, RoleSettings};
pub use shared_store::{
    Consistency, Member, MemberEntry, MemberList, OperatorChange, OperatorState, SharedStore,
    StoreFailure,
};
pub use snapshot_budget::SnapshotBudget;
