//! All open connections, and what their requests hold.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use metrics::{counter, gauge, Gauge};
use slotmap::{new_key_type, SlotMap};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::eviction::{connection_to_close, request_to_close};
use crate::limits::{ProcessLimits, RequestLimits};

/// Requests that hold no more than this count as small, in bytes.
pub(crate) const SMALL_REQUEST_BYTES: u64 = 16_384;
/// One in this many parts of the budget is kept for small requests.
const SMALL_REQUEST_PART: u64 = 4;
/// Maximum number of closed connections whose clients still have time to read a refusal.
const MAX_LINGERING: usize = 64;
/// Shortest interval between two log lines on closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

new_key_type! {
    /// Key of an open connection.
    pub(crate) struct ConnectionKey;
}

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Between two requests.
    Idle,
    /// Receiving a head.
    Head,
    /// Receiving a body.
    Body,
    /// Its request is being handled: it must not be closed.
    Handling,
    /// Its client has time to read why it was refused.
    Lingering,
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) phase: Phase,
    /// When the phase began.
    pub(crate) since: Instant,
    /// Bytes that its request holds.
    pub(crate) held_bytes: u64,
    /// Number of its requests that were answered.
    pub(crate) answers: u64,
    /// It is closed after its next answer.
    pub(crate) ends: bool,
    /// Its task ends when this is dropped.
    _open: oneshot::Sender<()>,
}

/// The budget has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too much is held for other requests")]
pub struct NoMemory;

#[derive(Debug)]
struct Table {
    entries: SlotMap<ConnectionKey, Entry>,
    limits: ProcessLimits,
    held_bytes: u64,
    lingering: usize,
    /// Connections closed since the last log line.
    closed: u64,
    closed_logged: Option<Instant>,
}

/// All open connections.
#[derive(Debug)]
pub(crate) struct Connections {
    table: Mutex<Table>,
    open: Gauge,
    held: Gauge,
}

impl Connections {
    pub(crate) fn new(limits: ProcessLimits) -> Self {
        Self {
            table: Mutex::new(Table {
                entries: SlotMap::with_key(),
                limits,
                held_bytes: 0,
                lingering: 0,
                closed: 0,
                closed_logged: None,
            }),
            open: gauge!("chervilfall_caller_connections"),
            held: gauge!("chervilfall_caller_bytes_held"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_limits(&self, limits: ProcessLimits) {
        self.lock().limits = limits;
    }

    /// Adds a connection, and closes another one if there are too many. Returns none if all others
    /// have requests that are being handled; one of them is then closed after its answer.
    pub(crate) fn open(self: &Arc<Self>) -> Option<OpenConnection> {
        let (open, closed) = oneshot::channel();
        let mut table = self.lock();
        while table.entries.len() >= table.limits.max_connections {
            let Some(key) = connection_to_close(&table.entries, Instant::now()) else {
                table.end_busiest();
                counter!("chervilfall_caller_connections_refused_total").increment(1);
                return None;
            };
            table.close(key, "connections");
        }
        let key = table.entries.insert(Entry {
            phase: Phase::Idle,
            since: Instant::now(),
            held_bytes: 0,
            answers: 0,
            ends: false,
            _open: open,
        });
        self.open.set(table.entries.len() as f64);
        let connection = Connection {
            connections: Arc::clone(self),
            key,
        };
        Some(OpenConnection { connection, closed })
    }

    /// Returns whether there are as many connections as there may be.
    pub(crate) fn full(&self) -> bool {
        let table = self.lock();
        table.entries.len() >= table.limits.max_connections
    }

    /// Closes all connections but those whose requests are being handled.
    pub(crate) fn close_waiting(&self) {
        let mut table = self.lock();
        table
            .entries
            .retain(|_, entry| entry.phase == Phase::Handling);
        table.held_bytes = table.entries.values().map(|entry| entry.held_bytes).sum();
    }
}

impl Table {
    fn remove(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.held_bytes -= entry.held_bytes;
        self.lingering -= usize::from(entry.phase == Phase::Lingering);
    }

    /// Closes a connection of a client that keeps others waiting.
    fn close(&mut self, key: ConnectionKey, cause: &'static str) {
        self.remove(key);
        counter!("chervilfall_caller_connections_closed_total", "cause" => cause).increment(1);
        self.closed += 1;
        let now = Instant::now();
        if self
            .closed_logged
            .is_some_and(|logged| now - logged < LOG_INTERVAL)
        {
            return;
        }
        log::warn!(
            cause = cause, closed = self.closed, open = self.entries.len(), held_bytes = self.held_bytes;
            "connections of callers that stall are closed"
        );
        self.closed_logged = Some(now);
        self.closed = 0;
    }

    /// Lets the connection end after its next answer that has had most of them.
    fn end_busiest(&mut self) {
        let staying = self.entries.values_mut().filter(|entry| !entry.ends);
        if let Some(busiest) = staying.max_by_key(|entry| entry.answers) {
            busiest.ends = true;
        }
    }

    /// Returns the most that all requests may hold if one of them holds this much.
    fn max_held_bytes(&self, held_bytes: u64) -> u64 {
        let max = self.limits.max_held_bytes;
        if held_bytes <= SMALL_REQUEST_BYTES {
            return max;
        }
        max - max / SMALL_REQUEST_PART
    }

    fn reserve(&mut self, key: ConnectionKey, bytes: u64) -> Result<(), NoMemory> {
        let held_bytes = self.entries.get(key).ok_or(NoMemory)?.held_bytes + bytes;
        let max = self.max_held_bytes(held_bytes);
        while self.held_bytes + bytes > max {
            let other = request_to_close(&self.entries, key, Instant::now()).ok_or(NoMemory)?;
            self.close(other, "memory");
        }
        self.entries[key].held_bytes = held_bytes;
        self.held_bytes += bytes;
        Ok(())
    }
}

/// A connection that has been added. Dropping this removes it.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    pub(crate) connection: Connection,
    /// Ends when the connection is to be closed.
    pub(crate) closed: oneshot::Receiver<()>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let connections = &self.connection.connections;
        let mut table = connections.lock();
        table.remove(self.connection.key);
        connections.open.set(table.entries.len() as f64);
    }
}

/// Handle of a connection. What is done with one that was closed meanwhile has no effect.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    connections: Arc<Connections>,
    key: ConnectionKey,
}

impl Connection {
    pub(crate) fn set_phase(&self, phase: Phase) {
        let mut table = self.connections.lock();
        let Some(entry) = table.entries.get_mut(self.key) else {
            return;
        };
        entry.since = Instant::now();
        entry.phase = phase;
    }

    /// Takes note that bytes were received: those of an idle connection begin a head.
    pub(crate) fn received(&self) {
        let mut table = self.connections.lock();
        let Some(entry) = table.entries.get_mut(self.key) else {
            return;
        };
        if entry.phase == Phase::Idle {
            entry.phase = Phase::Head;
            entry.since = Instant::now();
        }
    }

    /// Takes note that a request was answered; returns whether the connection ends with it.
    pub(crate) fn answered(&self) -> bool {
        let mut table = self.connections.lock();
        let Some(entry) = table.entries.get_mut(self.key) else {
            return true;
        };
        entry.phase = Phase::Idle;
        entry.since = Instant::now();
        entry.answers += 1;
        entry.ends
    }

    /// Returns whether the client has time to read why it was refused.
    pub(crate) fn linger(&self) -> bool {
        let mut table = self.connections.lock();
        if table.lingering >= MAX_LINGERING {
            return false;
        }
        let Some(entry) = table.entries.get_mut(self.key) else {
            return false;
        };
        entry.phase = Phase::Lingering;
        entry.since = Instant::now();
        table.lingering += 1;
        true
    }

    /// Returns until when the client has to send more, if it has to.
    pub(crate) fn due(&self, limits: &RequestLimits) -> Option<Instant> {
        let table = self.connections.lock();
        let entry = table.entries.get(self.key)?;
        let ms = match entry.phase {
            Phase::Idle => limits.idle_ms,
            Phase::Head => limits.head_ms,
            Phase::Body | Phase::Handling | Phase::Lingering => return None,
        };
        Some(entry.since + Duration::from_millis(ms))
    }

    /// Reserves memory for the request. Requests of other connections that have stalled are closed
    /// if there is no room otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room.
    pub(crate) fn reserve(&self, bytes: u64) -> Result<Reservation, NoMemory> {
        let mut reservation = Reservation {
            connection: self.clone(),
            bytes: 0,
        };
        reservation.resize(bytes)?;
        Ok(reservation)
    }
}

/// Memory that is reserved for a request. Dropping this gives it back.
#[derive(Debug)]
pub struct Reservation {
    connection: Connection,
    bytes: u64,
}

impl Reservation {
    /// Changes how much is reserved.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for more. The reservation is then as before.
    pub fn resize(&mut self, bytes: u64) -> Result<(), NoMemory> {
        let connections = &self.connection.connections;
        let mut table = connections.lock();
        if bytes > self.bytes {
            table.reserve(self.connection.key, bytes - self.bytes)?;
        } else if let Some(entry) = table.entries.get_mut(self.connection.key) {
            entry.held_bytes -= self.bytes - bytes;
            table.held_bytes -= self.bytes - bytes;
        }
        self.bytes = bytes;
        connections.held.set(table.held_bytes as f64);
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // Giving back never fails.
        let _ = self.resize(0);
    }
}
