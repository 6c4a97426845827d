//! Balancers and agents at different configurations still find every flow, and no one resets it.

mod support;

use loftdrift_configuration::Configuration;
use loftdrift_lab::{Outcome, World, WorldSettings};
use std::time::Duration;
use support::{attach, callers, configurations, create, drain, open_flows, seconds, world};

/// Two back ends, then a third, then the first drains, then a fourth, then the second drains.
fn history() -> Vec<Configuration> {
    configurations(&[create(2), attach(3), drain(1), attach(4), drain(2)])
}

/// One balancer opens flows at the newest configuration, on back ends that the other balancer and
/// the agents on its lists have never heard of, until everything arrives twelve seconds later.
fn run(settings: WorldSettings, history: &[Configuration], timestamps: bool) -> Outcome {
    let mut world = world(settings, 2, 4);
    let newest = history.last().expect("a configuration").clone();
    world.configure_balancer(1, &newest);
    world.configure_balancer(2, &history[0]);
    for number in 1..=4_u32 {
        let known = if number <= 2 { &history[0] } else { &newest };
        world.configure_agent(number, known);
    }
    open_flows(&mut world, 30, seconds(0.0), seconds(3.0), &callers(12, seconds(0.5), timestamps));
    world.at(seconds(12.0), move |world| world.configure_all(&newest));
    world.run_until(seconds(120.0));
    world.outcome().clone()
}

#[test]
fn flows_survive_nodes_that_disagree_for_twelve_seconds() {
    for timestamps in [true, false] {
        for seed in 0..4 {
            let settings = WorldSettings { seed, ..WorldSettings::default() };
            let outcome = run(settings, &history(), timestamps);
            assert!(outcome.is_clean(), "timestamps {timestamps}, seed {seed}: {outcome:?}");
        }
    }
}

/// The same with the mechanism off: an unknown flow is reset at once and flows carry no cookie.
/// The scenario must be able to break flows, or the proof above shows nothing.
#[test]
fn without_cookie_and_silence_the_same_scenario_breaks_flows() {
    let settings =
        WorldSettings { cookies: false, unknown_grace: Duration::ZERO, ..WorldSettings::default() };
    let outcome = run(settings, &history(), false);
    assert!(outcome.flows_broken > 0, "{outcome:?}");
}

/// Every combination of the configurations that opener, carrier and the three agents hold.
#[test]
fn every_combination_of_configurations_of_a_small_group() {
    let list = configurations(&[create(2), attach(3), drain(1)]);
    let depth = list.len();
    let combinations = depth.pow(5);
    for timestamps in [true, false] {
        for combination in 0..combinations {
            let digit = |place: u32| combination / depth.pow(place) % depth;
            let held: Vec<usize> = (0..5).map(digit).collect();
            let outcome = run_combination(&list, &held, timestamps);
            assert!(outcome.is_clean(), "timestamps {timestamps}, held {held:?}: {outcome:?}");
        }
    }
}

/// `held` gives, in order, what balancer 1, balancer 2 and agents 1 to 3 hold until second 6.
fn run_combination(list: &[Configuration], held: &[usize], timestamps: bool) -> Outcome {
    let mut world: World = world(WorldSettings::default(), 2, 3);
    world.configure_balancer(1, &list[held[0]]);
    world.configure_balancer(2, &list[held[1]]);
    for agent in 0..3_u32 {
        world.configure_agent(agent + 1, &list[held[agent as usize + 2]]);
    }
    let newest = list.last().expect("a configuration").clone();
    open_flows(&mut world, 4, seconds(0.0), seconds(1.0), &callers(4, seconds(0.5), timestamps));
    world.at(seconds(6.0), move |world| world.configure_all(&newest));
    world.run_until(seconds(60.0));
    world.outcome().clone()
}
