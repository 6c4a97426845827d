//! The agent's core, without I/O or clock.
//!
//! An agent runs beside one back end and is the authority on the flows of that back end. For each
//! datagram it decides: deliver the packet to a flow that it owns; forward the packet to the next
//! candidate on the packet's list; open a new flow; or treat the flow as unknown because no agent
//! owns it. The embedder carries out the outputs that [`Agent::take_output`] returns, owns the
//! sockets to the back end, and calls [`Agent::handle_timeout`] at [`Agent::next_timeout`].

mod admission;
mod agent;
mod backend_spec;
mod counters;
mod forwarding;
mod health;
mod offers;
mod output;
mod settings;
mod udp;
mod unknown;

pub use crate::agent::Agent;
pub use crate::counters::AgentCounters;
pub use crate::output::Output;
pub use crate::settings::AgentSettings;
