//! Simulations of the systems around loftdrift: network fabric, platform, back ends and callers.
//!
//! Each runs as a tokio task that owns its sockets and state, and each can be made to fail. They
//! serve the demo, the tests with real processes and benchmarks, never production.

pub mod backend;
pub mod callers;
pub mod content;
pub mod fabric;
pub mod key_value;
pub mod platform;
pub mod relay;
mod udp_listener;
