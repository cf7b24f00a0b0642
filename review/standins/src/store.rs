//! The platform's metadata store: rows with versions, and transactions under conditions.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::base64;
use crate::http::{serve, Reply, Request};
use crate::json::Json;
use crate::record::Record;

/// Longest value of a row, in bytes: `row_bytes` of the settings.
pub const ROW_BYTES: usize = 65_536;
/// Most entries of a call.
const CALL_ENTRIES: usize = 100;
/// Longest call, in bytes.
const CALL_BYTES: usize = 1_000_000;
/// Most rows of an answer.
const PAGE_ROWS: usize = 500;
/// Time that a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(4);

/// Table, part and key.
type Key = (String, String, String);

/// Whether the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    Up,
    /// It answers 503 and does nothing.
    Busy,
}

struct Rows {
    health: Health,
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
}

/// A handle on the store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    record: Record,
}

impl Store {
    /// Opens a store at a free port.
    pub fn open(record: &Record) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Self {
            rows: Arc::new(Mutex::new(Rows {
                health: Health::Up,
                version: 1,
                rows: BTreeMap::new(),
            })),
            record: record.clone(),
        };
        let served = store.clone();
        serve(listener, move |request| served.handle(&request));
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().expect("no caller panics")
    }

    pub fn set_health(&self, health: Health) {
        self.record.say(&format!("store: {health:?}"));
        self.lock().health = health;
    }

    /// Writes a row as the operator or a worker does; returns whether the store is up.
    pub fn put(&self, table: &str, key: &str, value: &Json) -> bool {
        let mut rows = self.lock();
        if rows.health != Health::Up {
            return false;
        }
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = base64::encode(value.to_string().as_bytes());
        rows.rows.insert(key, (version, value));
        true
    }

    /// Returns the length of the longest value in a table, in bytes.
    pub fn longest_value(&self, table: &str) -> usize {
        let rows = self.lock();
        let values = rows.rows.iter().filter(|(key, _)| key.0 == table);
        let lengths = values.map(|(_, (_, value))| base64::decoded_len(value));
        lengths.max().unwrap_or(0)
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.lock().health == Health::Busy {
            return Reply(503, "{}".to_owned());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => self.get(&request.query),
            ("GET", "/rows-feed") => self.feed(&request.query),
            _ => Reply(404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &str) -> Reply {
        std::thread::sleep(TRANSACTION);
        let Some(call) = Json::parse(body) else {
            return Reply(400, "{}".to_owned());
        };
        if let Some(reason) = over_limit(&call, body.len()) {
            self.record
                .line(&format!("store refuses a transaction: {reason}"));
            let answer = Json::map(vec![("error", Json::text(&reason))]);
            return Reply(400, answer.to_string());
        }
        let mut rows = self.lock();
        let conditions = call.list("expected_rev");
        let holds = conditions.iter().all(|condition| {
            let version = rows.rows.get(&key(condition)).map_or(0, |row| row.0);
            condition.u64("schema_version") == Some(version)
        });
        let now_ms = Json::number(self.record.now_ms() + 10_000);
        if !holds {
            let found = conditions.iter().filter_map(|condition| {
                let key = key(condition);
                rows.rows.get(&key).map(|row| shown(&key, row))
            });
            let found = Json::List(found.collect());
            let answer = Json::map(vec![("rows", found), ("now_ms", now_ms)]);
            return Reply(412, answer.to_string());
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.list("set_keys") {
            let value = row.str("value").to_owned();
            rows.rows.insert(key(row), (version, value));
        }
        for row in call.list("remove") {
            rows.rows.remove(&key(row));
        }
        let answer = Json::map(vec![
            ("schema_version", Json::number(version)),
            ("now_ms", now_ms),
        ]);
        Reply(200, answer.to_string())
    }

    fn get(&self, query: &BTreeMap<String, String>) -> Reply {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (field("table"), field("part"), field("from"), field("to"));
        let limit = field("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows = self.lock();
        let found = rows.rows.iter().filter(|(key, _)| {
            key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to)
        });
        let mut page = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, row) in found {
            bytes += row.1.len();
            if page.len() >= limit || (bytes > CALL_BYTES && !page.is_empty()) {
                more = true;
                break;
            }
            page.push(shown(key, row));
        }
        self.page(page, more, rows.version)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> Reply {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, after) = (field("table"), field("after").parse().unwrap_or(0));
        let rows = self.lock();
        let changed = rows.rows.iter();
        let changed = changed.filter(|(key, row)| key.0 == table && row.0 > after);
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|(_, row)| row.0);
        let page = changed.into_iter().map(|(key, row)| shown(key, row));
        self.page(page.collect(), false, rows.version)
    }

    fn page(&self, rows: Vec<Json>, more: bool, version: u64) -> Reply {
        let answer = Json::map(vec![
            ("rows", Json::List(rows)),
            ("has_more", Json::Bool(more)),
            ("schema_version", Json::number(version)),
            ("now_ms", Json::number(self.record.now_ms() + 10_000)),
        ]);
        Reply(200, answer.to_string())
    }
}

/// Returns why a call is beyond the store's limits, if it is.
fn over_limit(call: &Json, bytes: usize) -> Option<String> {
    let entries = ["expected_rev", "set_keys", "remove"].map(|field| call.list(field).len());
    let entries: usize = entries.iter().sum();
    if entries > CALL_ENTRIES {
        return Some(format!("{entries} entries of at most {CALL_ENTRIES}"));
    }
    if bytes > CALL_BYTES {
        return Some(format!("{bytes} bytes of at most {CALL_BYTES}"));
    }
    let mut rows = call.list("set_keys").iter();
    rows.find_map(|row| {
        let length = base64::decoded_len(row.str("value"));
        let (table, key) = (row.str("table"), row.str("key"));
        let over = length > ROW_BYTES;
        over.then(|| format!("row {table}/{key} has {length} bytes of at most {ROW_BYTES}"))
    })
}

fn key(row: &Json) -> Key {
    (
        row.str("table").to_owned(),
        row.str("part").to_owned(),
        row.str("key").to_owned(),
    )
}

fn shown(key: &Key, row: &(u64, String)) -> Json {
    Json::map(vec![
        ("table", Json::text(&key.0)),
        ("part", Json::text(&key.1)),
        ("key", Json::text(&key.2)),
        ("value", Json::text(&row.1)),
        ("schema_version", Json::number(row.0)),
    ])
}
