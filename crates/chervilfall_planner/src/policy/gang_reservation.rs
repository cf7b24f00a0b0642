//! Room reserved for a gang from the time at which it should be free.
//!
//! A gang starts only if all of its members fit at the same moment. On a fleet that is nearly full,
//! a wide gang that waits for this by chance is passed over by narrower ones again and again. As in
//! schedulers with backfilling, the room is therefore reserved from the time at which the runs in
//! the way should have ended: other work may use it until then, or beside the gang.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::endpoint::EndpointKey;
use crate::ids::Millis;
use crate::resources::Resources;

/// Number of gangs that have a reservation in a pool at the same time.
pub(crate) const MAX_RESERVATIONS: usize = 4;
/// Part of a pool's CPU that is reserved at a time, as a divisor. Other work is not starved, and
/// one of the widest gangs fits.
const POOL_DIVISOR: u64 = 8;
/// Estimates of work are off by a factor of up to about two, so a run is sure to have ended after
/// this multiple of its estimate.
const SURE_FACTOR: Millis = 2;
/// Part of the time for which tickets are valid, as a divisor, by which latency-sensitive work may
/// delay a gang.
const DELAY_DIVISOR: Millis = 2;

/// Returns whether `wanted` CPU may be reserved in a pool with this capacity in addition to what is
/// reserved there already.
#[must_use]
pub const fn may_reserve(
    reserved_cpu_milli: u64,
    wanted_cpu_milli: u64,
    capacity_cpu_milli: u64,
) -> bool {
    reserved_cpu_milli + wanted_cpu_milli <= capacity_cpu_milli / POOL_DIVISOR
}

/// What an endpoint is expected to have free for a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointForecast {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// What is free now.
    pub free: Resources,
    /// When runs should end, and what they release.
    pub ends: Vec<(Millis, Resources)>,
    /// Maximum number of members of the gang.
    pub max_members: u32,
}

impl EndpointForecast {
    /// Returns what should be free at a time, if nothing else is started.
    #[must_use]
    pub fn free_at(&self, at_ms: Millis) -> Resources {
        let ended = self.ends.iter().filter(|(end_ms, _)| *end_ms <= at_ms);
        ended.fold(self.free, |free, (_, released)| free.add(*released))
    }

    /// Returns how many members should fit at a time, if each needs `need`.
    #[must_use]
    pub fn members_at(&self, at_ms: Millis, need: Resources) -> u32 {
        self.free_at(at_ms).max_fitting(need).min(self.max_members)
    }
}

/// What a gang needs to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GangNeed {
    /// Number of members.
    pub members: u32,
    /// Resources of a member.
    pub each: Resources,
    /// When it can start at the earliest.
    pub earliest_ms: Millis,
    /// Maximum number of endpoints.
    pub max_endpoints: usize,
}

/// Room for all members of a gang.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Room {
    /// When it should be free.
    pub at_ms: Millis,
    /// Number of members on each endpoint.
    pub members: BTreeMap<EndpointKey, u32>,
}

/// Returns the earliest room for a gang; none if the endpoints never have it.
#[must_use]
pub fn earliest_room(forecasts: &[EndpointForecast], need: GangNeed) -> Option<Room> {
    let mut at_ms = need.earliest_ms;
    let members = |forecast: &EndpointForecast, at_ms| forecast.members_at(at_ms, need.each);
    let fitting = forecasts.iter().map(|forecast| members(forecast, at_ms));
    let mut fitting: Vec<u32> = fitting.collect();
    let mut total: u64 = fitting.iter().map(|members| u64::from(*members)).sum();
    let mut ends = later_ends(forecasts, at_ms).into_iter().peekable();
    loop {
        if total >= u64::from(need.members) {
            if let Some(members) = pick(forecasts, &fitting, need) {
                return Some(Room { at_ms, members });
            }
        }
        at_ms = ends.peek()?.0;
        while let Some((_, index)) = ends.next_if(|(end_ms, _)| *end_ms == at_ms) {
            let now_fitting = members(&forecasts[index], at_ms);
            total += u64::from(now_fitting - fitting[index]);
            fitting[index] = now_fitting;
        }
    }
}

/// Returns when runs end after a time, with the indices of their endpoints, in order.
fn later_ends(forecasts: &[EndpointForecast], after_ms: Millis) -> Vec<(Millis, usize)> {
    let ends = forecasts.iter().enumerate().flat_map(|(index, forecast)| {
        let ends = forecast
            .ends
            .iter()
            .map(move |(end_ms, _)| (*end_ms, index));
        ends.filter(|(end_ms, _)| *end_ms > after_ms)
    });
    let mut ends: Vec<(Millis, usize)> = ends.collect();
    ends.sort_unstable();
    ends
}

/// Picks the endpoints with room for the most members, because a call that names few endpoints is
/// short; none if too many would be needed.
fn pick(
    forecasts: &[EndpointForecast],
    fitting: &[u32],
    need: GangNeed,
) -> Option<BTreeMap<EndpointKey, u32>> {
    let mut order: Vec<usize> = (0..fitting.len()).collect();
    order.sort_by_key(|index| Reverse(fitting[*index]));
    let mut left = need.members;
    let mut picks = BTreeMap::new();
    for index in order.into_iter().take(need.max_endpoints) {
        let members = fitting[index].min(left);
        if members == 0 {
            break;
        }
        picks.insert(forecasts[index].endpoint, members);
        left -= members;
    }
    (left == 0).then_some(picks)
}

/// Work that may start on reserved room before the gang does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backfill {
    /// Estimated duration; 0 if it is unknown.
    pub estimate_ms: Millis,
    /// It is latency-sensitive.
    pub sensitive: bool,
}

impl Backfill {
    /// Returns whether the work may start now on room that is reserved from `at_ms`, if the gang's
    /// tickets are valid for `valid_ms`: it is sure to end before, or it is latency-sensitive and
    /// should end while the tickets are valid.
    #[must_use]
    pub const fn may_start(self, now: Millis, at_ms: Millis, valid_ms: Millis) -> bool {
        if self.estimate_ms == 0 {
            return false;
        }
        if self.sensitive {
            return now.saturating_add(self.estimate_ms) <= at_ms + valid_ms / DELAY_DIVISOR;
        }
        now.saturating_add(self.estimate_ms.saturating_mul(SURE_FACTOR)) <= at_ms
    }
}
