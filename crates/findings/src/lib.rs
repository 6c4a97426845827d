//! Findings (problems found) in files that people write: settings, state charts, command scripts.
//!
//! A checker collects all findings with their positions and reports them together, so that all
//! problems of a file can be fixed at once.

use std::fmt;
use thiserror::Error;

/// A position in a text. Line and column count from 1; the column counts characters, not bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Line number.
    pub line: usize,
    /// Column number.
    pub column: usize,
}

impl Position {
    /// Converts a byte offset in `text`. An offset beyond the end is treated as the end.
    pub fn from_offset(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

/// One problem in a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Position of the problem.
    pub position: Position,
    /// Description of the problem.
    pub problem: String,
    /// What would be valid instead.
    pub expected: String,
}

/// All findings in one text, ordered by position. Never empty when returned as an error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Findings {
    /// Name of the file or other source of the text.
    pub file: String,
    /// The findings, ordered by position.
    pub list: Vec<Finding>,
}

impl fmt::Display for Findings {
    /// One line per finding: `file:line:column: problem; expected …`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            let Position { line, column } = finding.position;
            let Finding { problem, expected, .. } = finding;
            write!(formatter, "{}:{line}:{column}: {problem}; expected {expected}", self.file)?;
        }
        Ok(())
    }
}

/// Collects findings while a text is checked.
#[derive(Debug)]
pub struct Collector<'a> {
    file: &'a str,
    text: &'a str,
    list: Vec<Finding>,
}

impl<'a> Collector<'a> {
    /// Creates a collector for `text`, which was read from `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Collector { file, text, list: Vec::new() }
    }

    /// Adds a finding at a byte offset.
    pub fn add(&mut self, offset: usize, problem: impl Into<String>, expected: impl Into<String>) {
        self.list.push(Finding {
            position: Position::from_offset(self.text, offset),
            problem: problem.into(),
            expected: expected.into(),
        });
    }

    /// Returns `value` if there are no findings, otherwise all findings.
    pub fn finish<T>(mut self, value: T) -> Result<T, Findings> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by_key(|finding| finding.position);
        Err(Findings { file: self.file.to_owned(), list: self.list })
    }
}
