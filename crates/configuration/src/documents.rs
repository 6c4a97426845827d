//! The configuration's layout in the key-value store.
//!
//! One head document names the version; each service is a document of its own, so that a change
//! writes and sends only what it touches. Every transaction writes the head, so that two of them
//! never both take effect from the same reading.

use crate::model::{Configuration, Service, Version};
use crate::store::{KeyValue, StoreWrite};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Prefix of every key.
pub const KEY_PREFIX: &str = "/loftdrift/";
/// Key of the head document.
pub const HEAD_KEY: &str = "/loftdrift/head";
const SERVICE_PREFIX: &str = "/loftdrift/services/";
const OUTCOME_PREFIX: &str = "/loftdrift/outcomes/";

/// Key of a service's document.
pub fn service_key(name: &str) -> String {
    format!("{SERVICE_PREFIX}{name}")
}

/// Key under which a command's outcome is written with its effect.
pub fn outcome_key(command: &str) -> String {
    format!("{OUTCOME_PREFIX}{command}")
}

/// The head document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The configuration's version.
    pub version: Version,
    /// The next service's identity.
    pub next_service: u32,
    /// The next back end's identity.
    pub next_backend: u16,
}

/// Why a document cannot be read.
#[derive(Debug, Error)]
#[error("document `{key}` in the key-value store is malformed: {source}")]
pub struct DocumentError {
    key: String,
    source: serde_json::Error,
}

/// The documents that were read last.
#[derive(Clone, Debug, Default)]
pub struct Documents {
    head: Head,
    head_mod_revision: u64,
    services: BTreeMap<String, Service>,
    outcomes: BTreeMap<String, Version>,
}

impl Documents {
    /// Reads all of the keys below [`KEY_PREFIX`].
    pub fn read(keys: &[KeyValue]) -> Result<Self, DocumentError> {
        let mut documents = Documents::default();
        for key in keys {
            documents.put(key)?;
        }
        Ok(documents)
    }

    /// Takes in a key that was written; keys of other kinds are passed over.
    pub fn put(&mut self, written: &KeyValue) -> Result<(), DocumentError> {
        if written.key == HEAD_KEY {
            self.head = parse(written)?;
            self.head_mod_revision = written.mod_revision;
        } else if let Some(name) = written.key.strip_prefix(SERVICE_PREFIX) {
            self.services.insert(name.to_owned(), parse(written)?);
        } else if let Some(command) = written.key.strip_prefix(OUTCOME_PREFIX) {
            self.outcomes.insert(command.to_owned(), parse(written)?);
        }
        Ok(())
    }

    /// Takes in a key that was removed.
    pub fn delete(&mut self, key: &str) {
        if let Some(name) = key.strip_prefix(SERVICE_PREFIX) {
            self.services.remove(name);
        } else if let Some(command) = key.strip_prefix(OUTCOME_PREFIX) {
            self.outcomes.remove(command);
        }
    }

    /// The store revision that last wrote the head; 0 when there is none.
    pub fn head_mod_revision(&self) -> u64 {
        self.head_mod_revision
    }

    /// The version at which a command took effect, when it did.
    pub fn outcome(&self, command: &str) -> Option<Version> {
        self.outcomes.get(command).copied()
    }

    /// The configuration that the documents make up.
    pub fn configuration(&self) -> Configuration {
        Configuration {
            version: self.head.version,
            next_service: self.head.next_service,
            next_backend: self.head.next_backend,
            services: self.services.clone(),
        }
    }

    /// The writes that turn `before` into `after` and record `command`'s outcome.
    pub fn writes(before: &Configuration, after: &Configuration, command: &str) -> Vec<StoreWrite> {
        let head = Head {
            version: after.version,
            next_service: after.next_service,
            next_backend: after.next_backend,
        };
        let mut writes = vec![put(HEAD_KEY, &head), put(&outcome_key(command), &after.version)];
        for (name, service) in &after.services {
            if before.services.get(name) != Some(service) {
                writes.push(put(&service_key(name), service));
            }
        }
        let removed = before.services.keys().filter(|name| !after.services.contains_key(*name));
        writes.extend(removed.map(|name| StoreWrite::Delete { key: service_key(name) }));
        writes
    }
}

fn parse<T: for<'a> Deserialize<'a>>(written: &KeyValue) -> Result<T, DocumentError> {
    serde_json::from_str(&written.value)
        .map_err(|source| DocumentError { key: written.key.clone(), source })
}

fn put<T: Serialize>(key: &str, document: &T) -> StoreWrite {
    // The documents are plain data with string keys, which always serialize.
    let value = serde_json::to_string(document).unwrap_or_default();
    StoreWrite::Put { key: key.to_owned(), value }
}
