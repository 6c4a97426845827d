//! FLOW: a back end crashes, its agent's machine is stopped and started in turn, the back end comes
//! back. Much later a balancer is added. All is in touch, and open flows are reset.

use crate::nodes::RESTART_DELAY;
use crate::world::{CannotRun, World, route};
use crate::{Run, Verdict};
use std::time::Duration;

const BALANCERS: u8 = 2;
const AGENTS: u8 = 3;
const CALLERS: u32 = 120;
/// Requests for which a caller keeps a flow, at least.
const REQUESTS_PER_FLOW: u32 = 4;
const PAUSE: Duration = Duration::from_millis(500);
const WORK: Duration = Duration::from_millis(20);
/// The back end that crashes.
const CRASHING: usize = 0;
/// From the back end's crash to the stop of its agent.
const STOP_AFTER_SECONDS: f64 = 0.6;
/// From the back end's crash to its return.
const RETURN_AFTER_SECONDS: f64 = 4.0;
/// From its return to the new balancer.
const JOIN_AFTER_SECONDS: f64 = 8.0;
/// From the new balancer's start to the end of the run.
const OBSERVED_SECONDS: f64 = 6.0;

pub fn play(run: Run) -> Result<Verdict, CannotRun> {
    let Run { root, scratch, record, trouble } = run;
    let mut world = World::start(root, scratch, record, BALANCERS, AGENTS, WORK)?;
    world.callers.send_on_kept_flows(route(), CALLERS, REQUESTS_PER_FLOW, PAUSE, PAUSE);
    world.wait_until(world.record.now() + 4.0);

    let crashed = world.record.now();
    if trouble {
        world.backends[CRASHING].end();
        world.wait_until(crashed + STOP_AFTER_SECONDS);
        world.agents[CRASHING].stop();
        world.record.say(&format!("entries in the store: {}", world.store.entries()));
        std::thread::sleep(RESTART_DELAY);
        let World { deployment, agents, .. } = &mut world;
        deployment.start_again(&mut agents[CRASHING]);
    }
    world.wait_until(crashed + RETURN_AFTER_SECONDS);
    if trouble {
        let again = world.start_backend(CRASHING as u8, 2, true);
        world.backends[CRASHING] = again;
    }
    world.wait_until(crashed + RETURN_AFTER_SECONDS + JOIN_AFTER_SECONDS);
    world.record.say(&format!("entries in the store: {}", world.store.entries()));
    let joined = world.record.now();
    world.add_balancer(false);
    world.wait_until(joined + OBSERVED_SECONDS);
    let are_running =
        world.balancers.iter_mut().chain(&mut world.agents).all(|node| node.is_running());
    if !are_running {
        return Err(CannotRun("a process has ended by itself".to_owned()));
    }
    world.finish()?;
    let wrong = world.wrong_resets(joined);
    world.say_wrong_resets(&wrong);
    Ok(if wrong.is_empty() { Verdict::Held } else { Verdict::Broken })
}
