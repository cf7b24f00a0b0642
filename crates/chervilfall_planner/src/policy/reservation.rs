//! Reservations with backfilling, for gangs that wait for their tickets.
//!
//! A gang starts all its tasks at once, and each start needs a ticket that is valid for little
//! longer than the call for it takes. Narrower work takes what is free at once, so a wide gang finds
//! its resources gone whenever its tickets arrive, and asks anew. A gang therefore reserves the
//! resources that its call for tickets is about. It is known when the call will be answered, so
//! other work may still use them (backfill) if it is certain to end in time.

use std::collections::BTreeMap;

use crate::config::{AdviceTimings, ServiceName};
use crate::endpoint::EndpointKey;
use crate::ids::Millis;
use crate::job::Step;
use crate::resources::Resources;
use crate::tasks::StepKey;

/// Factor by which a run may exceed its estimate.
const ESTIMATE_FACTOR: Millis = 2;
/// Time until the planner learns of the end of a run, with a reserve.
const END_REPORT_MS: Millis = 150;
/// Share of the validity of tickets, as a divisor, within which backfilled runs must end. The rest
/// is left for the starts.
const BACKFILL_DIVISOR: Millis = 2;
/// Maximum share of a pool's CPU that is reserved at a time, as a divisor.
const POOL_DIVISOR: u64 = 8;
/// Time after which a reservation is given up, so that gangs cannot block each other.
const MAX_RESERVATION_MS: Millis = 6_000;
/// Number of reserved endpoints for each spare one that a call names in addition.
const ENDPOINTS_PER_SPARE: usize = 8;

/// Resources of an endpoint that are reserved for a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reservation {
    pub(crate) step: StepKey,
    pub(crate) resources: Resources,
    /// Runs of other steps may use the resources if they are certain to have ended by then.
    pub(crate) backfill_until_ms: Millis,
    pub(crate) until_ms: Millis,
}

/// The reservations of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Reservations(Vec<Reservation>);

impl Reservations {
    /// Adds a reservation, in place of an earlier one of the same step.
    pub(crate) fn insert(&mut self, reservation: Reservation, now: Millis) {
        self.0
            .retain(|other| other.step != reservation.step && now < other.until_ms);
        self.0.push(reservation);
    }

    /// Removes the reservation of a step.
    pub(crate) fn remove(&mut self, step: StepKey) {
        self.0.retain(|reservation| reservation.step != step);
    }

    fn in_force(&self, now: Millis) -> impl Iterator<Item = &Reservation> {
        self.0.iter().filter(move |other| now < other.until_ms)
    }

    fn in_force_for_others(
        &self,
        step: StepKey,
        now: Millis,
    ) -> impl Iterator<Item = &Reservation> {
        self.in_force(now).filter(move |other| other.step != step)
    }

    /// Returns whether a reservation of a step is in force.
    pub(crate) fn is_for(&self, step: StepKey, now: Millis) -> bool {
        self.in_force(now)
            .any(|reservation| reservation.step == step)
    }

    /// Returns whether a reservation of another step is in force.
    pub(crate) fn is_for_others(&self, step: StepKey, now: Millis) -> bool {
        self.in_force_for_others(step, now).next().is_some()
    }

    /// Returns what is reserved for all steps.
    pub(crate) fn total(&self, now: Millis) -> Resources {
        sum(self.in_force(now))
    }

    /// Returns what a run of `step` must leave free: what is reserved for others, except where the
    /// run is certain to have ended before they need it.
    pub(crate) fn closed_to(
        &self,
        step: StepKey,
        latest_end_ms: Option<Millis>,
        now: Millis,
    ) -> Resources {
        let others = self.in_force_for_others(step, now);
        sum(others
            .filter(|other| latest_end_ms.is_none_or(|end_ms| end_ms > other.backfill_until_ms)))
    }
}

fn sum<'a>(reservations: impl Iterator<Item = &'a Reservation>) -> Resources {
    let resources = reservations.map(|reservation| reservation.resources);
    resources.fold(Resources::default(), Resources::add)
}

/// The reservation of a gang.
#[derive(Debug)]
pub(crate) struct GangReservation {
    pub(crate) service: ServiceName,
    /// Resources of all its tasks.
    pub(crate) need: Resources,
    pub(crate) begun_ms: Millis,
    /// Number of tasks for which resources are reserved, by endpoint.
    pub(crate) parts: BTreeMap<EndpointKey, u32>,
    /// Endpoints that its latest calls name.
    pub(crate) named: Vec<EndpointKey>,
    /// When these calls should be answered; none before the first.
    pub(crate) answered_ms: Option<Millis>,
}

impl GangReservation {
    pub(crate) fn new(service: ServiceName, need: Resources, now: Millis) -> Self {
        Self {
            service,
            need,
            begun_ms: now,
            parts: BTreeMap::new(),
            named: Vec::new(),
            answered_ms: None,
        }
    }

    /// Returns when it is given up.
    pub(crate) const fn until_ms(&self) -> Millis {
        self.begun_ms + MAX_RESERVATION_MS
    }

    /// Returns whether tickets of its latest calls are expected or may still be valid.
    pub(crate) fn has_tickets(&self, now: Millis, timings: AdviceTimings) -> bool {
        let answered_ms = self.answered_ms;
        answered_ms.is_some_and(|answered_ms| now < answered_ms + timings.valid_ms)
    }
}

/// Capacity of a pool, and how much of it is reserved.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PoolUsage {
    pub(crate) capacity: Resources,
    pub(crate) reserved: Resources,
}

/// Returns whether a gang may reserve `need`: what is reserved must stay below a share of the pool.
/// One gang may always reserve.
pub(crate) fn may_reserve(need: Resources, pool: PoolUsage) -> bool {
    let reserved = pool.reserved.add(need).cpu_milli;
    let within_share = reserved <= pool.capacity.cpu_milli / POOL_DIVISOR;
    within_share || pool.reserved == Resources::default()
}

/// Returns when a run of a step that starts now is certain to have ended, if that is known.
pub(crate) const fn latest_end_ms(step: &Step, now: Millis) -> Option<Millis> {
    if step.estimate_ms == 0 || step.long_running {
        return None;
    }
    Some(now + step.estimate_ms * ESTIMATE_FACTOR + END_REPORT_MS)
}

/// Returns when backfilled runs must have ended if the tickets arrive at `answered_ms`.
pub(crate) const fn backfill_until_ms(answered_ms: Millis, timings: AdviceTimings) -> Millis {
    answered_ms + timings.valid_ms / BACKFILL_DIVISOR
}

/// Returns how many endpoints a call names in addition to `reserved` ones.
pub(crate) const fn spare_endpoints(reserved: usize) -> usize {
    1 + reserved / ENDPOINTS_PER_SPARE
}
