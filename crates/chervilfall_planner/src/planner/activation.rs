//! Activation of steps: when a job is stored, an occurrence is due, or earlier steps are complete.

use crate::ids::{JobId, TaskKey};
use crate::planner::Planner;
use crate::policy::order::rank;
use crate::tasks::StepKey;

impl Planner {
    /// Opens the steps of a stored job that can start, or schedules its first occurrence. Those of a
    /// job that has ended are not opened; its occurrences are created as far as runs of them may not
    /// have been found yet.
    pub(super) fn activate(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.outcome.is_some() {
            self.finished.push_back((self.now, id));
            if !self.watch_ended_job(id) {
                return;
            }
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.spec.repeat_count == 0 {
            self.open_occurrence(id, 0);
            return;
        }
        // Those of an earlier holder are open whatever the number of others, so each counts as next.
        let next = std::iter::once(0).chain(job.incomplete_occurrences());
        let due = next.map(|occurrence| (job.spec.due_unix_ms(occurrence), id, occurrence));
        self.due_occurrences.extend(due);
    }

    /// Creates the occurrence of a task that an endpoint lists, if the job has such a one that is not
    /// known yet, and has it opened.
    pub(super) fn create_occurrence_of(&mut self, task: TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let (id, occurrence) = (task.job, task.occurrence);
        if occurrence >= job.spec.occurrences() || job.occurrences.contains_key(&occurrence) {
            return;
        }
        job.occurrence(occurrence);
        let due = (job.spec.due_unix_ms(occurrence), id, occurrence);
        self.due_occurrences.insert(due);
    }

    pub(super) fn open_due_occurrences(&mut self) {
        while let Some((due_unix_ms, id, occurrence)) = self.due_occurrences.first().copied() {
            if due_unix_ms > self.unix_ms {
                return;
            }
            self.due_occurrences.pop_first();
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if !job.may_open_occurrence(occurrence) {
                let held = self.held_occurrences.entry(id).or_insert(occurrence);
                *held = occurrence.min(*held);
                continue;
            }
            self.open_occurrence(id, occurrence);
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let next = occurrence + 1;
            let goes_on = job.outcome.is_none() || self.barrier.is_some();
            if goes_on && next < job.spec.occurrences() {
                self.due_occurrences
                    .insert((job.spec.due_unix_ms(next), id, next));
            }
        }
    }

    /// Lets the next occurrence of a job be opened, if it waits for an earlier one to complete.
    pub(super) fn resume_occurrences(&mut self, id: JobId) {
        let Some(occurrence) = self.held_occurrences.remove(&id) else {
            return;
        };
        if let Some(job) = self.jobs.get(&id) {
            let due = (job.spec.due_unix_ms(occurrence), id, occurrence);
            self.due_occurrences.insert(due);
        }
    }

    pub(super) fn open_occurrence(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.occurrence(occurrence);
        let steps = job.spec.steps.len();
        for step in 0..steps {
            let Ok(step) = u16::try_from(step) else {
                return;
            };
            self.open_step(StepKey {
                job: id,
                occurrence,
                step,
            });
        }
    }

    /// Opens a step if the steps before it are complete and some of its tasks are waiting.
    pub(super) fn open_step(&mut self, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(progress) = job.step_progress(key) else {
            return;
        };
        if job.outcome.is_some() || !job.stored || progress.waiting() == 0 {
            return;
        }
        if job.is_step_ready(key) {
            let overdue_last = self.limits.policies.overdue_last;
            let share_level = self.share_level(job, key);
            let rank = rank(job, key, self.unix_ms, overdue_last, share_level);
            self.open.insert(key, rank);
            self.schedule_due = true;
            self.watch_gang(key);
        }
    }

    /// Updates the ranks of the open steps. Jobs that can no longer meet their objective fall
    /// behind those that still can.
    pub(super) fn rank_open_steps(&mut self) {
        self.update_fair_shares();
        let overdue_last = self.limits.policies.overdue_last;
        for key in self.open.keys() {
            if let Some(job) = self.jobs.get(&key.job) {
                let share_level = self.share_level(job, key);
                let rank = rank(job, key, self.unix_ms, overdue_last, share_level);
                self.open.insert(key, rank);
            }
        }
    }

    pub(super) fn close_step(&mut self, key: StepKey) {
        self.open.remove(key);
    }
}
