//! Worlds, configurations and callers that several tests share.

#![allow(dead_code)]

pub mod carried_runs;

use loftdrift_configuration::{Configuration, apply, parse_script};
use loftdrift_lab::{BackendBehaviour, CallerBehaviour, World, WorldSettings};
use std::net::SocketAddrV4;
use std::time::Duration;

pub const TILES: &str = "10.20.0.1:80";

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn tiles() -> SocketAddrV4 {
    TILES.parse().expect("invalid address")
}

/// The configuration after each script, in order.
pub fn configurations(scripts: &[String]) -> Vec<Configuration> {
    let mut current = Configuration::default();
    let mut list = Vec::new();
    for script in scripts {
        let statements = parse_script("test", script).expect("invalid script");
        current = apply(&current, &statements).expect("invalid change");
        list.push(current.clone());
    }
    list
}

/// The statement that attaches the tile back end with that number and its agent.
pub fn attach(number: u32) -> String {
    format!(
        "attach backend tiles-{number} to tiles at 127.0.0.1:{} agent {} slots 7 state active",
        9000 + number,
        World::agent_address(number),
    )
}

pub fn drain(number: u32) -> String {
    format!("drain backend tiles-{number}")
}

pub fn activate(number: u32) -> String {
    format!("activate backend tiles-{number}")
}

/// The script that creates the tile service with back ends `1..=count`.
pub fn create(count: u32) -> String {
    let attached = (1..=count).map(attach);
    let lines = std::iter::once(format!("create service tiles at {TILES}")).chain(attached);
    lines.collect::<Vec<_>>().join("\n")
}

/// A world with balancers `1..=balancers` and tile agents `1..=agents`.
pub fn world(settings: WorldSettings, balancers: u32, agents: u32) -> World {
    let mut world = World::new(settings).expect("invalid chart");
    for number in 1..=balancers {
        world.add_balancer(number);
    }
    for number in 1..=agents {
        let behaviour = BackendBehaviour {
            service: "tiles".to_owned(),
            processing_time: Duration::from_millis(5),
            slots: 7,
        };
        world.add_agent(number, &format!("tiles-{number}"), behaviour).expect("invalid chart");
    }
    world
}

/// Callers that send `requests` requests per flow, each `pause` after the previous answer.
pub fn callers(requests: u32, pause: Duration, timestamps: bool) -> CallerBehaviour {
    CallerBehaviour {
        service: "tiles".to_owned(),
        requests,
        answer_bytes: 6_000,
        pause,
        timestamps,
    }
}

/// Schedules the opening of `count` flows, evenly spread between two times.
pub fn open_flows(
    world: &mut World,
    count: u32,
    from: Duration,
    to: Duration,
    behaviour: &CallerBehaviour,
) {
    for number in 0..count {
        let behaviour = behaviour.clone();
        let at = from + (to - from) * number / count;
        world.schedule(at, move |world| {
            world.open_flow(tiles(), &behaviour);
        });
    }
}
