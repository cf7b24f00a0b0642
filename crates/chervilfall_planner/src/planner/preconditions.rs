//! What must hold before a step looks for endpoints: quota, the barrier, its text, and a node that can
//! call for advice.

use crate::planner::ask::max_calls_in_flight;
use crate::planner::schedule::Pass;
use crate::planner::waiting::WaitCause;
use crate::planner::Planner;
use crate::tasks::StepKey;

impl Planner {
    /// Returns how many tasks of a step its account's quota lets start; none if these are fewer than must
    /// start at once. Such a step requests no advice, so that it does not delay others.
    pub(super) fn startable_within_quota(
        &mut self,
        pass: &mut Pass,
        key: StepKey,
        min_startable: u32,
    ) -> Option<u32> {
        let within_quota = self.tasks_within_quota(key);
        if within_quota < min_startable {
            self.reserve_quota(&mut pass.quota_reservations, key, min_startable);
            self.note_wait(key, WaitCause::Quota);
            return None;
        }
        let reservations = &mut pass.quota_reservations;
        let startable = self.tasks_beside_reservation(reservations, key, within_quota);
        if startable < min_startable {
            self.note_wait(key, WaitCause::Reservation);
            return None;
        }
        Some(startable)
    }

    /// Returns whether a step can do nothing yet, whatever endpoints are free, and records why: most steps
    /// of a large backlog wait for a node to call for advice.
    pub(super) fn waits_for_others(
        &mut self,
        pass: &mut Pass,
        key: StepKey,
        startable: u32,
    ) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return true;
        };
        // Tickets would expire before the barrier is removed.
        if job.inherited && self.barrier.is_some() {
            self.claim_capacity(pass, key, startable);
            self.note_wait(key, WaitCause::Barrier);
            return true;
        }
        if job.text.is_none() {
            self.request_text(key.job);
            self.note_wait(key, WaitCause::Text);
            return true;
        }
        let (Some(timings), Some(progress)) = (job.queue.advice, job.step_progress(key)) else {
            return false;
        };
        if progress.advice.any_ticket(self.now) || pass.call_possible(timings.is_slow()) {
            return false;
        }
        let step = job.spec.steps.get(key.step as usize);
        let max_calls = step.map_or(0, max_calls_in_flight);
        if progress.advice.calls_in_flight() < max_calls {
            self.note_caller(pass, key);
        }
        self.claim_capacity(pass, key, startable);
        self.note_unplaced(key, false);
        true
    }
}
