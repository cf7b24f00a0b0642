//! Structured log lines on standard output, through a bounded queue that never blocks the caller.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{Error as KvError, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Logger, Root};
use log4rs::Config;
use serde::Serialize;

use crate::logs::QUIET_TARGETS;

/// Capacity of the queue to the writer, in lines; 1.2 MB at 300 bytes per line.
const QUEUE_LINES: usize = 4_096;
/// Debug and trace lines are dropped while fewer places than this are free in the queue, so that
/// lines about the outcome of a request still fit.
const RESERVED_LINES: usize = 2_048;
/// Pause between two writes, so that lines are written in batches.
const WRITE_PAUSE_MS: u64 = 25;
/// Keys of the members that every line has.
const RESERVED_KEYS: [&str; 5] = ["unix_ms", "node", "level", "part", "event"];
/// Name of the only appender.
const APPENDER: &str = "lines";

/// Sets up logging for this process: JSON lines on standard output, written by a separate thread.
///
/// # Errors
///
/// Returns an error if the thread can't be started or logging is already set up.
pub fn open_stdout_log(node: &str, level: LevelFilter) -> anyhow::Result<()> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let lines = QueueAppender {
        node: node.to_owned(),
        sender,
        waiting: Arc::new(AtomicU64::new(0)),
        left_out: Arc::new(AtomicU64::new(0)),
    };
    let name = node.to_owned();
    let (waiting, left_out) = (Arc::clone(&lines.waiting), Arc::clone(&lines.left_out));
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&name, &receiver, &waiting, &left_out))?;
    let appender = Appender::builder().build(APPENDER, Box::new(lines));
    let mut config = Config::builder().appender(appender);
    for name in QUIET_TARGETS {
        config = config.logger(Logger::builder().build(name, LevelFilter::Warn));
    }
    let root = Root::builder().appender(APPENDER).build(level);
    log4rs::init_config(config.build(root)?)?;
    Ok(())
}

/// Puts lines into the writer's queue and drops those that don't fit.
#[derive(Debug)]
struct QueueAppender {
    node: String,
    sender: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicU64>,
    left_out: Arc<AtomicU64>,
}

#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u64,
    node: &'a str,
    level: &'a str,
    part: &'a str,
    event: String,
    #[serde(flatten)]
    fields: Fields,
}

#[derive(Default, Serialize)]
#[serde(transparent)]
struct Fields(BTreeMap<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        let name = key.as_str();
        // Some JSON parsers reject objects with duplicate keys.
        let name = if RESERVED_KEYS.contains(&name) {
            format!("field_{name}")
        } else {
            name.to_owned()
        };
        self.0.insert(name, json);
        Ok(())
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let routine = record.level() > LevelFilter::Info;
        let waiting = self.waiting.load(Ordering::Relaxed);
        if routine && waiting > (QUEUE_LINES - RESERVED_LINES) as u64 {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut fields = Fields::default();
        record.key_values().visit(&mut fields)?;
        let line = Line {
            unix_ms: unix_ms(),
            node: &self.node,
            level: record.level().as_str(),
            part: record.target(),
            event: record.args().to_string(),
            fields,
        };
        let mut bytes = serde_json::to_vec(&line)?;
        bytes.push(b'\n');
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if self.sender.try_send(bytes).is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Returns the milliseconds since 1970; 0 if the clock is set to an earlier time.
fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the line that reports how many lines were dropped.
fn left_out_line(node: &str, missing: u64) -> Vec<u8> {
    let line = Line {
        unix_ms: unix_ms(),
        node,
        level: "WARN",
        part: module_path!(),
        event: "log lines left out".to_owned(),
        fields: Fields(BTreeMap::from([("lines".to_owned(), missing.into())])),
    };
    // Serializing numbers and strings does not fail; on an error the line would be empty.
    let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}

fn write_lines(
    node: &str,
    receiver: &Receiver<Vec<u8>>,
    waiting: &AtomicU64,
    left_out: &AtomicU64,
) {
    while let Ok(first) = receiver.recv() {
        let mut bytes = first;
        let mut lines = 1;
        for line in receiver.try_iter() {
            bytes.extend_from_slice(&line);
            lines += 1;
        }
        waiting.fetch_sub(lines, Ordering::Relaxed);
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            bytes.extend_from_slice(&left_out_line(node, missing));
        }
        let mut output = std::io::stdout().lock();
        // A failed write is ignored: there is nowhere else to report it.
        drop(output.write_all(&bytes).and_then(|()| output.flush()));
        drop(output);
        thread::sleep(Duration::from_millis(WRITE_PAUSE_MS));
    }
}
