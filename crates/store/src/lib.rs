//! Client of the platform's services, through their published protocols.
//!
//! [`etcd`] holds the messages of etcd's v3 JSON-over-HTTP interface, which the stand-in shares;
//! [`StoreClient`] carries the cores' requests over it; [`follow_configuration`] keeps a process's configuration
//! up to date; [`MachineListClient`] reads the lagging list of machines.

mod client;
pub mod etcd;
mod follow;
mod machines;

pub use client::{StoreClient, StoreError};
pub use follow::follow_configuration;
pub use machines::{Machine, MachineList, MachineListClient, MachineRole, MachineState};
