//! Simulation of carried flows on a virtual clock. Balancers and agents run the production cores;
//! callers, router, back ends and store are simulated. Faults occur at given or random times, and
//! the outcome counts violations of the invariants that users require.

mod backend;
mod caller;
mod fault;
mod outcome;
mod process;
mod random_faults;
mod world;

pub use fault::{CarriedFault, FailureMode, StoreRestore, TimedFault};
pub use outcome::CarriedOutcome;
pub use random_faults::{
    random_faults, random_faults_with_evacuations, random_faults_with_hanging_watches,
    random_faults_with_late_reports, random_faults_with_lying_health_pages,
    random_faults_with_restores,
};
pub use world::{CarriedWorld, CarriedWorldSettings};
