//! `loftdrift-node`: a balancer or an agent of carried flows on the users' platform.

use anyhow::{Context, Result};
use loftdrift::command_line::{exit_code, refuse_rest};
use loftdrift_node::NodeSettings;
use loftdrift_platform::{HeadFormat, PlatformInterface, PlatformStore};
use loftdrift_settings::Overrides;
use std::convert::Infallible;
use std::ffi::OsStr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

const HELP: &str = "\
loftdrift-node: a balancer or an agent of carried flows

USAGE: loftdrift-node [--check] SETTINGS

  SETTINGS   settings file; its `role` says what the process does
  --check    only check the settings, report every finding, and end
";

fn main() -> ExitCode {
    exit_code(start())
}

fn start() -> Result<ExitCode> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let only_check = arguments.contains("--check");
    let path: PathBuf =
        arguments.free_from_os_str(to_path).context("no settings file given; see --help")?;
    refuse_rest(arguments)?;
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).with_context(|| format!("cannot read {name}"))?;
    let settings = NodeSettings::read(&name, &text, &Overrides::default(), incarnation())?;
    if only_check {
        println!("{name}: no findings");
        return Ok(ExitCode::SUCCESS);
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Stdout)
        .init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let store = PlatformStore::new(settings.store, settings.shortest_lease);
    let node = loftdrift_node::run(path, settings, Arc::new(HeadFormat), PlatformInterface, store);
    runtime.block_on(node)?;
    // Tasks that still wait for others are not waited for.
    runtime.shutdown_background();
    Ok(ExitCode::SUCCESS)
}

fn to_path(text: &OsStr) -> Result<PathBuf, Infallible> {
    Ok(PathBuf::from(text))
}

/// Tells one start of a node from another; no order is derived from it.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}
