//! DRAIN, without any disruption of the system's own processes: a back end crashes, and two of its
//! heartbeats are late. The next start on its machine registers and leaves with `DELETE`, which the
//! agent acknowledges. Then the heartbeats of the former start arrive.

use crate::drain::{Drained, await_work, judge};
use crate::world::{CannotRun, World, route};
use crate::{Run, Verdict};
use std::time::Duration;

const BALANCERS: u8 = 2;
const AGENTS: u8 = 3;
const REQUESTS_PER_SECOND: u32 = 20;
const WORK: Duration = Duration::from_millis(300);
const DRAIN_SECONDS: f64 = 3.0;
/// Time between the two late heartbeats (`heartbeat_ms`).
const APART_SECONDS: f64 = 1.2;
/// From the crash to the next start, and from that to its `DELETE`.
const RETURN_AFTER_SECONDS: f64 = 0.8;
const LEAVE_AFTER_SECONDS: f64 = 2.0;
/// How late the heartbeats of the former start are.
const DELAY_SECONDS: f64 = 4.5;
const SERVES_ON_SECONDS: f64 = 10.0;
const CRASHING: u8 = 0;

pub fn play(run: Run) -> Result<Verdict, CannotRun> {
    let Run { root, scratch, record, trouble } = run;
    let mut world = World::start(root, scratch, record, BALANCERS, AGENTS, WORK)?;
    world.callers.send_single_flows(route(), REQUESTS_PER_SECOND);
    world.wait_until(world.record.now() + 4.0);

    let former = world.backends[usize::from(CRASHING)].clone();
    former.pause_heartbeats();
    let first_late = former.next_heartbeat();
    let first_sent = world.record.now();
    world.wait_until(first_sent + APART_SECONDS);
    let second_late = former.next_heartbeat();
    if !trouble {
        former.send_heartbeat(&first_late);
        former.send_heartbeat(&second_late);
    }
    former.end();
    let crashed = world.record.now();
    world.wait_until(crashed + RETURN_AFTER_SECONDS);
    let next = world.start_backend(CRASHING, 2, true);
    world.wait_until(crashed + RETURN_AFTER_SECONDS + LEAVE_AFTER_SECONDS);
    let acknowledged = next.say_goodbye();
    let acknowledged =
        acknowledged.ok_or_else(|| CannotRun("the DELETE was not acknowledged".to_owned()))?;
    if trouble {
        for (heartbeat, sent) in
            [(first_late, first_sent), (second_late, first_sent + APART_SECONDS)]
        {
            world.wait_until(sent + DELAY_SECONDS);
            let is_acknowledged = former.send_heartbeat(&heartbeat);
            let text = format!(
                "{}: late heartbeat {} acknowledged: {is_acknowledged}",
                former.id(),
                heartbeat.sequence
            );
            world.record.say(&text);
        }
    }
    world.wait_until(acknowledged + SERVES_ON_SECONDS);
    await_work(&world, next.id(), WORK);
    let ended = world.record.now();
    next.end();
    world.agents[usize::from(CRASHING)].stop();
    world.wait_until(ended + 2.0);
    world.finish()?;
    Ok(judge(
        &world,
        &Drained { backend: next.id().to_owned(), bound: acknowledged + DRAIN_SECONDS, ended },
    ))
}
