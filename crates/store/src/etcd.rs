//! Messages of etcd's v3 JSON interface, in the gRPC gateway's mapping: keys and values are base64,
//! 64-bit numbers are strings, and fields with default values may be left out.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Path of range requests, which read keys.
pub const RANGE_PATH: &str = "/v3/kv/range";
/// Path of put requests.
pub const PUT_PATH: &str = "/v3/kv/put";
/// Path of transactions.
pub const TXN_PATH: &str = "/v3/kv/txn";
/// Path of watches.
pub const WATCH_PATH: &str = "/v3/watch";
/// Path of requests that grant a lease.
pub const LEASE_GRANT_PATH: &str = "/v3/lease/grant";
/// Path of requests that keep a lease alive.
pub const LEASE_KEEP_ALIVE_PATH: &str = "/v3/lease/keepalive";
/// Path of requests that revoke a lease.
pub const LEASE_REVOKE_PATH: &str = "/v3/lease/revoke";

/// Text that is encoded as base64 in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Base64Text(pub String);

impl Serialize for Base64Text {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Text {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let encoded = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(encoded).map_err(serde::de::Error::custom)?;
        String::from_utf8(bytes).map(Base64Text).map_err(serde::de::Error::custom)
    }
}

/// A 64-bit number that is encoded as a string in JSON. A plain JSON number is accepted too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(pub u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Plain(u64),
        }
        match Either::deserialize(deserializer)? {
            Either::Plain(number) => Ok(Number(number)),
            Either::Text(text) => text.parse().map(Number).map_err(serde::de::Error::custom),
        }
    }
}

/// Header of every response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// The store's revision.
    pub revision: Number,
}

/// A key with its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValueMessage {
    /// The key.
    pub key: Base64Text,
    /// The value.
    pub value: Base64Text,
    /// Revision that created the key.
    pub create_revision: Number,
    /// Revision that last wrote the key.
    pub mod_revision: Number,
    /// ID of the lease that the key is attached to; 0 for none.
    pub lease: Number,
}

/// Reads the keys from `key` up to but excluding `range_end`, or only `key`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64Text,
    /// The end; empty for a single key.
    pub range_end: Base64Text,
}

/// Response to a range request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: ResponseHeader,
    /// The keys.
    pub kvs: Vec<KeyValueMessage>,
}

/// Writes a key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64Text,
    /// The value.
    pub value: Base64Text,
    /// ID of the lease to attach the key to; 0 for none.
    pub lease: Number,
}

/// Response that has only a header: to a put request and to revoking a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainResponse {
    /// Header.
    pub header: ResponseHeader,
}

/// Deletes keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Base64Text,
    /// The end; empty for a single key.
    pub range_end: Base64Text,
}

/// A condition: the key's `mod_revision` equals the given one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The key.
    pub key: Base64Text,
    /// Always `MOD` here.
    pub target: String,
    /// Always `EQUAL` here.
    pub result: String,
    /// The revision; 0 for a key that does not exist.
    pub mod_revision: Number,
}

/// One operation of a transaction. Exactly one field is set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOperation {
    /// Writes a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletes keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// Executes `success` if every comparison holds, otherwise `failure`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// Operations to execute if they hold.
    pub success: Vec<RequestOperation>,
    /// Operations to execute if they do not.
    pub failure: Vec<RequestOperation>,
}

/// Response to a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Whether the conditions held.
    pub succeeded: bool,
}

/// Opens a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreateRequest,
}

/// The keys of a watch and the revision that it starts at.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// The first key.
    pub key: Base64Text,
    /// The end; empty for a single key.
    pub range_end: Base64Text,
    /// The first revision whose events are sent.
    pub start_revision: Number,
}

/// One line of a watch's stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchLine {
    /// The response.
    pub result: WatchResponse,
}

/// Events of the watched keys in one revision, or a change of the watch's own state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Whether this response confirms that the watch is open.
    pub created: bool,
    /// Whether the store has ended the watch.
    pub canceled: bool,
    /// If not 0, the requested events up to this revision have been compacted.
    pub compact_revision: Number,
    /// The events.
    pub events: Vec<WatchEvent>,
}

/// A change of a key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// `PUT`, which may be left out, or `DELETE`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The key.
    pub kv: KeyValueMessage,
}

/// [`WatchEvent::kind`] of a deleted key.
pub const DELETE_EVENT: &str = "DELETE";

/// Requests a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Number,
    /// The requested ID; 0 for any.
    #[serde(rename = "ID")]
    pub id: Number,
}

/// Request to keep a lease alive or to revoke it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Number,
}

/// Response to granting a lease or keeping it alive.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Header.
    pub header: ResponseHeader,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Number,
    /// Time to live, in seconds; 0 if the lease no longer exists.
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

/// The `range_end` for all keys that begin with `prefix`.
pub fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    // All prefixes in use end in an ASCII character below `~`, so its successor is ASCII too.
    if let Some(last) = end.pop() {
        end.push(char::from_u32(last as u32 + 1).unwrap_or(char::MAX));
    }
    end
}
