//! Life cycle of a balancer or agent process, as defined by its state chart.

use loftdrift_charts::{ChartNames, TypedChart, TypedTransition};
use loftdrift_configuration::{ProcessEvent, ProcessState};

/// Tracks a process's state in its state chart and logs each transition.
#[derive(Debug)]
pub struct Lifecycle {
    process: String,
    chart: TypedChart<ProcessState, ProcessEvent>,
    state: ProcessState,
}

impl Lifecycle {
    /// Starts in the chart's initial state. `process` is the name of the process in the log.
    pub fn new(process: String, chart: TypedChart<ProcessState, ProcessEvent>) -> Self {
        let state = chart.initial();
        Lifecycle { process, chart, state }
    }

    /// The current state.
    pub fn state(&self) -> ProcessState {
        self.state
    }

    /// Applies an event. Returns `true` if the state changed.
    pub fn step(&mut self, event: ProcessEvent) -> bool {
        let TypedTransition::To(state) = self.chart.transition(self.state, event) else {
            return false;
        };
        log::info!(
            process = self.process.as_str(), from = self.state.name(), to = state.name(),
            event = event.name(); "state changed"
        );
        self.state = state;
        true
    }
}
