//! Deterministic simulation of the whole path on a virtual clock.
//!
//! The cores are the daemons' own; this crate stands in for network, clock, back ends and callers.
//! One thread, one seed, one order of events: the same seed gives the same run.
//!
//! A [`World`] holds balancers, agents with their back ends, and callers. Scripts change it at
//! virtual times with [`World::at`]; [`World::run_until`] lets time pass; [`World::outcome`] tells
//! what callers saw and what ran.

mod backend;
mod caller;
mod network;
mod outcome;
mod queue;
mod world;

pub use backend::BackendBehaviour;
pub use caller::CallerBehaviour;
pub use network::NetworkSettings;
pub use outcome::Outcome;
pub use world::{FABRIC, World, WorldSettings};
