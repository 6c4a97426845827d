//! The platform's metadata store: items with revisions, transactions, watches and stale reads.
//! It refuses, loses and delays nothing; only stale reads are as old as the page allows.

use crate::http::{self, Request};
use crate::json::{Json, base64};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Age of what a read with `stale` = 1 returns: it "may be seconds old".
const STALE_READ_AGE: Duration = Duration::from_millis(2_500);
const WATCH_POLL: Duration = Duration::from_millis(5);
/// An answer takes 4 ms, as the sites' pages say.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

type Items = BTreeMap<String, Item>;

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    /// All items after the change.
    items: Items,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: Items,
    changes: Vec<Change>,
}

impl State {
    fn write(&mut self, key: &str, value: Option<&str>) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        match value {
            Some(value) => {
                let item = Item { value: value.to_owned(), revision, created };
                drop(self.items.insert(key.to_owned(), item));
            }
            None => drop(self.items.remove(key)),
        }
        let items = self.items.clone();
        self.changes.push(Change { at: Instant::now(), revision, key: key.to_owned(), items });
    }

    /// The items that a read returns, with the store's revision at that time.
    fn view(&self, is_stale: bool) -> (Items, u64) {
        if !is_stale {
            return (self.items.clone(), self.revision);
        }
        let is_visible = |change: &&Change| change.at.elapsed() >= STALE_READ_AGE;
        let last = self.changes.iter().rev().find(is_visible);
        last.map(|change| (change.items.clone(), change.revision)).unwrap_or_default()
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddrV4, record: Record) -> Store {
        let store = Store { state: Arc::default(), record };
        let listener = TcpListener::bind(address).expect("cannot listen for the store");
        let serving = store.clone();
        http::serve(listener, Arc::new(AtomicBool::new(false)), move |request| {
            std::thread::sleep(ANSWER_TIME);
            serving.answer(&request)
        });
        store
    }

    /// The operator writes a configuration.
    pub fn configure(&self, version: u64, address: SocketAddrV4, service: &str) {
        let body = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"payment\",\"host\":\"{}\",\
             \"path_prefix\":\"/{}/\",\"service\":\"{service}\",\"type\":\"unsafe\",\
             \"timeout_ms\":2500,\"target_latency_ms\":250,\"max_attempts\":1,\"priority\":1}}],\
             \"services\":[{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\
             \"max_connections\":2000}}],\"limits\":{{\"idle_timeout_ms\":12000}}}}",
            address.ip(),
            address.port()
        );
        self.state.lock().unwrap().write("op/config", Some(&base64(body.as_bytes())));
        self.record.line(&format!("operator: configuration {version} accepted"));
    }

    /// Keys of the system's own entries, for the record.
    pub fn entries(&self) -> String {
        let state = self.state.lock().unwrap();
        let keys = state.items.keys().filter(|key| !key.starts_with("op/"));
        keys.cloned().collect::<Vec<_>>().join(" ")
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let is_stale = request.argument("stale").is_some();
        let prefix = request.argument("path_prefix").unwrap_or_default();
        match request.path.as_str() {
            "/-/kv-key" => {
                let key = request.argument("tls_key").unwrap_or_default();
                let (items, at) = self.state.lock().unwrap().view(is_stale);
                let found = items.get(&key);
                let status = if found.is_some() { 200 } else { 404 };
                self.record.line(&format!("store: GET {key} stale={is_stale} -> {status}"));
                match found {
                    Some(item) => (200, write_item(&key, item, &format!(",\"at\":{at}"))),
                    None => (404, format!("{{\"error\":\"key\",\"at\":{at}}}")),
                }
            }
            "/-/kv-range" => {
                let after = request.argument("after").unwrap_or_default();
                let (items, at) = self.state.lock().unwrap().view(is_stale);
                let found =
                    items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<String> =
                    found.map(|(key, item)| write_item(key, item, "")).collect();
                (200, format!("{{\"items\":[{}],\"more\":false,\"at\":{at}}}", found.join(",")))
            }
            "/-/kv-watch" => self.watch(request, &prefix),
            "/-/kv-txn" => self.transact(&request.body),
            _ => (404, "{\"error\":\"path\"}".to_owned()),
        }
    }

    fn watch(&self, request: &Request, prefix: &str) -> (u16, String) {
        let number = |name| request.argument(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms) = (number("after"), number("wait_ms"));
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let state = self.state.lock().unwrap();
            let changes = state.changes.iter();
            let newer =
                changes.filter(|change| change.revision > after && change.key.starts_with(prefix));
            let events: Vec<String> = newer.map(write_event).collect();
            if !events.is_empty() || Instant::now() >= until {
                let at = state.revision;
                return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            drop(state);
            std::thread::sleep(WATCH_POLL);
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{\"error\":\"body\"}".to_owned()) };
        let mut state = self.state.lock().unwrap();
        let is_met = |row: &Json| {
            let found = state.items.get(row.get("tls_key").text()).map_or(0, |item| item.revision);
            found == row.get("revision").number()
        };
        if !body.get("expected_rev").list().iter().all(is_met) {
            return (412, "{\"items\":[]}".to_owned());
        }
        for put in body.get("put").list() {
            let key = put.get("tls_key").text();
            state.write(key, Some(put.get("value").text()));
            self.record.line(&format!("store: put {key}"));
        }
        for key in body.get("remove").list() {
            if state.items.contains_key(key.text()) {
                state.write(key.text(), None);
            }
            self.record.line(&format!("store: remove {}", key.text()));
        }
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

fn write_item(key: &str, item: &Item, more: &str) -> String {
    let Item { value, revision, created } = item;
    format!(
        "{{\"tls_key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{created},\"lease\":0{more}}}"
    )
}

fn write_event(change: &Change) -> String {
    let Change { key, revision, .. } = change;
    match change.items.get(key) {
        Some(item) => write_item(key, item, ""),
        None => format!("{{\"tls_key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
    }
}
