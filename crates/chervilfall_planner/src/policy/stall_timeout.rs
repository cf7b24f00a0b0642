//! How long its claim row may stand still before others take the holder for lost.
//!
//! A fixed time has to suit the slowest machine and the slowest store. So the holder says itself, in the
//! row, how far apart its commits have been of late, and others allow for some times that. With a sound store
//! commits are at most 0.16 s apart, and a holder without power is replaced after 0.5 s instead of the 1.24 s
//! that a fixed standstill of 1.2 s took.

use crate::ids::Millis;

/// Time over which the largest gap is remembered: twice the pause of a process or a stall of the store that
/// may come again soon.
const WINDOW_MS: Millis = 5_000;
/// Factor on the largest gap: one renewal may be missed.
const GAP_FACTOR: u64 = 2;
/// Added for the way to the store and for passes of the control thread.
const MARGIN_MS: Millis = 100;
/// Shortest standstill: two renewals and the margin.
const SHORTEST_MS: Millis = 400;
/// Longest standstill, and what holds until gaps are known: the rows of a large group take as long to read.
pub(crate) const MAX_STALL_TIMEOUT_MS: Millis = 1_200;

/// The largest gaps between commits in this window and the one before it.
#[derive(Debug, Clone)]
pub(crate) struct CommitGaps {
    window_began_ms: Millis,
    last_ms: Millis,
    current_ms: Millis,
    previous_ms: Millis,
}

impl CommitGaps {
    /// Begins with a takeover, after which a window has to pass before short gaps count.
    pub(crate) const fn new(now: Millis) -> Self {
        Self {
            window_began_ms: now,
            last_ms: now,
            current_ms: 0,
            previous_ms: MAX_STALL_TIMEOUT_MS,
        }
    }

    /// Notes that a commit is stored.
    pub(crate) fn note(&mut self, now: Millis) {
        let gap_ms = now.saturating_sub(self.last_ms);
        self.last_ms = now;
        if now.saturating_sub(self.window_began_ms) >= WINDOW_MS {
            self.window_began_ms = now;
            self.previous_ms = std::mem::take(&mut self.current_ms);
        }
        // In a longer gap others would have claimed the group if they had reached the store either.
        if gap_ms <= MAX_STALL_TIMEOUT_MS {
            self.current_ms = self.current_ms.max(gap_ms);
        }
    }

    /// Returns the standstill to ask for.
    pub(crate) fn stall_timeout_ms(&self) -> Millis {
        let gap_ms = self.current_ms.max(self.previous_ms);
        (gap_ms * GAP_FACTOR + MARGIN_MS).clamp(SHORTEST_MS, MAX_STALL_TIMEOUT_MS)
    }
}
