//! What the two programs' command lines have in common.

use anyhow::{Context, Result};
use loftdrift_settings::{Overrides, Role, Settings};
use std::ffi::OsString;
use std::process::ExitCode;

/// Exit code: something failed, or a promise or a check did not hold.
pub const EXIT_FAILED: u8 = 1;
/// Exit code: the command line or a settings file is wrong.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: the outcome of a change is unknown.
pub const EXIT_OUTCOME_UNKNOWN: u8 = 3;

/// A mistake in how a program was called, which exits with [`EXIT_USAGE`].
#[derive(Debug)]
pub struct UsageError(pub String);

impl std::fmt::Display for UsageError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for UsageError {}

/// Starts logging: level from `RUST_LOG`, `info` without it, to standard error.
pub fn start_logging() {
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment).format_timestamp_millis().init();
}

/// Starts logging for commands that people watch: warnings only, unless `RUST_LOG` says more.
pub fn start_quiet_logging() {
    let environment = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(environment).format_timestamp_millis().init();
}

/// The settings of a process: `--config FILE`, overridden by `--SETTING VALUE` flags.
pub fn read_settings(role: Role, mut arguments: pico_args::Arguments) -> Result<Settings> {
    let file: Option<String> = arguments.opt_value_from_str("--config").map_err(usage_error)?;
    let overrides = overrides(arguments.finish())?;
    let (name, text) = match file {
        Some(file) => {
            let text = std::fs::read_to_string(&file)
                .with_context(|| format!("flag --config: cannot read the settings file {file}"))?;
            (file, text)
        }
        None => ("flags".to_owned(), String::new()),
    };
    let settings = Settings::read(&name, &text, Some(role), &overrides);
    settings.map_err(|findings| UsageError(findings.to_string()).into())
}

fn overrides(rest: Vec<OsString>) -> Result<Overrides> {
    let mut overrides = Overrides::default();
    let mut words = rest.into_iter().map(|word| word.to_string_lossy().into_owned());
    while let Some(word) = words.next() {
        let Some(name) = word.strip_prefix("--") else {
            return Err(UsageError(format!("`{word}` is not understood; see --help")).into());
        };
        match name.split_once('=') {
            Some((name, value)) => overrides.set(name, value.to_owned()),
            None => {
                let value = words.next();
                let value =
                    value.ok_or_else(|| UsageError(format!("flag --{name} has no value")))?;
                overrides.set(name, value);
            }
        }
    }
    Ok(overrides)
}

/// An argument that could not be read, as a usage error.
pub fn usage_error(error: pico_args::Error) -> anyhow::Error {
    UsageError(error.to_string()).into()
}

/// Refuses words that were not understood.
pub fn reject_unused_arguments(arguments: pico_args::Arguments) -> Result<()> {
    let rest = arguments.finish();
    match rest.first() {
        None => Ok(()),
        Some(word) => {
            let word = word.to_string_lossy();
            Err(UsageError(format!("`{word}` is not understood; see --help")).into())
        }
    }
}

/// The exit code of a program whose command ended with `result`; prints an error.
pub fn exit_code(result: Result<ExitCode>) -> ExitCode {
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error:#}");
            let is_usage = error.downcast_ref::<UsageError>().is_some();
            ExitCode::from(if is_usage { EXIT_USAGE } else { EXIT_FAILED })
        }
    }
}
