//! Selects the endpoints that a step asks the advice service about.

use crate::advice::Advice;
use crate::endpoint::EndpointKey;
use crate::job::Step;
use crate::metrics;
use crate::planner::offers::{JudgedStep, Reservations};
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::Planner;
use crate::policy::advice_size::{call_size, CallNeed, GrantShare};
use crate::policy::naming::{NamingCandidate, NamingOrder, NamingRank};
use crate::policy::placement::Offer;
use crate::resources::Resources;
use crate::tasks::{StepKey, StepProgress};

/// Minimum number of endpoints named in a step's first call for advice, if there are that many.
const MIN_ENDPOINTS_PER_CALL: u32 = 30;
/// Endpoints named in a call per waiting task. About a quarter of the endpoints may run a step.
const ENDPOINTS_PER_WAITING_TASK: u32 = 8;
/// Maximum number of calls in flight for one gang. Tickets are valid for little longer than a slow
/// call takes, so a gang that needs the tickets of several calls must make them in parallel.
const MAX_GANG_CALLS: usize = 3;
/// Multiple of its room for which a gang renews tickets, because other work takes some meanwhile.
const RENEWED_ROOM_FACTOR: u64 = 2;

/// Returns how many calls for a step may be in flight.
pub(super) const fn max_calls_in_flight(step: &Step) -> usize {
    if step.gang {
        MAX_GANG_CALLS
    } else {
        1
    }
}

impl Planner {
    /// Requests advice on endpoints that were not asked about for the step yet, or refreshes the
    /// tickets of allowed endpoints with free capacity. Returns whether a call was made.
    pub(super) fn request_advice_for_step(
        &mut self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
    ) -> bool {
        let Some(timings) = request.advice else {
            return false;
        };
        let pool = pass.pool(request);
        let Some(progress) = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.step_progress(key))
        else {
            return false;
        };
        let waiting = progress.waiting();
        if waiting == 0 {
            return false;
        }
        let need = request.required_resources();
        let enough = if request.step().gang {
            u64::from(waiting)
        } else {
            1
        };
        let usable = self.allowed_offers(pool, key, request, &progress.advice);
        let calls_in_flight = progress.advice.calls_in_flight();
        if calls_in_flight >= max_calls_in_flight(request.step()) {
            return false;
        }
        if room(&usable, need) >= enough {
            let wanted = self.tickets_wanted(&usable, need, waiting);
            let named = self.tickets_to_renew(&progress.advice, &wanted);
            let Some(call) = self.request_advice(key, timings, &named) else {
                return false;
            };
            self.keep_for_gang(pass, key, request, call, named);
            return true;
        }
        // The call that the hold is for names enough endpoints.
        if self.has_call_hold(key) {
            return false;
        }
        let max_endpoints =
            (waiting * ENDPOINTS_PER_WAITING_TASK).max(MIN_ENDPOINTS_PER_CALL) as usize;
        let left = max_endpoints.saturating_sub(progress.advice.endpoints_in_calls());
        // Most of a call's duration does not depend on the number of endpoints named.
        if calls_in_flight > 0 && left < MIN_ENDPOINTS_PER_CALL as usize {
            return false;
        }
        let left = left.min(self.limits.advice_endpoints);
        let mut named = self.unknown_by_free_capacity(pool, &progress.advice, key, request, left);
        let size = self.call_size(key, &progress.advice, request.step(), &usable, &named);
        let spared = named.len() - size;
        named.truncate(size);
        let called = self.request_advice(key, timings, &named).is_some();
        if called {
            metrics::advice_endpoints_spared(spared);
        }
        called
    }

    /// Returns for how many tasks of a step the endpoints that it is allowed have room, as calls for
    /// advice count it.
    pub(super) fn room_for_advice(
        &self,
        pool: &[EndpointKey],
        key: StepKey,
        request: &StepRequest,
        advice: &Advice,
    ) -> u64 {
        let offers = self.allowed_offers(pool, key, request, advice);
        room(&offers, request.required_resources())
    }

    /// Returns what the endpoints offer that a step is allowed and could use now with a ticket.
    fn allowed_offers(
        &self,
        pool: &[EndpointKey],
        key: StepKey,
        request: &StepRequest,
        advice: &Advice,
    ) -> Vec<Offer> {
        let need = request.required_resources();
        let allowed = pool.iter().filter(|key| advice.allowed(**key));
        let allowed = allowed.copied().collect();
        let mut offers = self.usable_offers(allowed, key, request, Reservations::All);
        offers.retain(|offer| offer.max_fitting(need) > 0);
        offers
    }

    /// Returns the endpoints of which a step needs valid tickets at the same time: as many as a call
    /// names, or more for a gang that needs more.
    fn tickets_wanted(&self, usable: &[Offer], need: Resources, waiting: u32) -> Vec<EndpointKey> {
        let wanted_room = u64::from(waiting) * RENEWED_ROOM_FACTOR;
        let mut wanted = Vec::new();
        let mut room = 0;
        for offer in usable {
            if wanted.len() >= self.limits.advice_endpoints && room >= wanted_room {
                break;
            }
            room += u64::from(offer.max_fitting(need));
            wanted.push(offer.endpoint);
        }
        wanted
    }

    /// Returns the endpoints that the next call names to renew tickets; none if all are valid or asked
    /// for.
    fn tickets_to_renew(&self, advice: &Advice, wanted: &[EndpointKey]) -> Vec<EndpointKey> {
        let lacks_ticket = |key: &EndpointKey| advice.ticket(*key, self.now).is_none();
        // One call names all of them, so that their tickets expire together.
        if wanted.len() <= self.limits.advice_endpoints {
            let due = advice.calls_in_flight() == 0 && wanted.iter().any(lacks_ticket);
            return if due { wanted.to_vec() } else { Vec::new() };
        }
        let left = wanted.iter().copied();
        let left = left.filter(|key| lacks_ticket(key) && !advice.is_asking(*key));
        left.take(self.limits.advice_endpoints).collect()
    }

    /// Returns how many of the endpoints in `named` a call for a step names. `granted` are what the
    /// granted endpoints offer.
    fn call_size(
        &self,
        key: StepKey,
        advice: &Advice,
        step: &Step,
        granted: &[Offer],
        named: &[EndpointKey],
    ) -> usize {
        if !self.limits.policies.advice_call_size {
            return named.len();
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return named.len();
        };
        let grants = self.grant_shares.get(&job.queue.name);
        let Some(share) = grants.and_then(GrantShare::share) else {
            return named.len();
        };
        let need = Resources::of_step(step);
        let waiting = job.step_progress(key).map_or(0, StepProgress::waiting);
        let max_on_one = step.max_on_one_endpoint().min(waiting);
        let fitting = |endpoint: &EndpointKey| {
            let endpoint = self.endpoints.get(*endpoint);
            endpoint.map_or(0, |endpoint| {
                endpoint.free().max_fitting(need).min(max_on_one)
            })
        };
        let unknown = advice.asked_endpoints().filter(|key| !advice.allowed(*key));
        let in_flight: Vec<u32> = unknown.map(|key| fitting(&key)).collect();
        let candidates: Vec<u32> = named.iter().map(fitting).collect();
        call_size(&CallNeed {
            share,
            waiting,
            granted: granted
                .iter()
                .map(|offer| offer.max_fitting(need).min(waiting))
                .sum(),
            in_flight: &in_flight,
            candidates: &candidates,
        })
    }

    /// Returns up to `max_endpoints` endpoints that were not asked about yet: first those that the step
    /// could use now, then those whose speed class suits the latency class, then by free CPU.
    fn unknown_by_free_capacity(
        &self,
        pool: &[EndpointKey],
        advice: &Advice,
        key: StepKey,
        request: &StepRequest,
        max_endpoints: usize,
    ) -> Vec<EndpointKey> {
        let Some(judged) = self.judged_step(key, request, Reservations::All, pool) else {
            return Vec::new();
        };
        let slow_call = request.advice.is_some_and(|timings| timings.is_slow());
        let packs = self.limits.policies.name_least_free;
        let order = NamingOrder::new(slow_call || !packs);
        let unknown = pool.iter().filter(|key| advice.is_unasked(**key));
        let able = unknown.filter(|key| self.could_use(request, **key));
        let mut found: Vec<(bool, NamingRank, EndpointKey)> = able
            .map(|key| self.naming_rank(order, &judged, *key))
            .collect();
        // A call names a few of hundreds of endpoints, so only these are sorted.
        if max_endpoints < found.len() {
            found.select_nth_unstable(max_endpoints);
            found.truncate(max_endpoints);
        }
        found.sort_unstable();
        found.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Returns whether a step could use an endpoint if it were empty.
    fn could_use(&self, request: &StepRequest, key: EndpointKey) -> bool {
        let entry = &self.endpoints[key].entry;
        let fits = Resources::of_entry(entry).can_fit(request.required_resources());
        fits && request.step().accepts_labels(&entry.labels)
    }

    /// Returns the position of an endpoint in a call: first those within soft limits.
    fn naming_rank(
        &self,
        order: NamingOrder,
        judged: &JudgedStep<'_>,
        key: EndpointKey,
    ) -> (bool, NamingRank, EndpointKey) {
        let endpoint = &self.endpoints[key];
        let request = judged.request;
        let need = request.required_resources();
        let offer = self.judge(judged, key).ok();
        let offer = offer.filter(|offer| offer.max_fitting(need) > 0);
        let free = offer.as_ref().map_or(endpoint.free(), |offer| offer.free);
        let rank = order.rank(NamingCandidate {
            fits: offer.is_some(),
            speed_rank: request.latency_class.rank(self.speed_class(endpoint)),
            free_cpu_milli: free.cpu_milli,
        });
        let beyond_soft_limit = offer.is_some_and(|offer| offer.beyond_soft_limit);
        (beyond_soft_limit, rank, key)
    }
}

/// Returns how many tasks the offers have room for.
fn room(offers: &[Offer], need: Resources) -> u64 {
    let tasks = offers
        .iter()
        .map(|offer| u64::from(offer.max_fitting(need)));
    tasks.sum()
}
