//! Requests to the key-value store and its replies, modelled on the etcd v3 API.

/// A key with its value and the store revision that last wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, a JSON document.
    pub value: String,
    /// The store revision that last wrote the key (etcd `mod_revision`).
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
    /// Reads all keys that begin with the prefix.
    ReadPrefix {
        /// The prefix.
        prefix: String,
    },
    /// Performs all writes if every condition holds, otherwise none.
    Transaction {
        /// The conditions.
        conditions: Vec<StoreCondition>,
        /// The writes.
        writes: Vec<StoreWrite>,
    },
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The keys that were read, at one store revision.
    Keys {
        /// The keys.
        keys: Vec<KeyValue>,
        /// The store revision at which the keys were read.
        revision: u64,
    },
    /// A transaction was executed.
    Transacted {
        /// Whether the conditions held and the writes took effect.
        succeeded: bool,
    },
    /// No reply was received; the request may or may not have taken effect.
    Lost,
}
