//! All open connections, and what their requests hold.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use metrics::{gauge, Gauge};
use slotmap::{new_key_type, SlotMap};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::limits::RequestLimits;

/// Maximum number of closed connections whose clients still have time to read a refusal.
const MAX_LINGERING: usize = 64;
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
    /// Its task ends when this is dropped.
    _open: oneshot::Sender<()>,
}

#[derive(Debug)]
struct Table {
    entries: SlotMap<ConnectionKey, Entry>,
    lingering: usize,
}

/// All open connections.
#[derive(Debug)]
pub(crate) struct Connections {
    table: Mutex<Table>,
    open: Gauge,
}

impl Connections {
    pub(crate) fn new() -> Self {
        Self {
            table: Mutex::new(Table {
                entries: SlotMap::with_key(),
                lingering: 0,
            }),
            open: gauge!("chervilfall_caller_connections"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection.
    pub(crate) fn open(self: &Arc<Self>) -> OpenConnection {
        let (open, closed) = oneshot::channel();
        let mut table = self.lock();
        let key = table.entries.insert(Entry {
            phase: Phase::Idle,
            since: Instant::now(),
            _open: open,
        });
        self.open.set(table.entries.len() as f64);
        let connection = Connection {
            connections: Arc::clone(self),
            key,
        };
        OpenConnection { connection, closed }
    }

    /// Closes all connections but those whose requests are being handled.
    pub(crate) fn close_waiting(&self) {
        let mut table = self.lock();
        table
            .entries
            .retain(|_, entry| entry.phase == Phase::Handling);
    }
}

impl Table {
    fn remove(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.lingering -= usize::from(entry.phase == Phase::Lingering);
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

    /// Takes note that a request was answered.
    pub(crate) fn answered(&self) {
        self.set_phase(Phase::Idle);
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
}
