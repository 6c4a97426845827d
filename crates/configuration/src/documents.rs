//! Layout of the configuration in the key-value store.
//!
//! The head document holds the version. Each service is a separate document, so that a change
//! writes and transmits only the services it affects. Every transaction writes the head and is
//! conditional on its revision, so that two transactions based on the same read never both succeed.

use crate::model::{Configuration, Service, Version};
use crate::store::{KeyValue, StoreWrite};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Prefix of all keys of the configuration.
pub const KEY_PREFIX: &str = "/loftdrift/";
/// Key of the head document.
pub const HEAD_KEY: &str = "/loftdrift/head";
const SERVICE_PREFIX: &str = "/loftdrift/services/";
const OUTCOME_PREFIX: &str = "/loftdrift/outcomes/";

/// Key of the document of a service.
pub fn service_key(name: &str) -> String {
    format!("{SERVICE_PREFIX}{name}")
}

/// Key of a command's outcome, which is written in the same transaction as the command's changes.
pub fn outcome_key(command: &str) -> String {
    format!("{OUTCOME_PREFIX}{command}")
}

/// The head document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The configuration's version.
    pub version: Version,
    /// The id assigned to a service last; the next service gets the one after it.
    #[serde(rename = "next_service")]
    pub last_service_id: u32,
    /// The id assigned to a back end last; the next back end gets the one after it.
    #[serde(rename = "next_backend")]
    pub last_backend_id: u16,
}

/// A document in the store that cannot be parsed.
#[derive(Debug, Error)]
#[error("document `{key}` in the key-value store is malformed: {source}")]
pub struct DocumentError {
    key: String,
    source: serde_json::Error,
}

/// The documents in the store, as last read and as updated by watch events since.
#[derive(Clone, Debug, Default)]
pub struct Documents {
    head: Head,
    head_mod_revision: u64,
    services: BTreeMap<String, Service>,
    outcomes: BTreeMap<String, Version>,
}

impl Documents {
    /// Parses the key-value pairs below [`KEY_PREFIX`].
    pub fn read(keys: &[KeyValue]) -> Result<Self, DocumentError> {
        let mut documents = Documents::default();
        for key in keys {
            documents.put(key)?;
        }
        Ok(documents)
    }

    /// Applies the write of a key. Keys that belong to no known kind of document are ignored.
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

    /// Applies the removal of a key.
    pub fn delete(&mut self, key: &str) {
        if let Some(name) = key.strip_prefix(SERVICE_PREFIX) {
            self.services.remove(name);
        } else if let Some(command) = key.strip_prefix(OUTCOME_PREFIX) {
            self.outcomes.remove(command);
        }
    }

    /// The store revision that last wrote the head document; 0 if it does not exist.
    pub fn head_mod_revision(&self) -> u64 {
        self.head_mod_revision
    }

    /// The version at which a command took effect, if it did.
    pub fn outcome(&self, command: &str) -> Option<Version> {
        self.outcomes.get(command).copied()
    }

    /// The configuration that the documents describe.
    pub fn configuration(&self) -> Configuration {
        Configuration {
            version: self.head.version,
            last_service_id: self.head.last_service_id,
            last_backend_id: self.head.last_backend_id,
            services: self.services.clone(),
        }
    }

    /// The writes that turn `before` into `after` and record the outcome of `command`.
    pub fn writes(before: &Configuration, after: &Configuration, command: &str) -> Vec<StoreWrite> {
        let head = Head {
            version: after.version,
            last_service_id: after.last_service_id,
            last_backend_id: after.last_backend_id,
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
    // Cannot fail: the documents are plain data, and their maps have string keys.
    let value = serde_json::to_string(document).unwrap_or_default();
    StoreWrite::Put { key: key.to_owned(), value }
}
