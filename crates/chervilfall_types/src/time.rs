//! Readings of monotonic clocks.

use serde::{Deserialize, Serialize};

/// A reading of this process's monotonic clock, in milliseconds since the process started.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the reading that is `duration_ms` later.
    #[must_use]
    pub const fn after(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns how many milliseconds have passed since `earlier`, and zero if it lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A reading of another process's monotonic clock, in milliseconds; it can't be compared with an
/// [`Instant`] of this one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RemoteInstant(pub u64);
