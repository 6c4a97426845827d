//! How the tasks around a core handle a store that is restored from an older copy between two of
//! their calls.

use loftdrift_carried::{CarriedConfiguration, Incarnation, NodeRole, Position, Version};
use loftdrift_node::{
    Command, ConfigurationFollower, Consistency, Member, MemberEntry, MemberList, NodeStatus,
    OperatorChange, OperatorState, SharedStore, StoreFailure, audit_members,
};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Limits every wait; reaching it fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A store that returns the scripted answers in order. A call beyond the last one never returns.
#[derive(Clone, Debug, Default)]
struct ScriptedStore(Arc<Mutex<Script>>);

#[derive(Debug, Default)]
struct Script {
    reads: VecDeque<Result<OperatorState, StoreFailure>>,
    watches: VecDeque<Result<OperatorChange, StoreFailure>>,
    lists: VecDeque<MemberList>,
    /// Eras that the removals of entries return.
    removals: VecDeque<u64>,
    /// The requested consistency of each list.
    requested: Vec<Consistency>,
}

impl ScriptedStore {
    async fn next<T>(&self, answers: impl Fn(&mut Script) -> Option<T>) -> T {
        let next = answers(&mut self.0.lock().unwrap());
        match next {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }
}

impl SharedStore for ScriptedStore {
    async fn read_operator_state(&self, _: Consistency) -> Result<OperatorState, StoreFailure> {
        self.next(|script| script.reads.pop_front()).await
    }

    async fn wait_for_change(
        &self,
        _: Position,
        _: Duration,
    ) -> Result<OperatorChange, StoreFailure> {
        self.next(|script| script.watches.pop_front()).await
    }

    async fn write_member(&self, _: &Member) -> Result<Position, StoreFailure> {
        std::future::pending().await
    }

    async fn remove_member(&self, _: &Member, _: u64) -> Result<Position, StoreFailure> {
        let era = self.next(|script| script.removals.pop_front()).await;
        Ok(Position { era, revision: 90 })
    }

    async fn write_departures(&self, _: &str, _: &[Incarnation]) -> Result<(), StoreFailure> {
        std::future::pending().await
    }

    async fn read_departures(&self, _: &str) -> Result<Vec<Incarnation>, StoreFailure> {
        std::future::pending().await
    }

    async fn read_members(
        &self,
        _: NodeRole,
        consistency: Consistency,
    ) -> Result<MemberList, StoreFailure> {
        self.0.lock().unwrap().requested.push(consistency);
        Ok(self.next(|script| script.lists.pop_front()).await)
    }
}

fn configuration(number: u64) -> CarriedConfiguration {
    let version = Version { number, position: Position::default() };
    CarriedConfiguration { version, ..CarriedConfiguration::default() }
}

fn state(number: u64, evacuated: &[&str], position: Position) -> OperatorState {
    let evacuated = evacuated.iter().map(|zone| (*zone).to_owned()).collect();
    OperatorState { configuration: Some(configuration(number)), evacuated, position }
}

/// Starts a follower that should watch the store; returns the commands that it sends to its core.
fn start_follower(store: &ScriptedStore) -> mpsc::Receiver<Command> {
    let (commands, command_queue) = mpsc::channel(16);
    let status = NodeStatus {
        watches_store: true,
        configuration: Version { number: 1, ..Version::default() },
        ..NodeStatus::default()
    };
    let (sender, status) = watch::channel(status);
    let initial_fetch_delay = Duration::ZERO;
    let follower = ConfigurationFollower {
        store: store.clone(),
        status,
        commands,
        initial_fetch_delay,
        unreachable_since: None,
    };
    tokio::spawn(async move {
        follower.run().await;
        drop(sender);
    });
    command_queue
}

/// The next command that a task sends.
async fn next_command(command_queue: &mut mpsc::Receiver<Command>) -> Command {
    let next = tokio::time::timeout(WAIT_TIMEOUT, command_queue.recv()).await;
    next.expect("a command arrives in time").expect("the task keeps running")
}

/// The next document that the core is sent. Fails if the store is reported unreachable before.
async fn next_document(command_queue: &mut mpsc::Receiver<Command>) -> CarriedConfiguration {
    loop {
        match next_command(command_queue).await {
            Command::AdoptConfiguration(document) => return document,
            Command::StoreReachable(answers) => assert!(answers, "the store answers"),
            other => panic!("{other:?}"),
        }
    }
}

/// The fault: a change of the new era was applied to the state of the old one, so an evacuation
/// that the restored store no longer held stayed in force.
#[tokio::test]
async fn a_change_of_another_era_is_not_applied_to_an_earlier_state() {
    let store = ScriptedStore::default();
    let before = Position { era: 1, revision: 20 };
    let after = Position { era: 2, revision: 22 };
    let change = OperatorChange {
        configuration: Some(configuration(8)),
        changed_at: Some(22),
        position: after,
        ..OperatorChange::default()
    };
    {
        let mut script = store.0.lock().unwrap();
        script.reads.push_back(Ok(state(7, &["z"], before)));
        script.watches.push_back(Ok(change));
        script.reads.push_back(Ok(state(8, &[], after)));
    }
    let mut command_queue = start_follower(&store);
    let first = next_document(&mut command_queue).await;
    assert_eq!((first.version.position, first.evacuated.len()), (before, 1));
    let second = next_document(&mut command_queue).await;
    assert_eq!(
        (second.version, second.evacuated.len()),
        (Version { number: 8, position: after }, 0)
    );
}

#[tokio::test]
async fn lost_history_is_read_again_and_not_reported_as_an_unreachable_store() {
    for failure in [StoreFailure::Gone, StoreFailure::Restored] {
        let store = ScriptedStore::default();
        let after = Position { era: 2, revision: 12 };
        {
            let mut script = store.0.lock().unwrap();
            script.reads.push_back(Ok(state(7, &[], Position { era: 1, revision: 20 })));
            script.watches.push_back(Err(failure));
            script.reads.push_back(Ok(state(9, &[], after)));
        }
        let mut command_queue = start_follower(&store);
        next_document(&mut command_queue).await;
        let again = next_document(&mut command_queue).await;
        assert_eq!(again.version, Version { number: 9, position: after });
    }
}

fn list(era: u64) -> MemberList {
    let address: SocketAddrV4 = "10.2.0.9:7720".parse().unwrap();
    let member = Member { name: "agent-9".to_owned(), address, role: NodeRole::Agent };
    let position = Position { era, revision: 30 };
    MemberList { entries: vec![MemberEntry { member, revision: 24 }], position }
}

/// Answers audits with the first listed node as dead. Returns whether each list was the latest.
async fn answer_audits(command_queue: &mut mpsc::Receiver<Command>, count: usize) -> Vec<bool> {
    let mut newest = Vec::new();
    while newest.len() < count {
        match next_command(command_queue).await {
            Command::AuditMembers(list, answer) => {
                newest.push(list.is_newest);
                let dead = list.nodes.iter().take(1).map(|node| node.address).collect();
                answer.send(dead).unwrap();
            }
            other => panic!("{other:?}"),
        }
    }
    newest
}

/// The fault: the restored store had reused the revision that the removal was conditioned on for a
/// later write of the same key, so the entry of a live node was removed.
#[tokio::test]
async fn after_a_removal_in_another_era_the_list_is_audited_again() {
    let store = ScriptedStore::default();
    {
        let mut script = store.0.lock().unwrap();
        script
            .lists
            .extend([list(1), MemberList { position: list(1).position, ..Default::default() }]);
        script.removals.push_back(2);
        script.lists.extend([MemberList::default(), MemberList::default()]);
    }
    let (requests, request_queue) = mpsc::channel(1);
    let (commands, mut command_queue) = mpsc::channel(4);
    tokio::spawn(audit_members(store.clone(), request_queue, commands));
    requests.send(Consistency::MayBeStale).await.unwrap();
    assert_eq!(answer_audits(&mut command_queue, 2).await, [false, true]);
}

#[tokio::test]
async fn lists_of_two_eras_are_not_audited() {
    let store = ScriptedStore::default();
    store.0.lock().unwrap().lists.extend([list(1), list(2), list(2), list(2)]);
    store.0.lock().unwrap().removals.extend([2, 2]);
    let (requests, request_queue) = mpsc::channel(1);
    let (commands, mut command_queue) = mpsc::channel(4);
    tokio::spawn(audit_members(store.clone(), request_queue, commands));
    requests.send(Consistency::MayBeStale).await.unwrap();
    assert_eq!(answer_audits(&mut command_queue, 1).await, [true]);
    let is_latest = |consistency: &Consistency| *consistency == Consistency::Latest;
    assert_eq!(store.0.lock().unwrap().requested.iter().filter(|read| is_latest(read)).count(), 2);
}
