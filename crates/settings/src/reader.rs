//! Reads typed values from a TOML table, with flags taking precedence, and collects findings.

use loftdrift_findings::Collector;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;
use toml_edit::{Item, Table, Value};

/// Values given by command-line flags, keyed by the name of the setting that they override.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    values: BTreeMap<String, String>,
}

impl Overrides {
    /// Adds the flag `--NAME VALUE`. Dashes in the flag's name are converted to the underscores of
    /// the setting's name.
    pub fn set(&mut self, name: &str, value: String) {
        self.values.insert(name.replace('-', "_"), value);
    }

    /// The value that a flag gives to a setting, if any.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }
}

/// Format of an address in a settings file, as shown in findings.
const IP_PORT: &str = "an address in quotes, \"IP:PORT\"";
/// Upper limit of settings that are durations: one day.
const MAX_SECONDS: f64 = 86_400.0;

/// Where a setting's value was found.
enum Found<'a> {
    Flag(&'a str),
    File(&'a Value),
    Missing,
}

/// Reads the settings of one table by name and collects findings. [`Reader::finish`] then reports
/// as unknown every key and flag that was never read.
pub struct Reader<'a, 'c> {
    findings: &'c mut Collector<'a>,
    table: &'c Table,
    overrides: &'c Overrides,
    /// Names of the settings that have been read.
    known: BTreeSet<&'static str>,
    /// Addresses on which this process listens, with the name of the setting.
    listeners: Vec<(SocketAddrV4, &'static str)>,
}

impl<'a, 'c> Reader<'a, 'c> {
    /// Creates a reader for one table.
    pub fn new(
        findings: &'c mut Collector<'a>,
        table: &'c Table,
        overrides: &'c Overrides,
    ) -> Self {
        Reader { findings, table, overrides, known: BTreeSet::new(), listeners: Vec::new() }
    }

    /// Records a finding at a byte offset in the file.
    pub fn finding(&mut self, offset: usize, problem: String, expected: &str) {
        self.findings.add(offset, problem, expected);
    }

    /// Reports as unknown every key and flag that was never read.
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

    /// Reads an optional string, which must not be empty.
    pub fn optional_text(&mut self, name: &'static str) -> Option<String> {
        match self.find(name) {
            Found::Flag(text) => Some(text.to_owned()),
            Found::File(value) => match value.as_str() {
                Some(text) if !text.is_empty() => Some(text.to_owned()),
                _ => {
                    self.invalid_value(name, value, "a non-empty string in quotes");
                    None
                }
            },
            Found::Missing => None,
        }
    }

    /// Reads a required string.
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        let value = self.optional_text(name);
        self.require(name, value, "a string in quotes")
    }

    /// Reads an optional address.
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
                    self.invalid_value(name, value, IP_PORT);
                }
                address
            }
            Found::Missing => None,
        }
    }

    /// Reads a required address.
    pub fn address(&mut self, name: &'static str) -> Option<SocketAddrV4> {
        let value = self.optional_address(name);
        self.require(name, value, IP_PORT)
    }

    /// Reads an optional address to listen on. Two settings must not name the same address, unless
    /// its port is 0, for which the kernel chooses a free port.
    pub fn optional_listener(&mut self, name: &'static str) -> Option<SocketAddrV4> {
        let address = self.optional_address(name)?;
        self.reserve(name, address, self.key_offset(name));
        Some(address)
    }

    /// Reads a required address to listen on; see [`Reader::optional_listener`].
    pub fn listener(&mut self, name: &'static str) -> Option<SocketAddrV4> {
        let value = self.optional_listener(name);
        self.require(name, value, IP_PORT)
    }

    /// Reserves an address on which this process listens. Reports a finding if another setting has
    /// reserved the same address.
    pub fn reserve(&mut self, name: &'static str, address: SocketAddrV4, offset: usize) {
        let conflicting = self.listeners.iter().find(|(listener, _)| *listener == address);
        if let Some((_, other)) = conflicting.filter(|_| address.port() != 0) {
            let problem = format!("`{name}` listens on {address}, as `{other}` does");
            self.finding(offset, problem, "another address");
        }
        self.listeners.push((address, name));
    }

    /// Reads an integer of at least `min`.
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

    /// Reads a number from `min` to `max`.
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

    /// Reads a duration in seconds, at most one day.
    pub fn seconds(&mut self, name: &'static str, default: f64) -> Option<Duration> {
        self.number(name, 0.0, MAX_SECONDS, default).map(Duration::from_secs_f64)
    }

    /// Reads a boolean.
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

    /// Reads a list of strings, each with its byte offset. A flag separates them by commas.
    pub fn texts(&mut self, name: &'static str) -> Vec<(String, usize)> {
        let array = match self.find(name) {
            Found::File(Value::Array(array)) => array,
            Found::File(value) => {
                self.invalid_value(name, value, "a list of strings in quotes");
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
                None => self.invalid_value(name, value, "a string in quotes"),
            }
        }
        texts
    }

    /// Reads a list of addresses.
    pub fn addresses(&mut self, name: &'static str) -> Vec<SocketAddrV4> {
        let mut addresses = Vec::new();
        for (text, offset) in self.texts(name) {
            match text.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.finding(offset, format!("`{text}` is not a valid address"), IP_PORT),
            }
        }
        addresses
    }

    /// Reads the zone of this process, which must be in the list `zones` if that is set.
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

    /// Reads an array of tables; empty if it is missing.
    pub fn tables(&mut self, name: &'static str) -> Vec<&'c Table> {
        self.known.insert(name);
        match self.table.get(name) {
            Some(Item::ArrayOfTables(tables)) => tables.iter().collect(),
            Some(_) => {
                let offset = self.key_offset(name);
                self.finding(offset, format!("`{name}` is not an array of tables"), "[[…]] tables");
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Reads an optional table.
    pub fn table(&mut self, name: &'static str) -> Option<&'c Table> {
        self.known.insert(name);
        match self.table.get(name)? {
            Item::Table(table) => Some(table),
            _ => {
                let offset = self.key_offset(name);
                self.finding(offset, format!("`{name}` is not a table"), "a [table]");
                None
            }
        }
    }

    /// The byte offset of the start of this table.
    pub fn offset(&self) -> usize {
        self.table.span().map_or(0, |span| span.start)
    }

    /// Creates a reader for a table nested in this one. Flags apply to top-level settings only, so
    /// `no_overrides` must be empty.
    pub fn inner<'i>(
        &'i mut self,
        table: &'i Table,
        no_overrides: &'i Overrides,
    ) -> Reader<'a, 'i> {
        Reader::new(self.findings, table, no_overrides)
    }
}
