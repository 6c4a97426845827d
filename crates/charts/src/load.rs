//! Parses and checks a chart file.

use crate::chart::{Chart, StateIndex, Transition};
use loftdrift_findings::{Collector, Findings};
use toml_edit::{ImDocument, Item, Table};

const STAY: &str = "stay";
const REFUSE: &str = "refuse";
const MAX_STATES: usize = 64;

impl Chart {
    /// Parses a chart. Findings refer to it as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Chart, Findings> {
        let mut findings = Collector::new(file, text);
        let document = match ImDocument::parse(text) {
            Ok(document) => document,
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                findings.add(offset, error.message().to_owned(), "a TOML document");
                return Err(into_findings(findings));
            }
        };
        let mut loader = Loader { findings, events: Vec::new(), states: Vec::new() };
        let chart = loader.load(document.as_table());
        match chart {
            Some(chart) => loader.findings.finish(chart),
            None => Err(into_findings(loader.findings)),
        }
    }
}

fn into_findings(findings: Collector<'_>) -> Findings {
    match findings.finish(()) {
        Err(findings) => findings,
        Ok(()) => Findings { file: String::new(), list: Vec::new() },
    }
}

struct Loader<'a> {
    findings: Collector<'a>,
    events: Vec<String>,
    states: Vec<String>,
}

impl Loader<'_> {
    fn load(&mut self, document: &Table) -> Option<Chart> {
        self.reject_unknown_keys(document);
        self.events = self.read_events(document)?;
        let Some(states) = document.get("states").and_then(Item::as_table) else {
            self.findings.add(0, "no table of states", "[states.NAME] tables");
            return None;
        };
        self.states = states.iter().map(|(name, _)| name.to_owned()).collect();
        if self.states.len() > MAX_STATES {
            self.findings.add(span_start(states.span()), "too many states", "at most 64 states");
            return None;
        }
        let initial = self.read_initial(document)?;
        let transitions: Vec<Vec<Transition>> =
            states.iter().map(|(name, item)| self.read_state(states, name, item)).collect();
        self.check_reachable(states, initial, &transitions);
        Some(Chart {
            initial,
            states: self.states.clone(),
            events: self.events.clone(),
            transitions,
        })
    }

    fn reject_unknown_keys(&mut self, document: &Table) {
        for (name, _) in document.iter() {
            if !["initial", "events", "states"].contains(&name) {
                let start = key_offset(document, name);
                self.findings.add(
                    start,
                    format!("unknown key `{name}`"),
                    "initial, events or states",
                );
            }
        }
    }

    fn read_events(&mut self, document: &Table) -> Option<Vec<String>> {
        let Some(array) = document.get("events").and_then(Item::as_array) else {
            self.findings.add(0, "no list of events", "events = [\"NAME\", …]");
            return None;
        };
        let mut events: Vec<String> = Vec::new();
        for value in array {
            let start = span_start(value.span());
            match value.as_str() {
                Some(name) if events.iter().any(|event| event == name) => {
                    self.findings.add(
                        start,
                        format!("event `{name}` is listed twice"),
                        "each event once",
                    );
                }
                Some(name) => events.push(name.to_owned()),
                None => self.findings.add(start, "an event is not a string", "a name in quotes"),
            }
        }
        Some(events)
    }

    fn read_initial(&mut self, document: &Table) -> Option<StateIndex> {
        let Some(item) = document.get("initial") else {
            self.findings.add(0, "no initial state", "initial = \"NAME\"");
            return None;
        };
        let start = span_start(item.span());
        let name = item.as_str().unwrap_or_default();
        let state = self.state(name);
        if state.is_none() {
            let expected = self.states.join(", ");
            self.findings.add(start, format!("initial state `{name}` is missing"), expected);
        }
        state
    }

    fn read_state(&mut self, states: &Table, name: &str, item: &Item) -> Vec<Transition> {
        let Some(table) = item.as_table() else {
            let start = key_offset(states, name);
            self.findings.add(start, format!("state `{name}` is not a table"), "[states.NAME]");
            return Vec::new();
        };
        for (event, _) in table.iter() {
            if !self.events.iter().any(|known| known == event) {
                let start = key_offset(table, event);
                self.findings.add(
                    start,
                    format!("unknown event `{event}`"),
                    self.events.join(", "),
                );
            }
        }
        let events = self.events.clone();
        events.iter().map(|event| self.read_transition(states, name, table, event)).collect()
    }

    fn read_transition(
        &mut self,
        states: &Table,
        state: &str,
        table: &Table,
        event: &str,
    ) -> Transition {
        let Some(item) = table.get(event) else {
            let start = key_offset(states, state);
            let problem = format!("state `{state}` does not handle event `{event}`");
            self.findings.add(start, problem, "a target state, \"stay\" or \"refuse\"");
            return Transition::Refuse;
        };
        match item.as_str() {
            Some(STAY) => Transition::Stay,
            Some(REFUSE) => Transition::Refuse,
            target => {
                let target = target.unwrap_or_default();
                if let Some(index) = self.state(target) {
                    return Transition::To(index);
                }
                let expected = format!("{}, stay or refuse", self.states.join(", "));
                let problem = format!("target state `{target}` is missing");
                self.findings.add(span_start(item.span()), problem, expected);
                Transition::Refuse
            }
        }
    }

    /// Reports every state that no sequence of events reaches from the initial state.
    fn check_reachable(
        &mut self,
        states: &Table,
        initial: StateIndex,
        transitions: &[Vec<Transition>],
    ) {
        let mut reached = vec![false; self.states.len()];
        let mut pending = vec![initial];
        while let Some(state) = pending.pop() {
            let index = usize::from(state.0);
            if std::mem::replace(&mut reached[index], true) {
                continue;
            }
            pending.extend(transitions[index].iter().filter_map(|transition| match transition {
                Transition::To(target) => Some(*target),
                Transition::Stay | Transition::Refuse => None,
            }));
        }
        for (name, reached) in self.states.clone().iter().zip(reached) {
            if !reached {
                let start = key_offset(states, name);
                let problem = format!("state `{name}` is unreachable");
                self.findings.add(start, problem, "a path from the initial state");
            }
        }
    }

    fn state(&self, name: &str) -> Option<StateIndex> {
        let index = self.states.iter().position(|state| state == name)?;
        Some(StateIndex(index as u8))
    }
}

fn span_start(span: Option<std::ops::Range<usize>>) -> usize {
    span.map_or(0, |span| span.start)
}

fn key_offset(table: &Table, name: &str) -> usize {
    span_start(table.key(name).and_then(|key| key.span()))
}
