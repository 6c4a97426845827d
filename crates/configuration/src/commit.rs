//! Carries one script into the key-value store at most once.
//!
//! The protocol: read everything, apply the script, write the change together with the command's
//! outcome in one transaction that compares the head's revision and the absence of the outcome.
//! A lost answer is resolved by reading the outcome under the command's identity: when it is
//! there, the script took effect; when it is not, trying again is safe, because a late first try
//! and the new one exclude each other by the same comparison.

use crate::documents::{Documents, HEAD_KEY, KEY_PREFIX, outcome_key};
use crate::edit::{EditError, apply};
use crate::language::{Statement, StatementKind};
use crate::model::{Configuration, Version};
use crate::store::{StoreCondition, StoreReply, StoreRequest};

/// Requests that one command may spend before it gives up and says *unknown* or *refused*.
pub const MAX_COMMIT_ATTEMPTS: u32 = 12;

/// What the embedder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAction {
    /// Send this request and report its reply to [`Commit::step`].
    Send(StoreRequest),
    /// The command has ended.
    Done(CommitOutcome),
}

/// How a command ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect, once, at this version.
    Accepted(Version),
    /// It did not and will not take effect: statements are wrong.
    Refused(Vec<(usize, EditError)>),
    /// It did not and will not take effect: another operator changed the same service.
    Conflict {
        /// The service that both touch.
        service: String,
        /// The version of the other change.
        changed: Version,
    },
    /// The store's documents cannot be read; nothing was written.
    Unreadable(String),
    /// It was never sent: the store could not be reached. It did not run.
    Unreachable,
    /// The answer was lost and could not be found out; ask again by the command's identity.
    Unknown,
}

/// Where the protocol stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading,
    Writing,
}

/// One command on its way into the store. Drive it with [`Commit::step`].
#[derive(Debug)]
pub struct Commit {
    command: String,
    statements: Vec<Statement>,
    /// The first reading: what the operator's command was written against.
    first_read: Option<Configuration>,
    phase: Phase,
    attempts: u32,
    /// A transaction was sent whose answer never came, so its effect is open until read.
    write_in_doubt: bool,
    attempted_version: Option<Version>,
}

impl Commit {
    /// A command with an identity that no other command has.
    pub fn new(command: String, statements: Vec<Statement>) -> Self {
        Commit {
            command,
            statements,
            first_read: None,
            phase: Phase::Reading,
            attempts: 0,
            write_in_doubt: false,
            attempted_version: None,
        }
    }

    /// The first request.
    pub fn start(&mut self) -> CommitAction {
        self.send_read()
    }

    /// Takes the reply to the request sent last.
    pub fn step(&mut self, reply: StoreReply) -> CommitAction {
        match (self.phase, reply) {
            (Phase::Reading, StoreReply::Keys { keys, .. }) => match Documents::read(&keys) {
                Ok(documents) => self.send_write(&documents),
                Err(error) => CommitAction::Done(CommitOutcome::Unreadable(error.to_string())),
            },
            (Phase::Writing, StoreReply::Transacted { succeeded: true }) => CommitAction::Done(
                CommitOutcome::Accepted(self.attempted_version.unwrap_or_default()),
            ),
            (Phase::Writing, StoreReply::Lost) => {
                self.write_in_doubt = true;
                self.send_read()
            }
            _ => self.send_read(),
        }
    }

    fn send_read(&mut self) -> CommitAction {
        if self.attempts == MAX_COMMIT_ATTEMPTS {
            let outcome = if self.write_in_doubt {
                CommitOutcome::Unknown
            } else {
                CommitOutcome::Unreachable
            };
            return CommitAction::Done(outcome);
        }
        self.attempts += 1;
        self.phase = Phase::Reading;
        CommitAction::Send(StoreRequest::ReadPrefix { prefix: KEY_PREFIX.to_owned() })
    }

    fn send_write(&mut self, documents: &Documents) -> CommitAction {
        if let Some(version) = documents.outcome(&self.command) {
            return CommitAction::Done(CommitOutcome::Accepted(version));
        }
        let current = documents.configuration();
        if let Some(outcome) = self.conflict(&current) {
            return self.finish_unapplied(outcome);
        }
        let edited = match apply(&current, &self.statements) {
            Ok(edited) => edited,
            Err(errors) => return self.finish_unapplied(CommitOutcome::Refused(errors)),
        };
        self.first_read.get_or_insert_with(|| current.clone());
        self.phase = Phase::Writing;
        self.attempted_version = Some(edited.version);
        CommitAction::Send(StoreRequest::Transaction {
            conditions: vec![
                StoreCondition::ModRevision {
                    key: HEAD_KEY.to_owned(),
                    equals: documents.head_mod_revision(),
                },
                StoreCondition::ModRevision { key: outcome_key(&self.command), equals: 0 },
            ],
            writes: Documents::writes(&current, &edited, &self.command),
        })
    }

    /// Ends as not applied. A try in doubt compared an older head than the one just read, on which
    /// another change stands, so it cannot take effect any more.
    fn finish_unapplied(&self, outcome: CommitOutcome) -> CommitAction {
        CommitAction::Done(outcome)
    }

    /// A service that the script touches and that changed since the operator's command began.
    fn conflict(&self, current: &Configuration) -> Option<CommitOutcome> {
        let first_read = self.first_read.as_ref()?;
        for name in self.touched_services(current) {
            let before = first_read.services.get(&name);
            let now = current.services.get(&name);
            if before != now {
                let changed = now.map_or(current.version, |service| service.changed);
                return Some(CommitOutcome::Conflict { service: name, changed });
            }
        }
        None
    }

    fn touched_services(&self, current: &Configuration) -> Vec<String> {
        let service_of = |backend: &str| {
            let mut services = current.services.iter();
            let found = services.find(|(_, service)| service.backends.contains_key(backend));
            found.map(|(name, _)| name.clone())
        };
        let touch = |statement: &Statement| match &statement.kind {
            StatementKind::CreateService { name, .. } => Some(name.clone()),
            StatementKind::DeleteService { name } => Some(name.clone()),
            StatementKind::AttachBackend { service, .. } => Some(service.clone()),
            StatementKind::ChangeBackend { name, .. } => service_of(name),
            StatementKind::Shift { service, .. } => Some(service.clone()),
            StatementKind::Show(_) => None,
        };
        self.statements.iter().filter_map(touch).collect()
    }
}
