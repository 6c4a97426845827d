//! The simulated key-value store has the semantics of etcd on which loftdrift depends.

use loftdrift_standin::key_value::KeyValueStore;
use loftdrift_store::etcd::{
    Base64Text, Compare, DELETE_EVENT, LeaseGrantRequest, Number, PutRequest, RangeRequest,
    RequestOperation, TxnRequest, WatchCreateRequest, prefix_end,
};
use std::time::Duration;

fn text(text: &str) -> Base64Text {
    Base64Text(text.to_owned())
}

fn put(key: &str, value: &str) -> PutRequest {
    PutRequest { key: text(key), value: text(value), ..PutRequest::default() }
}

fn compare_and_put(key: &str, mod_revision: u64, value: &str) -> TxnRequest {
    TxnRequest {
        compare: vec![Compare {
            key: text(key),
            target: "MOD".to_owned(),
            result: "EQUAL".to_owned(),
            mod_revision: Number(mod_revision),
        }],
        success: vec![RequestOperation {
            request_put: Some(put(key, value)),
            request_delete_range: None,
        }],
        failure: Vec::new(),
    }
}

fn values(store: &KeyValueStore, prefix: &str) -> Vec<(String, u64)> {
    let request = RangeRequest { key: text(prefix), range_end: text(&prefix_end(prefix)) };
    let keys = store.range(&request).kvs;
    keys.into_iter().map(|kv| (kv.value.0, kv.mod_revision.0)).collect()
}

#[test]
fn of_two_transactions_based_on_the_same_revision_only_one_succeeds() {
    let mut store = KeyValueStore::default();
    assert!(store.transact(compare_and_put("/a", 0, "first")).0.succeeded);
    assert!(!store.transact(compare_and_put("/a", 0, "second")).0.succeeded);
    assert!(store.transact(compare_and_put("/a", 1, "third")).0.succeeded);
    assert_eq!(values(&store, "/"), [("third".to_owned(), 2)]);
}

#[test]
fn a_watch_reports_past_and_future_changes_of_its_keys_only() {
    let mut store = KeyValueStore::default();
    store.put(put("/a/1", "one"));
    store.put(put("/b/1", "other"));
    let request = WatchCreateRequest {
        key: text("/a/"),
        range_end: text(&prefix_end("/a/")),
        start_revision: Number(1),
    };
    let responses = store.start_watch(&request);
    assert!(responses[0].created);
    assert_eq!(responses.len(), 2);
    assert_eq!(responses[1].events[0].kv.value.0, "one");
    let (_, change) = store.put(put("/b/2", "other"));
    let change = change.expect("no change");
    assert!(loftdrift_standin::key_value::watch_response(&change, &request).is_none());
}

#[test]
fn a_watch_from_a_compacted_revision_is_cancelled() {
    let mut store = KeyValueStore::default();
    for number in 0..1_500 {
        store.put(put("/a", &number.to_string()));
    }
    let request =
        WatchCreateRequest { key: text("/a"), range_end: text(""), start_revision: Number(2) };
    let responses = store.start_watch(&request);
    assert!(responses[1].canceled);
    assert!(responses[1].compact_revision.0 >= 2);
}

#[test]
fn an_expired_lease_deletes_its_keys() {
    let mut store = KeyValueStore::default();
    let seconds = Duration::from_secs;
    let request = LeaseGrantRequest { ttl: Number(5), id: Number(0) };
    let lease = store.grant(seconds(0), &request).id;
    store.put(PutRequest { lease, ..put("/holder", "me") });
    assert_eq!(store.keep_alive(seconds(4), lease.0).ttl.0, 5);
    assert!(store.expire(seconds(8)).is_empty());
    let changes = store.expire(seconds(9));
    assert_eq!(changes[0].events[0].kind, DELETE_EVENT);
    assert!(values(&store, "/").is_empty());
    assert_eq!(store.keep_alive(seconds(10), lease.0).ttl.0, 0);
}
