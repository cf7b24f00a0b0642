//! A small JSON reader and writer, and base64.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

static NULL: Json = Json::Null;

impl Json {
    /// Returns a member, or null.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(members) => members.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number, if it is one.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(entries) => entries,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

impl From<u64> for Json {
    #[allow(clippy::cast_precision_loss)]
    fn from(number: u64) -> Self {
        Json::Number(number as f64)
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Json::Text(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Self {
        Json::Text(text)
    }
}

impl From<Vec<Json>> for Json {
    fn from(entries: Vec<Json>) -> Self {
        Json::List(entries)
    }
}

/// Creates an object.
pub fn object(members: &[(&str, Json)]) -> Json {
    let members = members
        .iter()
        .map(|(name, value)| ((*name).to_owned(), value.clone()));
    Json::Object(members.collect())
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(number) if number.fract() == 0.0 => write!(out, "{number:.0}"),
            Json::Number(number) => write!(out, "{number}"),
            Json::Text(text) => write_text(out, text),
            Json::List(entries) => {
                write!(out, "[")?;
                for (position, entry) in entries.iter().enumerate() {
                    let comma = if position == 0 { "" } else { "," };
                    write!(out, "{comma}{entry}")?;
                }
                write!(out, "]")
            }
            Json::Object(members) => {
                write!(out, "{{")?;
                for (position, (name, value)) in members.iter().enumerate() {
                    let comma = if position == 0 { "" } else { "," };
                    write!(out, "{comma}")?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for letter in text.chars() {
        match letter {
            '"' => write!(out, "\\\"")?,
            '\\' => write!(out, "\\\\")?,
            letter if u32::from(letter) < 32 => write!(out, "\\u{:04x}", u32::from(letter))?,
            letter => write!(out, "{letter}")?,
        }
    }
    write!(out, "\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
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
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => Some(Json::Text(self.string()?)),
            b'[' => self.array(),
            b'{' => self.members(),
            _ => self.digits(),
        }
    }

    fn array(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(entries));
        }
        loop {
            entries.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(entries));
            }
        }
    }

    fn members(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut members = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(members));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            members.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(members));
            }
        }
    }

    fn digits(&mut self) -> Option<Json> {
        let begin = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let letter = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    bytes.extend_from_slice(letter.to_string().as_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for position in 0..4 {
            if position <= chunk.len() {
                let index = (bits >> (18 - 6 * position)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
