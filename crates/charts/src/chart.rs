//! The compiled chart: one table look-up a step.

/// A state's place in its chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StateIndex(pub(crate) u8);

/// An event's place in its chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EventIndex(pub(crate) u8);

/// What an event does in a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The state changes.
    To(StateIndex),
    /// Nothing changes.
    Stay,
    /// The event is not allowed in this state.
    Refuse,
}

/// A chart that passed every check on loading.
#[derive(Clone, Debug)]
pub struct Chart {
    pub(crate) initial: StateIndex,
    pub(crate) states: Vec<String>,
    pub(crate) events: Vec<String>,
    /// Row per state, column per event.
    pub(crate) transitions: Vec<Vec<Transition>>,
}

impl Chart {
    /// The state in which life begins.
    pub fn initial(&self) -> StateIndex {
        self.initial
    }

    /// What `event` does in `state`.
    pub fn transition(&self, state: StateIndex, event: EventIndex) -> Transition {
        self.transitions[usize::from(state.0)][usize::from(event.0)]
    }

    /// The names of the states in the file's order.
    pub fn states(&self) -> &[String] {
        &self.states
    }

    /// The names of the events in the file's order.
    pub fn events(&self) -> &[String] {
        &self.events
    }
}
