//! Carried flows on a virtual clock: the nodes' own cores, simulated callers, router, back ends and
//! store, with faults at chosen or random times and the users' rules as outcomes.

mod backend;
mod caller;
mod fault;
mod outcome;
mod process;
mod random_days;
mod world;

pub use fault::{CarriedFault, FailureMode, StoreReturn, TimedFault};
pub use outcome::CarriedOutcome;
pub use random_days::{
    random_day, random_day_with_evacuations, random_day_with_hanging_waits, random_day_with_returns,
};
pub use world::{CarriedWorld, CarriedWorldSettings};
