//! State charts: finite state machines defined in TOML files.
//!
//! A chart lists its events and states and defines the effect of every event in every state: a
//! target state, `stay` (the state does not change) or `refuse` (the event is not allowed here).
//! Loading checks the whole chart and reports all findings with their positions.
//! [`TypedChart`] maps a chart to Rust enums of states and events.

mod chart;
mod load;
mod typed;

pub use chart::{Chart, EventIndex, StateIndex, Transition};
pub use typed::{ChartNames, TypedChart, TypedTransition};
