//! The platform's store: rows with versions, and transactions under conditions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{encode, object, Json};

/// Duration of a transaction.
const TRANSACTION: Duration = Duration::from_millis(4);
/// Largest number of entries of a transaction.
const MAX_ENTRIES: usize = 100;
/// Largest size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 65_536;
/// Largest number of rows, and of their bytes, in an answer.
const MAX_ROWS: usize = 500;
const MAX_ANSWER_BYTES: usize = 1_000_000;

/// Table, part and key.
type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
    /// Parts that are unavailable.
    down: BTreeSet<String>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    began: Instant,
    server: Arc<Mutex<Option<Server>>>,
}

fn key_of(row: &Json) -> Key {
    let text = |name| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn shown(key: &Key, version: u64, value: &str) -> Json {
    object(&[
        ("table", key.0.as_str().into()),
        ("part", key.1.as_str().into()),
        ("key", key.2.as_str().into()),
        ("value", value.into()),
        ("schema_version", version.into()),
    ])
}

impl Store {
    pub fn open() -> Self {
        let store = Self {
            rows: Arc::default(),
            began: Instant::now(),
            server: Arc::default(),
        };
        let serving = store.clone();
        let server = Server::open("127.0.0.1:0", move |request| serving.answer(&request));
        *store.server.lock().expect("no panic") = Some(server);
        store
    }

    pub fn address(&self) -> String {
        let server = self.server.lock().expect("no panic");
        server.as_ref().expect("an open store").address()
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).expect("a short run") + 50_000
    }

    /// Writes a row as the operator and the workers do; none removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut rows = self.rows.lock().expect("no panic");
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        match value {
            Some(value) => {
                let value = encode(value.to_string().as_bytes());
                rows.rows.insert(key, (version, value));
            }
            None => {
                rows.rows.remove(&key);
            }
        }
    }

    /// Returns the version of a row of the system's own.
    pub fn version(&self, table: &str, part: &str, key: &str) -> u64 {
        let rows = self.rows.lock().expect("no panic");
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        rows.rows.get(&key).map_or(0, |(version, _)| *version)
    }

    fn answer(&self, request: &Request) -> Response {
        match request.path.as_str() {
            "/rows-tx" => {
                thread::sleep(TRANSACTION);
                Some(self.transact(&request.json()))
            }
            "/rows-get" => Some(self.read(request)),
            "/rows-feed" => Some(self.feed(request)),
            _ => Some((404, Json::Null)),
        }
    }

    fn transact(&self, body: &Json) -> (u16, Json) {
        let now_ms = self.now_ms();
        let mut rows = self.rows.lock().expect("no panic");
        let conditions = body.get("expected_rev").list();
        let (puts, removes) = (body.get("set_keys").list(), body.get("remove").list());
        let all = || conditions.iter().chain(puts).chain(removes);
        let parts: BTreeSet<String> = all().map(|row| key_of(row).1).collect();
        let too_long = |row: &Json| row.get("value").text().len() > MAX_VALUE_BYTES;
        if all().count() > MAX_ENTRIES || parts.len() > 1 || puts.iter().any(too_long) {
            return (400, Json::Null);
        }
        if parts.iter().any(|part| rows.down.contains(part)) {
            return (503, Json::Null);
        }
        let version_of = |row: &Json| rows.rows.get(&key_of(row)).map_or(0, |found| found.0);
        let expected = |row: &Json| row.get("schema_version").number();
        if conditions
            .iter()
            .any(|row| Some(version_of(row)) != expected(row))
        {
            let found = conditions.iter().filter_map(|row| {
                let key = key_of(row);
                let (version, value) = rows.rows.get(&key)?;
                Some(shown(&key, *version, value))
            });
            let found: Vec<Json> = found.collect();
            return (
                412,
                object(&[("rows", found.into()), ("now_ms", now_ms.into())]),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for row in puts {
            let value = row.get("value").text().to_owned();
            rows.rows.insert(key_of(row), (version, value));
        }
        for row in removes {
            rows.rows.remove(&key_of(row));
        }
        let answer = [
            ("schema_version", version.into()),
            ("now_ms", now_ms.into()),
        ];
        (200, object(&answer))
    }

    fn read(&self, request: &Request) -> (u16, Json) {
        let now_ms = self.now_ms();
        let rows = self.rows.lock().expect("no panic");
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (text("table"), text("part"), text("from"), text("to"));
        if rows.down.contains(&part) {
            return (503, Json::Null);
        }
        let limit = text("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let found = rows.rows.iter().filter(|((own, of, key), _)| {
            *own == table && *of == part && *key >= from && (to.is_empty() || *key < to)
        });
        let found: Vec<_> = found.collect();
        let mut bytes = 0;
        let mut page = Vec::new();
        for (key, (version, value)) in &found {
            bytes += value.len() + 200;
            if page.len() == limit || (bytes > MAX_ANSWER_BYTES && !page.is_empty()) {
                break;
            }
            page.push(shown(key, *version, value));
        }
        let more = Json::Bool(page.len() < found.len());
        let answer = [
            ("rows", page.into()),
            ("has_more", more),
            ("schema_version", rows.version.into()),
            ("now_ms", now_ms.into()),
        ];
        (200, object(&answer))
    }

    fn feed(&self, request: &Request) -> (u16, Json) {
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let after: u64 = text("after").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
        loop {
            let now_ms = self.now_ms();
            let rows = self.rows.lock().expect("no panic");
            if rows.down.contains("") {
                return (503, Json::Null);
            }
            let table = text("table");
            let changed = rows
                .rows
                .iter()
                .filter(|((own, ..), (version, _))| *own == table && *version > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, (version, _))| *version);
            if !changed.is_empty() || Instant::now() >= until {
                let changed = changed.into_iter();
                let changed: Vec<Json> = changed
                    .map(|(key, (version, value))| shown(key, *version, value))
                    .collect();
                let answer = [
                    ("rows", changed.into()),
                    ("schema_version", rows.version.into()),
                    ("now_ms", now_ms.into()),
                ];
                return (200, object(&answer));
            }
            drop(rows);
            thread::sleep(Duration::from_millis(10));
        }
    }
}
