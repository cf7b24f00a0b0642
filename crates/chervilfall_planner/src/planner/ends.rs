//! Handling of ended runs.

use crate::action::JobState;
use crate::advice::Advice;
use crate::endpoint::EndpointKey;
use crate::event::{EndReason, EndedRun};
use crate::ids::{JobId, Millis, Run, TaskKey};
use crate::metrics;
use crate::planner::Planner;
use crate::policy::speed::{learn_speeds, DurationSample};
use crate::tasks::{all_complete, StepKey, StepProgress, TaskState};

impl Planner {
    /// Records an end that an endpoint lists for the first time.
    pub(super) fn record_end(&mut self, key: EndpointKey, end: &EndedRun) {
        let task = end.task;
        metrics::ended(end.how);
        self.update_quarantine(key, end);
        self.update_failure_share(key, end);
        let placed_there = self.endpoints[key].placed.get(&task);
        if let Some(placed) = placed_there.filter(|placed| placed.run == end.run) {
            let (confirmed_ms, resumed) = (placed.confirmed_ms, placed.resumed);
            match (end.how, confirmed_ms) {
                (EndReason::Done, Some(since_ms)) if !resumed => {
                    self.record_duration(key, task, since_ms);
                }
                (EndReason::Stopped, Some(since_ms)) => {
                    self.note_saved_work(key, task, since_ms, &end.checkpoint);
                }
                _ => {}
            }
            self.release_run(key, task);
        }
        self.create_occurrence_of(task);
        let known = self.jobs.get(&task.job).and_then(|job| job.task(task));
        log::info!(
            task:% = task, run = end.run, endpoint:% = self.endpoints[key].entry.id, how:? = end.how,
            known = known.is_some();
            "run ended"
        );
        if known.is_none() {
            return;
        }
        self.confirm_start(task);
        self.note_run(task);
        self.record_checkpoint(task, &end.checkpoint);
        match end.how {
            EndReason::Done => self.complete_task(task),
            EndReason::Failed => self.record_failed_run(task, key, end.run),
            EndReason::Stopped | EndReason::Lapsed | EndReason::Broken | EndReason::Alone => {}
        }
        self.requeue(task, key, end.run);
    }

    /// Records the duration of a run that did not resume from a checkpoint.
    fn record_duration(&mut self, endpoint: EndpointKey, task: TaskKey, since_ms: Millis) {
        let ms = self.now.saturating_sub(since_ms);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // The members of a gang end together, at the speed of the slowest.
        let independent = job
            .spec
            .steps
            .get(task.step as usize)
            .is_some_and(|step| !step.gang);
        let progress = job.step_progress_mut(task.step_key());
        if let Some(progress) = progress.filter(|_| independent) {
            progress.durations.push(DurationSample { endpoint, ms });
        }
    }

    fn update_quarantine(&mut self, key: EndpointKey, end: &EndedRun) {
        let work_at_fault = self.has_failed_elsewhere(key, end.task);
        let endpoint = &mut self.endpoints[key];
        match end.how {
            EndReason::Done => endpoint.quarantine.done(),
            EndReason::Failed if work_at_fault => {}
            EndReason::Failed => {
                if let Some(pause_ms) = endpoint.quarantine.failed(self.now, end.task.job) {
                    log::warn!(endpoint:% = endpoint.entry.id, pause_ms = pause_ms; "endpoint fails its runs, quarantined");
                }
            }
            EndReason::Stopped | EndReason::Lapsed | EndReason::Broken | EndReason::Alone => {}
        }
    }

    /// Returns whether runs of a lasting step have failed on other endpoints too, so that a failure
    /// says nothing about the endpoint.
    fn has_failed_elsewhere(&self, key: EndpointKey, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let step = job.spec.steps.get(task.step as usize);
        let progress = job.step_progress(task.step_key());
        let elsewhere = |progress: &StepProgress| progress.failed_on.iter().any(|on| *on != key);
        step.is_some_and(|step| step.long_running) && progress.is_some_and(elsewhere)
    }

    /// Requeues a task whose run is gone, if that is the task's current run.
    pub(super) fn requeue(&mut self, task: TaskKey, endpoint: EndpointKey, run: Run) {
        let key = task.step_key();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let job_ended = job.outcome.is_some();
        let gang = job
            .spec
            .steps
            .get(task.step as usize)
            .is_some_and(|step| step.gang);
        let Some(progress) = job.step_progress_mut(key) else {
            return;
        };
        let Some(entry) = progress.tasks.get_mut(task.index) else {
            return;
        };
        if entry.state != TaskState::Placed(endpoint, run) {
            return;
        }
        entry.state = TaskState::Waiting;
        progress.placed -= 1;
        if job_ended {
            return;
        }
        self.clear_survived_exposure(task, run);
        let Some(progress) = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.step_progress_mut(key))
        else {
            return;
        };
        if gang && progress.placed > 0 {
            self.abort_gang(key);
            return;
        }
        progress.aborting = false;
        progress.gang_wait.restarts += u32::from(gang);
        self.open_step(key);
    }

    /// Stops the remaining members of a gang, so that it can be restarted as a whole.
    pub(super) fn abort_gang(&mut self, key: StepKey) {
        let Some(progress) = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.step_progress_mut(key))
        else {
            return;
        };
        if progress.aborting {
            return;
        }
        progress.aborting = true;
        let members = placed_members(progress, key);
        log::info!(step:% = key, members = members.len(); "gang aborted, stopping its members");
        for (endpoint, task, run) in members {
            self.begin_stop(endpoint, task, run);
        }
    }

    /// Marks a task as done. In a gang, one member marks all as done.
    fn complete_task(&mut self, task: TaskKey) {
        let key = task.step_key();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(task.step as usize) else {
            return;
        };
        if step.long_running {
            return;
        }
        let gang = step.gang;
        let Some(progress) = job.step_progress_mut(key) else {
            return;
        };
        let before = progress.done;
        let mut superseded = Vec::new();
        let ended = if gang {
            0..progress.tasks.count()
        } else {
            task.index..task.index.saturating_add(1)
        };
        for index in ended {
            let Some(entry) = progress.tasks.begin(index) else {
                break;
            };
            if entry.state == TaskState::Done {
                continue;
            }
            if let TaskState::Placed(endpoint, run) = entry.state {
                progress.placed -= 1;
                superseded.push((endpoint, key.task(index), run));
            }
            entry.state = TaskState::Done;
            progress.done += 1;
        }
        if progress.done == before {
            return;
        }
        let step_complete = progress.complete();
        let nothing_waits = progress.waiting() == 0;
        self.unsaved.progress.insert(task.job);
        if !gang {
            // A run elsewhere that was started after this one was considered lost is not needed.
            for (endpoint, task, run) in superseded {
                self.begin_stop(endpoint, task, run);
            }
        }
        if nothing_waits {
            self.close_step(key);
        }
        if step_complete {
            self.step_completed(key);
        }
    }

    fn step_completed(&mut self, key: StepKey) {
        self.note_gang_complete(key);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if let Some(progress) = job.step_progress_mut(key) {
            let endpoints = &mut self.endpoints;
            learn_speeds(&std::mem::take(&mut progress.durations), endpoints);
            progress.advice = Advice::default();
            progress.finish();
        }
        let steps = job.occurrences.get(&key.occurrence);
        let all = steps.is_some_and(|steps| all_complete(steps));
        if !all {
            self.open_occurrence(key.job, key.occurrence);
            return;
        }
        job.complete_occurrences += 1;
        self.resume_occurrences(key.job);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if job.complete_occurrences >= job.spec.occurrences() {
            self.finish_job(key.job, JobState::Completed);
        }
    }

    /// Counts a failed run once, however often it is listed.
    fn record_failed_run(&mut self, task: TaskKey, endpoint: EndpointKey, run: Run) {
        let key = task.step_key();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let attempts = job.queue.attempts.max(1) as usize;
        let Some(step) = job.spec.steps.get(task.step as usize) else {
            return;
        };
        let (gang, long_running) = (step.gang, step.long_running);
        let index = if gang { 0 } else { task.index };
        let Some(progress) = job.step_progress_mut(key) else {
            return;
        };
        if !progress.failed_on.contains(&endpoint) {
            progress.failed_on.push(endpoint);
        }
        let Some(entry) = progress.tasks.begin(index) else {
            return;
        };
        if long_running || entry.state == TaskState::Done || entry.failed.contains(&run) {
            return;
        }
        entry.failed.push(run);
        let exhausted = entry.failed.len() >= attempts;
        self.unsaved.progress.insert(task.job);
        if exhausted {
            log::warn!(task:% = task; "attempts used up");
            metrics::given_up("attempts");
            self.fail_job(task.job);
        }
    }

    pub(super) fn fail_job(&mut self, id: JobId) {
        self.finish_job(id, JobState::Failed);
    }
}

fn placed_members(progress: &StepProgress, key: StepKey) -> Vec<(EndpointKey, TaskKey, Run)> {
    let members = progress
        .tasks
        .begun()
        .filter_map(|(index, task)| match task.state {
            TaskState::Placed(endpoint, run) => Some((endpoint, key.task(index), run)),
            TaskState::Waiting | TaskState::Done => None,
        });
    members.collect()
}
