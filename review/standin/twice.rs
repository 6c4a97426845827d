//! FLOW: all power is lost. A second after its return all processes of the system are killed, while
//! the back ends go on. Flows that opened in between are reset when they are used again, seconds
//! later.

use crate::backend::Backend;
use crate::nodes::Node;
use crate::record::Record;
use crate::world::{CONTACT, CannotRun, World, route};
use crate::{Run, Verdict};
use std::time::Duration;

const BALANCERS: u8 = 2;
const AGENTS: u8 = 4;
const CALLERS: u32 = 80;
const REQUESTS_PER_FLOW: u32 = 3;
/// Less than the idle timeout of 12 s.
const PAUSE: Duration = Duration::from_millis(6_000);
/// The callers begin within this time after the power is back.
const SPREAD: Duration = Duration::from_millis(300);
const WORK: Duration = Duration::from_millis(20);
const DARK_SECONDS: f64 = 1.0;
/// From the return of the power to the first heartbeats.
const FIRST_HEARTBEAT_SECONDS: f64 = 0.1;
const HEARTBEAT_SECONDS: f64 = 1.2;
const HEARTBEATS: u32 = 20;
/// From the return of the power to the kill, and from that to the processes' start.
const KILL_AFTER_SECONDS: f64 = 0.65;
const START_AFTER_SECONDS: f64 = 0.55;
const OBSERVED_SECONDS: f64 = 14.0;

pub fn play(run: Run) -> Result<Verdict, CannotRun> {
    let Run { root, scratch, record, trouble } = run;
    let mut world = World::start(root, scratch, record, BALANCERS, AGENTS, WORK)?;
    if trouble {
        lose_power(&mut world);
    }
    let back = world.record.now();
    world.callers.send_on_kept_flows(route(), CALLERS, REQUESTS_PER_FLOW, PAUSE, SPREAD);
    if trouble {
        world.wait_until(back + KILL_AFTER_SECONDS);
        kill_all(&mut world);
        world.wait_until(back + KILL_AFTER_SECONDS + START_AFTER_SECONDS);
        start_all(&mut world);
    }
    let undisturbed_since = world.record.now();
    world.wait_until(back + OBSERVED_SECONDS);
    world.finish()?;
    // Everything is in touch again.
    let wrong = world.wrong_resets(undisturbed_since + CONTACT.as_secs_f64());
    world.say_wrong_resets(&wrong);
    Ok(if wrong.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// All machines are without power for a while. Then processes and back ends start together.
fn lose_power(world: &mut World) {
    world.backends.iter().for_each(Backend::pause_heartbeats);
    kill_all(world);
    world.backends.iter().for_each(Backend::end);
    world.wait_until(world.record.now() + DARK_SECONDS);
    start_all(world);
    let back = world.record.now();
    world.backends = (0..AGENTS).map(|number| world.start_backend(number, 2, false)).collect();
    for backend in world.backends.clone() {
        let record = world.record.clone();
        std::thread::spawn(move || send_heartbeats(&backend, &record, back));
    }
}

fn send_heartbeats(backend: &Backend, record: &Record, back: f64) {
    for number in 0..HEARTBEATS {
        let at = back + FIRST_HEARTBEAT_SECONDS + HEARTBEAT_SECONDS * f64::from(number);
        std::thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
        let heartbeat = backend.next_heartbeat();
        backend.send_heartbeat(&heartbeat);
    }
}

fn nodes(world: &mut World) -> impl Iterator<Item = &mut Node> {
    world.balancers.iter_mut().chain(&mut world.agents)
}

fn kill_all(world: &mut World) {
    nodes(world).for_each(Node::kill);
}

fn start_all(world: &mut World) {
    let deployment = world.deployment.clone();
    nodes(world).for_each(|node| deployment.start_again(node));
}
