//! Makes, extends and releases the reservations of wide gangs.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::config::AdviceTimings;
use crate::endpoint::{Endpoint, EndpointKey};
use crate::ids::{JobId, Millis};
use crate::planner::ask::endpoints_per_call;
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::Planner;
use crate::policy::order::may_be_of_value;
use crate::policy::placement::pick_endpoints;
use crate::policy::reservation::{
    backfill_until_ms, latest_end_ms, may_reserve, spare_endpoints, GangReservation, PoolUsage,
    Reservation,
};
use crate::resources::Resources;
use crate::tasks::StepKey;

impl Planner {
    /// Returns when a run of a step that starts now is certain to have ended.
    pub(super) fn latest_end_ms(&self, request: &StepRequest) -> Option<Millis> {
        latest_end_ms(request.step(), self.now)
    }

    /// Begins to reserve resources for a gang, if it may. Returns whether it does.
    pub(super) fn begin_reservation(
        &mut self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
    ) -> bool {
        let job = self.jobs.get(&key.job);
        let Some((job, progress)) = job.and_then(|job| Some((job, job.step_progress(key)?))) else {
            return false;
        };
        let need = request.required_resources().times(progress.waiting());
        let may_reserve = self.limits.policies.reservations
            && request.step().gang
            && may_be_of_value(job, key, self.unix_ms)
            && may_reserve(need, self.pool_usage(pass, request));
        if may_reserve {
            let reservation = GangReservation::new(request.service.clone(), need, self.now);
            self.gang_reservations.insert(key, reservation);
        }
        may_reserve
    }

    fn pool_usage(&self, pass: &Pass, request: &StepRequest) -> PoolUsage {
        let pool = pass.pools.get(&request.service);
        let endpoints = pool
            .into_iter()
            .flatten()
            .map(|key| Resources::of_entry(&self.endpoints[*key].entry));
        let reservations = self.gang_reservations.values();
        let reserved = reservations.filter(|reservation| reservation.service == request.service);
        PoolUsage {
            capacity: endpoints.fold(Resources::default(), Resources::add),
            reserved: reserved
                .map(|reservation| reservation.need)
                .fold(Resources::default(), Resources::add),
        }
    }

    /// Extends the reservation of a gang by free resources of endpoints that it may use, until it
    /// covers all tasks. Releases it if it is too old.
    pub(super) fn extend_reservation(
        &mut self,
        key: StepKey,
        request: &StepRequest,
        timings: AdviceTimings,
    ) {
        let now = self.now;
        let Some(reservation) = self.gang_reservations.get(&key) else {
            return;
        };
        if now >= reservation.until_ms() {
            self.release_reservation(key);
            return;
        }
        let parts = self.extended_parts(key, request, reservation);
        let answered_ms = reservation
            .answered_ms
            .unwrap_or_else(|| now + timings.call_ms(endpoints_per_call(parts.len())));
        for (endpoint, tasks) in &parts {
            let part = Reservation {
                step: key,
                resources: request.required_resources().times(*tasks),
                backfill_until_ms: backfill_until_ms(answered_ms, timings),
                until_ms: reservation.until_ms(),
            };
            self.endpoints[*endpoint].reservations.insert(part, now);
        }
        if let Some(reservation) = self.gang_reservations.get_mut(&key) {
            reservation.parts = parts;
        }
    }

    /// Returns the parts of a reservation without those on endpoints that accept no work any more,
    /// and with parts for the tasks that it does not cover.
    fn extended_parts(
        &self,
        key: StepKey,
        request: &StepRequest,
        reservation: &GangReservation,
    ) -> BTreeMap<EndpointKey, u32> {
        let mut parts = reservation.parts.clone();
        let job = self.jobs.get(&key.job);
        let Some(progress) = job.and_then(|job| job.step_progress(key)) else {
            return parts;
        };
        parts.retain(|endpoint, _| {
            let endpoint = self.endpoints.get(*endpoint);
            endpoint.is_some_and(|endpoint| endpoint.accepts_work(self.now, &self.limits))
        });
        let missing = progress.waiting().saturating_sub(parts.values().sum());
        if missing == 0 {
            return parts;
        }
        let need = request.required_resources();
        let allowed = progress.advice.allowed_endpoints().collect();
        let mut offers = self.usable_offers(allowed, key, request, Endpoint::accepts_work);
        for offer in &mut offers {
            let own = parts.get(&offer.endpoint).copied().unwrap_or(0);
            offer.free = offer.free.minus(need.times(own));
            offer.max_new_tasks = offer.max_new_tasks.saturating_sub(own);
        }
        for endpoint in pick_endpoints(&mut offers, need, missing, request.latency_class) {
            *parts.entry(endpoint).or_default() += 1;
        }
        parts
    }

    /// Determines which endpoints the next calls for a gang name, if its reservation covers all
    /// tasks and the tickets of the calls before have expired.
    pub(super) fn name_reserved_endpoints(
        &mut self,
        key: StepKey,
        request: &StepRequest,
        timings: AdviceTimings,
    ) {
        let now = self.now;
        let job = self.jobs.get(&key.job);
        let progress = job.and_then(|job| job.step_progress(key));
        let (Some(progress), Some(reservation)) = (progress, self.gang_reservations.get(&key))
        else {
            return;
        };
        let covered: u32 = reservation.parts.values().sum();
        if reservation.has_tickets(now, timings) || covered < progress.waiting() {
            return;
        }
        let mut named: Vec<EndpointKey> = reservation.parts.keys().copied().collect();
        let allowed = progress.advice.allowed_endpoints();
        let others = allowed.filter(|endpoint| !reservation.parts.contains_key(endpoint));
        let need = request.required_resources();
        let mut others = self.usable_offers(others.collect(), key, request, Endpoint::accepts_work);
        others.sort_by_key(|offer| Reverse(offer.max_fitting(need)));
        let others = others.iter().map(|offer| offer.endpoint);
        named.extend(others.take(spare_endpoints(named.len())));
        if let Some(reservation) = self.gang_reservations.get_mut(&key) {
            let call_ms = timings.call_ms(endpoints_per_call(named.len()));
            reservation.answered_ms = Some(now + call_ms);
            reservation.named = named;
        }
    }

    /// Returns the endpoints that the next call for a gang names: those that are not asked about and
    /// will have no ticket when its calls should be answered.
    pub(super) fn reserved_without_ticket(&self, key: StepKey) -> Vec<EndpointKey> {
        let job = self.jobs.get(&key.job);
        let progress = job.and_then(|job| job.step_progress(key));
        let (Some(progress), Some(reservation)) = (progress, self.gang_reservations.get(&key))
        else {
            return Vec::new();
        };
        let advice = &progress.advice;
        let used_ms = reservation.answered_ms.unwrap_or(0).max(self.now);
        let missing = reservation.named.iter().filter(|endpoint| {
            !advice.is_asking(**endpoint) && advice.ticket(**endpoint, used_ms).is_none()
        });
        let max_endpoints = endpoints_per_call(reservation.named.len());
        missing.take(max_endpoints).copied().collect()
    }

    /// Releases what is reserved for a step.
    pub(super) fn release_reservation(&mut self, key: StepKey) {
        let Some(reservation) = self.gang_reservations.remove(&key) else {
            return;
        };
        log::info!(
            step:% = key, age_ms = self.now.saturating_sub(reservation.begun_ms),
            cpu_milli = reservation.need.cpu_milli, endpoints = reservation.parts.len(),
            tasks = reservation.parts.values().sum::<u32>(), asked = reservation.answered_ms.is_some();
            "reservation released"
        );
        for endpoint in reservation.parts.keys() {
            if let Some(endpoint) = self.endpoints.get_mut(*endpoint) {
                endpoint.reservations.remove(key);
            }
        }
        self.schedule_due = true;
    }

    /// Releases what is reserved for the steps of a job.
    pub(super) fn release_reservations(&mut self, id: JobId) {
        let steps = self.gang_reservations.keys();
        let steps: Vec<StepKey> = steps.filter(|key| key.job == id).copied().collect();
        for key in steps {
            self.release_reservation(key);
        }
    }
}
