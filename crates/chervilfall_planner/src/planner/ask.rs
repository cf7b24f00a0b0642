//! Selects the endpoints that a step asks the advice service about.

use crate::advice::Advice;
use crate::endpoint::EndpointKey;
use crate::job::Step;
use crate::metrics;
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::Planner;
use crate::policy::advice_size::{call_size, CallNeed, GrantShare};
use crate::policy::gang_call_hold::CallHold;
use crate::policy::naming::{NamingCandidate, NamingOrder, NamingRank};
use crate::resources::Resources;
use crate::tasks::{StepKey, StepProgress};

/// Minimum number of endpoints named in a step's first call for advice, if there are that many.
const MIN_ENDPOINTS_PER_CALL: u32 = 30;
/// Endpoints named in a call per waiting task. About a quarter of the endpoints may run a step.
const ENDPOINTS_PER_WAITING_TASK: u32 = 8;
/// Maximum number of calls in flight for one gang. Tickets are valid for little longer than a slow
/// call takes, so a gang that needs the tickets of several calls must make them in parallel.
const MAX_GANG_CALLS: usize = 3;

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
        let (Some(timings), Some(pool)) = (request.advice, pass.pools.get(&request.service)) else {
            return false;
        };
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
        let need = Resources::of_step(request.step());
        let enough = if request.step().gang {
            u64::from(waiting)
        } else {
            1
        };
        let holds = self.holds_before(key, request);
        let free_resources = |endpoint: EndpointKey| self.free_beside(&holds, endpoint);
        let mut usable = allowed_with_capacity(pool, &progress.advice, need, free_resources);
        let calls_in_flight = progress.advice.calls_in_flight();
        if calls_in_flight >= max_calls_in_flight(request.step()) {
            return false;
        }
        if room_on(&usable, need, free_resources) >= enough {
            if calls_in_flight > 0 {
                return false;
            }
            let stale = usable
                .iter()
                .any(|endpoint| progress.advice.ticket(*endpoint, self.now).is_none());
            if !stale || !self.request_advice(key, timings, &usable) {
                return false;
            }
            usable.truncate(self.limits.advice_endpoints);
            self.keep_for_gang(pass, key, request, usable);
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
        let mut named =
            self.unknown_by_free_capacity(pool, &progress.advice, request, left, free_resources);
        let size = self.call_size(key, &progress.advice, request.step(), &usable, &named);
        let spared = named.len() - size;
        named.truncate(size);
        let called = !named.is_empty() && self.request_advice(key, timings, &named);
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
        let need = request.required_resources();
        let holds = self.holds_before(key, request);
        let free_resources = |endpoint: EndpointKey| self.free_beside(&holds, endpoint);
        let usable = allowed_with_capacity(pool, advice, need, free_resources);
        room_on(&usable, need, free_resources)
    }

    /// Returns the free resources of an endpoint beside what is kept for gangs.
    fn free_beside(&self, holds: &[&CallHold<StepKey>], endpoint: EndpointKey) -> Resources {
        let free = self.endpoints[endpoint].free();
        let held = holds.iter().map(|hold| hold.on(endpoint));
        held.fold(free, Resources::minus)
    }

    /// Returns how many of the endpoints in `named` a call for a step names. `granted` are the
    /// granted endpoints with free resources.
    fn call_size(
        &self,
        key: StepKey,
        advice: &Advice,
        step: &Step,
        granted: &[EndpointKey],
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
            granted: granted.iter().map(fitting).sum(),
            in_flight: &in_flight,
            candidates: &candidates,
        })
    }

    /// Returns up to `max_endpoints` endpoints that were not asked about yet: first those with
    /// enough free resources, then those whose speed class suits the latency class, then by free
    /// CPU.
    fn unknown_by_free_capacity(
        &self,
        pool: &[EndpointKey],
        advice: &Advice,
        request: &StepRequest,
        max_endpoints: usize,
        free_resources: impl Fn(EndpointKey) -> Resources,
    ) -> Vec<EndpointKey> {
        let need = Resources::of_step(request.step());
        let slow_call = request.advice.is_some_and(|timings| timings.is_slow());
        let packs = self.limits.policies.name_least_free;
        let order = NamingOrder::new(slow_call || !packs);
        let unknown = pool.iter().filter(|key| advice.is_unasked(**key));
        let able =
            unknown.filter(|key| Resources::of_entry(&self.endpoints[**key].entry).can_fit(need));
        let mut found: Vec<(NamingRank, EndpointKey)> = able
            .map(|key| {
                let free = free_resources(*key);
                let speed_class = self.speed_class(&self.endpoints[*key]);
                let candidate = NamingCandidate {
                    fits: free.can_fit(need),
                    speed_rank: request.latency_class.rank(speed_class),
                    free_cpu_milli: free.cpu_milli,
                };
                (order.rank(candidate), *key)
            })
            .collect();
        // A call names a few of hundreds of endpoints, so only these are sorted.
        if max_endpoints < found.len() {
            found.select_nth_unstable(max_endpoints);
            found.truncate(max_endpoints);
        }
        found.sort_unstable();
        found.into_iter().map(|(_, key)| key).collect()
    }
}

/// Returns how many tasks of `need` each fit on the endpoints.
fn room_on(
    endpoints: &[EndpointKey],
    need: Resources,
    free_resources: impl Fn(EndpointKey) -> Resources,
) -> u64 {
    let fitting = endpoints
        .iter()
        .map(|key| u64::from(free_resources(*key).max_fitting(need)));
    fitting.sum()
}

/// Returns the endpoints that may run the step and have free resources for one of its tasks.
fn allowed_with_capacity(
    pool: &[EndpointKey],
    advice: &Advice,
    need: Resources,
    free_resources: impl Fn(EndpointKey) -> Resources,
) -> Vec<EndpointKey> {
    let allowed = pool.iter().filter(|key| advice.allowed(**key));
    allowed
        .filter(|key| free_resources(**key).can_fit(need))
        .copied()
        .collect()
}
