//! Limits that give way for a step that has been passed over.
//!
//! A limit is hard if a start beyond it could fail or break a promise: capacity, labels, the most tasks
//! per endpoint, leases, departures, tickets, quotas and the barrier after a takeover. All others are
//! soft. They prefer some endpoints or some steps over others, and each is right only most of the time,
//! so each gives way for a step that has stood with room for some time. Resources that one of them
//! keeps count as room:
//!
//! - the pause and the trials of a quarantine,
//! - reservations of endpoints for isolated tasks,
//! - what overdue work leaves to steps with worth,
//! - headroom for latency-sensitive work,
//! - capacity that is kept during the calls for advice of gangs.
//!
//! The wait of an isolated task for an empty endpoint is hard, because only crashes there convict it.

use crate::endpoint::Exclusion;
use crate::ids::Millis;
use crate::policy::pass_interval::MAX_INTERVAL_MS;

/// Time for which a step with room waits until soft limits give way. Callers expect a start within
/// 3 s, and a call for advice can take half of that.
const YIELD_AFTER_MS: Millis = 1_500;
/// Time after which the step's calls for advice name endpoints beyond the soft limits, so that it has
/// their tickets when the limits give way.
const ASK_AFTER_MS: Millis = 500;

/// Reciprocal of the share of the endpoints that a step may use, up to which quarantines are taken to
/// be right.
const QUARANTINED_FRACTION: usize = 5;

/// Returns whether so many endpoints are quarantined that these are not the cause of the failures, or
/// that too few others are left.
pub(crate) const fn is_wide(quarantined: usize, all: usize) -> bool {
    quarantined * QUARANTINED_FRACTION > all
}

/// Limits that apply to a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppliedLimits {
    /// All.
    All,
    /// Only the hard ones.
    Hard,
}

impl AppliedLimits {
    /// Returns the limits for starts of a step that has been passed over for a time.
    pub(crate) const fn for_starts(passed_over_ms: Millis) -> Self {
        Self::from(passed_over_ms, YIELD_AFTER_MS)
    }

    /// Returns the limits for calls for advice of a step that has been passed over for a time.
    pub(crate) const fn for_advice(passed_over_ms: Millis) -> Self {
        Self::from(passed_over_ms, ASK_AFTER_MS)
    }

    const fn from(passed_over_ms: Millis, yield_after_ms: Millis) -> Self {
        if passed_over_ms < yield_after_ms {
            Self::All
        } else {
            Self::Hard
        }
    }

    /// Returns whether soft limits apply.
    pub(crate) fn include_soft(self) -> bool {
        self == Self::All
    }

    /// Returns whether they exclude an endpoint for this reason.
    pub(crate) fn exclude(self, exclusion: Exclusion) -> bool {
        self.include_soft() || !is_soft(exclusion)
    }
}

/// Returns whether an exclusion gives way.
pub(crate) const fn is_soft(exclusion: Exclusion) -> bool {
    match exclusion {
        Exclusion::Quarantined | Exclusion::OnTrial | Exclusion::Reserved => true,
        Exclusion::NotListed
        | Exclusion::NotRostered
        | Exclusion::NotContacted
        | Exclusion::ListsIncomplete
        | Exclusion::LeasesLapsed
        | Exclusion::OtherIncarnation
        | Exclusion::Leaving
        | Exclusion::Silent
        | Exclusion::CapacityNotKnown
        | Exclusion::SizesNotKnown
        | Exclusion::StartPause
        | Exclusion::ExclusiveRun => false,
    }
}

/// How long a step has had room without starting.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RoomWait {
    since_ms: Option<Millis>,
    checked_ms: Millis,
}

/// Interval between checks of a step's room, which visit all endpoints of its pool.
const CHECK_INTERVAL_MS: Millis = 100;
/// Longest time between two checks over which the wait counts: two passes over all open steps. A step
/// without quota is not checked.
const MAX_CHECK_GAP_MS: Millis = 2 * MAX_INTERVAL_MS;

impl RoomWait {
    /// Returns whether the step's room is to be checked again.
    pub(crate) const fn check_due(&self, now: Millis) -> bool {
        now.saturating_sub(self.checked_ms) >= CHECK_INTERVAL_MS
    }

    /// Records whether the step has room although it waits.
    pub(crate) fn record(&mut self, now: Millis, has_room: bool) {
        let recent = now.saturating_sub(self.checked_ms) < MAX_CHECK_GAP_MS;
        let since_ms = self.since_ms.filter(|_| recent).unwrap_or(now);
        self.since_ms = has_room.then_some(since_ms);
        self.checked_ms = now;
    }

    /// Returns how long it has been passed over.
    pub(crate) fn for_ms(&self, now: Millis) -> Millis {
        self.since_ms
            .map_or(0, |since_ms| now.saturating_sub(since_ms))
    }
}
