//! The loftdrift programs. This crate connects the cores (state machines without I/O) to sockets,
//! tasks and settings, and starts the simulated systems that tests use.

pub mod agent_process;
pub mod balancer_process;
pub mod check;
pub mod command_line;
pub mod ctl;
pub mod demo;
pub mod lifecycle;
pub mod metrics;
pub mod process;
pub mod signals;
mod sockets;
pub mod standins;
