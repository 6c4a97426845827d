//! The balancer's core, without I/O or clock: from a datagram to where it goes next.
//!
//! The embedder receives each datagram behind [`HEADROOM_BYTES`] of free space and hands the buffer
//! to [`Balancer::handle`], which writes the new header into that space. Nothing is kept per flow
//! and nothing is allocated per packet.

mod core;
mod counters;

pub use crate::core::{Balancer, Forward, HEADROOM_BYTES, MAX_INNER_BYTES, Verdict};
pub use crate::counters::BalancerCounters;
