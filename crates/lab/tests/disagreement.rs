//! Balancers and agents at different configurations still find every flow, and no one resets it.

mod support;

use loftdrift_configuration::Configuration;
use loftdrift_lab::{NetworkSettings, Outcome, World, WorldSettings};
use std::time::Duration;
use support::{
    activate, attach, callers, configurations, create, drain, open_flows, seconds, world,
};

const REQUESTS: u32 = 4;

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
    for timestamps in [true, false] {
        for combination in 0..depth.pow(5) {
            let digit = |place: u32| combination / depth.pow(place) % depth;
            let held: Vec<usize> = (0..5).map(digit).collect();
            let outcome = run_combination(NetworkSettings::default(), &list, &held, timestamps);
            assert!(outcome.is_clean(), "timestamps {timestamps}, held {held:?}: {outcome:?}");
        }
    }
}

/// Every combination of the configurations, from two before to two after the one in the middle,
/// that two balancers and three agents hold, with a drain and two additions between them and a
/// network that reorders and doubles packets.
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
            // A new flow is refused at once when nobody that its SYN reaches knows a back end that
            // takes flows. One that is established sends all of its requests and finishes.
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

/// `held` gives, in order, what balancer 1, balancer 2 and agents 1 to 3 hold until second 4.
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
    let newest = list.last().expect("a configuration").clone();
    let behaviour = callers(REQUESTS, seconds(0.5), timestamps);
    open_flows(&mut world, 4, seconds(0.0), seconds(0.5), &behaviour);
    world.schedule(seconds(4.0), move |world| world.configure_all(&newest));
    world.run_until(seconds(60.0));
    world.outcome().clone()
}
