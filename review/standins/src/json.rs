//! JSON values, enough for the messages of the platform's pages.

use std::collections::BTreeMap;
use std::fmt::Write;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Returns a map with the given members.
    pub fn map(members: Vec<(&str, Json)>) -> Self {
        let members = members.into_iter();
        Self::Map(
            members
                .map(|(name, value)| (name.to_owned(), value))
                .collect(),
        )
    }

    pub fn text(text: &str) -> Self {
        Self::Text(text.to_owned())
    }

    pub fn number(number: u64) -> Self {
        Self::Number(number as f64)
    }

    /// Returns a member of a map.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Map(members) => members.get(name),
            _ => None,
        }
    }

    /// Returns a member that is a text; an empty text if there is none.
    pub fn str(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a member that is a number.
    pub fn u64(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Self::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns a member that is a list.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(values)) => values,
            _ => &[],
        }
    }

    /// Parses a document.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.blanks();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    fn write(&self, out: &mut String) {
        match self {
            Self::Null => out.push_str("null"),
            Self::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Self::Number(number) if number.fract() == 0.0 && number.abs() < 9e15 => {
                let _ = write!(out, "{}", *number as i64);
            }
            Self::Number(number) => {
                let _ = write!(out, "{number}");
            }
            Self::Text(text) => write_text(text, out),
            Self::List(values) => {
                out.push('[');
                for (position, value) in values.iter().enumerate() {
                    if position > 0 {
                        out.push(',');
                    }
                    value.write(out);
                }
                out.push(']');
            }
            Self::Map(members) => {
                out.push('{');
                for (position, (name, value)) in members.iter().enumerate() {
                    if position > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut out = String::new();
        self.write(&mut out);
        formatter.write_str(&out)
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            letter if (letter as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", letter as u32);
            }
            letter => out.push(letter),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.blanks();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.blanks();
        match self.bytes.get(self.at)? {
            b'{' => self.map(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let from = self.at;
        while matches!(
            self.bytes.get(self.at),
            Some(b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
        ) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut values = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Json::List(values));
            }
            self.take(b',')?;
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut members = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Map(members));
        }
        loop {
            self.blanks();
            let name = self.text()?;
            self.take(b':')?;
            members.insert(name, self.value()?);
            if self.take(b'}').is_some() {
                return Some(Json::Map(members));
            }
            self.take(b',')?;
        }
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let letter = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            self.at += 4;
                            out.extend(letter.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => out.push(byte),
            }
        }
    }
}
