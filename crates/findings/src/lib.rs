//! Findings on texts that people write: settings files, state charts, command scripts.
//!
//! A checker collects every finding with its place and reports them together, so that a person
//! mends a file in one go.

use std::fmt;
use thiserror::Error;

/// A place in a text, both counted from 1; the column counts characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

impl Position {
    /// The place of a byte offset in `text`; offsets behind the end mean the end.
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

/// One thing wrong with a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where.
    pub position: Position,
    /// What is wrong there.
    pub problem: String,
    /// What would be right there.
    pub expected: String,
}

/// All findings on one text, in the order of their places. Never empty when returned as an error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Findings {
    /// Name of the file, or of where the text came from.
    pub file: String,
    /// The findings.
    pub list: Vec<Finding>,
}

impl fmt::Display for Findings {
    /// One line a finding: `file:line:column: problem; expected …`.
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
    /// A collector for `text`, which came from `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Collector { file, text, list: Vec::new() }
    }

    /// Records a finding at a byte offset.
    pub fn add(&mut self, offset: usize, problem: impl Into<String>, expected: impl Into<String>) {
        self.list.push(Finding {
            position: Position::from_offset(self.text, offset),
            problem: problem.into(),
            expected: expected.into(),
        });
    }

    /// The value when nothing was found, otherwise all findings.
    pub fn finish<T>(mut self, value: T) -> Result<T, Findings> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by_key(|finding| finding.position);
        Err(Findings { file: self.file.to_owned(), list: self.list })
    }
}
