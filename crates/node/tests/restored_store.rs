//! What the tasks around a core make of a store that comes back from an older copy between two of their calls.

use loftdrift_carried::{CarriedConfiguration, NodeRole, Position, Version};
use loftdrift_node::{
    Command, ConfigurationFollower, Consistency, Member, MemberEntry, MemberList, NodeStatus,
    OperatorChange, OperatorState, SharedStore, StoreFailure, audit_members,
};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Bounds every wait; reaching it fails the test.
const PATIENCE: Duration = Duration::from_secs(10);

/// Answers given one after the other; a call beyond the last one is never answered.
#[derive(Clone, Debug, Default)]
struct ScriptedStore(Arc<Mutex<Script>>);

#[derive(Debug, Default)]
struct Script {
    readings: VecDeque<Result<OperatorState, StoreFailure>>,
    waits: VecDeque<Result<OperatorChange, StoreFailure>>,
    lists: VecDeque<MemberList>,
    /// Eras in which entries are removed.
    removals: VecDeque<u64>,
    /// How new each list was to be.
    asked: Vec<Consistency>,
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
        self.next(|script| script.readings.pop_front()).await
    }

    async fn wait_for_change(
        &self,
        _: Position,
        _: Duration,
    ) -> Result<OperatorChange, StoreFailure> {
        self.next(|script| script.waits.pop_front()).await
    }

    async fn write_member(&self, _: &Member) -> Result<Position, StoreFailure> {
        std::future::pending().await
    }

    async fn remove_member(&self, _: &Member, _: Option<u64>) -> Result<Position, StoreFailure> {
        let era = self.next(|script| script.removals.pop_front()).await;
        Ok(Position { era, revision: 90 })
    }

    async fn read_member(
        &self,
        _: &Member,
        _: Consistency,
    ) -> Result<Option<Member>, StoreFailure> {
        std::future::pending().await
    }

    async fn read_members(
        &self,
        _: NodeRole,
        asked: Consistency,
    ) -> Result<MemberList, StoreFailure> {
        self.0.lock().unwrap().asked.push(asked);
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

/// A follower that is to wait at the store, and what it says to its core.
fn follow(store: &ScriptedStore) -> mpsc::Receiver<Command> {
    let (commands, said) = mpsc::channel(16);
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
    said
}

/// What a task says next.
async fn hear(said: &mut mpsc::Receiver<Command>) -> Command {
    let next = tokio::time::timeout(PATIENCE, said.recv()).await;
    next.expect("it says something").expect("it goes on")
}

/// The next document that the core is given, if nothing is said of the store being lost before.
async fn adopted(said: &mut mpsc::Receiver<Command>) -> CarriedConfiguration {
    loop {
        match hear(said).await {
            Command::AdoptConfiguration(document) => return document,
            Command::StoreReachable(answers) => assert!(answers, "the store answers"),
            other => panic!("{other:?}"),
        }
    }
}

/// A change of the new history was added to what the old one had held: an evacuation that nobody had
/// asked for any more stayed.
#[tokio::test]
async fn a_change_of_another_era_is_not_added_to_what_was_read_before() {
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
        script.readings.push_back(Ok(state(7, &["z"], before)));
        script.waits.push_back(Ok(change));
        script.readings.push_back(Ok(state(8, &[], after)));
    }
    let mut said = follow(&store);
    let first = adopted(&mut said).await;
    assert_eq!((first.version.position, first.evacuated.len()), (before, 1));
    let second = adopted(&mut said).await;
    assert_eq!(
        (second.version, second.evacuated.len()),
        (Version { number: 8, position: after }, 0)
    );
}

#[tokio::test]
async fn a_history_that_is_gone_is_read_again_and_is_no_loss_of_the_store() {
    for failure in [StoreFailure::Gone, StoreFailure::Restored] {
        let store = ScriptedStore::default();
        let after = Position { era: 2, revision: 12 };
        {
            let mut script = store.0.lock().unwrap();
            script.readings.push_back(Ok(state(7, &[], Position { era: 1, revision: 20 })));
            script.waits.push_back(Err(failure));
            script.readings.push_back(Ok(state(9, &[], after)));
        }
        let mut said = follow(&store);
        adopted(&mut said).await;
        let again = adopted(&mut said).await;
        assert_eq!(again.version, Version { number: 9, position: after });
    }
}

fn list(era: u64) -> MemberList {
    let address: SocketAddrV4 = "10.2.0.9:7720".parse().unwrap();
    let member = Member { name: "agent-9".to_owned(), address, role: NodeRole::Agent };
    let position = Position { era, revision: 30 };
    MemberList { entries: vec![MemberEntry { member, revision: 24 }], position }
}

/// Answers audits: the one node that is listed is dead. Gives whether each list was the newest.
async fn audits(said: &mut mpsc::Receiver<Command>, count: usize) -> Vec<bool> {
    let mut newest = Vec::new();
    while newest.len() < count {
        match hear(said).await {
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

/// The condition on a revision held for another writing of the same key, by a node that lives.
#[tokio::test]
async fn after_a_removal_in_another_era_the_list_is_compared_again() {
    let store = ScriptedStore::default();
    {
        let mut script = store.0.lock().unwrap();
        script
            .lists
            .extend([list(1), MemberList { position: list(1).position, ..Default::default() }]);
        script.removals.push_back(2);
        script.lists.extend([MemberList::default(), MemberList::default()]);
    }
    let (ask, asked) = mpsc::channel(1);
    let (commands, mut said) = mpsc::channel(4);
    tokio::spawn(audit_members(store.clone(), asked, commands));
    ask.send(Consistency::MayBeStale).await.unwrap();
    assert_eq!(audits(&mut said, 2).await, [false, true]);
}

#[tokio::test]
async fn lists_of_two_eras_are_not_compared_with_anybody() {
    let store = ScriptedStore::default();
    store.0.lock().unwrap().lists.extend([list(1), list(2), list(2), list(2)]);
    store.0.lock().unwrap().removals.extend([2, 2]);
    let (ask, asked) = mpsc::channel(1);
    let (commands, mut said) = mpsc::channel(4);
    tokio::spawn(audit_members(store.clone(), asked, commands));
    ask.send(Consistency::MayBeStale).await.unwrap();
    assert_eq!(audits(&mut said, 1).await, [true]);
    let newest = |asked: &Consistency| *asked == Consistency::Latest;
    assert_eq!(store.0.lock().unwrap().asked.iter().filter(|asked| newest(asked)).count(), 2);
}
