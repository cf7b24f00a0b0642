//! Maps this process's clock to another's, so that bounds stay sound however long a message is
//! on its way.

use chervilfall_types::{Instant, RemoteInstant};

/// A reading of another process's clock and the time at which it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RemoteClock {
    theirs: RemoteInstant,
    received: Instant,
}

impl RemoteClock {
    /// Returns the map from a reading that arrived at `received`.
    pub(crate) const fn new(theirs: RemoteInstant, received: Instant) -> Self {
        Self { theirs, received }
    }

    /// Returns a reading that the other clock has surely reached by our `bound`.
    ///
    /// The other clock had reached `theirs` before the reading arrived, and runs at most
    /// `drift_ppm` slower than ours; so what it refuses after the returned reading does not
    /// happen after `bound`.
    pub(crate) fn bound(&self, bound: Instant, drift_ppm: u64) -> RemoteInstant {
        if bound < self.received {
            let back_ms = self.received.since(bound);
            let drift_ms = back_ms * drift_ppm / 1_000_000 + 1;
            return RemoteInstant(self.theirs.0.saturating_sub(back_ms + drift_ms));
        }
        let ahead_ms = bound.since(self.received);
        let drift_ms = ahead_ms * drift_ppm / 1_000_000 + 1;
        RemoteInstant(self.theirs.0 + ahead_ms.saturating_sub(drift_ms))
    }
}
