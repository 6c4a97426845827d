//! The program `loftdrift-standin`: a simulated network fabric, platform, back end and callers for
//! tests.

use loftdrift::command_line::{
    exit_code, read_settings, reject_unused_arguments, start_logging, usage_error,
};
use loftdrift::standins;
use loftdrift_settings::{Role, Settings};
use std::process::ExitCode;

const HELP: &str = "\
loftdrift-standin: simulates the systems around loftdrift for tests and experiments

usage: loftdrift-standin COMMAND [--config FILE] [--SETTING VALUE ...]

commands:
  fabric     accepts callers' connections and sends each packet to a random balancer
  platform   serves a key-value store and a machine list over HTTP
  backend    an HTTP back end with limited concurrency, a cold start and a delayed load page
  callers    sends requests on long flows, checks every response and prints the counts

  --help, --version
exit codes: 0 success, 1 failure (callers: broken flow or wrong response), 2 usage or settings
";

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run().await)
}

async fn run() -> anyhow::Result<ExitCode> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--version") {
        println!("loftdrift-standin {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    let command = arguments.subcommand().map_err(usage_error)?;
    if arguments.contains("--help") || command.is_none() {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let role = match command.as_deref() {
        Some("fabric") => Role::Fabric,
        Some("platform") => Role::Platform,
        Some("backend") => Role::Backend,
        Some("callers") => Role::Callers,
        _ => {
            let command = command.unwrap_or_default();
            return reject_unused_arguments(pico_args::Arguments::from_vec(vec![command.into()]))
                .map(|()| ExitCode::SUCCESS);
        }
    };
    start_logging();
    match read_settings(role, arguments)? {
        Settings::Fabric(settings) => standins::run_fabric(settings).await?,
        Settings::Platform(settings) => standins::run_platform(settings).await?,
        Settings::Backend(settings) => standins::run_backend(settings).await?,
        Settings::Callers(settings) => return standins::run_callers(settings).await,
        Settings::Balancer(_) | Settings::Agent(_) => {}
    }
    Ok(ExitCode::SUCCESS)
}
