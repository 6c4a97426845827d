//! `loftdrift demo`: runs all components in one process, connected by real loopback sockets.
//!
//! Callers keep long flows open to four example services, two each of the customers called Guild
//! and co-op. Meanwhile one balancer is stopped gracefully, another is killed, a new one starts, a
//! back end drains and another is attached.

mod cluster;
mod report;
mod stats;

use crate::command_line::EXIT_FAILED;
use crate::ctl::Format;
use anyhow::Result;
use cluster::DemoCluster;
use report::Report;
use stats::DemoStats;
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;

/// Default run time.
pub const DEFAULT_DURATION_SECONDS: u64 = 20;
/// Minimum run time; in a shorter run not every change would take effect.
pub const MIN_DURATION_SECONDS: u64 = 8;
/// Default seed.
pub const DEFAULT_SEED: u64 = 1;

/// Maximum time from the acceptance of a drain command until the back end gets no more new flows.
const DRAIN_EFFECT_TIMEOUT: Duration = Duration::from_secs(3);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Settings of a demo run.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// How long callers send requests.
    pub duration: Duration,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Listen address of the tile service; by default a loopback port that the kernel assigns.
    pub listen: Option<SocketAddrV4>,
    /// Output format of the result.
    pub format: Format,
}

/// A step of the demo's timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    StopBalancer,
    KillBalancer,
    StartBalancer,
    DrainBackend,
    CheckDrained,
    AttachBackend,
}

/// Runs the demo. Returns exit code 0 only if every guarantee in the report held.
pub async fn run(settings: DemoSettings) -> Result<ExitCode> {
    let mut cluster = DemoCluster::start(&settings).await?;
    let (mut stats, events) = DemoStats::new();
    cluster.start_callers(events);
    let show_progress = settings.format == Format::Table;
    if show_progress {
        let address = cluster.tiles_address();
        println!("try it now: curl -s 'http://{address}/bytes/10000000?seed=1' | sha256sum");
    }
    let started = Instant::now();
    let mut timeline = timeline(settings.duration).into_iter().peekable();
    let mut sampling = tokio::time::interval(SAMPLE_INTERVAL);
    let end = started + settings.duration;
    while Instant::now() < end {
        let next = timeline.peek().map_or(end, |(at, _)| started + *at);
        tokio::select! {
            _ = sampling.tick() => stats.sample_loads(&cluster.loads()),
            () = stats.collect() => {}
            () = tokio::time::sleep_until(next.min(end)) => {
                if let Some((at, change)) = timeline.next() {
                    let message = apply_change(&mut cluster, change).await?;
                    if show_progress {
                        println!("{:5.1} s  {message}", at.as_secs_f64());
                    }
                }
            }
        }
    }
    let elapsed = started.elapsed();
    cluster.stop_callers();
    stats.collect_rest().await;
    let executions = cluster.executions().await?;
    let report = Report::new(&stats, &cluster, &executions, elapsed);
    println!("{}", report.render(settings.format));
    let code =
        if report.guarantees_held() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) };
    Ok(code)
}

/// The time of each step after the start; most are fractions of the run time.
fn timeline(duration: Duration) -> Vec<(Duration, Change)> {
    let drain_at = duration.mul_f64(0.5);
    vec![
        (duration.mul_f64(0.15), Change::StopBalancer),
        (duration.mul_f64(0.25), Change::KillBalancer),
        (duration.mul_f64(0.35), Change::StartBalancer),
        (drain_at, Change::DrainBackend),
        (duration.mul_f64(0.55), Change::AttachBackend),
        (drain_at + DRAIN_EFFECT_TIMEOUT, Change::CheckDrained),
    ]
}

async fn apply_change(cluster: &mut DemoCluster, change: Change) -> Result<String> {
    match change {
        Change::StopBalancer => {
            let address = cluster.stop_balancer().await;
            Ok(format!("balancer {address} is stopping gracefully"))
        }
        Change::KillBalancer => Ok(format!("balancer {} is killed", cluster.kill_balancer().await)),
        Change::StartBalancer => {
            Ok(format!("balancer {} has started", cluster.start_balancer().await?))
        }
        Change::DrainBackend => {
            cluster.run_script(&format!("drain backend {}", cluster::DRAINED_BACKEND)).await?;
            Ok(format!("back end {} is draining", cluster::DRAINED_BACKEND))
        }
        Change::CheckDrained => {
            cluster.note_drain_baseline();
            Ok(format!("back end {} must take no new flow from now on", cluster::DRAINED_BACKEND))
        }
        Change::AttachBackend => {
            let name = cluster.attach_backend().await?;
            Ok(format!("back end {name} is attached"))
        }
    }
}
