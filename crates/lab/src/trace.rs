//! Trace files: a plan and the report of its run. A replay runs the plan again and compares the
//! reports.
//!
//! Format, version 1, as lines of text:
//! - `loftdrift-trace 1`
//! - `seed N`
//! - `scenario LINES`, followed by that many lines of TOML
//! - `flows COUNT`, followed by that many lines, each a JSON array `[micros, service, requests,
//!   timestamps]`
//! - `report`, followed by the report as one line of JSON
//! - `checksum HEX`: the SipHash-1-3 of every byte before this line

use crate::plan::{Plan, PlannedFlow};
use crate::report::Report;
use crate::scenario::Scenario;
use loftdrift_findings::Findings;
use siphasher::sip::SipHasher13;
use std::fmt::Write;
use std::hash::Hasher;
use std::str::Lines;
use thiserror::Error;

const HEADER: &str = "loftdrift-trace 1";
const CHECKSUM_PREFIX: &str = "checksum ";

/// A recorded run.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The plan that was run.
    pub plan: Plan,
    /// The report of the run.
    pub report: Report,
}

/// Why a trace cannot be read.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The text ends too early.
    #[error("line {line}: the trace ends where {expected} was expected")]
    Truncated {
        /// Number of the missing line, from 1.
        line: usize,
        /// What the line should contain.
        expected: &'static str,
    },
    /// A line is not in the expected form.
    #[error("line {line}: `{found}` found, {expected} expected")]
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// What the line contains.
        found: String,
        /// What the line should contain.
        expected: &'static str,
    },
    /// The text was altered: its checksum does not match.
    #[error("line {line}: the checksum is not that of the lines before it")]
    Checksum {
        /// Number of the checksum's line, from 1.
        line: usize,
    },
    /// The scenario in the trace is invalid.
    #[error(transparent)]
    Scenario(#[from] Findings),
}

impl Trace {
    /// Writes the trace as text.
    pub fn write(&self) -> String {
        let scenario = self.plan.scenario.to_toml();
        let mut text = format!("{HEADER}\nseed {}\n", self.plan.seed);
        // Writing to a string cannot fail, and plain data always serializes.
        let _ = writeln!(text, "scenario {}", scenario.lines().count());
        text.push_str(&scenario);
        let _ = writeln!(text, "flows {}", self.plan.flows.len());
        for flow in &self.plan.flows {
            let row = (flow.at_micros, flow.service, flow.requests, flow.timestamps);
            let _ = writeln!(text, "{}", serde_json::to_string(&row).unwrap_or_default());
        }
        let report = serde_json::to_string(&self.report).unwrap_or_default();
        let _ = writeln!(text, "report\n{report}");
        let checksum = checksum(text.as_bytes());
        let _ = writeln!(text, "{CHECKSUM_PREFIX}{checksum:016x}");
        text
    }

    /// Reads a trace and checks the form of every line and the checksum.
    pub fn read(text: &str) -> Result<Trace, TraceError> {
        let mut reader = TraceReader { lines: text.lines(), line: 0 };
        reader.expect(HEADER)?;
        let seed = reader.number("seed ", "seed N")?;
        let count = reader.number("scenario ", "scenario LINES")?;
        let mut scenario = String::new();
        for _ in 0..count {
            scenario.push_str(reader.next("a line of the scenario")?);
            scenario.push('\n');
        }
        let count = reader.number("flows ", "flows COUNT")?;
        let flows: Result<Vec<PlannedFlow>, TraceError> =
            (0..count).map(|_| reader.flow()).collect();
        let flows = flows?;
        reader.expect("report")?;
        let report = reader.json("the report in JSON")?;
        let stated = reader.next("checksum HEX")?;
        let line = reader.line;
        let end = text.rfind(CHECKSUM_PREFIX).unwrap_or(text.len());
        if stated != format!("{CHECKSUM_PREFIX}{:016x}", checksum(&text.as_bytes()[..end])) {
            return Err(TraceError::Checksum { line });
        }
        let scenario = Scenario::parse("trace", &scenario)?;
        Ok(Trace { plan: Plan { scenario, seed, flows }, report })
    }
}

fn checksum(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}

struct TraceReader<'a> {
    lines: Lines<'a>,
    /// Number of the line that was read last, from 1.
    line: usize,
}

impl<'a> TraceReader<'a> {
    fn next(&mut self, expected: &'static str) -> Result<&'a str, TraceError> {
        self.line += 1;
        self.lines.next().ok_or(TraceError::Truncated { line: self.line, expected })
    }

    fn malformed(&self, found: &str, expected: &'static str) -> TraceError {
        TraceError::Malformed { line: self.line, found: found.to_owned(), expected }
    }

    fn expect(&mut self, expected: &'static str) -> Result<(), TraceError> {
        let found = self.next(expected)?;
        if found == expected { Ok(()) } else { Err(self.malformed(found, expected)) }
    }

    fn number(&mut self, prefix: &str, expected: &'static str) -> Result<u64, TraceError> {
        let found = self.next(expected)?;
        let number = found.strip_prefix(prefix).and_then(|number| number.parse().ok());
        number.ok_or_else(|| self.malformed(found, expected))
    }

    fn json<T: serde::de::DeserializeOwned>(
        &mut self,
        expected: &'static str,
    ) -> Result<T, TraceError> {
        let found = self.next(expected)?;
        serde_json::from_str(found).map_err(|_| self.malformed(found, expected))
    }

    fn flow(&mut self) -> Result<PlannedFlow, TraceError> {
        let (at_micros, service, requests, timestamps) =
            self.json("[micros, service, requests, timestamps]")?;
        Ok(PlannedFlow { at_micros, service, requests, timestamps })
    }
}
