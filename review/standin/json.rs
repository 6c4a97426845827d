//! A small JSON reader for the bodies that nodes send, and base64.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { text: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip();
        (reader.at == reader.text.len()).then_some(value)
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip();
        let is_next = self.text.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.text.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            _ => self.word(),
        }
    }

    fn word(&mut self) -> Option<Json> {
        let from = self.at;
        while self.text.get(self.at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
            self.at += 1;
        }
        match std::str::from_utf8(&self.text[from..self.at]).ok()? {
            "null" => Some(Json::Null),
            "true" => Some(Json::Bool(true)),
            "false" => Some(Json::Bool(false)),
            number => number.parse().ok().map(Json::Number),
        }
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    bytes.push(*self.text.get(self.at)?);
                    self.at += 1;
                }
                _ => bytes.push(byte),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut list = Vec::new();
        while !self.take(b']') {
            if !list.is_empty() && !self.take(b',') {
                return None;
            }
            list.push(self.value()?);
        }
        Some(Json::List(list))
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut table = BTreeMap::new();
        while !self.take(b'}') {
            if !table.is_empty() && !self.take(b',') {
                return None;
            }
            self.skip();
            let name = self.string()?;
            if !self.take(b':') {
                return None;
            }
            table.insert(name, self.value()?);
        }
        Some(Json::Table(table))
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for sign in 0..4 {
            let index = (bits >> (18 - 6 * sign)) & 63;
            let is_filled = sign <= part.len();
            text.push(if is_filled { char::from(SIGNS[index as usize]) } else { '=' });
        }
    }
    text
}
