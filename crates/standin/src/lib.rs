//! Stand-ins of everything outside of loftdrift: the fabric, the platform, back ends and callers.
//!
//! Each is a tokio task that owns its sockets and state; each can be made to fail. They serve the
//! demo, the process tests and measurements, never production.

pub mod backend;
pub mod callers;
pub mod content;
pub mod fabric;
pub mod key_value;
pub mod platform;
pub mod relay;
mod udp_listener;
