//! A process's life, as its state chart describes it.

use loftdrift_charts::{ChartNames, TypedChart, TypedTransition};
use loftdrift_configuration::{ProcessEvent, ProcessState};

/// Follows a process's chart and logs each change of state.
#[derive(Debug)]
pub struct Lifecycle {
    process: String,
    chart: TypedChart<ProcessState, ProcessEvent>,
    state: ProcessState,
}

impl Lifecycle {
    /// The life of a process, which `process` names in the log.
    pub fn new(process: String, chart: TypedChart<ProcessState, ProcessEvent>) -> Self {
        let state = chart.initial();
        Lifecycle { process, chart, state }
    }

    /// Where the process stands.
    pub fn state(&self) -> ProcessState {
        self.state
    }

    /// Takes an event; `true` when the state has changed.
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
