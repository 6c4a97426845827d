//! Counts the events in the logs of nodes (flows placed, declined or refused, and all others) in
//! time steps of equal length.

use loftdrift_logging::Line;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

/// An event's name, followed by `:` and its reason if the log line has one.
type EventKind = String;

/// Counts of log events by kind and time step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventProfile {
    /// Length of a step, in milliseconds.
    step_ms: i64,
    /// Time of day of the earliest line, in milliseconds. Step 0 starts here.
    start_ms: i64,
    /// Counts per step. A step without events has no row.
    rows: BTreeMap<i64, HashMap<EventKind, u64>>,
}

impl EventProfile {
    /// Counts the events of all logs in steps of `step_ms` milliseconds, at least 1. Lines without
    /// a time or an event are ignored.
    pub fn from_logs(logs: &[String], step_ms: i64) -> Self {
        let step_ms = step_ms.max(1);
        let lines = || logs.iter().flat_map(|log| log.lines()).map(|text| Line { text });
        let times = lines().filter_map(|line| line.milliseconds_of_day());
        let start_ms = times.min().unwrap_or(0);
        let mut profile = EventProfile { step_ms, start_ms, rows: BTreeMap::new() };
        for line in lines() {
            profile.count(&line);
        }
        profile
    }

    fn count(&mut self, line: &Line<'_>) {
        let (Some(at), Some(kind)) = (line.milliseconds_of_day(), kind(line)) else { return };
        let row = self.rows.entry((at - self.start_ms) / self.step_ms).or_default();
        *row.entry(kind).or_default() += 1;
    }

    /// The most frequent kinds with their counts, in descending order.
    pub fn kinds(&self, max_kinds: usize) -> Vec<(&str, u64)> {
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for (kind, count) in self.rows.values().flatten() {
            *totals.entry(kind).or_default() += count;
        }
        let mut kinds: Vec<_> = totals.into_iter().collect();
        kinds.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        kinds.truncate(max_kinds);
        kinds
    }

    /// Counts of a kind with the start of each step, in seconds since the earliest line. Steps
    /// without any event are omitted.
    pub fn series(&self, kind: &str) -> Vec<(f64, u64)> {
        let seconds = |step: &i64| (step * self.step_ms) as f64 / 1e3;
        let counts = self.rows.iter().map(|(step, row)| (seconds(step), row.get(kind).copied()));
        counts.map(|(at, count)| (at, count.unwrap_or(0))).collect()
    }

    /// A CSV table of the most frequent kinds, one row per step that has events and starts in
    /// `from..to` (in seconds since the earliest line).
    pub fn table(&self, max_kinds: usize, from: f64, to: f64) -> String {
        let kinds: Vec<&str> = self.kinds(max_kinds).into_iter().map(|(kind, _)| kind).collect();
        // Writing to a string cannot fail.
        let mut table = String::new();
        let _ = writeln!(table, "seconds,{}", kinds.join(","));
        for (step, row) in &self.rows {
            let at = (step * self.step_ms) as f64 / 1e3;
            if !(from..to).contains(&at) {
                continue;
            }
            let _ = write!(table, "{at:.2}");
            for kind in &kinds {
                let _ = write!(table, ",{}", row.get(*kind).copied().unwrap_or(0));
            }
            let _ = writeln!(table);
        }
        table
    }
}

/// The kind of a line's event; `None` when the line has no event.
fn kind(line: &Line<'_>) -> Option<EventKind> {
    let event = line.value("event")?;
    Some(match line.value("reason") {
        Some(reason) => format!("{event}:{reason}"),
        None => event.to_owned(),
    })
}
