//! Reserves room for gangs that wait, and asks for their tickets so that they arrive in time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::config::{AdviceTimings, ServiceName};
use crate::endpoint::EndpointKey;
use crate::ids::{Millis, TaskKey};
use crate::metrics;
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::Planner;
use crate::policy::gang_reservation::{
    earliest_room, may_reserve, Backfill, EndpointForecast, GangNeed, Room, MAX_RESERVATIONS,
};
use crate::policy::placement::LatencyClass;
use crate::resources::Resources;
use crate::tasks::StepKey;

/// Time after which a gang that could not start gives its reservation up for another.
const MAX_AGE_MS: Millis = 10_000;
/// Pause before room for the same gang is sought again. Passes are 30 ms apart, and on a fleet of
/// 540 endpoints the search takes 0.1 ms of a core.
const SEARCH_PAUSE_MS: Millis = 200;
/// Endpoints named in a call in addition to those of the room, as a divisor of their number, since
/// some runs end later than expected.
const SPARE_DIVISOR: usize = 4;

/// Call for the tickets of reserved room.
#[derive(Debug)]
struct ReservationCall {
    number: u64,
    named: BTreeSet<EndpointKey>,
}

/// Room reserved for a gang.
#[derive(Debug)]
struct GangReservation {
    step: StepKey,
    service: ServiceName,
    since_ms: Millis,
    /// CPU of all members.
    cpu_milli: u64,
    /// For how long its tickets are valid; 0 if it needs none.
    valid_ms: Millis,
    plan: RoomPlan,
    /// Its call in flight.
    call: Option<ReservationCall>,
}

/// Where and when a gang should have room.
#[derive(Debug, Default)]
struct RoomPlan {
    room: Room,
    /// What other work may use of each endpoint beside the gang.
    beside: BTreeMap<EndpointKey, Resources>,
    /// The answer to a call made now should arrive when the room is free.
    call_due: bool,
}

/// Why a reservation ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReservationEnd {
    /// The gang has started.
    Started,
    /// It has not started for long.
    GivenUp,
    /// No room for it is known any more.
    NoRoom,
    /// It must not start any more.
    Closed,
}

impl ReservationEnd {
    const fn label(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::GivenUp => "given_up",
            Self::NoRoom => "no_room",
            Self::Closed => "closed",
        }
    }
}

/// The reservations in all pools.
#[derive(Debug, Default)]
pub(super) struct GangReservations {
    list: Vec<GangReservation>,
}

impl GangReservations {
    fn of(&self, step: StepKey) -> Option<&GangReservation> {
        self.list.iter().find(|own| own.step == step)
    }

    fn of_mut(&mut self, step: StepKey) -> Option<&mut GangReservation> {
        self.list.iter_mut().find(|own| own.step == step)
    }

    fn others(&self, step: StepKey) -> impl Iterator<Item = &GangReservation> {
        self.list.iter().filter(move |other| other.step != step)
    }

    fn in_pool<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a GangReservation> {
        self.list.iter().filter(move |own| own.service == service)
    }

    fn cpu_milli(&self, service: &str) -> u64 {
        self.in_pool(service).map(|own| own.cpu_milli).sum()
    }
}

impl Planner {
    /// Plans the room of reservations anew, ends those that are over, and makes further ones for
    /// gangs of the best rank.
    pub(super) fn update_gang_reservations(&mut self, pass: &Pass) {
        if !self.limits.policies.gang_reservation {
            return;
        }
        for mut reservation in std::mem::take(&mut self.gang_reservations.list) {
            match self.renew_reservation(pass, &mut reservation) {
                Ok(()) => self.gang_reservations.list.push(reservation),
                Err(end) => self.end_reservation(&reservation, end),
            }
        }
        for service in pass.pools.keys() {
            self.add_gang_reservations(pass, service);
            let cpu_milli = self.gang_reservations.cpu_milli(service);
            metrics::gang_reserved(service, cpu_milli);
        }
    }

    /// Plans the room of a reservation anew.
    ///
    /// # Errors
    ///
    /// Why the reservation ends.
    fn renew_reservation(
        &self,
        pass: &Pass,
        reservation: &mut GangReservation,
    ) -> Result<(), ReservationEnd> {
        let key = reservation.step;
        let job = self.jobs.get(&key.job);
        let progress = job.and_then(|job| job.step_progress(key));
        if progress.is_some_and(|progress| progress.placed > 0) {
            return Err(ReservationEnd::Started);
        }
        let request = self.reservation_request(key);
        let request = request.ok_or(ReservationEnd::Closed)?;
        if self.now.saturating_sub(reservation.since_ms) >= MAX_AGE_MS {
            return Err(ReservationEnd::GivenUp);
        }
        let call = reservation.call.take();
        reservation.call = call.filter(|call| self.advice_calls.contains_key(&call.number));
        let plan = self.plan_room(pass, key, &request, Some(reservation));
        reservation.plan = plan.ok_or(ReservationEnd::NoRoom)?;
        Ok(())
    }

    fn end_reservation(&mut self, reservation: &GangReservation, end: ReservationEnd) {
        metrics::gang_reservation(end.label());
        log::info!(
            step:% = reservation.step, outcome = end.label(), cpu_milli = reservation.cpu_milli,
            endpoints = reservation.plan.room.members.len(),
            for_ms = self.now.saturating_sub(reservation.since_ms);
            "reservation of room for a gang has ended"
        );
        self.pause_room_search(reservation.step);
    }

    fn pause_room_search(&mut self, key: StepKey) {
        let until_ms = self.now + SEARCH_PAUSE_MS;
        let job = self.jobs.get_mut(&key.job);
        if let Some(progress) = job.and_then(|job| job.step_progress_mut(key)) {
            progress.room_search_ms = until_ms;
        }
    }

    /// Returns what is needed to place a step, if room may be reserved for it: it is a gang that
    /// nothing but room keeps from starting, and still has worth. Room in one rack is not reserved.
    fn reservation_request(&self, key: StepKey) -> Option<StepRequest> {
        if !self.open.contains(key) || self.open.is_overdue(key) {
            return None;
        }
        let job = self.jobs.get(&key.job)?;
        let progress = job.step_progress(key)?;
        let behind_barrier = job.inherited && self.barrier.is_some();
        let step = job.spec.steps.get(key.step as usize)?;
        let may_start = step.gang
            && !step.same_rack
            && !behind_barrier
            && job.text.is_some()
            && progress.placed == 0
            && !progress.aborting
            && self.tasks_within_quota(key) >= progress.waiting();
        may_start.then(|| self.step_request(key))?
    }

    /// Reserves room for the waiting gangs of the best rank, as far as the limits of the pool allow.
    fn add_gang_reservations(&mut self, pass: &Pass, service: &str) {
        let pool = pass.pools.get(service).map_or(&[][..], Vec::as_slice);
        let capacity = pool.iter().map(|key| self.endpoints[*key].entry.cpu_milli);
        let capacity: u64 = capacity.map(u64::from).sum();
        let mut left =
            MAX_RESERVATIONS.saturating_sub(self.gang_reservations.in_pool(service).count());
        for key in self.open.keys() {
            if left == 0 {
                return;
            }
            left -= usize::from(self.add_gang_reservation(pass, service, key, capacity));
        }
    }

    /// Reserves room for a gang if that is possible. Returns whether it has been.
    fn add_gang_reservation(
        &mut self,
        pass: &Pass,
        service: &str,
        key: StepKey,
        capacity_cpu_milli: u64,
    ) -> bool {
        if self.has_reservation(key) {
            return false;
        }
        let Some(request) = self.reservation_request(key) else {
            return false;
        };
        let job = self.jobs.get(&key.job);
        let Some(progress) = job.and_then(|job| job.step_progress(key)) else {
            return false;
        };
        if request.service != service || self.now < progress.room_search_ms {
            return false;
        }
        let members = progress.waiting();
        let cpu_milli = request.required_resources().times(members).cpu_milli;
        let reserved = self.gang_reservations.cpu_milli(service);
        if !may_reserve(reserved, cpu_milli, capacity_cpu_milli)
            || !self.waiting_tasks(key).none_suspect()
        {
            return false;
        }
        let Some(plan) = self.plan_room(pass, key, &request, None) else {
            self.pause_room_search(key);
            return false;
        };
        log::info!(
            step:% = key, width = members, cpu_milli = cpu_milli,
            endpoints = plan.room.members.len(),
            in_ms = plan.room.at_ms.saturating_sub(self.now);
            "room is reserved for a gang"
        );
        self.gang_reservations.list.push(GangReservation {
            step: key,
            service: service.to_owned(),
            since_ms: self.now,
            cpu_milli,
            valid_ms: request.advice.map_or(0, |timings| timings.valid_ms),
            plan,
            call: None,
        });
        true
    }

    /// Plans when and where a gang should have room: on endpoints whose tickets are on their way or
    /// valid until then, or else on any that it may use, after a call.
    fn plan_room(
        &self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
        reservation: Option<&GangReservation>,
    ) -> Option<RoomPlan> {
        let pool = pass.pools.get(&request.service)?;
        let job = self.jobs.get(&key.job)?;
        let advice = &job.step_progress(key)?.advice;
        let Some(timings) = request.advice else {
            return self.room_in(pool, key, request, self.now);
        };
        let call = reservation.and_then(|reservation| reservation.call.as_ref());
        if let Some(call) = call {
            let named: Vec<EndpointKey> = call.named.iter().copied().collect();
            if let Some(plan) = self.room_in(&named, key, request, self.now) {
                return Some(plan);
            }
        } else if advice.any_ticket(self.now) {
            let ticketed: Vec<EndpointKey> = advice.ticketed(self.now).collect();
            let plan = self.room_in(&ticketed, key, request, self.now);
            let covered = |plan: &RoomPlan| {
                let mut members = plan.room.members.keys();
                members.all(|endpoint| advice.ticket(*endpoint, plan.room.at_ms).is_some())
            };
            if let Some(plan) = plan.filter(covered) {
                return Some(plan);
            }
        }
        let allowed = pool.iter().copied().filter(|key| advice.allowed(*key));
        let allowed: Vec<EndpointKey> = allowed.collect();
        let planned = reservation.map(|reservation| reservation.plan.room.members.len());
        let endpoints = planned.unwrap_or(request.step().count as usize / 2);
        let answered_ms = self.now + timings.call_ms(self.endpoints_with_spares(endpoints));
        let mut plan = self.room_in(&allowed, key, request, answered_ms)?;
        plan.call_due = call.is_none() && plan.room.at_ms <= answered_ms;
        Some(plan)
    }

    fn endpoints_with_spares(&self, endpoints: usize) -> usize {
        (endpoints + endpoints / SPARE_DIVISOR).min(self.limits.advice_endpoints)
    }

    /// Returns the earliest room for a gang on some endpoints, leaving what is reserved for others.
    fn room_in(
        &self,
        endpoints: &[EndpointKey],
        key: StepKey,
        request: &StepRequest,
        earliest_ms: Millis,
    ) -> Option<RoomPlan> {
        let job = self.jobs.get(&key.job)?;
        let each = request.required_resources();
        let need = GangNeed {
            members: job.step_progress(key)?.waiting(),
            each,
            earliest_ms,
            max_endpoints: self.limits.advice_endpoints,
        };
        let forecasts = endpoints.iter();
        let forecasts = forecasts.filter_map(|endpoint| self.forecast_for(*endpoint, key, request));
        let forecasts: Vec<EndpointForecast> = forecasts.collect();
        let room = earliest_room(&forecasts, need)?;
        let beside = forecasts.iter().filter_map(|forecast| {
            let members = room.members.get(&forecast.endpoint)?;
            let free = forecast.free_at(room.at_ms);
            Some((forecast.endpoint, free.minus(each.times(*members))))
        });
        Some(RoomPlan {
            beside: beside.collect(),
            room,
            call_due: false,
        })
    }

    /// Returns what an endpoint is expected to have free for a gang; none if the gang cannot use it,
    /// or if it is reserved for another gang.
    fn forecast_for(
        &self,
        endpoint_key: EndpointKey,
        key: StepKey,
        request: &StepRequest,
    ) -> Option<EndpointForecast> {
        let endpoint = self.endpoints.get(endpoint_key)?;
        let mut others = self.gang_reservations.others(key);
        if !endpoint.accepts_work(self.now, &self.limits)
            || others.any(|other| other.plan.beside.contains_key(&endpoint_key))
        {
            return None;
        }
        let offer = self.offer(endpoint_key, endpoint, key, request.step(), false)?;
        let ends = endpoint.placed.iter().map(|(task, run)| {
            let rest_ms = self.expected_rest_ms(*task, run);
            (self.now.saturating_add(rest_ms), run.resources)
        });
        Some(EndpointForecast {
            endpoint: endpoint_key,
            free: endpoint.free(),
            ends: ends.filter(|(end_ms, _)| *end_ms < Millis::MAX).collect(),
            max_members: offer.max_new_tasks.min(request.step().count),
        })
    }

    /// Returns whether room is reserved for a step.
    pub(super) fn has_reservation(&self, key: StepKey) -> bool {
        self.gang_reservations.of(key).is_some()
    }

    /// Calls for the tickets of reserved room so that they arrive when it should be free. Returns
    /// whether the call was made.
    pub(super) fn request_reserved_advice(
        &mut self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
        timings: AdviceTimings,
    ) -> bool {
        let reservation = self.gang_reservations.of(key);
        let due = reservation.filter(|own| own.plan.call_due && own.call.is_none());
        let Some(room) = due.map(|reservation| &reservation.plan.room) else {
            return false;
        };
        let mut named: Vec<EndpointKey> = room.members.keys().copied().collect();
        let spares = self.endpoints_with_spares(named.len()) - named.len();
        named.extend(self.spare_endpoints(pass, key, request, room, spares));
        if !self.request_advice(key, timings, &named) {
            return false;
        }
        let call = ReservationCall {
            number: self.next_advice,
            named: named.into_iter().collect(),
        };
        if let Some(reservation) = self.gang_reservations.of_mut(key) {
            reservation.call = Some(call);
        }
        true
    }

    /// Returns the endpoints outside a gang's room that should have the most room for it then.
    fn spare_endpoints(
        &self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
        room: &Room,
        count: usize,
    ) -> Vec<EndpointKey> {
        let job = self.jobs.get(&key.job);
        let Some(progress) = job.and_then(|job| job.step_progress(key)) else {
            return Vec::new();
        };
        let pool = pass
            .pools
            .get(&request.service)
            .map_or(&[][..], Vec::as_slice);
        let unused = pool.iter().filter(|endpoint| {
            progress.advice.allowed(**endpoint) && !room.members.contains_key(*endpoint)
        });
        let need = request.required_resources();
        let spares = unused.filter_map(|endpoint| {
            let forecast = self.forecast_for(*endpoint, key, request)?;
            let members = forecast.members_at(room.at_ms, need);
            (members > 0).then_some((Reverse(members), *endpoint))
        });
        let mut spares: Vec<(Reverse<u32>, EndpointKey)> = spares.collect();
        spares.sort_unstable();
        let spares = spares.into_iter().map(|(_, endpoint)| endpoint);
        spares.take(count).collect()
    }

    /// Returns what a step may use of an endpoint's free resources.
    pub(super) fn free_for(
        &self,
        endpoint_key: EndpointKey,
        key: StepKey,
        request: &StepRequest,
    ) -> Resources {
        let work = Backfill {
            estimate_ms: request.step().estimate_ms,
            sensitive: request.latency_class == LatencyClass::Sensitive,
        };
        let free = self.endpoints[endpoint_key].free();
        let mut others = self.gang_reservations.others(key);
        let other = others.find_map(|other| {
            let beside = other.plan.beside.get(&endpoint_key)?;
            Some((other, *beside))
        });
        match other {
            Some((other, beside))
                if !work.may_start(self.now, other.plan.room.at_ms, other.valid_ms) =>
            {
                free.min(beside)
            }
            _ => free,
        }
    }

    /// Records that a task was placed on an endpoint, where it may use room beside a gang.
    pub(super) fn note_placed_beside(
        &mut self,
        endpoint: EndpointKey,
        task: TaskKey,
        resources: Resources,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.spec.steps.get(task.step as usize);
        let work = Backfill {
            estimate_ms: step.map_or(0, |step| step.estimate_ms),
            sensitive: LatencyClass::of(job) == LatencyClass::Sensitive,
        };
        let now = self.now;
        let others = self.gang_reservations.list.iter_mut();
        for other in others.filter(|other| other.step != task.step_key()) {
            if work.may_start(now, other.plan.room.at_ms, other.valid_ms) {
                continue;
            }
            if let Some(beside) = other.plan.beside.get_mut(&endpoint) {
                *beside = beside.minus(resources);
            }
        }
    }
}
