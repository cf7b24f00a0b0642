//! Watches the deadlines of gangs, and reports by width why gangs miss them.

use std::collections::BTreeSet;

use crate::gang_wait::{width_class, Deadline, GangState, GangWait};
use crate::ids::{Millis, UnixMillis};
use crate::metrics;
use crate::planner::waiting::WaitCause;
use crate::planner::Planner;
use crate::resources::Resources;
use crate::tasks::{StepKey, StepProgress};

/// Deadlines of gangs that have not passed, by time.
pub(super) type GangDeadlines = BTreeSet<(UnixMillis, StepKey, Deadline)>;

impl Planner {
    /// Watches the deadlines of a step that has become open, if it is a gang and was not watched
    /// yet.
    pub(super) fn watch_gang(&mut self, key: StepKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let step = job.spec.steps.get(key.step as usize);
        if !step.is_some_and(|step| step.gang && !step.long_running) {
            return;
        }
        let due_unix_ms = job.spec.due_unix_ms(key.occurrence);
        let begin_unix_ms = job.accepted_unix_ms.max(due_unix_ms);
        let objective_ms = job.objective_ms;
        let Some(progress) = job.step_progress_mut(key) else {
            return;
        };
        if std::mem::replace(&mut progress.gang_wait.watched, true) {
            return;
        }
        for deadline in [Deadline::Objective, Deadline::Overdue] {
            let at_unix_ms = begin_unix_ms.saturating_add(deadline.after_ms(objective_ms));
            if at_unix_ms > self.unix_ms {
                self.gang_deadlines.insert((at_unix_ms, key, deadline));
            }
        }
    }

    /// Drops deadlines that passed before this holder knew the time of day. An earlier holder has
    /// reported them.
    pub(super) fn forget_passed_gang_deadlines(&mut self, unix_ms: UnixMillis) {
        self.gang_deadlines.retain(|(at, ..)| *at > unix_ms);
    }

    /// Counts the deadlines that a complete gang has met.
    pub(super) fn note_gang_complete(&mut self, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(progress) = job.step_progress(key) else {
            return;
        };
        let class = width_class(width(progress));
        let own = self.gang_deadlines.iter().filter(|(_, own, _)| *own == key);
        let met: Vec<(UnixMillis, StepKey, Deadline)> = own.copied().collect();
        for entry in met {
            self.gang_deadlines.remove(&entry);
            metrics::gang_deadline(class, entry.2.label(), "met");
        }
    }

    /// Reports the gangs whose deadline has passed.
    pub(super) fn check_gang_deadlines(&mut self) {
        while let Some((at_unix_ms, key, deadline)) = self.gang_deadlines.first().copied() {
            if at_unix_ms > self.unix_ms {
                return;
            }
            self.gang_deadlines.pop_first();
            self.report_gang(key, deadline);
        }
    }

    fn report_gang(&self, key: StepKey, deadline: Deadline) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(progress) = job.step_progress(key) else {
            return;
        };
        let width = width(progress);
        if job.outcome.is_some() || progress.complete() {
            return;
        }
        let wait = progress.gang_wait;
        let state = GangState {
            width,
            placed: progress.placed > 0,
            aborting: progress.aborting,
            inherited: job.inherited,
        };
        let cause = wait.miss_cause(state).label();
        let failed_runs = progress.tasks.get(0).map_or(0, |task| task.failed.len());
        metrics::gang_deadline(width_class(width), deadline.label(), cause);
        let waits = [
            (WaitCause::AdviceNode, wait.node_ms),
            (WaitCause::AdviceCall, wait.call_ms),
            (WaitCause::Capacity, wait.capacity_ms),
        ];
        for (waited_for, for_ms) in waits {
            metrics::gang_wait(width_class(width), waited_for.label(), for_ms);
        }
        log::info!(
            step:% = key, queue = job.queue.name.as_str(), width = width, deadline = deadline.label(),
            cause = cause, placed = progress.placed, answered_calls = wait.answered_calls,
            most_ticketed = wait.most_ticketed, most_fitting = wait.most_fitting, starts = wait.starts,
            restarts = wait.restarts, failed_runs = failed_runs, objective_ms = job.objective_ms,
            job_core_ms = job.spec.core_ms(), node_ms = wait.node_ms, call_ms = wait.call_ms,
            capacity_ms = wait.capacity_ms;
            "gang not complete at its deadline"
        );
    }

    /// Records that a gang has waited for a cause.
    pub(super) fn note_gang_wait(&mut self, key: StepKey, cause: WaitCause, for_ms: Millis) {
        let Some(wait) = self.gang_wait_mut(key) else {
            return;
        };
        match cause {
            WaitCause::AdviceNode => wait.node_ms += for_ms,
            WaitCause::AdviceCall => wait.call_ms += for_ms,
            WaitCause::Capacity => wait.capacity_ms += for_ms,
            WaitCause::Quota | WaitCause::Reservation | WaitCause::Barrier | WaitCause::Text => {}
        }
    }

    /// Records how many members of a gang the endpoints with a valid ticket could hold. Returns
    /// whether all waiting members fit there now; false if the step is no gang.
    pub(super) fn note_gang_answer(&mut self, key: StepKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let Some(step) = job.spec.steps.get(key.step as usize) else {
            return false;
        };
        let Some(progress) = job.step_progress(key).filter(|_| step.gang) else {
            return false;
        };
        let waiting = progress.waiting();
        let need = Resources::of_step(step);
        let max_on_one = step.max_on_one_endpoint();
        let (mut ticketed, mut fitting) = (0_u32, 0_u32);
        for endpoint in progress.advice.ticketed(self.now) {
            let Some(endpoint) = self.endpoints.get(endpoint) else {
                continue;
            };
            let members =
                |resources: Resources| resources.max_fitting(need).min(max_on_one).min(step.count);
            ticketed = ticketed.saturating_add(members(Resources::of_entry(&endpoint.entry)));
            fitting = fitting.saturating_add(members(endpoint.free()));
        }
        if let Some(wait) = self.gang_wait_mut(key) {
            wait.note_answer(ticketed, fitting);
        }
        fitting >= waiting
    }

    /// Records that all members of a gang were placed.
    pub(super) fn note_gang_start(&mut self, key: StepKey) {
        if let Some(wait) = self.gang_wait_mut(key) {
            wait.starts += 1;
        }
    }

    fn gang_wait_mut(&mut self, key: StepKey) -> Option<&mut GangWait> {
        let job = self.jobs.get_mut(&key.job)?;
        let progress = job.step_progress_mut(key)?;
        Some(&mut progress.gang_wait)
    }
}

const fn width(progress: &StepProgress) -> u32 {
    progress.tasks.count()
}
