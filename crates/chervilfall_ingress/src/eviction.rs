//! Which connection is closed if there is no room.

use std::time::Duration;

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::connections::{ConnectionKey, Entry, Phase};

/// A request that is not whole by then, or a connection without a first one, has stalled. Those of
/// ordinary callers are whole within some round trips.
const STALLED_AFTER: Duration = Duration::from_millis(500);

impl Entry {
    fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    fn has_stalled(&self, now: Instant) -> bool {
        let waits = match self.phase {
            Phase::Idle => self.answers == 0,
            Phase::Head | Phase::Body => true,
            Phase::Handling | Phase::Lingering => false,
        };
        waits && self.waited(now) >= STALLED_AFTER
    }
}

/// Returns the connection to close in favour of a new one: of those that have stalled the one that
/// has waited longest; if none has, of all that have no request to handle.
pub(crate) fn connection_to_close(
    entries: &SlotMap<ConnectionKey, Entry>,
    now: Instant,
) -> Option<ConnectionKey> {
    let waiting = entries
        .iter()
        .filter(|(_, entry)| entry.phase != Phase::Handling);
    let first = waiting.max_by_key(|(_, entry)| (entry.has_stalled(now), entry.waited(now)));
    first.map(|(key, _)| key)
}

/// Returns the connection to close in favour of another one's request: of those whose bodies have
/// stalled the one that has held most for longest.
pub(crate) fn request_to_close(
    entries: &SlotMap<ConnectionKey, Entry>,
    other_than: ConnectionKey,
    now: Instant,
) -> Option<ConnectionKey> {
    let holding = entries.iter().filter(|(key, entry)| {
        *key != other_than
            && entry.phase == Phase::Body
            && entry.held_bytes > 0
            && entry.has_stalled(now)
    });
    let first = holding
        .max_by_key(|(_, entry)| u128::from(entry.held_bytes) * entry.waited(now).as_millis());
    first.map(|(key, _)| key)
}
