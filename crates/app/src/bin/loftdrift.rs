//! The program `loftdrift`: balancer, agent, operator commands, file checks and the demo.

use anyhow::Result;
use loftdrift::command_line::{
    UsageError, exit_code, read_settings, reject_unused_arguments, start_logging,
    start_quiet_logging, usage_error,
};
use loftdrift::ctl::{self, Format, Invocation};
use loftdrift::demo::{self, DemoSettings};
use loftdrift::{check, process, signals};
use loftdrift_settings::{Role, Settings};
use loftdrift_store::StoreClient;
use pico_args::Arguments;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "\
loftdrift: a layer-4 load balancer that moves live services between data centres

usage: loftdrift COMMAND ...

commands:
  balancer [--config FILE] [--SETTING VALUE ...]    runs a balancer
  agent    [--config FILE] [--SETTING VALUE ...]    runs the agent beside a back end
  ctl --platform IP:PORT [--format json] [--dry-run] (--file SCRIPT | STATEMENT ...)
      applies operators' statements atomically, for example
      loftdrift ctl --platform 127.0.0.1:2379 drain backend tiles-3
  ctl --platform IP:PORT outcome ID                 shows whether a command was applied
  check FILE ...     reports all problems in settings files, scripts (*.commands) and state charts
  demo [--seconds N] [--seed S] [--format json] [--listen IP:PORT]
      runs all components in one process over loopback while balancers and back ends change

  --help, --version
exit codes: 0 success, 1 failed or rejected, 2 invalid usage or settings, 3 outcome unknown
docs/OPERATING.md lists settings, signals and counters
";

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run().await)
}

async fn run() -> Result<ExitCode> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--version") {
        println!("loftdrift {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    let command = arguments.subcommand().map_err(usage_error)?;
    if arguments.contains("--help") || command.is_none() {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    match command.as_deref() {
        Some("balancer") => run_balancer(arguments).await,
        Some("agent") => run_agent(arguments).await,
        Some("ctl") => run_ctl(arguments).await,
        Some("check") => run_check(arguments),
        Some("demo") => run_demo(arguments).await,
        _ => {
            let command = command.unwrap_or_default();
            Err(UsageError(format!("unknown command `{command}`; see loftdrift --help")).into())
        }
    }
}

async fn run_balancer(arguments: Arguments) -> Result<ExitCode> {
    start_logging();
    if let Settings::Balancer(settings) = read_settings(Role::Balancer, arguments)? {
        process::run_balancer(settings, signals::stop_requests()?).await?;
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_agent(arguments: Arguments) -> Result<ExitCode> {
    start_logging();
    if let Settings::Agent(settings) = read_settings(Role::Agent, arguments)? {
        process::run_agent(settings, signals::stop_requests()?).await?;
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_ctl(mut arguments: Arguments) -> Result<ExitCode> {
    start_quiet_logging();
    let platform: SocketAddr = arguments.value_from_str("--platform").map_err(usage_error)?;
    let file: Option<String> = arguments.opt_value_from_str("--file").map_err(usage_error)?;
    let format = read_format(&mut arguments)?;
    let dry_run = arguments.contains("--dry-run");
    let words: Vec<String> =
        arguments.finish().into_iter().map(|word| word.to_string_lossy().into_owned()).collect();
    let store = StoreClient::new(platform);
    if let [first, command] = words.as_slice()
        && first == "outcome"
    {
        return ctl::print_past_outcome(&store, command).await;
    }
    let (script_name, script) = match file {
        Some(_) if !words.is_empty() => {
            return Err(UsageError("--file and a statement cannot be combined".to_owned()).into());
        }
        Some(file) => {
            let script = std::fs::read_to_string(&file);
            let script = script.map_err(|error| UsageError(format!("--file {file}: {error}")))?;
            (file, script)
        }
        None if words.is_empty() => {
            return Err(UsageError("give --file SCRIPT or a statement".to_owned()).into());
        }
        None => ("statement".to_owned(), words.join(" ")),
    };
    ctl::run(&store, &Invocation { script_name, script, dry_run, format }).await
}

fn run_check(arguments: Arguments) -> Result<ExitCode> {
    let files: Vec<String> =
        arguments.finish().into_iter().map(|file| file.to_string_lossy().into_owned()).collect();
    if files.is_empty() {
        return Err(UsageError("give at least one file to check".to_owned()).into());
    }
    check::run(&files)
}

async fn run_demo(mut arguments: Arguments) -> Result<ExitCode> {
    start_quiet_logging();
    let seconds: Option<u64> = arguments.opt_value_from_str("--seconds").map_err(usage_error)?;
    let seed: Option<u64> = arguments.opt_value_from_str("--seed").map_err(usage_error)?;
    let listen = arguments.opt_value_from_str("--listen").map_err(usage_error)?;
    let format = read_format(&mut arguments)?;
    reject_unused_arguments(arguments)?;
    let seconds = seconds.unwrap_or(demo::DEFAULT_DURATION_SECONDS);
    if seconds < demo::MIN_DURATION_SECONDS {
        let min_seconds = demo::MIN_DURATION_SECONDS;
        return Err(UsageError(format!("--seconds must be at least {min_seconds}")).into());
    }
    let settings = DemoSettings {
        duration: Duration::from_secs(seconds),
        seed: seed.unwrap_or(demo::DEFAULT_SEED),
        listen,
        format,
    };
    demo::run(settings).await
}

fn read_format(arguments: &mut Arguments) -> Result<Format> {
    let format: Option<String> = arguments.opt_value_from_str("--format").map_err(usage_error)?;
    match format.as_deref() {
        None | Some("table") => Ok(Format::Table),
        Some("json") => Ok(Format::Json),
        Some(other) => Err(UsageError(format!("--format {other}: expected table or json")).into()),
    }
}
