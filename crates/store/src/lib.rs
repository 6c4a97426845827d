//! Clients of the platform's services, using their published protocols.
//!
//! [`etcd`] defines the messages of etcd's v3 JSON-over-HTTP interface, which the stand-in platform
//! uses too. [`StoreClient`] sends the cores' requests to the key-value store,
//! [`follow_configuration`] keeps a process's configuration up to date, and [`MachineListClient`]
//! reads the platform's list of machines, which lags behind the actual ones.

mod client;
pub mod etcd;
mod follow;
mod machines;

pub use client::{StoreClient, StoreError};
pub use follow::follow_configuration;
pub use machines::{Machine, MachineList, MachineListClient, MachineRole, MachineState};
