//! Overdue work starts only on capacity that no other open step of its service can use.

use crate::endpoint::EndpointKey;
use crate::planner::ask::max_calls_in_flight;
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::Planner;
use crate::policy::overdue::Claims;
use crate::policy::placement::Offer;
use crate::resources::Resources;
use crate::tasks::StepKey;

impl Planner {
    /// Records what a step claims of its service's capacity if it still waits after its turn in a
    /// pass, and whether it waits for a node to call the advice service. Overdue steps claim
    /// nothing; they are visited after all others.
    pub(super) fn claim_capacity(&self, pass: &mut Pass, key: StepKey, startable: u32) {
        if !self.limits.policies.overdue_last || self.open.is_overdue(key) {
            return;
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let (Some(step), Some(progress)) = (
            job.spec.steps.get(key.step as usize),
            job.step_progress(key),
        ) else {
            return;
        };
        let waiting = progress.waiting().min(startable);
        if waiting == 0 || !pass.claimants.insert(key) {
            return;
        }
        let advice = job.queue.advice;
        let calls_in_flight = progress.advice.calls_in_flight();
        let may_call_again = calls_in_flight < max_calls_in_flight(step);
        pass.node_wanted |=
            may_call_again && advice.is_some_and(|timings| !pass.call_possible(timings.is_slow()));
        let claims = match pass.claims.get_mut(&job.queue.service) {
            Some(claims) => claims,
            None => pass.claims.entry(job.queue.service.clone()).or_default(),
        };
        claims.add(Resources::of_step(step), waiting, advice.is_some());
    }

    /// Returns the claims that a step must leave room for, if it is overdue and there are any.
    pub(super) fn claims_before<'a>(
        &self,
        pass: &'a Pass,
        key: StepKey,
        request: &StepRequest,
    ) -> Option<&'a Claims> {
        let claims = pass.claims.get(&request.service)?;
        let leaves_room = self.open.is_overdue(key) && request.limits.include_soft();
        (leaves_room && !claims.is_empty()).then_some(claims)
    }

    /// Removes from an overdue step's offers what steps with worth may need.
    pub(super) fn leave_claimed(
        &self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
        offers: &mut Vec<Offer>,
    ) {
        let Some(claims) = self.claims_before(pass, key, request) else {
            return;
        };
        let pool: &[EndpointKey] = pass.pools.get(&request.service).map_or(&[], Vec::as_slice);
        let free = pool.iter().map(|key| self.endpoints[*key].free());
        let contended = free.filter(|free| claims.can_use(*free));
        let contended = contended.fold(Resources::default(), Resources::add);
        let need = request.required_resources();
        let mut left = claims.tasks_beside(contended, need);
        for offer in offers.iter_mut().filter(|offer| claims.can_use(offer.free)) {
            let fitting = offer.free.max_fitting(need).min(offer.max_new_tasks);
            offer.max_new_tasks = fitting.min(left);
            left -= offer.max_new_tasks;
        }
        offers.retain(|offer| offer.max_new_tasks > 0);
    }
}
