//! The clock of an endpoint, and the leases that it was granted on it.

use crate::ids::Millis;
use crate::limits::Limits;

/// A reading of an endpoint's clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    theirs_ms: Millis,
    received_ms: Millis,
}

/// What is known of an endpoint's clock and leases.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    reading: Option<Reading>,
    /// Latest lease that may have been granted, on the endpoint's clock.
    granted_ms: Millis,
}

impl Leases {
    /// Takes a reading of the clock.
    pub(crate) fn read_clock(&mut self, now: Millis, theirs_ms: Millis) {
        let newer = self
            .reading
            .is_none_or(|reading| theirs_ms >= reading.theirs_ms);
        if newer {
            self.reading = Some(Reading {
                theirs_ms,
                received_ms: now,
            });
        }
    }

    /// Returns the lease to ask for: `lease_ms` from now, but no further than `bound_ms` on our clock. None while the
    /// endpoint's clock is unknown or the bound has passed.
    pub(crate) fn grant(
        &mut self,
        now: Millis,
        lease_ms: Millis,
        bound_ms: Millis,
    ) -> Option<Millis> {
        let reading = self.reading?;
        let left_ms = bound_ms.checked_sub(now)?.min(lease_ms);
        let until_ms = reading.theirs_ms + now.saturating_sub(reading.received_ms) + left_ms;
        self.granted_ms = self.granted_ms.max(until_ms);
        Some(until_ms)
    }

    /// Notes that others may have granted a lease until now.
    pub(crate) fn assume_granted(&mut self, lease_ms: Millis, limits: &Limits) {
        if let Some(reading) = self.reading {
            let granted_ms = reading.theirs_ms + lease_ms + limits.clock_slack_ms;
            self.granted_ms = self.granted_ms.max(granted_ms);
        }
    }

    /// Returns when, on our clock, every lease that was granted has surely lapsed. None while the endpoint's clock is
    /// unknown.
    pub(crate) fn lapse_ms(&self, limits: &Limits) -> Option<Millis> {
        let reading = self.reading?;
        let left_ms = self.granted_ms.saturating_sub(reading.theirs_ms) + limits.clock_slack_ms;
        let slow_ms = left_ms * limits.drift_permille / (1_000 - limits.drift_permille) + 1;
        Some(reading.received_ms + left_ms + slow_ms)
    }

    /// Returns whether every lease that was granted has surely lapsed.
    pub(crate) fn surely_lapsed(&self, now: Millis, limits: &Limits) -> bool {
        let Some(reading) = self.reading else {
            return false;
        };
        let passed_ms = now.saturating_sub(reading.received_ms);
        let slow_ms = passed_ms * limits.drift_permille / 1_000 + 1;
        reading.theirs_ms + passed_ms - slow_ms.min(passed_ms)
            > self.granted_ms + limits.clock_slack_ms / 3
    }
}
