//! The shared store comes back from an older copy and gives revisions out again: which document of the
//! operators is in force then.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use loftdrift_carried::{CarriedBalancer, CarriedConfiguration, PlainFormat, Position, Version};
use loftdrift_testkit::check_fixed_seeds;
use std::collections::BTreeSet;
use support::*;

const ZONE: &str = "z";

/// A document with the operator's number `number`, read at a place; its idle time-out tells it apart.
fn document(number: u64, era: u64, revision: u64) -> CarriedConfiguration {
    let version = Version { number, position: Position { era, revision } };
    let routes = vec![route(service_address(), SERVICE)];
    let idle_timeout_ms = 1_000 + number as u32;
    CarriedConfiguration { version, idle_timeout_ms, ..configuration(0, routes) }
}

fn evacuating(zone: &str, document: CarriedConfiguration) -> CarriedConfiguration {
    CarriedConfiguration { evacuated: BTreeSet::from([zone.to_owned()]), ..document }
}

fn knowing_nothing(seed: u64) -> CarriedBalancer {
    CarriedBalancer::new(balancer_settings(seed), PlainFormat)
}

/// What is in force after these documents were offered one after the other.
fn after(offered: &[CarriedConfiguration]) -> CarriedConfiguration {
    let mut balancer = knowing_nothing(1);
    for document in offered {
        balancer.adopt(milliseconds(0), document.clone());
    }
    in_force(&balancer)
}

fn in_force(balancer: &CarriedBalancer) -> CarriedConfiguration {
    balancer.snapshot().configuration.unwrap_or_default()
}

#[test]
fn a_change_under_a_revision_that_is_given_out_again_is_taken() {
    let change = document(26, 2, 21);
    assert_eq!(after(&[document(24, 1, 24), change.clone()]), change);
}

#[test]
fn the_copys_older_configuration_takes_nothing_back() {
    let kept = after(&[document(24, 1, 24), document(20, 2, 90)]);
    assert_eq!(kept, CarriedConfiguration { version: document(24, 2, 90).version, ..kept.clone() });
    assert_eq!(kept.idle_timeout_ms, document(24, 1, 24).idle_timeout_ms);
}

#[test]
fn an_answer_from_before_the_return_that_comes_late_changes_nothing() {
    let newest = document(26, 2, 21);
    assert_eq!(after(&[newest.clone(), document(24, 1, 24)]), newest);
    let end = document(26, 2, 22);
    let late = evacuating(ZONE, document(26, 1, 30));
    assert_eq!(after(&[end.clone(), late]), end);
}

#[test]
fn two_returns_one_after_the_other_are_two_histories() {
    let last = document(30, 3, 12);
    let offered = [document(24, 1, 24), document(26, 2, 21), document(28, 2, 22), last.clone()];
    assert_eq!(after(&offered), last);
}

#[test]
fn an_answer_that_may_be_old_is_used_until_a_certain_one_comes_and_never_after() {
    let old = evacuating(ZONE, document(24, 0, 24));
    assert_eq!(after(std::slice::from_ref(&old)), old);
    let certain = document(24, 1, 20);
    assert_eq!(after(&[old.clone(), certain.clone()]), certain);
    assert_eq!(after(&[certain.clone(), old]), certain);
}

#[test]
fn without_numbers_the_later_place_counts() {
    let unnumbered = |era, revision, idle_timeout_ms| CarriedConfiguration {
        idle_timeout_ms,
        ..document(0, era, revision)
    };
    let later = unnumbered(2, 3, 7_000);
    assert_eq!(after(&[unnumbered(1, 9, 5_000), later.clone()]), later);
    assert_eq!(after(&[later.clone(), unnumbered(2, 2, 5_000)]), later);
}

#[test]
fn joining_documents_forgets_the_order_in_which_they_came() {
    check_fixed_seeds(|input| {
        let history = History::play(input)?;
        let read = &history.read;
        let (Some(one), Some(two), Some(three)) =
            (pick(input, read)?, pick(input, read)?, pick(input, read)?)
        else {
            return Ok(());
        };
        let join = |left: &CarriedConfiguration, right: &CarriedConfiguration| {
            left.clone().join(right.clone())
        };
        assert_eq!(join(&one, &one), one);
        assert_eq!(join(&one, &two), join(&two, &one));
        assert_eq!(join(&join(&one, &two), &three), join(&one, &join(&two, &three)));
        Ok(())
    });
}

fn pick(
    input: &mut Unstructured<'_>,
    read: &[CarriedConfiguration],
) -> Result<Option<CarriedConfiguration>> {
    match read.len() {
        0 => Ok(None),
        count => Ok(Some(read[input.choose_index(count)?].clone())),
    }
}

/// A store that goes back now and then, its operator, and what readings of it found.
struct History {
    held: CarriedConfiguration,
    wanted: CarriedConfiguration,
    copies: Vec<CarriedConfiguration>,
    read: Vec<CarriedConfiguration>,
}

impl History {
    fn new() -> Self {
        let first = document(1, 1, 1);
        History { held: first.clone(), wanted: first, copies: Vec::new(), read: Vec::new() }
    }

    fn play(input: &mut Unstructured<'_>) -> Result<Self> {
        let mut history = History::new();
        for _ in 0..input.int_in_range(0..=60)? {
            history.step(input)?;
        }
        Ok(history)
    }

    fn step(&mut self, input: &mut Unstructured<'_>) -> Result<()> {
        match input.int_in_range(0..=7)? {
            0 => {
                let number = self.wanted.version.number + input.int_in_range(1..=4)?;
                let evacuated = self.wanted.evacuated.clone();
                self.wanted = CarriedConfiguration { evacuated, ..document(number, 0, 0) };
                self.write();
            }
            1 => {
                if !self.wanted.evacuated.remove(ZONE) {
                    self.wanted.evacuated.insert(ZONE.to_owned());
                }
                self.write();
            }
            2 => self.copies.push(self.held.clone()),
            3 => self.come_back(),
            4 => self.write(),
            // Somebody else writes.
            5 => self.held.version.position.revision += 1,
            // An answer that may be old.
            6 => {
                let mut old = self.held.clone();
                old.version.position.era = 0;
                self.read.push(old);
            }
            _ => self.read.push(self.held.clone()),
        }
        Ok(())
    }

    /// The operator writes all that it wants.
    fn write(&mut self) {
        let Position { era, revision } = self.held.version.position;
        self.held = self.wanted.clone();
        self.held.version.position = Position { era, revision: revision + 1 };
    }

    fn come_back(&mut self) {
        let era = self.held.version.position.era;
        let Some(copy) = self.copies.pop() else { return };
        self.held = copy;
        self.held.version.position.era = era + 1;
    }
}

const NODES: usize = 12;

/// Nodes that read the store or one another at any moment, through any returns of the store: none ever
/// goes back to an earlier configuration, and all agree with the operator once it has written and
/// each has heard of it.
#[test]
fn through_any_returns_no_node_goes_back_and_all_agree_in_the_end() {
    check_fixed_seeds(|input| {
        let mut history = History::new();
        let mut nodes: Vec<CarriedBalancer> =
            (0..NODES).map(|seed| knowing_nothing(seed as u64)).collect();
        while !input.is_empty() {
            history.step(input)?;
            let node = input.choose_index(NODES)?;
            let before = nodes[node].configuration_version();
            let heard = match input.int_in_range(0..=2)? {
                0 => history.held.clone(),
                1 => pick(input, &history.read)?.unwrap_or_else(|| history.held.clone()),
                _ => in_force(&nodes[input.choose_index(NODES)?]),
            };
            nodes[node].adopt(milliseconds(0), heard);
            assert!(nodes[node].configuration_version().covers(&before));
        }
        history.write();
        nodes[0].adopt(milliseconds(0), history.held.clone());
        for node in 1..NODES {
            let heard = in_force(&nodes[node - 1]);
            nodes[node].adopt(milliseconds(0), heard);
            assert_eq!(in_force(&nodes[node]), history.held);
        }
        Ok(())
    });
}
