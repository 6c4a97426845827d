//! `loftdrift demo`: the whole path in one process over real loopback sockets.
//!
//! Callers keep long flows to the Guild's and the co-op's services while one balancer is stopped
//! as planned, another is killed, a new one starts, a back end drains and another is attached.

mod report;
mod tally;
mod world;

use crate::command_line::EXIT_FAILED;
use crate::ctl::Format;
use anyhow::Result;
use report::Report;
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::time::Duration;
use tally::Tally;
use tokio::time::Instant;
use world::World;

/// How long the demo runs when nothing is said.
pub const DEFAULT_SECONDS: u64 = 20;
/// The shortest run in which every change has its effect.
pub const FEWEST_SECONDS: u64 = 8;
/// The seed when none is given.
pub const DEFAULT_SEED: u64 = 1;

/// A drained back end takes no new flow later than this after the acceptance.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// What the demo is asked for.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// How long callers call.
    pub duration: Duration,
    /// Seed of every random choice.
    pub seed: u64,
    /// Where the tile service is reached, if not on a port of the kernel's choice.
    pub listen: Option<SocketAddrV4>,
    /// How the result is printed.
    pub format: Format,
}

/// A change in the demo's timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    StopBalancer,
    KillBalancer,
    StartBalancer,
    DrainBackend,
    CheckDrained,
    AttachBackend,
}

/// Runs the demo; exits with 0 only when every promise held.
pub async fn run(settings: DemoSettings) -> Result<ExitCode> {
    let mut world = World::start(&settings).await?;
    let (mut tally, events) = Tally::new();
    world.start_callers(events);
    let show = settings.format == Format::Table;
    if show {
        let address = world.tiles_address();
        println!("try it meanwhile: curl -s 'http://{address}/bytes/10000000?seed=1' | sha256sum");
    }
    let started = Instant::now();
    let mut timeline = timeline(settings.duration).into_iter().peekable();
    let mut sampling = tokio::time::interval(SAMPLE_INTERVAL);
    let end = started + settings.duration;
    while Instant::now() < end {
        let next = timeline.peek().map_or(end, |(at, _)| started + *at);
        tokio::select! {
            _ = sampling.tick() => tally.sample_loads(&world.loads()),
            () = tally.collect() => {}
            () = tokio::time::sleep_until(next.min(end)) => {
                if let Some((at, change)) = timeline.next() {
                    let told = carry_out(&mut world, change).await?;
                    if show {
                        println!("{:5.1} s  {told}", at.as_secs_f64());
                    }
                }
            }
        }
    }
    let elapsed = started.elapsed();
    world.stop_callers();
    tally.collect_rest().await;
    let executions = world.executions().await?;
    let report = Report::new(&tally, &world, &executions, elapsed);
    println!("{}", report.render(settings.format));
    let code = if report.promises_held() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) };
    Ok(code)
}

/// When each change comes, as shares of the whole duration.
fn timeline(duration: Duration) -> Vec<(Duration, Change)> {
    let drained_at = duration.mul_f64(0.5);
    vec![
        (duration.mul_f64(0.15), Change::StopBalancer),
        (duration.mul_f64(0.25), Change::KillBalancer),
        (duration.mul_f64(0.35), Change::StartBalancer),
        (drained_at, Change::DrainBackend),
        (duration.mul_f64(0.55), Change::AttachBackend),
        (drained_at + DRAIN_BOUND, Change::CheckDrained),
    ]
}

async fn carry_out(world: &mut World, change: Change) -> Result<String> {
    match change {
        Change::StopBalancer => {
            let address = world.stop_balancer().await;
            Ok(format!("balancer {address} is stopped as planned"))
        }
        Change::KillBalancer => Ok(format!("balancer {} is killed", world.kill_balancer().await)),
        Change::StartBalancer => {
            Ok(format!("balancer {} has started", world.start_balancer().await?))
        }
        Change::DrainBackend => {
            world.command(&format!("drain backend {}", world::DRAINED_BACKEND)).await?;
            Ok(format!("back end {} is draining", world::DRAINED_BACKEND))
        }
        Change::CheckDrained => {
            world.note_drained_opens();
            Ok(format!("back end {} must take no new flow from now on", world::DRAINED_BACKEND))
        }
        Change::AttachBackend => {
            let name = world.attach_backend().await?;
            Ok(format!("back end {name} is attached"))
        }
    }
}
