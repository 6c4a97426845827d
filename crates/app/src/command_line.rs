//! Command-line handling shared by `loftdrift` and `loftdrift-standin`.

use anyhow::{Context, Result};
use loftdrift_settings::{Overrides, Role, Settings};
use std::ffi::OsString;
use std::process::ExitCode;

/// Exit code: something failed, or a check or a guaranteed property did not hold.
pub const EXIT_FAILED: u8 = 1;
/// Exit code: the command line or a settings file is invalid.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: it is unknown whether a change was applied.
pub const EXIT_OUTCOME_UNKNOWN: u8 = 3;

/// An invalid command line or settings file; the program exits with [`EXIT_USAGE`].
#[derive(Debug)]
pub struct UsageError(pub String);

impl std::fmt::Display for UsageError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for UsageError {}

/// Starts logging to standard error. `RUST_LOG` sets the level; the default is `info`.
pub fn start_logging() {
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment).format_timestamp_millis().init();
}

/// Starts logging for interactive commands: only warnings unless `RUST_LOG` sets another level.
pub fn start_quiet_logging() {
    let environment = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(environment).format_timestamp_millis().init();
}

/// Reads the settings of a process from `--config FILE`; `--SETTING VALUE` flags override them.
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

fn overrides(unparsed: Vec<OsString>) -> Result<Overrides> {
    let mut overrides = Overrides::default();
    let mut arguments =
        unparsed.into_iter().map(|argument| argument.to_string_lossy().into_owned());
    while let Some(argument) = arguments.next() {
        let Some(name) = argument.strip_prefix("--") else {
            return Err(
                UsageError(format!("unrecognized argument `{argument}`; see --help")).into()
            );
        };
        match name.split_once('=') {
            Some((name, value)) => overrides.set(name, value.to_owned()),
            None => {
                let value = arguments.next();
                let value =
                    value.ok_or_else(|| UsageError(format!("flag --{name} has no value")))?;
                overrides.set(name, value);
            }
        }
    }
    Ok(overrides)
}

/// Converts an argument parsing error to a [`UsageError`].
pub fn usage_error(error: pico_args::Error) -> anyhow::Error {
    UsageError(error.to_string()).into()
}

/// Returns a usage error if any argument was not parsed.
pub fn reject_unused_arguments(arguments: pico_args::Arguments) -> Result<()> {
    let unparsed = arguments.finish();
    match unparsed.first() {
        None => Ok(()),
        Some(argument) => {
            let argument = argument.to_string_lossy();
            Err(UsageError(format!("unrecognized argument `{argument}`; see --help")).into())
        }
    }
}

/// Maps the result of a command to the program's exit code and prints an error to standard error.
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
