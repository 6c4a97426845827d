//! Carried flows on a virtual clock: the nodes' own cores, simulated callers, router, back ends and
//! store, with faults at chosen or random times and the users' rules as outcomes.

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
    random_faults_with_restores,
};
pub use world::{CarriedWorld, CarriedWorldSettings};
