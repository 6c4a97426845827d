//! What the cores ask of the key-value store, in the terms of etcd's v3 interface.

/// A key with its value and the store's revision that last wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, a JSON document.
    pub value: String,
    /// The store's revision that last wrote the key (etcd `mod_revision`).
    pub mod_revision: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCondition {
    /// The key was last written at this store revision; 0 means that it does not exist.
    ModRevision {
        /// The key.
        key: String,
        /// The revision.
        equals: u64,
    },
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreWrite {
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Every key that begins with the prefix.
    ReadPrefix {
        /// The prefix.
        prefix: String,
    },
    /// Writes everything when every condition holds, otherwise nothing.
    Transaction {
        /// The conditions.
        conditions: Vec<StoreCondition>,
        /// The writes.
        writes: Vec<StoreWrite>,
    },
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The keys that were read, at one store revision.
    Keys {
        /// The keys.
        keys: Vec<KeyValue>,
        /// The store's revision of the reading.
        revision: u64,
    },
    /// Whether the conditions held and the writes took effect.
    Transacted {
        /// They did.
        succeeded: bool,
    },
    /// No answer: the request may have taken effect or not.
    Lost,
}
