//! The program `loftdrift-lab`: runs scenarios, policy comparisons, traces and random timelines on
//! a virtual clock, and counts events in the logs of nodes.

use anyhow::{Context, Result, bail};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use loftdrift_lab::{
    CarriedWorld, CarriedWorldSettings, Comparison, EventProfile, Plan, Policy, Report, Scenario,
    Trace, compare, explore, random_faults_with_evacuations, run, shrink, write_plots,
    write_profile_plot,
};
use pico_args::Arguments;
use std::io::IsTerminal;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const HELP: &str = "\
loftdrift-lab: simulates loftdrift deployments on a virtual clock

usage: loftdrift-lab COMMAND ...

commands:
  run SCENARIO.toml [--seed N | --seeds A..B] [--jobs J] [--format json]
      runs a scenario and checks its expected results and the invariants of every run
  compare SCENARIO.toml [--policies a,b,c] [--seed N | --seeds A..B] [--format json] [--plots DIR]
      compares assignment policies on the same flows: loftdrift, hash-modulo, rendezvous, maglev,
      flow-table, stale-choices, all-knowing
  record SCENARIO.toml --out FILE [--seed N]        runs a scenario and writes a trace of it
  replay FILE                                       runs a trace and compares the results
  explore SCENARIO.toml [--count N] [--seconds S] [--first-seed N] [--jobs J] [--out FILE]
      runs the scenario with random timelines of changes and faults; the first failing one is shrunk
      and written as a scenario that `run` accepts
  carried [--seed N | --seeds A..B] [--balancers N] [--weak N]
      runs carried flows (which end at the back end, not at its agent) under random faults and
      checks that none is broken or misrouted; --weak: how many balancers are short of CPU time
  profile LOG... [--step-ms N] [--from S] [--to S] [--plot FILE.svg]
      counts the events in the logs of nodes in steps of N milliseconds (default 100), as a CSV
      table; --plot: also draws the flows placed, declined and refused

  --help, --version
exit codes: 0 success, 1 a check failed, 2 invalid usage or unreadable file
";

const EXIT_CHECK_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const DEFAULT_TIMELINES: u64 = 1_000;
const DEFAULT_STEP_MS: i64 = 100;
/// Kinds of events in the table of `profile`.
const MAX_TABLE_COLUMNS: usize = 12;
const PLOTTED_KINDS: [&str; 4] =
    ["opening_placed", "request_arrived", "offer_declined:busy", "opening_refused:busy"];
const DEFAULT_OUT_FILE: &str = "failing.toml";

fn main() -> ExitCode {
    match command() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn command() -> Result<ExitCode> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--version") {
        println!("loftdrift-lab {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    let command = arguments.subcommand()?;
    if arguments.contains("--help") || command.is_none() {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    match command.as_deref() {
        Some("run") => run_command(arguments),
        Some("compare") => compare_command(arguments),
        Some("record") => record_command(arguments),
        Some("replay") => replay_command(arguments),
        Some("explore") => explore_command(arguments),
        Some("carried") => carried_command(arguments),
        Some("profile") => profile_command(arguments),
        other => bail!("unknown command `{}`; see loftdrift-lab --help", other.unwrap_or_default()),
    }
}

/// Runs carried flows under random faults, once per seed; stops at the first run that violates one
/// of the rules of [`loftdrift_lab::CarriedOutcome`].
fn carried_command(mut arguments: Arguments) -> Result<ExitCode> {
    let seeds = seeds(&mut arguments)?;
    let defaults = CarriedWorldSettings::default();
    let settings = CarriedWorldSettings {
        balancers: arguments.opt_value_from_str("--balancers")?.unwrap_or(defaults.balancers),
        slow_balancers: arguments.opt_value_from_str("--weak")?.unwrap_or(defaults.slow_balancers),
        ..defaults
    };
    if let Some(word) = arguments.finish().first() {
        bail!("`{}` is an unexpected argument; see --help", word.to_string_lossy());
    }
    if settings.balancers == 0 {
        bail!("--balancers 0: at least one balancer is needed");
    }
    let bar = progress(seeds.end.saturating_sub(seeds.start));
    let (mut runs, mut requests, mut served) = (0_u64, 0, 0);
    for seed in seeds {
        let faults = random_faults_with_evacuations(seed, settings.balancers, settings.backends);
        let outcome = CarriedWorld::new(CarriedWorldSettings { seed, ..settings }, &faults).run();
        if !outcome.keeps_invariants() {
            println!("seed {seed} violates a rule: {outcome:?}\n{faults:#?}");
            return Ok(ExitCode::from(EXIT_CHECK_FAILED));
        }
        (runs, requests, served) = (runs + 1, requests + outcome.requests, served + outcome.served);
        bar.inc(1);
    }
    println!("{runs} runs, none violated a rule; {served} of {requests} requests served");
    Ok(ExitCode::SUCCESS)
}

/// Counts the events in log files.
fn profile_command(mut arguments: Arguments) -> Result<ExitCode> {
    let step_ms = arguments.opt_value_from_str("--step-ms")?.unwrap_or(DEFAULT_STEP_MS);
    let from: f64 = arguments.opt_value_from_str("--from")?.unwrap_or(0.0);
    let to: f64 = arguments.opt_value_from_str("--to")?.unwrap_or(f64::INFINITY);
    let plot: Option<String> = arguments.opt_value_from_str("--plot")?;
    let mut logs = Vec::new();
    for file in arguments.finish() {
        let bytes = std::fs::read(&file);
        let bytes = bytes.with_context(|| format!("cannot read {}", file.to_string_lossy()))?;
        logs.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    if logs.is_empty() {
        bail!("no log file given; see --help");
    }
    let profile = EventProfile::from_logs(&logs, step_ms);
    print!("{}", profile.table(MAX_TABLE_COLUMNS, from, to));
    if let Some(file) = plot {
        write_profile_plot(std::path::Path::new(&file), &profile, &PLOTTED_KINDS)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn read_scenario(file: &str) -> Result<Scenario> {
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    Ok(Scenario::parse(file, &text)?)
}

/// The seeds of `--seed N` or `--seeds A..B`; seed 1 without either.
fn seeds(arguments: &mut Arguments) -> Result<std::ops::Range<u64>> {
    let one: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let range: Option<String> = arguments.opt_value_from_str("--seeds")?;
    match (one, range) {
        (Some(seed), None) => Ok(seed..seed + 1),
        (None, None) => Ok(1..2),
        (None, Some(range)) => {
            let (first, end) = range.split_once("..").context("--seeds: expected A..B")?;
            Ok(first.parse().context("--seeds")?..end.parse().context("--seeds")?)
        }
        (Some(_), Some(_)) => bail!("--seed and --seeds cannot be combined"),
    }
}

fn jobs(arguments: &mut Arguments) -> Result<usize> {
    Ok(arguments.opt_value_from_str("--jobs")?.unwrap_or(1).max(1))
}

fn json_requested(arguments: &mut Arguments) -> Result<bool> {
    let format: Option<String> = arguments.opt_value_from_str("--format")?;
    match format.as_deref() {
        None | Some("table") => Ok(false),
        Some("json") => Ok(true),
        Some(other) => bail!("--format {other}: expected table or json"),
    }
}

fn file_argument(mut arguments: Arguments, what: &str) -> Result<String> {
    let file = arguments.free_from_str().with_context(|| format!("{what} is required"))?;
    let rest = arguments.finish();
    match rest.first() {
        None => Ok(file),
        Some(word) => bail!("`{}` is an unexpected argument; see --help", word.to_string_lossy()),
    }
}

/// A progress bar on stderr if that is a terminal, else a hidden one.
fn progress(length: u64) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::hidden());
    }
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} {eta}");
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Calls `work` for each number on `jobs` threads; returns the results in the order of the numbers.
fn map_in_parallel<T: Send>(
    numbers: std::ops::Range<u64>,
    jobs: usize,
    work: impl Fn(u64) -> T + Sync,
) -> Vec<T> {
    let bar = progress(numbers.end.saturating_sub(numbers.start));
    let next = AtomicU64::new(numbers.start);
    let mut results: Vec<(u64, T)> = std::thread::scope(|scope| {
        let worker = || {
            let mut done = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= numbers.end {
                    return done;
                }
                done.push((number, work(number)));
                bar.inc(1);
            }
        };
        let threads: Vec<_> = (0..jobs).map(|_| scope.spawn(worker)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    });
    bar.finish_and_clear();
    results.sort_by_key(|(number, _)| *number);
    results.into_iter().map(|(_, result)| result).collect()
}

fn run_command(mut arguments: Arguments) -> Result<ExitCode> {
    let seeds = seeds(&mut arguments)?;
    let jobs = jobs(&mut arguments)?;
    let json = json_requested(&mut arguments)?;
    let scenario = read_scenario(&file_argument(arguments, "a scenario file")?)?;
    let started = Instant::now();
    let runs = map_in_parallel(seeds, jobs, |seed| run(&Plan::new(&scenario, seed)));
    let elapsed = started.elapsed();
    let mut missed = false;
    let mut packets = 0;
    for run in runs {
        let report = run?.report;
        packets += report.packets;
        missed |= show_report(&scenario, &report, json)?;
    }
    if !json {
        let rate = packets as f64 / elapsed.as_secs_f64();
        println!("{:.1} s, {rate:.0} simulated datagrams a second", elapsed.as_secs_f64());
    }
    Ok(if missed { ExitCode::from(EXIT_CHECK_FAILED) } else { ExitCode::SUCCESS })
}

/// Prints a report; returns whether an expected result was missed.
fn show_report(scenario: &Scenario, report: &Report, json: bool) -> Result<bool> {
    let missed = report.missed_expectations(&scenario.expect);
    if json {
        println!("{}", serde_json::json!({ "report": report, "missed": missed }));
    } else {
        print!("{}", report.summary());
        for outcome in &missed {
            println!("  MISSED with seed {}: {outcome}", report.seed);
        }
    }
    Ok(!missed.is_empty())
}

fn compare_command(mut arguments: Arguments) -> Result<ExitCode> {
    let seeds = seeds(&mut arguments)?;
    let jobs = jobs(&mut arguments)?;
    let json = json_requested(&mut arguments)?;
    let plots: Option<String> = arguments.opt_value_from_str("--plots")?;
    let names: Option<String> = arguments.opt_value_from_str("--policies")?;
    let policies = match names {
        None => Policy::ALL.iter().map(|(policy, _)| *policy).collect(),
        Some(names) => {
            let parse = |name: &str| {
                Policy::parse(name).with_context(|| format!("unknown policy `{name}`"))
            };
            names.split(',').map(parse).collect::<Result<Vec<Policy>>>()?
        }
    };
    let scenario = read_scenario(&file_argument(arguments, "a scenario file")?)?;
    let compared = map_in_parallel(seeds, jobs, |seed| compare(&scenario, seed, &policies));
    let compared = compared.into_iter().collect::<Result<Vec<Vec<Comparison>>>>()?;
    let services: Vec<String> = scenario.services.iter().map(|one| one.name.clone()).collect();
    if let (Some(folder), Some(first)) = (plots, compared.first()) {
        std::fs::create_dir_all(&folder).with_context(|| format!("cannot create {folder}"))?;
        write_plots(Path::new(&folder), &services, first)?;
    }
    if json {
        println!("{}", serde_json::to_string(&compared.concat())?);
    } else {
        print_comparison(&services, &policies, &compared);
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints a line for each policy: sums of flows and broken flows, and means of imbalance, over all
/// seeds.
fn print_comparison(services: &[String], policies: &[Policy], compared: &[Vec<Comparison>]) {
    print!("{:<14} {:>9} {:>9}", "policy", "flows", "broken");
    services.iter().for_each(|service| print!(" {service:>12}"));
    println!();
    for (index, policy) in policies.iter().enumerate() {
        let rows: Vec<&Comparison> = compared.iter().map(|seed| &seed[index]).collect();
        let flows: u64 = rows.iter().map(|row| row.flows).sum();
        let broken: u64 = rows.iter().map(|row| row.broken).sum();
        print!("{:<14} {flows:>9} {broken:>9}", policy.name());
        for service in 0..services.len() {
            let sum: f64 = rows.iter().map(|row| row.imbalance[service]).sum();
            print!(" {:>12.3}", sum / rows.len() as f64);
        }
        println!();
    }
}

fn record_command(mut arguments: Arguments) -> Result<ExitCode> {
    let out: String = arguments.value_from_str("--out")?;
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let scenario = read_scenario(&file_argument(arguments, "a scenario file")?)?;
    let plan = Plan::new(&scenario, seed);
    let report = run(&plan)?.report;
    let trace = Trace { plan, report };
    std::fs::write(&out, trace.write()).with_context(|| format!("cannot write {out}"))?;
    print!("{}", trace.report.summary());
    Ok(ExitCode::SUCCESS)
}

fn replay_command(arguments: Arguments) -> Result<ExitCode> {
    let file = file_argument(arguments, "a trace file")?;
    let text = std::fs::read_to_string(&file).with_context(|| format!("cannot read {file}"))?;
    let trace = Trace::read(&text).with_context(|| file.clone())?;
    let report = run(&trace.plan)?.report;
    let missed = show_report(&trace.plan.scenario, &report, false)?;
    if report != trace.report {
        println!("MISSED: the results differ from the recorded ones:\n{}", trace.report.summary());
        return Ok(ExitCode::from(EXIT_CHECK_FAILED));
    }
    println!("the results are the recorded ones");
    Ok(if missed { ExitCode::from(EXIT_CHECK_FAILED) } else { ExitCode::SUCCESS })
}

fn explore_command(mut arguments: Arguments) -> Result<ExitCode> {
    let count: u64 = arguments.opt_value_from_str("--count")?.unwrap_or(DEFAULT_TIMELINES);
    let seconds: Option<f64> = arguments.opt_value_from_str("--seconds")?;
    let first: u64 = arguments.opt_value_from_str("--first-seed")?.unwrap_or(1);
    let out: Option<String> = arguments.opt_value_from_str("--out")?;
    let jobs = jobs(&mut arguments)?;
    let scenario = read_scenario(&file_argument(arguments, "a scenario file")?)?;
    let end = seconds.map(|seconds| Instant::now() + Duration::from_secs_f64(seconds));
    let is_over = || end.is_some_and(|end| Instant::now() >= end);
    let explored = AtomicU64::new(0);
    let failures = map_in_parallel(first..first + count, jobs, |seed| {
        if is_over() {
            return Ok(None);
        }
        explored.fetch_add(1, Ordering::Relaxed);
        explore(&scenario, seed)
    });
    let explored = explored.into_inner();
    let failures = failures.into_iter().collect::<Result<Vec<_>>>()?;
    let failures: Vec<_> = failures.into_iter().flatten().collect();
    println!("{explored} timelines explored, {} violated an invariant", failures.len());
    let Some(failing) = failures.into_iter().next() else { return Ok(ExitCode::SUCCESS) };
    println!("seed {}: {}", failing.seed, failing.violations.join("; "));
    let smallest = shrink(failing);
    let out = out.unwrap_or_else(|| DEFAULT_OUT_FILE.to_owned());
    let text = smallest.scenario.to_toml();
    std::fs::write(&out, text).with_context(|| format!("cannot write {out}"))?;
    println!(
        "shrunk to {} events: loftdrift-lab run {out} --seed {}: {}",
        smallest.scenario.events.len(),
        smallest.seed,
        smallest.violations.join("; ")
    );
    Ok(ExitCode::from(EXIT_CHECK_FAILED))
}
