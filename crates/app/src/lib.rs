//! The loftdrift programs: this crate wires cores, shells, settings and stand-ins together.

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
