//! Which endpoints a step asks the advice service about.

use std::cmp::Reverse;

use crate::advice::Advice;
use crate::endpoint::EndpointKey;
use crate::job::Step;
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::Planner;
use crate::resources::Resources;
use crate::tasks::StepKey;

/// Fewest endpoints that a first call for advice names, if there are as many.
const MIN_ENDPOINTS_PER_CALL: u32 = 30;
/// Endpoints that a call names for each task that waits: about a quarter may run a step.
const ENDPOINTS_PER_WAITING_TASK: u32 = 8;
/// Most calls on their way for one gang. Tickets last little longer than a slow call, so that a gang that
/// needs those of several calls has to make them side by side.
const MAX_GANG_CALLS: usize = 3;

/// Returns how many calls for a step may be on their way.
pub(super) const fn max_calls_in_flight(step: &Step) -> usize {
    if step.gang {
        MAX_GANG_CALLS
    } else {
        1
    }
}

impl Planner {
    /// Asks about endpoints that are not known for the step yet, or refreshes tickets of allowed
    /// ones that have room now. Returns whether a call was made.
    pub(super) fn request_advice_for_step(
        &mut self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
    ) -> bool {
        let (Some(terms), Some(pool)) = (request.advice, pass.pools.get(&request.service)) else {
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
        let room = |endpoint: EndpointKey| self.endpoints[endpoint].free();
        let usable = allowed_with_capacity(pool, &progress.advice, need, room);
        let fits = |keys: &[EndpointKey]| -> u64 {
            keys.iter()
                .map(|key| u64::from(room(*key).max_fitting(need)))
                .sum()
        };
        let calls_in_flight = progress.advice.calls_in_flight();
        if calls_in_flight >= max_calls_in_flight(request.step()) {
            return false;
        }
        if fits(&usable) >= enough {
            if calls_in_flight > 0 {
                return false;
            }
            let stale = usable
                .iter()
                .any(|endpoint| progress.advice.ticket(*endpoint, self.now).is_none());
            return stale && self.request_advice(key, terms, &usable);
        }
        let most = (waiting * ENDPOINTS_PER_WAITING_TASK).max(MIN_ENDPOINTS_PER_CALL) as usize;
        let left = most.saturating_sub(progress.advice.endpoints_in_calls());
        // Most of a call's time does not depend on how many it names.
        if calls_in_flight > 0 && left < MIN_ENDPOINTS_PER_CALL as usize {
            return false;
        }
        let named = self.unknown_by_free_capacity(pool, &progress.advice, request, left, room);
        !named.is_empty() && self.request_advice(key, terms, &named)
    }

    /// Returns up to `most` endpoints that nothing is known of: those with room first, of these those whose speed
    /// suits the work, and of these those with most processor to be had.
    fn unknown_by_free_capacity(
        &self,
        pool: &[EndpointKey],
        advice: &Advice,
        request: &StepRequest,
        most: usize,
        room: impl Fn(EndpointKey) -> Resources,
    ) -> Vec<EndpointKey> {
        let need = Resources::of_step(request.step());
        let unknown = pool.iter().filter(|key| advice.is_unasked(**key));
        let able =
            unknown.filter(|key| Resources::of_entry(&self.endpoints[**key].entry).can_fit(need));
        let mut found: Vec<(bool, i8, Reverse<u64>, EndpointKey)> = able
            .map(|key| {
                let room = room(*key);
                let rank = request
                    .latency_class
                    .rank(self.speed_class(&self.endpoints[*key]));
                (!room.can_fit(need), rank, Reverse(room.cpu_milli), *key)
            })
            .collect();
        // A call names a few of hundreds, so that only these are put in order.
        if most < found.len() {
            found.select_nth_unstable(most);
            found.truncate(most);
        }
        found.sort_unstable();
        found.into_iter().map(|(.., key)| key).collect()
    }
}

/// Returns the endpoints that may run the step and have room for a task of it.
fn allowed_with_capacity(
    pool: &[EndpointKey],
    advice: &Advice,
    need: Resources,
    room: impl Fn(EndpointKey) -> Resources,
) -> Vec<EndpointKey> {
    let allowed = pool.iter().filter(|key| advice.allowed(**key));
    allowed
        .filter(|key| room(**key).can_fit(need))
        .copied()
        .collect()
}
