//! Commits one script to the key-value store at most once.
//!
//! The protocol reads all documents, applies the script, and writes the change together with the
//! command's outcome in one transaction. The transaction succeeds only if the head document's
//! revision is unchanged and no outcome exists yet under the command's id. When a reply is lost,
//! the documents are read again: if the outcome exists, the script took effect; if not, a retry is
//! safe, because a delayed first attempt and the retry both require that no outcome exists, so at
//! most one of them succeeds.

use crate::documents::{Documents, HEAD_KEY, KEY_PREFIX, outcome_key};
use crate::edit::{EditError, apply};
use crate::language::{Statement, StatementKind};
use crate::model::{Configuration, Version};
use crate::store::{StoreCondition, StoreReply, StoreRequest};

/// Maximum number of times that a command reads the store. After that it ends with
/// [`CommitOutcome::Unknown`] or [`CommitOutcome::Unreachable`].
pub const MAX_COMMIT_ATTEMPTS: u32 = 12;

/// What the caller of [`Commit`] must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAction {
    /// Send this request and pass its reply to [`Commit::step`].
    Send(StoreRequest),
    /// The command has ended with this outcome.
    Done(CommitOutcome),
}

/// How a command ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect exactly once, at this version.
    Accepted(Version),
    /// It did not and will not take effect: these statements, listed by byte offset in the
    /// script, cannot be applied.
    Refused(Vec<(usize, EditError)>),
    /// It did not and will not take effect: another operator changed the same service.
    Conflict {
        /// The service that both commands change.
        service: String,
        /// The version of the other change.
        changed: Version,
    },
    /// A document in the store cannot be parsed; nothing was written.
    Unreadable(String),
    /// It did not take effect: no transaction succeeded within [`MAX_COMMIT_ATTEMPTS`], usually
    /// because the store could not be reached.
    Unreachable,
    /// The reply was lost and the outcome could not be determined; query it later by the
    /// command's id.
    Unknown,
}

/// Which reply the protocol waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading,
    Writing,
}

/// The protocol state of one command. It does no I/O: the caller sends the requests and passes each
/// reply to [`Commit::step`].
#[derive(Debug)]
pub struct Commit {
    command: String,
    statements: Vec<Statement>,
    /// The configuration as first read. A later change to a service that the script changes too is
    /// a conflict.
    first_read: Option<Configuration>,
    phase: Phase,
    attempts: u32,
    /// The reply to a transaction was lost, so only a later read can tell whether it took effect.
    write_in_doubt: bool,
    /// The version that the last transaction writes.
    new_version: Option<Version>,
}

impl Commit {
    /// Creates a command. `command` is its id, which must be unique among all commands.
    pub fn new(command: String, statements: Vec<Statement>) -> Self {
        Commit {
            command,
            statements,
            first_read: None,
            phase: Phase::Reading,
            attempts: 0,
            write_in_doubt: false,
            new_version: None,
        }
    }

    /// Returns the first request.
    pub fn start(&mut self) -> CommitAction {
        self.send_read()
    }

    /// Handles the reply to the last request.
    pub fn step(&mut self, reply: StoreReply) -> CommitAction {
        match (self.phase, reply) {
            (Phase::Reading, StoreReply::Keys { keys, .. }) => match Documents::read(&keys) {
                Ok(documents) => self.send_write(&documents),
                Err(error) => CommitAction::Done(CommitOutcome::Unreadable(error.to_string())),
            },
            (Phase::Writing, StoreReply::Transacted { succeeded: true }) => {
                CommitAction::Done(CommitOutcome::Accepted(self.new_version.unwrap_or_default()))
            }
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
        self.new_version = Some(edited.version);
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

    /// Ends the command as not applied. A transaction whose reply was lost was conditional on an
    /// older head than the one just read, which another change has overwritten since, so it can no
    /// longer take effect.
    fn finish_unapplied(&self, outcome: CommitOutcome) -> CommitAction {
        CommitAction::Done(outcome)
    }

    /// Returns a conflict if a service that the script changes was changed since the first read.
    fn conflict(&self, current: &Configuration) -> Option<CommitOutcome> {
        let first_read = self.first_read.as_ref()?;
        for name in self.changed_services(current) {
            let before = first_read.services.get(&name);
            let now = current.services.get(&name);
            if before != now {
                let changed = now.map_or(current.version, |service| service.changed);
                return Some(CommitOutcome::Conflict { service: name, changed });
            }
        }
        None
    }

    /// Names of the services that the script changes.
    fn changed_services(&self, current: &Configuration) -> Vec<String> {
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
