//! How long an endpoint may hold leases: those of earlier holders, and stale ones of a restart.

use crate::endpoint::Endpoint;
use crate::ids::Millis;
use crate::limits::Limits;
use crate::record::StaleLeases;

impl Endpoint {
    /// Accounts for leases that may exist without being known when its clock is first read: granted by
    /// an earlier holder, or by orders to the previous incarnation.
    pub(crate) fn assume_granted(&mut self, limits: &Limits) {
        self.leases.assume_granted(limits.lease_ms, limits);
        match self.stale_leases {
            None => {}
            Some(StaleLeases::Arriving) => {
                let transit_ms = if self.contacted {
                    0
                } else {
                    limits.order_transit_ms
                };
                let stale_ms = transit_ms + limits.lease_max_ms;
                self.leases.assume_granted(stale_ms, limits);
            }
            Some(StaleLeases::Until(until_ms)) => {
                self.leases.assume_granted_until(until_ms, limits);
            }
        }
    }

    /// Records that it has answered with this holder's token, and refuses orders with lower ones from
    /// now on. Returns whether the roster must be written.
    pub(crate) fn note_first_contact(&mut self, limits: &Limits) -> bool {
        self.contacted = true;
        self.assume_granted(limits);
        let arriving = self.stale_leases == Some(StaleLeases::Arriving);
        if arriving {
            self.stale_leases = Some(StaleLeases::Until(self.leases.granted_until_ms()));
        }
        arriving
    }

    /// Forgets stale leases that have lapsed when its clock shows `clock_ms`. Returns whether the roster
    /// must be written.
    pub(crate) fn forget_lapsed_stale_leases(&mut self, clock_ms: Millis) -> bool {
        let lapsed =
            matches!(self.stale_leases, Some(StaleLeases::Until(until_ms)) if until_ms < clock_ms);
        if lapsed {
            self.stale_leases = None;
        }
        lapsed
    }

    /// Returns when stale leases of the next incarnation have certainly lapsed, if the platform's list
    /// shows that there is one. It may have received all that this holder has sent to this one.
    fn next_incarnation_lapses_ms(&self, limits: &Limits) -> Option<Millis> {
        let sent_ms = self.leases.sent_ms()?;
        let replaced = !self.entry_is_of_incarnation();
        replaced.then(|| limits.stale_lease_over_ms(sent_ms))
    }

    /// Returns the time on the planner's clock at which every lease at this endpoint has certainly
    /// lapsed. None while its clock is unknown.
    pub(crate) fn lapse_ms(&self, limits: &Limits) -> Option<Millis> {
        let own_ms = self.leases.lapse_ms(limits)?;
        let next_ms = self.next_incarnation_lapses_ms(limits);
        Some(own_ms.max(next_ms.unwrap_or(0)))
    }

    /// Returns whether every lease at this endpoint has certainly lapsed.
    pub(crate) fn leases_surely_lapsed(&self, now: Millis, limits: &Limits) -> bool {
        let next_ms = self.next_incarnation_lapses_ms(limits);
        self.leases.surely_lapsed(now, limits) && next_ms.is_none_or(|lapse_ms| lapse_ms <= now)
    }
}
