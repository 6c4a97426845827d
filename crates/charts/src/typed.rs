//! Maps a chart to Rust enums, so that transitions take and return typed values.

use crate::chart::{Chart, EventIndex, StateIndex, Transition};
use loftdrift_findings::{Collector, Findings};
use std::marker::PhantomData;

/// An enum of states or events whose values have names in a chart.
pub trait ChartNames: Copy + PartialEq + 'static {
    /// All values with their names in the chart.
    const NAMES: &'static [(Self, &'static str)];

    /// The value's name in the chart.
    fn name(self) -> &'static str {
        let found = Self::NAMES.iter().find(|(value, _)| *value == self);
        found.map_or("", |(_, name)| name)
    }
}

/// Effect of an event in a state, with the target state as an enum value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TypedTransition<S> {
    /// The state changes to this one.
    To(S),
    /// The state does not change.
    Stay,
    /// The event is not allowed in this state.
    Refuse,
}

/// A chart whose states and events are exactly those of the enums `S` and `E`.
#[derive(Clone, Debug)]
pub struct TypedChart<S, E> {
    initial: S,
    /// A row per state and a column per event, in the order of [`ChartNames::NAMES`].
    transitions: Vec<Vec<TypedTransition<S>>>,
    event_type: PhantomData<E>,
}

impl<S: ChartNames, E: ChartNames> TypedChart<S, E> {
    /// Parses a chart and checks that its names are exactly those of the enums' values.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let chart = Chart::parse(file, text)?;
        let mut findings = Collector::new(file, text);
        check_names::<S>(&mut findings, "state", chart.states());
        check_names::<E>(&mut findings, "event", chart.events());
        findings.finish(())?;
        let transitions = S::NAMES
            .iter()
            .map(|(_, state)| {
                let state = StateIndex(index_of(chart.states(), state));
                E::NAMES.iter().map(|(_, event)| typed_transition(&chart, state, event)).collect()
            })
            .collect();
        Ok(TypedChart {
            initial: state_value(&chart, chart.initial()),
            transitions,
            event_type: PhantomData,
        })
    }

    /// The initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Effect of `event` in `state`.
    pub fn transition(&self, state: S, event: E) -> TypedTransition<S> {
        self.transitions[index_in_enum(state)][index_in_enum(event)]
    }

    /// The state after `event`: unchanged if the event has no effect or is refused.
    pub fn next_state(&self, state: S, event: E) -> S {
        match self.transition(state, event) {
            TypedTransition::To(target) => target,
            TypedTransition::Stay | TypedTransition::Refuse => state,
        }
    }
}

fn check_names<N: ChartNames>(findings: &mut Collector<'_>, kind: &str, names: &[String]) {
    for name in names {
        if !N::NAMES.iter().any(|(_, known)| known == name) {
            findings.add(0, format!("the program has no {kind} `{name}`"), known_names::<N>());
        }
    }
    for (_, known) in N::NAMES {
        if !names.iter().any(|name| name == known) {
            findings.add(0, format!("the chart has no {kind} `{known}`"), known_names::<N>());
        }
    }
}

fn known_names<N: ChartNames>() -> String {
    N::NAMES.iter().map(|(_, name)| *name).collect::<Vec<_>>().join(", ")
}

fn typed_transition<S: ChartNames>(
    chart: &Chart,
    state: StateIndex,
    event: &str,
) -> TypedTransition<S> {
    let event = EventIndex(index_of(chart.events(), event));
    match chart.transition(state, event) {
        Transition::To(target) => TypedTransition::To(state_value(chart, target)),
        Transition::Stay => TypedTransition::Stay,
        Transition::Refuse => TypedTransition::Refuse,
    }
}

fn state_value<S: ChartNames>(chart: &Chart, state: StateIndex) -> S {
    let name = &chart.states()[usize::from(state.0)];
    let found = S::NAMES.iter().find(|(_, known)| known == name);
    found.map_or(S::NAMES[0].0, |(value, _)| *value)
}

fn index_of(names: &[String], name: &str) -> u8 {
    names.iter().position(|known| known == name).unwrap_or_default() as u8
}

fn index_in_enum<N: ChartNames>(value: N) -> usize {
    N::NAMES.iter().position(|(known, _)| *known == value).unwrap_or_default()
}
