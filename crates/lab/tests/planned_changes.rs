//! Established flows survive every planned change, a balancer's death and a bad network; the death
//! of an agent or back end breaks only its own flows.

mod support;

use loftdrift_lab::{NetworkSettings, Outcome, WorldSettings};
use support::{attach, callers, configurations, create, drain, open_flows, seconds, world};

const SEEDS: std::ops::Range<u64> = 0..4;

fn assert_clean(outcome: &Outcome, seed: u64) {
    assert!(outcome.is_clean(), "seed {seed}: {outcome:?}");
}

#[test]
fn every_balancer_is_replaced_under_long_flows() {
    for seed in SEEDS {
        let mut world = world(WorldSettings { seed, ..WorldSettings::default() }, 3, 4);
        let list = configurations(&[create(4)]);
        world.configure_all(&list[0]);
        open_flows(&mut world, 40, seconds(0.0), seconds(4.0), &callers(20, seconds(0.5), true));
        for number in 1..=3_u32 {
            let at = seconds(1.0 + f64::from(number) * 2.0);
            let newest = list[0].clone();
            world.schedule(at, move |world| {
                world.add_balancer(number + 3);
                world.configure_balancer(number + 3, &newest);
                world.withdraw_balancer(number);
            });
            world.schedule(at + seconds(1.0), move |world| world.kill_balancer(number));
        }
        world.run_until(seconds(60.0));
        assert_clean(world.outcome(), seed);
    }
}

#[test]
fn a_balancer_dies_without_notice() {
    for seed in SEEDS {
        let mut world = world(WorldSettings { seed, ..WorldSettings::default() }, 3, 4);
        world.configure_all(&configurations(&[create(4)])[0]);
        open_flows(&mut world, 40, seconds(0.0), seconds(4.0), &callers(20, seconds(0.5), true));
        world.schedule(seconds(3.0), |world| world.kill_balancer(2));
        world.schedule(seconds(3.5), |world| world.withdraw_balancer(2));
        world.run_until(seconds(90.0));
        assert_clean(world.outcome(), seed);
    }
}

#[test]
fn every_back_end_is_drained_and_replaced_in_turn() {
    for timestamps in [true, false] {
        for seed in SEEDS {
            let mut world = world(WorldSettings { seed, ..WorldSettings::default() }, 3, 8);
            let mut scripts = vec![create(4)];
            scripts
                .extend((1..=4).map(|number| format!("{}\n{}", attach(number + 4), drain(number))));
            let list = configurations(&scripts);
            world.configure_all(&list[0]);
            let long = callers(30, seconds(0.5), timestamps);
            open_flows(&mut world, 60, seconds(0.0), seconds(12.0), &long);
            for (index, configuration) in list.into_iter().enumerate().skip(1) {
                let at = seconds(index as f64 * 2.5);
                world.schedule(at, move |world| world.configure_all(&configuration));
            }
            world.run_until(seconds(90.0));
            assert_clean(world.outcome(), seed);
        }
    }
}

#[test]
fn a_draining_back_end_opens_no_flow() {
    let mut world = world(WorldSettings::default(), 2, 3);
    let list = configurations(&[create(3), drain(1)]);
    world.configure_all(&list[0]);
    open_flows(&mut world, 200, seconds(0.0), seconds(20.0), &callers(3, seconds(0.2), true));
    let drained = list[1].clone();
    // Only the agent learns of the drain; the balancers still list it as a candidate.
    world.schedule(seconds(8.0), move |world| world.configure_agent(1, &drained));
    world.run_until(seconds(8.1));
    let opened = |world: &loftdrift_lab::World| {
        world.agent(1).map_or(0, |agent| agent.counters.flows_opened)
    };
    let before = opened(&world);
    assert!(before > 0);
    world.run_until(seconds(60.0));
    assert_eq!(opened(&world), before);
    assert_clean(world.outcome(), 1);
}

#[test]
fn a_bad_network_breaks_no_flow() {
    for seed in SEEDS {
        let network = NetworkSettings {
            delay: seconds(0.0015),
            jitter: seconds(0.003),
            loss: 0.02,
            duplicates: 0.05,
        };
        let settings = WorldSettings { seed, network, ..WorldSettings::default() };
        let mut world = world(settings, 3, 4);
        world.configure_all(&configurations(&[create(4)])[0]);
        open_flows(&mut world, 40, seconds(0.0), seconds(5.0), &callers(10, seconds(0.2), true));
        world.run_until(seconds(120.0));
        assert_clean(world.outcome(), seed);
    }
}

#[test]
fn an_agents_death_breaks_only_its_own_flows() {
    for seed in SEEDS {
        let mut world = world(WorldSettings { seed, ..WorldSettings::default() }, 3, 4);
        world.configure_all(&configurations(&[create(4)])[0]);
        open_flows(&mut world, 40, seconds(0.0), seconds(2.0), &callers(20, seconds(0.5), true));
        world.run_until(seconds(4.0));
        let own = world.agent(1).map_or(0, loftdrift_agent::Agent::flow_count) as u64;
        assert!(own > 0);
        world.kill_agent(1);
        // By now the balancers have found that the dead agent answers no probes and skip it.
        open_flows(&mut world, 40, seconds(8.0), seconds(9.0), &callers(5, seconds(0.2), true));
        world.run_until(seconds(200.0));
        let outcome = world.outcome();
        assert_eq!(outcome.flows_broken, own, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.flows_finished, 80 - own, "seed {seed}: {outcome:?}");
        assert_eq!(
            outcome.wrong_answers + outcome.misdelivered + outcome.duplicate_executions(),
            0
        );
    }
}

#[test]
fn a_back_ends_death_breaks_only_its_own_flows_and_attracts_no_new_ones() {
    for seed in SEEDS {
        let mut world = world(WorldSettings { seed, ..WorldSettings::default() }, 3, 4);
        world.configure_all(&configurations(&[create(4)])[0]);
        open_flows(&mut world, 40, seconds(0.5), seconds(2.0), &callers(20, seconds(0.5), true));
        world.run_until(seconds(4.0));
        let own = world.agent(1).map_or(0, loftdrift_agent::Agent::flow_count) as u64;
        assert!(own > 0);
        world.kill_backend(1);
        // Its agent now has the lowest load of all, which must not attract new flows.
        open_flows(&mut world, 60, seconds(4.0), seconds(8.0), &callers(5, seconds(0.2), true));
        world.run_until(seconds(200.0));
        let outcome = world.outcome();
        assert_eq!(outcome.flows_broken, own, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.flows_finished, 100 - own, "seed {seed}: {outcome:?}");
    }
}

/// Without TCP timestamps there is no cookie, and the pool has more back ends than a packet can
/// list as candidates: balancers must find the flows by the earlier generations that they keep.
#[test]
fn members_of_a_large_pool_change_and_history_finds_the_flows() {
    const BACKENDS: u32 = 20;
    let settings = WorldSettings { seed: 5, ..WorldSettings::default() };
    let mut world = world(settings, 2, BACKENDS + 4);
    let mut scripts = vec![create(BACKENDS)];
    scripts.extend((1..=4).map(|number| attach(BACKENDS + number)));
    let list = configurations(&scripts);
    world.configure_all(&list[0]);
    open_flows(&mut world, 100, seconds(0.0), seconds(2.0), &callers(30, seconds(0.5), false));
    for (index, configuration) in list.into_iter().enumerate().skip(1) {
        let at = seconds(2.0 + index as f64 * 1.5);
        world.schedule(at, move |world| world.configure_all(&configuration));
    }
    world.run_until(seconds(120.0));
    assert_clean(world.outcome(), 5);
}

/// Without TCP timestamps there is no cookie, and the pool changes more often than balancers keep
/// generations. One packet can still list every back end.
#[test]
fn flows_outlive_the_kept_history_in_a_small_pool() {
    let settings = WorldSettings { seed: 6, ..WorldSettings::default() };
    let mut world = world(settings, 2, 8);
    let mut scripts = vec![create(8)];
    scripts.extend((1..=7).map(drain));
    let list = configurations(&scripts);
    world.configure_all(&list[0]);
    open_flows(&mut world, 40, seconds(0.0), seconds(1.0), &callers(40, seconds(0.5), false));
    for (index, configuration) in list.into_iter().enumerate().skip(1) {
        let at = seconds(1.0 + index as f64);
        world.schedule(at, move |world| world.configure_all(&configuration));
    }
    world.run_until(seconds(120.0));
    assert_clean(world.outcome(), 6);
}

/// Without TCP timestamps there is no cookie, the pool changes more often than balancers keep
/// generations, and it has more back ends than one packet can list.
#[test]
fn flows_outlive_the_kept_history_in_a_large_pool() {
    const BACKENDS: u32 = 20;
    const CHANGES: u32 = 8;
    for seed in SEEDS {
        let settings = WorldSettings { seed, ..WorldSettings::default() };
        let mut world = world(settings, 2, BACKENDS + CHANGES);
        let mut scripts = vec![create(BACKENDS)];
        let change = |number: u32| {
            format!("{}\n{}", attach(BACKENDS + number), drain(BACKENDS + 1 - number))
        };
        scripts.extend((1..=CHANGES).map(change));
        let list = configurations(&scripts);
        world.configure_all(&list[0]);
        open_flows(&mut world, 100, seconds(0.0), seconds(1.0), &callers(40, seconds(0.5), false));
        for (index, configuration) in list.into_iter().enumerate().skip(1) {
            let at = seconds(1.0 + index as f64);
            world.schedule(at, move |world| world.configure_all(&configuration));
        }
        world.run_until(seconds(120.0));
        assert_clean(world.outcome(), seed);
    }
}

#[test]
fn a_back_end_that_is_detached_too_early_keeps_its_flows() {
    for timestamps in [true, false] {
        let mut world = world(WorldSettings::default(), 2, 3);
        let list = configurations(&[create(3), drain(1), "detach backend tiles-1".to_owned()]);
        world.configure_all(&list[0]);
        let long = callers(30, seconds(0.5), timestamps);
        open_flows(&mut world, 30, seconds(0.0), seconds(2.0), &long);
        for (index, configuration) in list.into_iter().enumerate().skip(1) {
            let at = seconds(2.0 + index as f64);
            world.schedule(at, move |world| world.configure_all(&configuration));
        }
        world.run_until(seconds(90.0));
        assert_clean(world.outcome(), 1);
    }
}

#[test]
fn an_idle_flow_stays_open() {
    let mut world = world(WorldSettings::default(), 2, 2);
    world.configure_all(&configurations(&[create(2)])[0]);
    open_flows(&mut world, 4, seconds(0.0), seconds(1.0), &callers(3, seconds(900.0), true));
    world.run_until(seconds(2_000.0));
    assert_clean(world.outcome(), 1);
}

/// A caller that disappears without closing its flow must not occupy the back end for ever.
#[test]
fn the_flow_of_a_vanished_caller_is_removed() {
    let mut world = world(WorldSettings::default(), 1, 1);
    world.configure_all(&configurations(&[create(1)])[0]);
    open_flows(&mut world, 4, seconds(0.0), seconds(1.0), &callers(3, seconds(900.0), true));
    world.run_until(seconds(5.0));
    let flows =
        |world: &loftdrift_lab::World| world.agent(1).map_or(0, loftdrift_agent::Agent::flow_count);
    assert_eq!(flows(&world), 4);
    world.drop_callers();
    world.run_until(seconds(600.0));
    assert_eq!(flows(&world), 0);
}
