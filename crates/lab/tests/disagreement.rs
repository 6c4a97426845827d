//! Balancers and agents that hold different configurations still route every flow to the agent that
//! owns it, and none of them resets it.

mod support;

use loftdrift_configuration::Configuration;
use loftdrift_lab::{NetworkSettings, Outcome, World, WorldSettings};
use std::time::Duration;
use support::{
    activate, attach, callers, configurations, create, drain, open_flows, seconds, world,
};

const REQUESTS: u32 = 4;

/// Configurations: two back ends, then a third, then the first drains, then a fourth, then the
/// second drains.
fn history() -> Vec<Configuration> {
    configurations(&[create(2), attach(3), drain(1), attach(4), drain(2)])
}

/// Balancer 1 holds the newest configuration and opens flows on back ends that balancer 2 and the
/// agents that it lists as candidates do not know. After 12 s every node gets the newest one.
fn run(settings: WorldSettings, history: &[Configuration], timestamps: bool) -> Outcome {
    let mut world = world(settings, 2, 4);
    let newest = history.last().expect("no configuration").clone();
    world.configure_balancer(1, &newest);
    world.configure_balancer(2, &history[0]);
    for number in 1..=4_u32 {
        let known = if number <= 2 { &history[0] } else { &newest };
        world.configure_agent(number, known);
    }
    open_flows(&mut world, 30, seconds(0.0), seconds(3.0), &callers(12, seconds(0.5), timestamps));
    world.schedule(seconds(12.0), move |world| world.configure_all(&newest));
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

/// The same scenario with the protection off: agents reset an unknown flow at once, and flows carry
/// no cookie. It must break flows, or the test above would prove nothing.
#[test]
fn without_cookies_and_unknown_grace_the_same_scenario_breaks_flows() {
    let settings =
        WorldSettings { cookies: false, unknown_grace: Duration::ZERO, ..WorldSettings::default() };
    let outcome = run(settings, &history(), false);
    assert!(outcome.flows_broken > 0, "{outcome:?}");
}

/// Every combination of three configurations that two balancers and three agents hold.
#[test]
fn every_combination_of_configurations_of_a_small_group() {
    let list = configurations(&[create(2), attach(3), drain(1)]);
    let depth = list.len();
    for timestamps in [true, false] {
        for combination in 0..depth.pow(5) {
            let digit = |place: u32| combination / depth.pow(place) % depth;
            let held: Vec<usize> = (0..5).map(digit).collect();
            let outcome = run_combination(NetworkSettings::default(), &list, &held, timestamps);
            assert!(outcome.is_clean(), "timestamps {timestamps}, held {held:?}: {outcome:?}");
        }
    }
}

/// Every combination of five successive configurations (two additions, a drain and its reversal)
/// that two balancers and three agents hold, on a network that reorders and duplicates packets.
#[test]
fn established_flows_survive_every_combination_of_five_configurations() {
    let list = configurations(&[create(1), attach(2), drain(1), attach(3), activate(1)]);
    let depth = list.len();
    for timestamps in [true, false] {
        for combination in 0..depth.pow(5) {
            let digit = |place: u32| combination / depth.pow(place) % depth;
            let held: Vec<usize> = (0..5).map(digit).collect();
            let network = NetworkSettings {
                delay: seconds(0.001),
                jitter: seconds(0.002),
                loss: 0.0,
                duplicates: 0.2,
            };
            let outcome = run_combination(network, &list, &held, timestamps);
            // A new flow is refused at once when no node that its SYN reaches knows a back end that
            // accepts flows. An established flow must send all of its requests and finish.
            let refused_or_finished = outcome.flows_broken + outcome.flows_finished;
            assert_eq!(refused_or_finished, outcome.flows_opened, "{held:?}: {outcome:?}");
            let requests = outcome.flows_finished * u64::from(REQUESTS);
            assert_eq!(outcome.requests_sent, requests, "{held:?}: {outcome:?}");
            assert_eq!(outcome.answered_whole, requests, "{held:?}: {outcome:?}");
            assert_eq!(
                outcome.duplicate_executions() + outcome.wrong_answers,
                0,
                "{held:?}: {outcome:?}"
            );
        }
    }
}

/// Runs with different configurations until second 4: `held` gives the index of the one that
/// balancer 1, balancer 2 and agents 1 to 3 hold, in this order.
fn run_combination(
    network: NetworkSettings,
    list: &[Configuration],
    held: &[usize],
    timestamps: bool,
) -> Outcome {
    let settings = WorldSettings { network, ..WorldSettings::default() };
    let mut world: World = world(settings, 2, 3);
    world.configure_balancer(1, &list[held[0]]);
    world.configure_balancer(2, &list[held[1]]);
    for agent in 0..3_u32 {
        world.configure_agent(agent + 1, &list[held[agent as usize + 2]]);
    }
    let newest = list.last().expect("no configuration").clone();
    let behaviour = callers(REQUESTS, seconds(0.5), timestamps);
    open_flows(&mut world, 4, seconds(0.0), seconds(0.5), &behaviour);
    world.schedule(seconds(4.0), move |world| world.configure_all(&newest));
    world.run_until(seconds(60.0));
    world.outcome().clone()
}
