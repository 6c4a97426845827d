//! Deterministic simulation of the whole path on a virtual clock.
//!
//! The cores are the daemons' own; this crate stands in for network, clock, back ends and callers.
//! One thread, one seed, one order of events: the same seed gives the same run.
//!
//! A [`World`] holds balancers, agents with their back ends, and callers. Scripts change it at
//! virtual times with [`World::at`]; [`World::run_until`] lets time pass; [`World::outcome`] tells
//! what callers saw and what ran. A [`Scenario`] is a checked TOML file; [`run()`] carries out a
//! [`Plan`] of it and reports.

mod assigner;
mod backend;
mod caller;
mod carried;
mod compare;
mod event_profile;
mod explore;
mod flow_log;
mod network;
mod outcome;
mod plan;
mod plot;
mod policies;
mod queue;
mod report;
mod run;
mod scenario;
mod trace;
mod world;

pub use backend::BackendBehaviour;
pub use caller::CallerBehaviour;
pub use carried::{
    CarriedFault, CarriedOutcome, CarriedWorld, CarriedWorldSettings, FailureMode, StoreReturn,
    TimedFault, random_day, random_day_with_evacuations, random_day_with_hanging_waits,
    random_day_with_returns,
};
pub use compare::{Comparison, compare};
pub use event_profile::EventProfile;
pub use explore::{Failure, explore, shrink};
pub use flow_log::{FlowLog, FlowSpan, Members};
pub use network::NetworkSettings;
pub use outcome::Outcome;
pub use plan::{Plan, PlannedFlow};
pub use plot::{PlotError, write_plots, write_profile_plot};
pub use policies::Policy;
pub use report::{Report, ServiceReport};
pub use run::{Run, run, service_address};
pub use scenario::{Action, Expectations, Scenario, ScenarioEvent, ScenarioService};
pub use trace::{Trace, TraceError};
pub use world::{FABRIC, World, WorldSettings};
