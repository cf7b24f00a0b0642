//! Stall timeout: how long the claim row may stay unchanged before the holder counts as lost.
//!
//! A fixed timeout would have to suit the slowest machine and the slowest store. Instead, the
//! holder derives the timeout from the recent gaps between its commits and publishes it in the
//! claim row. With a healthy store, commits are at most 0.16 s apart, and a holder that loses power
//! is replaced after 0.5 s, compared with 1.24 s for a fixed timeout of 1.2 s.

use crate::ids::Millis;

/// Time over which the largest gap is remembered: twice the length of a process pause or store
/// stall that may soon recur.
const WINDOW_MS: Millis = 5_000;
/// Factor on the largest gap, so that one renewal may be missed.
const GAP_FACTOR: u64 = 2;
/// Added for the latency to the store and for passes of the control thread.
const MARGIN_MS: Millis = 100;
/// Minimum timeout: two renewals and the margin.
const MIN_STALL_TIMEOUT_MS: Millis = 400;
/// Maximum timeout, which also applies until gaps are known: the time that reading the rows of a
/// large group takes.
pub(crate) const MAX_STALL_TIMEOUT_MS: Millis = 1_200;

/// Largest gaps between commits in the current window and in the previous one.
#[derive(Debug, Clone)]
pub(crate) struct CommitGaps {
    window_began_ms: Millis,
    last_ms: Millis,
    current_ms: Millis,
    previous_ms: Millis,
    /// Largest gap since it was last reported.
    unreported_ms: Millis,
}

impl CommitGaps {
    /// Starts at a takeover. Short gaps take effect only after a full window.
    pub(crate) const fn new(now: Millis) -> Self {
        Self {
            window_began_ms: now,
            last_ms: now,
            current_ms: 0,
            previous_ms: MAX_STALL_TIMEOUT_MS,
            unreported_ms: 0,
        }
    }

    /// Records that a commit was stored.
    pub(crate) fn note(&mut self, now: Millis) {
        let gap_ms = now.saturating_sub(self.last_ms);
        self.last_ms = now;
        self.unreported_ms = self.unreported_ms.max(gap_ms);
        if now.saturating_sub(self.window_began_ms) >= WINDOW_MS {
            self.window_began_ms = now;
            self.previous_ms = std::mem::take(&mut self.current_ms);
        }
        // During a longer gap others would have claimed the group if they could reach the store.
        if gap_ms <= MAX_STALL_TIMEOUT_MS {
            self.current_ms = self.current_ms.max(gap_ms);
        }
    }

    /// Takes the largest gap since the last time, in milliseconds.
    pub(crate) fn take_unreported_ms(&mut self) -> Millis {
        std::mem::take(&mut self.unreported_ms)
    }

    /// Returns the timeout to publish.
    pub(crate) fn stall_timeout_ms(&self) -> Millis {
        let gap_ms = self.current_ms.max(self.previous_ms);
        (gap_ms * GAP_FACTOR + MARGIN_MS).clamp(MIN_STALL_TIMEOUT_MS, MAX_STALL_TIMEOUT_MS)
    }
}
