//! Deterministic simulation of callers, balancers, agents and back ends on a virtual clock.
//!
//! Balancers and agents run the cores (state machines without I/O) of the real daemons; this crate
//! simulates the network, the clock, the back ends and the callers. A run uses one thread and one
//! seed and handles events in one fixed order, so the same seed always gives the same run.
//!
//! A [`World`] holds balancers, agents with their back ends, and callers. [`World::schedule`] makes
//! changes at virtual times, [`World::run_until`] advances the clock, and [`World::outcome`]
//! returns what callers observed and which requests ran. A [`Scenario`] is read from a validated
//! TOML file; a [`Plan`] adds its randomly drawn flows; [`run()`] executes a plan and returns a
//! [`Run`] with its report.

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
    CarriedFault, CarriedOutcome, CarriedWorld, CarriedWorldSettings, FailureMode, StoreRestore,
    TimedFault, random_faults, random_faults_with_evacuations, random_faults_with_hanging_watches,
    random_faults_with_late_reports, random_faults_with_lying_health_pages,
    random_faults_with_restores,
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
