//! The shared store is restored from an older copy and reuses revisions. Guards against a node that
//! then adopts the wrong one of the operators' documents.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use loftdrift_carried::{CarriedBalancer, CarriedConfiguration, PlainFormat, Position, Version};
use loftdrift_testkit::check_fixed_seeds;
use std::collections::BTreeSet;
use support::*;

const ZONE: &str = "z";

/// A document with the operator's number `number`, read at a position; its idle timeout identifies
/// it.
fn document(number: u64, era: u64, revision: u64) -> CarriedConfiguration {
    let version = Version { number, position: Position { era, revision } };
    let routes = vec![route(service_address(), SERVICE)];
    let idle_timeout_ms = 1_000 + number as u32;
    CarriedConfiguration { version, idle_timeout_ms, ..configuration(0, routes) }
}

fn evacuating(zone: &str, document: CarriedConfiguration) -> CarriedConfiguration {
    CarriedConfiguration { evacuated: BTreeSet::from([zone.to_owned()]), ..document }
}

fn empty_balancer(seed: u64) -> CarriedBalancer {
    CarriedBalancer::new(balancer_settings(seed), PlainFormat)
}

/// The configuration in force after these documents were received in order.
fn in_force_after(received: &[CarriedConfiguration]) -> CarriedConfiguration {
    let mut balancer = empty_balancer(1);
    for document in received {
        balancer.adopt(milliseconds(0), document.clone());
    }
    in_force(&balancer)
}

fn in_force(balancer: &CarriedBalancer) -> CarriedConfiguration {
    balancer.snapshot().configuration.unwrap_or_default()
}

#[test]
fn a_change_under_a_reused_revision_is_adopted() {
    let change = document(26, 2, 21);
    assert_eq!(in_force_after(&[document(24, 1, 24), change.clone()]), change);
}

#[test]
fn the_older_configuration_of_a_restored_copy_is_not_adopted() {
    let kept = in_force_after(&[document(24, 1, 24), document(20, 2, 90)]);
    assert_eq!(kept, CarriedConfiguration { version: document(24, 2, 90).version, ..kept.clone() });
    assert_eq!(kept.idle_timeout_ms, document(24, 1, 24).idle_timeout_ms);
}

#[test]
fn a_late_answer_from_before_the_restore_is_ignored() {
    let newest = document(26, 2, 21);
    assert_eq!(in_force_after(&[newest.clone(), document(24, 1, 24)]), newest);
    let end = document(26, 2, 22);
    let late = evacuating(ZONE, document(26, 1, 30));
    assert_eq!(in_force_after(&[end.clone(), late]), end);
}

#[test]
fn two_restores_in_a_row_start_two_eras() {
    let last = document(30, 3, 12);
    let offered = [document(24, 1, 24), document(26, 2, 21), document(28, 2, 22), last.clone()];
    assert_eq!(in_force_after(&offered), last);
}

#[test]
fn a_possibly_stale_answer_is_used_only_until_a_certain_one_arrives() {
    let old = evacuating(ZONE, document(24, 0, 24));
    assert_eq!(in_force_after(std::slice::from_ref(&old)), old);
    let certain = document(24, 1, 20);
    assert_eq!(in_force_after(&[old.clone(), certain.clone()]), certain);
    assert_eq!(in_force_after(&[certain.clone(), old]), certain);
}

#[test]
fn without_operator_numbers_the_later_position_wins() {
    let unnumbered = |era, revision, idle_timeout_ms| CarriedConfiguration {
        idle_timeout_ms,
        ..document(0, era, revision)
    };
    let later = unnumbered(2, 3, 7_000);
    assert_eq!(in_force_after(&[unnumbered(1, 9, 5_000), later.clone()]), later);
    assert_eq!(in_force_after(&[later.clone(), unnumbered(2, 2, 5_000)]), later);
}

#[test]
fn joining_documents_does_not_depend_on_their_order() {
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

/// A store that is restored from older copies now and then, its operator, and the documents read.
struct History {
    stored: CarriedConfiguration,
    wanted: CarriedConfiguration,
    copies: Vec<CarriedConfiguration>,
    read: Vec<CarriedConfiguration>,
}

impl History {
    fn new() -> Self {
        let first = document(1, 1, 1);
        History { stored: first.clone(), wanted: first, copies: Vec::new(), read: Vec::new() }
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
            2 => self.copies.push(self.stored.clone()),
            3 => self.restore_copy(),
            4 => self.write(),
            // Another client writes.
            5 => self.stored.version.position.revision += 1,
            // A read that may be stale.
            6 => {
                let mut old = self.stored.clone();
                old.version.position.era = 0;
                self.read.push(old);
            }
            _ => self.read.push(self.stored.clone()),
        }
        Ok(())
    }

    /// The operator writes its complete document.
    fn write(&mut self) {
        let Position { era, revision } = self.stored.version.position;
        self.stored = self.wanted.clone();
        self.stored.version.position = Position { era, revision: revision + 1 };
    }

    fn restore_copy(&mut self) {
        let era = self.stored.version.position.era;
        let Some(copy) = self.copies.pop() else { return };
        self.stored = copy;
        self.stored.version.position.era = era + 1;
    }
}

const NODES: usize = 12;

/// Nodes read the store or one another at any time, through any number of restores. No node ever
/// goes back to an earlier configuration, and all agree with the operator once it has written and
/// each has received the document.
#[test]
fn through_any_restores_no_node_goes_back_and_all_agree_in_the_end() {
    check_fixed_seeds(|input| {
        let mut history = History::new();
        let mut nodes: Vec<CarriedBalancer> =
            (0..NODES).map(|seed| empty_balancer(seed as u64)).collect();
        while !input.is_empty() {
            history.step(input)?;
            let node = input.choose_index(NODES)?;
            let before = nodes[node].configuration_version();
            let received = match input.int_in_range(0..=2)? {
                0 => history.stored.clone(),
                1 => pick(input, &history.read)?.unwrap_or_else(|| history.stored.clone()),
                _ => in_force(&nodes[input.choose_index(NODES)?]),
            };
            nodes[node].adopt(milliseconds(0), received);
            assert!(nodes[node].configuration_version().covers(&before));
        }
        history.write();
        nodes[0].adopt(milliseconds(0), history.stored.clone());
        for node in 1..NODES {
            let received = in_force(&nodes[node - 1]);
            nodes[node].adopt(milliseconds(0), received);
            assert_eq!(in_force(&nodes[node]), history.stored);
        }
        Ok(())
    });
}
