//! State charts in files that the code interprets.
//!
//! A chart is a TOML file that names its events, its states, and for each state what every event
//! does: a target state, `stay` (nothing changes) or `refuse` (the event is not allowed here).
//! Loading checks the whole chart and reports all findings with their places.
//! [`TypedChart`] ties a chart to the code's own enums of states and events.

mod chart;
mod load;
mod typed;

pub use chart::{Chart, EventIndex, StateIndex, Transition};
pub use typed::{ChartNames, TypedChart, TypedTransition};
