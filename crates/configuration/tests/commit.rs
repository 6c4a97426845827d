//! A command takes effect at most once and reports its real outcome, whatever messages are lost.

use loftdrift_configuration::{
    Commit, CommitAction, CommitOutcome, Configuration, Documents, KeyValue, Statement,
    StoreCondition, StoreReply, StoreRequest, StoreWrite, parse_script,
};
use loftdrift_testkit::check_fixed_seeds;
use std::collections::BTreeMap;

/// An in-memory store that keeps each value with the revision that last wrote it.
#[derive(Default)]
struct Store {
    keys: BTreeMap<String, (String, u64)>,
    revision: u64,
}

impl Store {
    fn execute(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::ReadPrefix { prefix } => {
                let selected = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
                let keys = selected.map(|(key, (value, mod_revision))| KeyValue {
                    key: key.clone(),
                    value: value.clone(),
                    mod_revision: *mod_revision,
                });
                StoreReply::Keys { keys: keys.collect(), revision: self.revision }
            }
            StoreRequest::Transaction { conditions, writes } => {
                let succeeded =
                    conditions.iter().all(|StoreCondition::ModRevision { key, equals }| {
                        self.keys.get(key).map_or(0, |(_, revision)| *revision) == *equals
                    });
                if succeeded {
                    self.revision += 1;
                    writes.iter().for_each(|write| self.write(write));
                }
                StoreReply::Transacted { succeeded }
            }
        }
    }

    fn write(&mut self, write: &StoreWrite) {
        match write {
            StoreWrite::Put { key, value } => {
                self.keys.insert(key.clone(), (value.clone(), self.revision));
            }
            StoreWrite::Delete { key } => {
                self.keys.remove(key);
            }
        }
    }

    fn configuration(&mut self) -> Configuration {
        let request =
            StoreRequest::ReadPrefix { prefix: loftdrift_configuration::KEY_PREFIX.to_owned() };
        let StoreReply::Keys { keys, .. } = self.execute(&request) else {
            return Configuration::default();
        };
        Documents::read(&keys).expect("invalid documents").configuration()
    }
}

fn statements(script: &str) -> Vec<Statement> {
    parse_script("test", script).expect("invalid script")
}

fn attach(name: &str, port: u16) -> Vec<Statement> {
    let script =
        format!("attach backend {name} to tiles at 127.0.0.1:{port} agent 10.2.0.1:{port}");
    statements(&script)
}

fn run(store: &mut Store, command: &str, statements: Vec<Statement>) -> CommitOutcome {
    let mut commit = Commit::new(command.to_owned(), statements);
    let mut action = commit.start();
    loop {
        match action {
            CommitAction::Done(outcome) => return outcome,
            CommitAction::Send(request) => action = commit.step(store.execute(&request)),
        }
    }
}

fn store_with_service() -> Store {
    let mut store = Store::default();
    let outcome = run(&mut store, "prepare", statements("create service tiles at 10.20.0.1:80"));
    assert!(matches!(outcome, CommitOutcome::Accepted(_)));
    store
}

/// Three commands run interleaved at random, while requests and replies are lost or delayed. Every
/// command reported as accepted must have taken effect, and every refused one must not.
#[test]
fn concurrent_commands_with_lost_replies_report_their_real_outcome() {
    check_fixed_seeds(|input| {
        let mut store = store_with_service();
        let mut commits: Vec<(String, Commit, CommitAction)> = Vec::new();
        for (name, port) in [("a", 9_001), ("b", 9_002), ("c", 9_001)] {
            let mut commit = Commit::new(format!("command-{name}"), attach(name, port));
            let action = commit.start();
            commits.push((name.to_owned(), commit, action));
        }
        let mut delayed: Vec<StoreRequest> = Vec::new();
        for _ in 0..200 {
            let index = input.int_in_range(0..=commits.len() - 1)?;
            let fault = input.int_in_range(0..=9_u8)?;
            let (_, commit, action) = &mut commits[index];
            let CommitAction::Send(request) = action else {
                continue;
            };
            let request = request.clone();
            let reply = match fault {
                0 => StoreReply::Lost,
                1 => {
                    store.execute(&request);
                    StoreReply::Lost
                }
                2 => {
                    delayed.push(request);
                    StoreReply::Lost
                }
                _ => store.execute(&request),
            };
            *action = commit.step(reply);
            if input.ratio(1, 4)? {
                delayed.drain(..).for_each(|request| drop(store.execute(&request)));
            }
        }
        delayed.drain(..).for_each(|request| drop(store.execute(&request)));
        let configuration = store.configuration();
        for (name, _, action) in &commits {
            let found = configuration.find_backend(name).is_some();
            match action {
                CommitAction::Done(CommitOutcome::Accepted(_)) => assert!(found, "{name} is lost"),
                CommitAction::Done(CommitOutcome::Unknown) | CommitAction::Send(_) => {}
                CommitAction::Done(outcome) => assert!(!found, "{name} took effect: {outcome:?}"),
            }
        }
        let effects =
            ["a", "b", "c"].iter().filter(|name| configuration.find_backend(name).is_some());
        assert_eq!(configuration.version.revision, 1 + effects.count() as u64);
        Ok(())
    });
}

#[test]
fn a_repeat_under_the_same_id_takes_effect_once() {
    let mut store = store_with_service();
    let first = run(&mut store, "same", attach("a", 9_001));
    let again = run(&mut store, "same", attach("a", 9_001));
    assert_eq!(first, again);
    assert_eq!(store.configuration().version.revision, 2);
}

#[test]
fn a_change_of_the_same_service_meanwhile_is_a_conflict_that_names_it() {
    let mut store = store_with_service();
    let mut commit = Commit::new("mine".to_owned(), attach("a", 9_001));
    let CommitAction::Send(read) = commit.start() else { panic!("no request") };
    let CommitAction::Send(write) = commit.step(store.execute(&read)) else { panic!("no write") };
    run(&mut store, "theirs", attach("b", 9_002));
    let CommitAction::Send(read) = commit.step(store.execute(&write)) else { panic!("no read") };
    let action = commit.step(store.execute(&read));
    let CommitAction::Done(CommitOutcome::Conflict { service, changed }) = action else {
        panic!("{action:?}")
    };
    assert_eq!((service.as_str(), changed.revision), ("tiles", 2));
}

#[test]
fn a_change_of_another_service_meanwhile_is_no_conflict() {
    let mut store = store_with_service();
    let mut commit = Commit::new("mine".to_owned(), attach("a", 9_001));
    let CommitAction::Send(read) = commit.start() else { panic!("no request") };
    let mut action = commit.step(store.execute(&read));
    run(&mut store, "theirs", statements("create service sheets at 10.20.0.2:80"));
    while let CommitAction::Send(request) = action {
        action = commit.step(store.execute(&request));
    }
    assert!(matches!(action, CommitAction::Done(CommitOutcome::Accepted(_))), "{action:?}");
}

#[test]
fn a_store_that_never_replies_is_reported_as_unreachable_or_unknown() {
    let mut commit = Commit::new("mine".to_owned(), attach("a", 9_001));
    let mut action = commit.start();
    while let CommitAction::Send(_) = action {
        action = commit.step(StoreReply::Lost);
    }
    assert_eq!(action, CommitAction::Done(CommitOutcome::Unreachable));
    let mut store = store_with_service();
    let mut commit = Commit::new("mine".to_owned(), attach("a", 9_001));
    let CommitAction::Send(read) = commit.start() else { panic!("no request") };
    let mut action = commit.step(store.execute(&read));
    while let CommitAction::Send(_) = action {
        action = commit.step(StoreReply::Lost);
    }
    assert_eq!(action, CommitAction::Done(CommitOutcome::Unknown));
}
