//! State of the simulated key-value store, without I/O. It has the semantics of etcd for the
//! operations that loftdrift uses.

use loftdrift_store::etcd::{
    Base64Text, Compare, DELETE_EVENT, KeyValueMessage, LeaseGrantRequest, LeaseResponse, Number,
    PlainResponse, PutRequest, RangeRequest, RangeResponse, RequestOperation, ResponseHeader,
    TxnRequest, TxnResponse, WatchCreateRequest, WatchEvent, WatchResponse,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of past revisions kept for watches; older ones are compacted.
const MAX_HISTORY_REVISIONS: usize = 1_000;

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
}

/// The changes of one revision.
#[derive(Clone, Debug)]
pub struct Change {
    /// The revision number.
    pub revision: u64,
    /// The keys written or deleted at this revision.
    pub events: Vec<WatchEvent>,
}

/// A key-value store.
#[derive(Debug, Default)]
pub struct KeyValueStore {
    revision: u64,
    keys: BTreeMap<String, KeyValueMessage>,
    history: VecDeque<Change>,
    /// The newest revision that was removed from the history.
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

/// A response, and the change that watches must be notified of, if any.
pub type WithChange<T> = (T, Option<Change>);

impl KeyValueStore {
    /// Reads keys.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let selected =
            self.keys.iter().filter(|(key, _)| in_range(key, &request.key.0, &request.range_end.0));
        RangeResponse { header: self.header(), kvs: selected.map(|(_, kv)| kv.clone()).collect() }
    }

    /// Writes a key.
    pub fn put(&mut self, request: PutRequest) -> WithChange<PlainResponse> {
        let operation = RequestOperation { request_put: Some(request), ..Default::default() };
        let change = self.execute(vec![operation]);
        (PlainResponse { header: self.header() }, change)
    }

    /// Executes the success or failure operations of a transaction, depending on its conditions.
    pub fn transact(&mut self, request: TxnRequest) -> WithChange<TxnResponse> {
        let succeeded = request.compare.iter().all(|compare| self.is_satisfied(compare));
        let operations = if succeeded { request.success } else { request.failure };
        let change = self.execute(operations);
        (TxnResponse { header: self.header(), succeeded }, change)
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Duration, request: &LeaseGrantRequest) -> LeaseResponse {
        self.next_lease += 1;
        let id = if request.id.0 == 0 { self.next_lease } else { request.id.0 };
        let ttl = Duration::from_secs(request.ttl.0.max(1));
        self.leases.insert(id, Lease { ttl, expires_at: now + ttl });
        LeaseResponse { header: self.header(), id: Number(id), ttl: Number(ttl.as_secs()) }
    }

    /// Renews a lease. The response's time to live is 0 if the lease has expired.
    pub fn keep_alive(&mut self, now: Duration, id: u64) -> LeaseResponse {
        let mut ttl = 0;
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.expires_at = now + lease.ttl;
            ttl = lease.ttl.as_secs();
        }
        LeaseResponse { header: self.header(), id: Number(id), ttl: Number(ttl) }
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke(&mut self, id: u64) -> WithChange<PlainResponse> {
        self.leases.remove(&id);
        let attached = self.keys.values().filter(|kv| kv.lease.0 == id);
        let keys: Vec<String> = attached.map(|kv| kv.key.0.clone()).collect();
        let change = self.record(|store, events, revision| {
            keys.iter().for_each(|key| store.remove(key, revision, events));
        });
        (PlainResponse { header: self.header() }, change)
    }

    /// Revokes all leases that have expired by `now`.
    pub fn expire(&mut self, now: Duration) -> Vec<Change> {
        let due = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        due.into_iter().filter_map(|id| self.revoke(id).1).collect()
    }

    /// The first responses of a watch: its creation, then the past changes from its start revision
    /// on. If that revision was compacted, the watch is cancelled instead.
    pub fn start_watch(&self, request: &WatchCreateRequest) -> Vec<WatchResponse> {
        let from = request.start_revision.0;
        let created = WatchResponse { header: self.header(), created: true, ..Default::default() };
        if from != 0 && from <= self.compacted_revision {
            let canceled = WatchResponse {
                header: self.header(),
                canceled: true,
                compact_revision: Number(self.compacted_revision),
                ..Default::default()
            };
            return vec![created, canceled];
        }
        let past = self.history.iter().filter(|change| from != 0 && change.revision >= from);
        let past = past.filter_map(|change| watch_response(change, request));
        std::iter::once(created).chain(past).collect()
    }

    fn header(&self) -> ResponseHeader {
        ResponseHeader { revision: Number(self.revision) }
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let found = self.keys.get(&compare.key.0).map_or(0, |kv| kv.mod_revision.0);
        compare.target == "MOD" && compare.result == "EQUAL" && found == compare.mod_revision.0
    }

    fn execute(&mut self, operations: Vec<RequestOperation>) -> Option<Change> {
        self.record(|store, events, revision| {
            for operation in operations {
                if let Some(put) = operation.request_put {
                    store.write(put, revision, events);
                }
                if let Some(delete) = operation.request_delete_range {
                    let selected = store.keys.keys();
                    let selected =
                        selected.filter(|key| in_range(key, &delete.key.0, &delete.range_end.0));
                    let selected: Vec<String> = selected.cloned().collect();
                    selected.iter().for_each(|key| store.remove(key, revision, events));
                }
            }
        })
    }

    /// Executes writes at the next revision. The revision only advances if they changed something.
    fn record(
        &mut self,
        writes: impl FnOnce(&mut Self, &mut Vec<WatchEvent>, u64),
    ) -> Option<Change> {
        let revision = self.revision + 1;
        let mut events = Vec::new();
        writes(self, &mut events, revision);
        if events.is_empty() {
            return None;
        }
        self.revision = revision;
        let change = Change { revision, events };
        self.history.push_back(change.clone());
        if self.history.len() > MAX_HISTORY_REVISIONS {
            self.compacted_revision = self.history.pop_front().map_or(0, |oldest| oldest.revision);
        }
        Some(change)
    }

    fn write(&mut self, put: PutRequest, revision: u64, events: &mut Vec<WatchEvent>) {
        let created = self.keys.get(&put.key.0).map_or(revision, |kv| kv.create_revision.0);
        let kv = KeyValueMessage {
            key: put.key.clone(),
            value: put.value,
            create_revision: Number(created),
            mod_revision: Number(revision),
            lease: put.lease,
        };
        self.keys.insert(put.key.0, kv.clone());
        events.push(WatchEvent { kind: String::new(), kv });
    }

    fn remove(&mut self, key: &str, revision: u64, events: &mut Vec<WatchEvent>) {
        if self.keys.remove(key).is_some() {
            let kv = KeyValueMessage {
                key: Base64Text(key.to_owned()),
                mod_revision: Number(revision),
                ..Default::default()
            };
            events.push(WatchEvent { kind: DELETE_EVENT.to_owned(), kv });
        }
    }
}

/// The response of a watch to a change, or `None` if the change has none of the watched keys.
pub fn watch_response(change: &Change, request: &WatchCreateRequest) -> Option<WatchResponse> {
    let events = change.events.iter();
    let events =
        events.filter(|event| in_range(&event.kv.key.0, &request.key.0, &request.range_end.0));
    let events: Vec<WatchEvent> = events.cloned().collect();
    if events.is_empty() {
        return None;
    }
    let header = ResponseHeader { revision: Number(change.revision) };
    Some(WatchResponse { header, events, ..Default::default() })
}

fn in_range(key: &str, first: &str, end: &str) -> bool {
    if end.is_empty() { key == first } else { key >= first && key < end }
}
