//! `loftdrift check FILE …`: reports all problems in settings files, operators' scripts and state
//! charts.

use crate::command_line::EXIT_FAILED;
use anyhow::{Context, Result};
use loftdrift_charts::Chart;
use loftdrift_configuration::parse_script;
use loftdrift_findings::Findings;
use loftdrift_settings::{Overrides, Settings};
use std::path::Path;
use std::process::ExitCode;

const SCRIPT_EXTENSION: &str = "commands";
const CHART_FOLDER: &str = "charts";

/// Checks each file. Returns exit code 0 when there are no findings, otherwise 1.
pub fn run(files: &[String]) -> Result<ExitCode> {
    let mut clean = true;
    for file in files {
        let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
        match check(file, &text) {
            Ok(kind) => println!("{file}: {kind}, no findings"),
            Err(findings) => {
                clean = false;
                println!("{findings}");
            }
        }
    }
    Ok(if clean { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) })
}

/// Checks one file; its extension or folder determines whether it is a script, a state chart or
/// settings.
fn check(file: &str, text: &str) -> Result<&'static str, Findings> {
    let path = Path::new(file);
    let folder = path.parent().and_then(Path::file_name);
    if path.extension().is_some_and(|extension| extension == SCRIPT_EXTENSION) {
        return parse_script(file, text).map(|_| "script");
    }
    if folder.is_some_and(|folder| folder == CHART_FOLDER) {
        return Chart::parse(file, text).map(|_| "state chart");
    }
    Settings::read(file, text, None, &Overrides::default()).map(|_| "settings")
}
