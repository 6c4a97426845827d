//! FLOW: a back end is added. Its first heartbeat comes seconds late. Meanwhile its agent is stopped
//! and started in turn, and the first heartbeat is the first one that the new process receives.

use crate::backend::{Backend, HEARTBEAT_INTERVAL};
use crate::nodes::RESTART_DELAY;
use crate::world::{CannotRun, World, route};
use crate::{Run, Verdict};
use std::time::Duration;

const BALANCERS: u8 = 2;
const AGENTS: u8 = 3;
const CALLERS: u32 = 120;
/// Requests for which a caller keeps a flow, at least.
const REQUESTS_PER_FLOW: u32 = 2;
const PAUSE: Duration = Duration::from_millis(1_500);
const WORK: Duration = Duration::from_millis(20);
/// The machine that is added, and its back end.
const ADDED: u8 = AGENTS;
/// From the new back end's start to the stop of its agent: between its 4th and 5th heartbeat.
const STOP_AFTER_SECONDS: f64 = 3.9;
/// From the new back end's start to the end of the run.
const OBSERVED_SECONDS: f64 = 12.0;
/// The late heartbeat is tried again until the agent listens, and no longer than this.
const MAX_TRIES: u32 = 20;

pub fn play(run: Run) -> Result<Verdict, CannotRun> {
    let Run { root, scratch, record, trouble } = run;
    let mut world = World::start(root, scratch, record, BALANCERS, AGENTS, WORK)?;
    world.callers.send_on_kept_flows(route(), CALLERS, REQUESTS_PER_FLOW, PAUSE, PAUSE);
    world.wait_until(world.record.now() + 4.0);

    world.add_agent(ADDED, false);
    std::thread::sleep(Duration::from_millis(100));
    let backend = world.start_backend(ADDED, 1, false);
    world.backends.push(backend.clone());
    let started = world.record.now();
    let first = backend.next_heartbeat();
    let on_time = backend.clone();
    if !trouble {
        on_time.send_heartbeat(&first);
    }
    std::thread::spawn(move || send_further_heartbeats(&on_time));
    world.wait_until(started + STOP_AFTER_SECONDS);
    if trouble {
        world.agents[usize::from(ADDED)].stop();
        std::thread::sleep(RESTART_DELAY);
        let World { deployment, agents, .. } = &mut world;
        deployment.start_again(&mut agents[usize::from(ADDED)]);
        let arrives = |_| {
            std::thread::sleep(Duration::from_millis(10));
            backend.send_heartbeat(&first)
        };
        if !(0..MAX_TRIES).any(arrives) {
            return Err(CannotRun("the late heartbeat did not arrive".to_owned()));
        }
        world.record.say(&format!("heartbeat 1 of {} was acknowledged, late", backend.id()));
    }
    world.wait_until(started + OBSERVED_SECONDS);
    world.finish()?;
    let wrong = world.wrong_resets(started);
    world.say_wrong_resets(&wrong);
    Ok(if wrong.is_empty() { Verdict::Held } else { Verdict::Broken })
}

fn send_further_heartbeats(backend: &Backend) {
    loop {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        let heartbeat = backend.next_heartbeat();
        backend.send_heartbeat(&heartbeat);
    }
}
