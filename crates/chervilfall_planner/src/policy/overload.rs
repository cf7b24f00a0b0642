//! Refuses submissions while the holder itself is behind.
//!
//! A holder that is too slow for its load answers nobody in time, and what it accepts then makes it
//! slower still: leases lapse before they are renewed, and sound runs are given up and started again.
//! So it accepts nothing more until it has caught up. Short delays are no reason, because they pass
//! before a caller could have tried again.

use crate::ids::Millis;

/// How long the holder must have been behind without interruption.
const MIN_BEHIND_MS: Millis = 300;
/// Part of the lag from which endpoints count as silent that the holder may have, as a divisor.
const LAG_DIVISOR: Millis = 2;
/// Shortest time after which a refused caller tries again.
const MIN_RETRY_MS: Millis = 500;

/// Tells whether the holder is behind with its calls.
#[derive(Debug, Clone, Default)]
pub struct Overload {
    lag_ms: Millis,
    behind_since_ms: Option<Millis>,
}

impl Overload {
    /// Records how late the holder makes calls. Endpoints count as silent if it is late by more than
    /// `max_lag_ms`.
    pub fn record(&mut self, now: Millis, lag_ms: Millis, max_lag_ms: Millis) {
        self.lag_ms = lag_ms;
        if lag_ms < max_lag_ms / LAG_DIVISOR {
            self.behind_since_ms = None;
        } else {
            self.behind_since_ms.get_or_insert(now);
        }
    }

    /// Returns when a refused caller should retry, if submissions are to be refused: after as long as the
    /// holder has been behind.
    #[must_use]
    pub fn retry_ms(&self, now: Millis) -> Option<Millis> {
        let behind_ms = now.saturating_sub(self.behind_since_ms?);
        (behind_ms >= MIN_BEHIND_MS).then(|| behind_ms.max(self.lag_ms).max(MIN_RETRY_MS))
    }
}
