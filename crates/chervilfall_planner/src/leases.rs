//! The clock of an endpoint, and the leases granted to it by that clock.

use crate::ids::Millis;
use crate::limits::Limits;

/// A reading of an endpoint's clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    endpoint_ms: Millis,
    received_ms: Millis,
}

/// Latest reading of an endpoint's clock, and the leases granted to it.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    reading: Option<Reading>,
    /// Latest expiry of any lease that may have been granted, on the endpoint's clock.
    granted_ms: Millis,
    /// When this holder last sent an order with a lease; none if it has sent none.
    sent_ms: Option<Millis>,
}

impl Leases {
    /// Records a reading of the endpoint's clock, unless a later one is known.
    pub(crate) fn read_clock(&mut self, now: Millis, endpoint_ms: Millis) {
        let newer = self
            .reading
            .is_none_or(|reading| endpoint_ms >= reading.endpoint_ms);
        if newer {
            self.reading = Some(Reading {
                endpoint_ms,
                received_ms: now,
            });
        }
    }

    /// Grants a lease and returns its expiry on the endpoint's clock: `lease_ms` from now, but not
    /// beyond `bound_ms` on the planner's clock. None while the endpoint's clock is unknown or if
    /// the bound has passed.
    pub(crate) fn grant(
        &mut self,
        now: Millis,
        lease_ms: Millis,
        bound_ms: Millis,
    ) -> Option<Millis> {
        let reading = self.reading?;
        let left_ms = bound_ms.checked_sub(now)?.min(lease_ms);
        let until_ms = reading.endpoint_ms + now.saturating_sub(reading.received_ms) + left_ms;
        self.granted_ms = self.granted_ms.max(until_ms);
        self.sent_ms = Some(now);
        Some(until_ms)
    }

    /// Returns when this holder last sent an order with a lease.
    pub(crate) const fn sent_ms(&self) -> Option<Millis> {
        self.sent_ms
    }

    /// Accounts for leases that last until a time on the endpoint's clock, but no longer than endpoints
    /// accept.
    pub(crate) fn assume_granted_until(&mut self, until_ms: Millis, limits: &Limits) {
        if let Some(reading) = self.reading {
            let longest_ms = reading.endpoint_ms + limits.lease_max_ms + limits.clock_slack_ms;
            self.granted_ms = self.granted_ms.max(until_ms.min(longest_ms));
        }
    }

    /// Returns the latest expiry of any lease that may have been granted, on the endpoint's clock.
    pub(crate) const fn granted_until_ms(&self) -> Millis {
        self.granted_ms
    }

    /// Accounts for leases of `lease_ms` that others may have granted up to now.
    pub(crate) fn assume_granted(&mut self, lease_ms: Millis, limits: &Limits) {
        if let Some(reading) = self.reading {
            let granted_ms = reading.endpoint_ms + lease_ms + limits.clock_slack_ms;
            self.granted_ms = self.granted_ms.max(granted_ms);
        }
    }

    /// Returns the time on the planner's clock at which every granted lease has certainly lapsed.
    /// None while the endpoint's clock is unknown.
    pub(crate) fn lapse_ms(&self, limits: &Limits) -> Option<Millis> {
        let reading = self.reading?;
        let left_ms = self.granted_ms.saturating_sub(reading.endpoint_ms) + limits.clock_slack_ms;
        Some(reading.received_ms + limits.on_slow_clock_ms(left_ms))
    }

    /// Returns whether every granted lease has certainly lapsed.
    pub(crate) fn surely_lapsed(&self, now: Millis, limits: &Limits) -> bool {
        let Some(reading) = self.reading else {
            return false;
        };
        let passed_ms = now.saturating_sub(reading.received_ms);
        let slow_ms = passed_ms * limits.drift_permille / 1_000 + 1;
        reading.endpoint_ms + passed_ms - slow_ms.min(passed_ms)
            > self.granted_ms + limits.clock_slack_ms / 3
    }
}
