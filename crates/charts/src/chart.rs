//! The loaded chart: a transition table, in which each transition is one lookup.

/// Index of a state in its chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StateIndex(pub(crate) u8);

/// Index of an event in its chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EventIndex(pub(crate) u8);

/// Effect of an event in a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The state changes to this one.
    To(StateIndex),
    /// The state does not change.
    Stay,
    /// The event is not allowed in this state.
    Refuse,
}

/// A chart that has passed all checks.
#[derive(Clone, Debug)]
pub struct Chart {
    pub(crate) initial: StateIndex,
    pub(crate) states: Vec<String>,
    pub(crate) events: Vec<String>,
    /// A row per state and a column per event.
    pub(crate) transitions: Vec<Vec<Transition>>,
}

impl Chart {
    /// The initial state.
    pub fn initial(&self) -> StateIndex {
        self.initial
    }

    /// Effect of `event` in `state`.
    pub fn transition(&self, state: StateIndex, event: EventIndex) -> Transition {
        self.transitions[usize::from(state.0)][usize::from(event.0)]
    }

    /// The names of the states in the order of the file.
    pub fn states(&self) -> &[String] {
        &self.states
    }

    /// The names of the events in the order of the file.
    pub fn events(&self) -> &[String] {
        &self.events
    }
}
