//! The balancer's core, without I/O or clock: decides where each datagram goes next.
//!
//! The embedder receives each datagram into a buffer, after [`HEADROOM_BYTES`] of free space, and
//! passes the buffer to [`Balancer::handle`], which writes the new header into that space. The core
//! keeps no state per flow and allocates nothing per packet.

mod core;
mod counters;

pub use crate::core::{Action, Balancer, Forward, HEADROOM_BYTES, MAX_INNER_BYTES};
pub use crate::counters::BalancerCounters;
