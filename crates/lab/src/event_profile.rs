//! What happened when on a day, counted from the nodes' logs: where flows were placed, declined, refused,
//! and what else the nodes told of.

use loftdrift_logging::Line;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

/// Events of one kind, told apart by the reason that they give.
type EventKind = String;

/// Counts of events by kind in steps of equal length.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventProfile {
    /// Length of a step, in milliseconds.
    step_ms: i64,
    /// The first line's time of day, in milliseconds.
    start_ms: i64,
    /// Counts by step, the first line's step being 0. A step without events has no row.
    rows: BTreeMap<i64, HashMap<EventKind, u64>>,
}

impl EventProfile {
    /// Counts the lines of logs in steps of `step_ms` milliseconds, at least one; lines without a time
    /// or an event are passed over.
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

    /// The most frequent kinds, with how often each came.
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

    /// How often a kind came in each step, with the step's begin in seconds since the first line; steps
    /// in which nothing came are left out.
    pub fn series(&self, kind: &str) -> Vec<(f64, u64)> {
        let seconds = |step: &i64| (step * self.step_ms) as f64 / 1e3;
        let counts = self.rows.iter().map(|(step, row)| (seconds(step), row.get(kind).copied()));
        counts.map(|(at, count)| (at, count.unwrap_or(0))).collect()
    }

    /// A table of the most frequent kinds between two moments, in seconds since the first line.
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

fn kind(line: &Line<'_>) -> Option<EventKind> {
    let event = line.value("event")?;
    Some(match line.value("reason") {
        Some(reason) => format!("{event}:{reason}"),
        None => event.to_owned(),
    })
}
