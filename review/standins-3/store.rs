//! The platform's store: rows under conditions, as the pages describe its form `table`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{quoted, Json};
use crate::record::Record;

/// What a transaction takes, as on the sheets.
const TX: Duration = Duration::from_millis(4);
/// Most bytes of a row's value in base64, most entries and most bytes of a transaction.
const ROW_BYTES: usize = 65_536;
const TX_ENTRIES: usize = 100;
const TX_BYTES: usize = 1_000_000;
/// Most rows of a page.
const PAGE_ROWS: usize = 500;
/// Most bytes of the values of a page.
const PAGE_BYTES: usize = 1_000_000;

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
}

struct Rows {
    version: u64,
    rows: BTreeMap<Key, Row>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    began: Instant,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let rows = Rows {
            version: 0,
            rows: BTreeMap::new(),
        };
        Self {
            rows: Arc::new(Mutex::new(rows)),
            began: Instant::now(),
            record: record.clone(),
        }
    }

    /// Writes a row, as the operator and the workers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = Row {
            value: base64(value.as_bytes()),
            version: rows.version,
        };
        rows.rows
            .insert((table.to_owned(), String::new(), key.to_owned()), row);
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.rows
            .remove(&(table.to_owned(), String::new(), key.to_owned()));
    }

    pub fn handle(&self, request: &Request) -> Answer {
        match request.path.as_str() {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => self.get(request),
            _ => (410, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis() + 1_000
    }

    fn transact(&self, text: &str) -> Answer {
        thread::sleep(TX);
        let Some(body) = Json::parse(text) else {
            return (400, "{}".to_owned());
        };
        let lists = ["expected_rev", "set_keys", "remove"].map(|name| body.get(name).list().len());
        let values = body.get("set_keys").list().iter();
        let largest = values.max_by_key(|row| row.get("value").text().len());
        let bytes = largest.map_or(0, |row| row.get("value").text().len());
        let entries: usize = lists.iter().sum();
        if entries > TX_ENTRIES || text.len() > TX_BYTES || bytes > ROW_BYTES {
            let name = largest.map_or("", |row| row.get("table").text());
            self.record.line(&format!(
                "store: transaction refused, beyond its limits: {entries} entries, {} bytes, largest value {bytes} \
                 bytes in table {name}",
                text.len()
            ));
            return (400, "{}".to_owned());
        }
        let key = |row: &Json| {
            let part = |name: &str| row.get(name).text().to_owned();
            (part("table"), part("part"), part("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let conditions = body.get("expected_rev").list();
        let holds = conditions.iter().all(|row| {
            let found = rows.rows.get(&key(row)).map_or(0, |row| row.version);
            row.get("schema_version").number() == Some(found)
        });
        if !holds {
            let found = conditions.iter().filter_map(|row| {
                let key = key(row);
                rows.rows.get(&key).map(|row| shown(&key, row))
            });
            let found: Vec<String> = found.collect();
            return (412, self.page(&found, false, rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for row in body.get("set_keys").list() {
            let value = row.get("value").text().to_owned();
            rows.rows.insert(key(row), Row { value, version });
        }
        for row in body.get("remove").list() {
            rows.rows.remove(&key(row));
        }
        (
            200,
            format!(
                "{{\"schema_version\":{version},\"now_ms\":{}}}",
                self.now_ms()
            ),
        )
    }

    fn get(&self, request: &Request) -> Answer {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, to) = (query("table"), query("part"), query("to"));
        let limit = query("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows = self.rows.lock().unwrap();
        let (mut found, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, row) in rows
            .rows
            .range((table.clone(), part.clone(), query("from"))..)
        {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2 >= to) {
                break;
            }
            if found.len() == limit || bytes + row.value.len() > PAGE_BYTES {
                more = true;
                break;
            }
            bytes += row.value.len();
            found.push(shown(key, row));
        }
        (200, self.page(&found, more, rows.version))
    }

    fn page(&self, rows: &[String], more: bool, version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":{more},\"schema_version\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }
}

fn shown((table, part, key): &Key, row: &Row) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":\"{}\",\"schema_version\":{}}}",
        quoted(table),
        quoted(part),
        quoted(key),
        row.value,
        row.version
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
