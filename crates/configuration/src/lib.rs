//! The configuration that operators maintain, without I/O.
//!
//! - [`Configuration`] is the data model.
//! - [`parse_script`] parses the operators' command language.
//! - [`apply`] edits a configuration.
//! - [`Commit`] commits a script to the platform's key-value store at most once.
//! - [`Documents`] is the layout in the store and is kept up to date by watch events.

mod commit;
mod documents;
mod edit;
mod language;
mod lifecycle;
mod model;
mod store;

pub use commit::{Commit, CommitAction, CommitOutcome, MAX_COMMIT_ATTEMPTS};
pub use documents::{
    DocumentError, Documents, HEAD_KEY, Head, KEY_PREFIX, outcome_key, service_key,
};
pub use edit::{EditError, apply};
pub use language::{Query, Statement, StatementKind, parse_script, set_start_times};
pub use lifecycle::{
    BackendEvent, BackendState, ProcessEvent, ProcessState, agent_chart, backend_chart,
    balancer_chart,
};
pub use model::{
    Backend, Configuration, Generation, MAX_GENERATIONS, Member, Service, ServiceTransport, Site,
    SiteShift, Version,
};
pub use store::{KeyValue, StoreCondition, StoreReply, StoreRequest, StoreWrite};
