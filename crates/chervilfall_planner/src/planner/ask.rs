//! Selects the endpoints that a step asks the advice service about.

use std::cmp::Reverse;

use crate::advice::Advice;
use crate::endpoint::EndpointKey;
use crate::job::Step;
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::Planner;
use crate::policy::advice_share::AdviceShare;
use crate::policy::advice_use::{
    asking_is_useful, AdviceCallKind, AdviceClaims, ClaimableEndpoint, FittingTasks,
};
use crate::policy::headroom::HeadroomSlots;
use crate::resources::Resources;
use crate::tasks::{Job, StepKey};

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

/// A call for advice that a step should make now.
pub(super) struct PlannedCall {
    pub(super) kind: AdviceCallKind,
    pub(super) endpoints: Vec<EndpointKey>,
}

/// What a step does about advice now.
enum AdvicePlan {
    Call(PlannedCall),
    /// A call would be of no use.
    Withhold,
    /// There is nothing to ask, or calls in flight must end first.
    Nothing,
}

/// Capacity that a step may count on when it requests advice.
struct CallCapacity<'a> {
    need: Resources,
    max_on_one: u32,
    /// Capacity that better-ranked steps are about to use.
    claims: Option<&'a AdviceClaims>,
    /// Headroom that the step must leave.
    headroom: Option<HeadroomSlots>,
}

impl CallCapacity<'_> {
    fn left(&self, endpoint: EndpointKey, free: Resources) -> Resources {
        let unclaimed = match self.claims {
            Some(claims) => claims.left(endpoint, free),
            None => free,
        };
        match self.headroom {
            Some(slots) if slots.max_tasks_inside(self.need) == 0 => slots.outside(unclaimed),
            _ => unclaimed,
        }
    }

    fn fitting(&self, endpoint: EndpointKey, free: Resources) -> u32 {
        let left = self.left(endpoint, free);
        left.max_fitting(self.need).min(self.max_on_one)
    }
}

impl Planner {
    /// Requests advice on endpoints that were not asked about for the step yet, or refreshes the
    /// tickets of allowed endpoints with free capacity. Returns whether a call was made.
    pub(super) fn request_advice_for_step(
        &mut self,
        pass: &mut Pass,
        key: StepKey,
        request: &StepRequest,
    ) -> bool {
        let Some(timings) = request.advice else {
            return false;
        };
        match self.plan_advice(pass, key, request) {
            AdvicePlan::Call(call) => self.request_advice(key, timings, &call),
            AdvicePlan::Withhold => {
                pass.withheld_calls += 1;
                false
            }
            AdvicePlan::Nothing => false,
        }
    }

    fn plan_advice(&self, pass: &Pass, key: StepKey, request: &StepRequest) -> AdvicePlan {
        let Some(pool) = pass.pools.get(&request.service) else {
            return AdvicePlan::Nothing;
        };
        let job = self.jobs.get(&key.job);
        let Some((job, progress)) = job.and_then(|job| Some((job, job.step_progress(key)?))) else {
            return AdvicePlan::Nothing;
        };
        let waiting = progress.waiting();
        let calls_in_flight = progress.advice.calls_in_flight();
        if waiting == 0 || calls_in_flight >= max_calls_in_flight(request.step()) {
            return AdvicePlan::Nothing;
        }
        let min_startable = if request.step().gang { waiting } else { 1 };
        let capacity = self.call_capacity(pass, key, job, request.step());
        let usable = self.allowed_with_capacity(pool, &progress.advice, &capacity);
        let allowed = self.count_fitting(usable.iter().copied(), &capacity);
        if allowed >= u64::from(min_startable) {
            let stale = usable
                .iter()
                .any(|endpoint| progress.advice.ticket(*endpoint, self.now).is_none());
            if calls_in_flight > 0 || !stale {
                return AdvicePlan::Nothing;
            }
            return AdvicePlan::Call(PlannedCall {
                kind: AdviceCallKind::Renewal,
                endpoints: usable,
            });
        }
        let max_endpoints =
            (waiting * ENDPOINTS_PER_WAITING_TASK).max(MIN_ENDPOINTS_PER_CALL) as usize;
        let left = max_endpoints.saturating_sub(progress.advice.endpoints_in_calls());
        // Most of a call's duration does not depend on the number of endpoints named.
        if calls_in_flight > 0 && left < MIN_ENDPOINTS_PER_CALL as usize {
            return AdvicePlan::Nothing;
        }
        let endpoints =
            self.unknown_by_free_capacity(pool, &progress.advice, request, left, &capacity);
        if endpoints.is_empty() {
            return AdvicePlan::Nothing;
        }
        let kind = if progress.advice.is_empty() {
            AdviceCallKind::First
        } else {
            AdviceCallKind::Further
        };
        if pass.only_useful_calls {
            let unanswered = pool.iter().copied();
            let unanswered = unanswered.filter(|key| !progress.advice.is_answered(*key));
            let fitting = FittingTasks {
                allowed,
                unknown: self.count_fitting(unanswered, &capacity),
            };
            let share = self.learned_advice_share(job);
            if !asking_is_useful(kind, fitting, min_startable, share) {
                return AdvicePlan::Withhold;
            }
        }
        AdvicePlan::Call(PlannedCall { kind, endpoints })
    }

    /// Returns the capacity that a step may count on when it requests advice.
    fn call_capacity<'a>(
        &self,
        pass: &'a Pass,
        key: StepKey,
        job: &Job,
        step: &Step,
    ) -> CallCapacity<'a> {
        let need = Resources::of_step(step);
        if !pass.only_useful_calls {
            return CallCapacity {
                need,
                max_on_one: u32::MAX,
                claims: None,
                headroom: None,
            };
        }
        let slots = pass.headroom_slots.get(&job.queue.service);
        CallCapacity {
            need,
            max_on_one: match step.max_per_endpoint {
                0 => u32::MAX,
                limit => limit,
            },
            claims: Some(&pass.advice_claims),
            headroom: slots.copied().filter(|_| self.must_leave_headroom(key)),
        }
    }

    /// Returns the endpoints that may run the step and have capacity for one of its tasks.
    fn allowed_with_capacity(
        &self,
        pool: &[EndpointKey],
        advice: &Advice,
        capacity: &CallCapacity<'_>,
    ) -> Vec<EndpointKey> {
        let allowed = pool.iter().copied().filter(|key| advice.allowed(*key));
        allowed
            .filter(|key| capacity.fitting(*key, self.endpoints[*key].free()) > 0)
            .collect()
    }

    fn count_fitting(
        &self,
        endpoints: impl IntoIterator<Item = EndpointKey>,
        capacity: &CallCapacity<'_>,
    ) -> u64 {
        let endpoints = endpoints.into_iter();
        let fitting =
            endpoints.map(|key| u64::from(capacity.fitting(key, self.endpoints[key].free())));
        fitting.sum()
    }

    fn learned_advice_share(&self, job: &Job) -> Option<f64> {
        let share = self.advice_shares.get(&job.queue.name);
        share.and_then(AdviceShare::learned)
    }

    /// Claims the capacity that a step is about to use: on the endpoints for which it has tickets
    /// or that its calls in flight name. A gang that does not fit there claims nothing.
    pub(super) fn claim_advised_capacity(&self, pass: &mut Pass, key: StepKey) {
        if !pass.only_useful_calls {
            return;
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let (Some(progress), Some(step)) = (
            job.step_progress(key),
            job.spec.steps.get(key.step as usize),
        ) else {
            return;
        };
        let (advice, waiting) = (&progress.advice, progress.waiting());
        let in_use = advice.calls_in_flight() > 0 || advice.any_ticket(self.now);
        if waiting == 0 || !in_use {
            return;
        }
        let share = self.learned_advice_share(job).unwrap_or(1.0);
        let capacity = self.call_capacity(pass, key, job, step);
        let claimable = |endpoint: EndpointKey| {
            let free = self.endpoints.get(endpoint)?.free();
            let fitting = capacity.fitting(endpoint, free);
            (fitting > 0).then_some(ClaimableEndpoint {
                endpoint,
                fitting,
                allowed_share: if advice.allowed(endpoint) { 1.0 } else { share },
            })
        };
        let unticketed = advice
            .in_calls()
            .filter(|endpoint| advice.ticket(*endpoint, self.now).is_none());
        let endpoints = advice.ticketed(self.now).chain(unticketed);
        let endpoints: Vec<ClaimableEndpoint> = endpoints.filter_map(claimable).collect();
        let expected = endpoints
            .iter()
            .map(|one| f64::from(one.fitting) * one.allowed_share);
        if step.gang && expected.sum::<f64>() < f64::from(waiting) {
            return;
        }
        let need = capacity.need;
        pass.advice_claims
            .claim(need, waiting, endpoints.into_iter());
    }

    /// Returns up to `max_endpoints` endpoints that were not asked about yet: first those with
    /// enough free resources, then those whose speed class suits the latency class, then those with
    /// the most free CPU.
    fn unknown_by_free_capacity(
        &self,
        pool: &[EndpointKey],
        advice: &Advice,
        request: &StepRequest,
        max_endpoints: usize,
        capacity: &CallCapacity<'_>,
    ) -> Vec<EndpointKey> {
        let need = capacity.need;
        let unknown = pool.iter().filter(|key| advice.is_unasked(**key));
        let able =
            unknown.filter(|key| Resources::of_entry(&self.endpoints[**key].entry).can_fit(need));
        let mut found: Vec<(bool, i8, Reverse<u64>, EndpointKey)> = able
            .map(|key| {
                let free = capacity.left(*key, self.endpoints[*key].free());
                let rank = request
                    .latency_class
                    .rank(self.speed_class(&self.endpoints[*key]));
                (!free.can_fit(need), rank, Reverse(free.cpu_milli), *key)
            })
            .collect();
        // A call names a few of hundreds of endpoints, so only these are sorted.
        if max_endpoints < found.len() {
            found.select_nth_unstable(max_endpoints);
            found.truncate(max_endpoints);
        }
        found.sort_unstable();
        found.into_iter().map(|(.., key)| key).collect()
    }
}
