//! The agent's core, without I/O or clock.
//!
//! An agent runs beside one back end and owns the truth about the flows that live there. From a
//! datagram it decides: the flow is here; the packet goes on down its list of candidates; a new
//! flow is opened here; or nobody knows the flow. The embedder sends the datagrams that
//! [`Agent::take_output`] returns, owns the sockets to the back end, and calls
//! [`Agent::handle_timeout`] at [`Agent::next_timeout`].

mod admission;
mod agent;
mod counters;
mod health;
mod offers;
mod output;
mod pass_on;
mod place;
mod settings;
mod udp;
mod unknown;

pub use crate::agent::Agent;
pub use crate::counters::AgentCounters;
pub use crate::output::Output;
pub use crate::settings::AgentSettings;
