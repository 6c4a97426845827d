//! Reads values from a table, flags first, and collects what is wrong with them.

use loftdrift_findings::Collector;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;
use toml_edit::{Item, Table, Value};

/// Values given by flags, by the name of the setting that they override.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    values: BTreeMap<String, String>,
}

impl Overrides {
    /// The flag `--NAME VALUE`; dashes in the name stand for the setting's underscores.
    pub fn set(&mut self, name: &str, value: String) {
        self.values.insert(name.replace('-', "_"), value);
    }

    /// The setting that a flag overrides: its value.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }
}

const EXPECTED_ADDRESS: &str = "an address in quotes, \"IP:PORT\"";
const MAX_SECONDS: f64 = 86_400.0;

/// A value as it was found, with its place.
enum Found<'a> {
    Flag(&'a str),
    File(&'a Value),
    Missing,
}

/// Reads one table: asks for each setting by name, collects findings, and at the end reports every
/// key that nobody asked for.
pub struct Reader<'a, 'c> {
    findings: &'c mut Collector<'a>,
    table: &'c Table,
    overrides: &'c Overrides,
    known: BTreeSet<&'static str>,
    /// Addresses that this process listens on, with the setting that names them.
    listeners: Vec<(SocketAddrV4, &'static str)>,
}

impl<'a, 'c> Reader<'a, 'c> {
    /// A reader of one table.
    pub fn new(
        findings: &'c mut Collector<'a>,
        table: &'c Table,
        overrides: &'c Overrides,
    ) -> Self {
        Reader { findings, table, overrides, known: BTreeSet::new(), listeners: Vec::new() }
    }

    /// Records a finding at a byte offset.
    pub fn finding(&mut self, offset: usize, problem: String, expected: &str) {
        self.findings.add(offset, problem, expected);
    }

    /// Reports every key that no reader has asked for.
    pub fn finish(mut self) {
        let keys: Vec<String> = self.table.iter().map(|(key, _)| key.to_owned()).collect();
        let known = self.known.iter().copied().collect::<Vec<_>>().join(", ");
        for key in keys {
            if !self.known.contains(key.as_str()) {
                let offset = self.key_offset(&key);
                self.finding(offset, format!("unknown setting `{key}`"), &known);
            }
        }
        let flags: Vec<String> = self.overrides.values.keys().cloned().collect();
        for flag in flags {
            if !self.known.contains(flag.as_str()) {
                self.finding(0, format!("unknown flag `--{}`", flag.replace('_', "-")), &known);
            }
        }
    }

    fn key_offset(&self, key: &str) -> usize {
        let span = self.table.key(key).and_then(|key| key.span());
        span.map_or(0, |span| span.start)
    }

    fn find(&mut self, name: &'static str) -> Found<'c> {
        self.known.insert(name);
        if let Some(flag) = self.overrides.get(name) {
            return Found::Flag(flag);
        }
        match self.table.get(name) {
            Some(Item::Value(value)) => Found::File(value),
            Some(_) => {
                let offset = self.key_offset(name);
                self.finding(offset, format!("`{name}` is a table"), "a plain value");
                Found::Missing
            }
            None => Found::Missing,
        }
    }

    fn require<T>(&mut self, name: &'static str, value: Option<T>, expected: &str) -> Option<T> {
        let given = self.overrides.get(name).is_some() || self.table.contains_key(name);
        if value.is_none() && !given {
            self.finding(0, format!("setting `{name}` is missing"), expected);
        }
        value
    }

    fn invalid_value(&mut self, name: &str, value: &Value, expected: &str) {
        let offset = value.span().map_or(0, |span| span.start);
        let found = value.type_name();
        let shown = value.to_string();
        let shown = shown.trim();
        self.finding(offset, format!("`{name}` is {shown}, of type {found}"), expected);
    }

    fn invalid_flag(&mut self, name: &str, value: &str, expected: &str) {
        let flag = name.replace('_', "-");
        self.finding(0, format!("flag `--{flag} {value}` is not understood"), expected);
    }

    /// A text that may be missing.
    pub fn optional_text(&mut self, name: &'static str) -> Option<String> {
        match self.find(name) {
            Found::Flag(text) => Some(text.to_owned()),
            Found::File(value) => match value.as_str() {
                Some(text) if !text.is_empty() => Some(text.to_owned()),
                _ => {
                    self.invalid_value(name, value, "a text in quotes that is not empty");
                    None
                }
            },
            Found::Missing => None,
        }
    }

    /// A text.
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        let value = self.optional_text(name);
        self.require(name, value, "a text in quotes")
    }

    /// An address that may be missing.
    pub fn optional_address(&mut self, name: &'static str) -> Option<SocketAddrV4> {
        match self.find(name) {
            Found::Flag(text) => match text.parse() {
                Ok(address) => Some(address),
                Err(_) => {
                    self.invalid_flag(name, text, "IP:PORT");
                    None
                }
            },
            Found::File(value) => {
                let address = value.as_str().and_then(|text| text.parse().ok());
                if address.is_none() {
                    self.invalid_value(name, value, EXPECTED_ADDRESS);
                }
                address
            }
            Found::Missing => None,
        }
    }

    /// An address.
    pub fn address(&mut self, name: &'static str) -> Option<SocketAddrV4> {
        let value = self.optional_address(name);
        self.require(name, value, EXPECTED_ADDRESS)
    }

    /// An address to listen on, which no other setting may name, unless the kernel chooses the port.
    pub fn optional_listener(&mut self, name: &'static str) -> Option<SocketAddrV4> {
        let address = self.optional_address(name)?;
        self.add_listener(name, address, self.key_offset(name));
        Some(address)
    }

    /// An address to listen on.
    pub fn listener(&mut self, name: &'static str) -> Option<SocketAddrV4> {
        let value = self.optional_listener(name);
        self.require(name, value, EXPECTED_ADDRESS)
    }

    /// Notes an address that this process listens on; a finding when another setting names it.
    pub fn add_listener(&mut self, name: &'static str, address: SocketAddrV4, offset: usize) {
        let conflicting = self.listeners.iter().find(|(listener, _)| *listener == address);
        if let Some((_, other)) = conflicting.filter(|_| address.port() != 0) {
            let problem = format!("`{name}` listens on {address}, as `{other}` does");
            self.finding(offset, problem, "another address");
        }
        self.listeners.push((address, name));
    }

    /// A whole number of at least `least`.
    pub fn count(&mut self, name: &'static str, min: u64, default: u64) -> Option<u64> {
        let expected = format!("a whole number of at least {min}");
        let number = match self.find(name) {
            Found::Flag(text) => match text.parse::<u64>() {
                Ok(number) if number >= min => number,
                _ => {
                    self.invalid_flag(name, text, &expected);
                    return None;
                }
            },
            Found::File(value) => match value.as_integer().and_then(|n| u64::try_from(n).ok()) {
                Some(number) if number >= min => number,
                _ => {
                    self.invalid_value(name, value, &expected);
                    return None;
                }
            },
            Found::Missing => default,
        };
        Some(number)
    }

    /// A number in a range.
    pub fn number(&mut self, name: &'static str, min: f64, max: f64, default: f64) -> Option<f64> {
        let expected = format!("a number from {min} to {max}");
        let number = match self.find(name) {
            Found::Flag(text) => match text.parse::<f64>() {
                Ok(number) => number,
                Err(_) => {
                    self.invalid_flag(name, text, &expected);
                    return None;
                }
            },
            Found::File(value) => {
                let number = value.as_float().or_else(|| value.as_integer().map(|n| n as f64));
                match number {
                    Some(number) if (min..=max).contains(&number) => return Some(number),
                    _ => {
                        self.invalid_value(name, value, &expected);
                        return None;
                    }
                }
            }
            Found::Missing => default,
        };
        if !(min..=max).contains(&number) {
            self.invalid_flag(name, &number.to_string(), &expected);
            return None;
        }
        Some(number)
    }

    /// A time in seconds, up to a day.
    pub fn seconds(&mut self, name: &'static str, default: f64) -> Option<Duration> {
        self.number(name, 0.0, MAX_SECONDS, default).map(Duration::from_secs_f64)
    }

    /// `true` or `false`.
    pub fn switch(&mut self, name: &'static str, default: bool) -> Option<bool> {
        match self.find(name) {
            Found::Flag(text) => match text.parse() {
                Ok(value) => Some(value),
                Err(_) => {
                    self.invalid_flag(name, text, "true or false");
                    None
                }
            },
            Found::File(value) => {
                if value.as_bool().is_none() {
                    self.invalid_value(name, value, "true or false");
                }
                value.as_bool()
            }
            Found::Missing => Some(default),
        }
    }

    /// A list of texts, each with its byte offset.
    pub fn texts(&mut self, name: &'static str) -> Vec<(String, usize)> {
        let array = match self.find(name) {
            Found::File(Value::Array(array)) => array,
            Found::File(value) => {
                self.invalid_value(name, value, "a list of texts in quotes");
                return Vec::new();
            }
            Found::Flag(text) => {
                return text.split(',').map(|part| (part.to_owned(), 0)).collect();
            }
            Found::Missing => return Vec::new(),
        };
        let mut texts = Vec::new();
        for value in array {
            match value.as_str() {
                Some(text) => {
                    texts.push((text.to_owned(), value.span().map_or(0, |span| span.start)));
                }
                None => self.invalid_value(name, value, "a text in quotes"),
            }
        }
        texts
    }

    /// A list of addresses.
    pub fn addresses(&mut self, name: &'static str) -> Vec<SocketAddrV4> {
        let mut addresses = Vec::new();
        for (text, offset) in self.texts(name) {
            match text.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.finding(offset, format!("`{text}` is no address"), EXPECTED_ADDRESS),
            }
        }
        addresses
    }

    /// The zone of this process, which must be among `zones` when these are listed.
    pub fn zone(&mut self) -> Option<String> {
        let zones: Vec<String> = self.texts("zones").into_iter().map(|(zone, _)| zone).collect();
        let zone = self.optional_text("zone")?;
        if !zones.is_empty() && !zones.contains(&zone) {
            let span = self.table.get("zone").and_then(Item::span);
            let offset = span.map_or(0, |span| span.start);
            self.finding(offset, format!("unknown zone `{zone}`"), &zones.join(", "));
        }
        Some(zone)
    }

    /// The tables of an array of tables.
    pub fn tables(&mut self, name: &'static str) -> Vec<&'c Table> {
        self.known.insert(name);
        match self.table.get(name) {
            Some(Item::ArrayOfTables(tables)) => tables.iter().collect(),
            Some(_) => {
                let offset = self.key_offset(name);
                self.finding(offset, format!("`{name}` is no list of tables"), "[[…]] tables");
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// A table that may be missing.
    pub fn table(&mut self, name: &'static str) -> Option<&'c Table> {
        self.known.insert(name);
        match self.table.get(name)? {
            Item::Table(table) => Some(table),
            _ => {
                let offset = self.key_offset(name);
                self.finding(offset, format!("`{name}` is no table"), "a [table]");
                None
            }
        }
    }

    /// The byte offset at which this table starts.
    pub fn offset(&self) -> usize {
        self.table.span().map_or(0, |span| span.start)
    }

    /// A reader of a table inside this one, to which flags do not reach.
    pub fn inner<'i>(
        &'i mut self,
        table: &'i Table,
        no_overrides: &'i Overrides,
    ) -> Reader<'a, 'i> {
        Reader::new(self.findings, table, no_overrides)
    }
}
