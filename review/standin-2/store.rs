//! The platform's metadata store: items with revisions, watches and conditional writes.

use crate::http::{self, Answer, Request};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    revision: u64,
    /// Value and revision of each key.
    items: BTreeMap<String, (String, u64)>,
    removed: BTreeMap<String, u64>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> Store {
        let store = Store::default();
        let serving = store.clone();
        http::serve(address, move |request| serving.answer(&request));
        store
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, text: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let revision = put(&mut state, key, &base64(text.as_bytes()));
        changed.notify_all();
        revision
    }

    fn answer(&self, request: &Request) -> Answer {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let argument = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(key, _)| *key == name);
            found.next().map(|(_, value)| unescape(value)).unwrap_or_default()
        };
        let (state, changed) = &*self.state;
        match path {
            "/-/kv-range" => {
                let state = state.lock().unwrap();
                let (prefix, after) = (argument("path_prefix"), argument("after"));
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, (value, revision))| item(key, value, *revision))
                    .collect();
                let at = state.revision;
                Some((200, format!(r#"{{"items":[{}],"more":false,"at":{at}}}"#, items.join(","))))
            }
            "/-/kv-watch" => {
                let after: u64 = argument("after").parse().unwrap_or(0);
                let wait: u64 = argument("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let prefix = argument("path_prefix");
                let mut state = state.lock().unwrap();
                loop {
                    let events = events(&state, &prefix, after);
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let at = state.revision;
                        let events = events.join(",");
                        return Some((200, format!(r#"{{"events":[{events}],"at":{at}}}"#)));
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/-/kv-txn" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let mut state = state.lock().unwrap();
                let is_met = body.list("expected_rev").iter().all(|row| {
                    let current = state.items.get(&row.text("tls_key"));
                    current.map_or(0, |(_, revision)| *revision) == row.number("revision")
                });
                if !is_met {
                    return Some((412, r#"{"items":[]}"#.to_owned()));
                }
                for key in body.list("remove") {
                    let Json::Text(key) = key else { continue };
                    state.revision += 1;
                    let revision = state.revision;
                    state.items.remove(key);
                    state.removed.insert(key.clone(), revision);
                }
                for row in body.list("put") {
                    put(&mut state, &row.text("tls_key"), &row.text("value"));
                }
                changed.notify_all();
                Some((200, format!(r#"{{"revision":{}}}"#, state.revision)))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}

fn put(state: &mut State, key: &str, value: &str) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    state.items.insert(key.to_owned(), (value.to_owned(), revision));
    revision
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        r#"{{"tls_key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

fn events(state: &State, prefix: &str, after: u64) -> Vec<String> {
    let written = state
        .items
        .iter()
        .filter(|(key, (_, revision))| key.starts_with(prefix) && *revision > after);
    let mut events: Vec<(u64, String)> =
        written.map(|(key, (value, at))| (*at, item(key, value, *at))).collect();
    let gone = state.removed.iter().filter(|(key, at)| key.starts_with(prefix) && **at > after);
    events.extend(
        gone.map(|(key, at)| {
            (*at, format!(r#"{{"tls_key":"{key}","revision":{at},"gone":true}}"#))
        }),
    );
    events.sort();
    events.into_iter().map(|(_, event)| event).collect()
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|two| std::str::from_utf8(two).ok());
        let code = code.and_then(|two| u8::from_str_radix(two, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                plain.push(byte);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| (word << 8) | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() { sign as char } else { '=' });
        }
    }
    text
}

/// Just enough JSON to read a transaction.
pub enum Json {
    Null,
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let signs: Vec<char> = text.chars().collect();
        read(&signs, &mut 0)
    }

    fn field(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    fn list(&self, name: &str) -> &[Json] {
        match self.field(name) {
            Json::List(items) => items,
            _ => &[],
        }
    }

    fn text(&self, name: &str) -> String {
        match self.field(name) {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    fn number(&self, name: &str) -> u64 {
        match self.field(name) {
            Json::Number(number) => *number,
            _ => 0,
        }
    }
}

fn read(signs: &[char], at: &mut usize) -> Json {
    let skip = |at: &mut usize| {
        while signs.get(*at).is_some_and(|sign| sign.is_whitespace() || ",:".contains(*sign)) {
            *at += 1;
        }
    };
    skip(at);
    match signs.get(*at) {
        Some('"') => {
            *at += 1;
            let mut text = String::new();
            while let Some(sign) = signs.get(*at) {
                *at += 1;
                match sign {
                    '"' => break,
                    '\\' => {
                        text.extend(signs.get(*at));
                        *at += 1;
                    }
                    sign => text.push(*sign),
                }
            }
            Json::Text(text)
        }
        Some('[') => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(at);
                match signs.get(*at) {
                    None | Some(']') => break,
                    Some(_) => items.push(read(signs, at)),
                }
            }
            *at += 1;
            Json::List(items)
        }
        Some('{') => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(at);
                match signs.get(*at) {
                    None | Some('}') => break,
                    Some(_) => {
                        let Json::Text(name) = read(signs, at) else { break };
                        fields.push((name, read(signs, at)));
                    }
                }
            }
            *at += 1;
            Json::Table(fields)
        }
        _ => {
            let begin = *at;
            while signs.get(*at).is_some_and(|sign| sign.is_alphanumeric() || "-.+".contains(*sign))
            {
                *at += 1;
            }
            if *at == begin {
                *at += 1;
            }
            let word: String = signs[begin..(*at).min(signs.len())].iter().collect();
            word.parse().map_or(Json::Null, Json::Number)
        }
    }
}
