//! Progress of a job as it is stored, and restored by the next holder.

use crate::progress_part::PartRow;
use crate::record::{ranges, ProgressRow, StepRow};
use crate::tasks::{all_complete, Job, StepProgress, TaskState};

/// Maximum number of steps of complete occurrences that are stored one by one, as earlier versions
/// read them.
const MAX_STEPS_ONE_BY_ONE: usize = 500;

impl Job {
    /// Returns the row that holds its progress.
    pub(crate) fn progress(&self) -> ProgressRow {
        let steps = self.complete_occurrences as usize * self.spec.steps.len();
        if steps <= MAX_STEPS_ONE_BY_ONE {
            self.progress_beside(Vec::new())
        } else {
            self.short_progress()
        }
    }

    /// Returns the same in the shortest form that one row has.
    pub(crate) fn short_progress(&self) -> ProgressRow {
        self.progress_beside(self.complete_ranges())
    }

    /// Returns the row under its name if its steps are in parts.
    pub(crate) fn head(&self) -> ProgressRow {
        ProgressRow {
            complete: self.complete_ranges(),
            ..self.end()
        }
    }

    fn complete_ranges(&self) -> Vec<(u32, u32)> {
        let complete = self.occurrences.iter();
        let complete = complete.filter(|(_, steps)| all_complete(steps));
        ranges(complete.map(|(occurrence, _)| *occurrence))
    }

    /// Returns the row that lists its steps beside the complete occurrences; all of them if there are
    /// none.
    fn progress_beside(&self, complete: Vec<(u32, u32)>) -> ProgressRow {
        let listed = self
            .occurrences
            .iter()
            .filter(|(_, steps)| complete.is_empty() || !all_complete(steps));
        let steps = listed.flat_map(|(occurrence, steps)| {
            steps
                .iter()
                .enumerate()
                .filter_map(|(position, step)| step_row(*occurrence, position, step))
        });
        ProgressRow {
            steps: steps.collect(),
            complete,
            ..self.end()
        }
    }

    /// Returns the row that holds its end, without its steps.
    pub(crate) const fn end(&self) -> ProgressRow {
        ProgressRow {
            cancelled: self.cancelled,
            awaited: self.pre_cancelled,
            outcome: self.outcome,
            started: self.started,
            complete: Vec::new(),
            steps: Vec::new(),
            owner: None,
        }
    }

    /// Restores the progress from the row under its name. Parts may follow.
    pub(crate) fn restore(&mut self, row: &ProgressRow) {
        self.cancelled = row.cancelled;
        self.cancel_stored = row.cancelled;
        self.pre_cancelled = row.awaited;
        self.outcome = row.outcome;
        self.visible_outcome = row.outcome;
        self.started = row.started;
        // Nothing starts of a job that has ended.
        let complete = row.complete.iter().filter(|_| row.outcome.is_none());
        for (first, count) in complete {
            for occurrence in *first..first.saturating_add(*count) {
                for progress in self.occurrence(occurrence) {
                    progress.finish();
                }
            }
        }
        for step in &row.steps {
            self.restore_step(step);
        }
        self.parts.restore_head(row);
        self.count_complete();
    }

    /// Restores a part of the progress. What another row has said already may be in it again.
    pub(crate) fn restore_part(&mut self, number: u32, row: &PartRow) {
        self.parts.restore(number, row);
        if self.outcome.is_some() {
            return;
        }
        for finished in &row.finished {
            let (first, count) = (finished.first as usize, finished.count as usize);
            let steps = self.occurrence(finished.occurrence).iter_mut();
            for progress in steps.skip(first).take(count) {
                progress.finish();
            }
        }
        for done in &row.done {
            let steps = self.occurrence(done.occurrence);
            if let Some(progress) = steps.get_mut(done.step as usize) {
                restore_done(progress, done.indices());
            }
        }
        for step in &row.steps {
            self.restore_step(step);
        }
    }

    /// Counts the occurrences that are complete.
    pub(crate) fn count_complete(&mut self) {
        let complete = self
            .occurrences
            .values()
            .filter(|steps| all_complete(steps));
        self.complete_occurrences = u32::try_from(complete.count()).unwrap_or(u32::MAX);
    }

    fn restore_step(&mut self, row: &StepRow) {
        let Some(progress) = self.occurrence(row.occurrence).get_mut(row.step as usize) else {
            return;
        };
        for (first, count) in &row.done {
            restore_done(progress, *first..first.saturating_add(*count));
        }
        for (index, runs) in &row.failed {
            if let Some(task) = progress.tasks.begin(*index) {
                for run in runs {
                    if !task.failed.contains(run) {
                        task.failed.push(*run);
                    }
                }
            }
        }
        for (index, exposures) in &row.exposures {
            if let Some(task) = progress.tasks.begin(*index) {
                for exposure in exposures {
                    task.expose(exposure.clone());
                }
            }
        }
    }
}

/// Marks tasks as done, as far as the step has them and does not know it.
fn restore_done(progress: &mut StepProgress, indices: impl Iterator<Item = u32>) {
    for index in indices {
        let Some(task) = progress.tasks.begin(index) else {
            break;
        };
        if task.state != TaskState::Done {
            task.state = TaskState::Done;
            progress.done += 1;
        }
    }
    if progress.complete() {
        progress.finish();
    }
}

fn step_row(occurrence: u32, position: usize, step: &StepProgress) -> Option<StepRow> {
    let tasks = || step.tasks.begun();
    let done = tasks()
        .filter(|(_, task)| task.state == TaskState::Done)
        .map(|(index, _)| index);
    let failed = tasks()
        .filter(|(_, task)| !task.failed.is_empty())
        .map(|(index, task)| (index, task.failed.clone()));
    let exposures = tasks()
        .filter(|(_, task)| !task.exposures.is_empty() && task.state != TaskState::Done)
        .map(|(index, task)| (index, task.exposures.clone()));
    let done = if step.tasks.is_finished() {
        vec![(0, step.tasks.count())]
    } else {
        ranges(done)
    };
    let row = StepRow {
        occurrence,
        step: u16::try_from(position).ok()?,
        done,
        failed: failed.collect(),
        exposures: exposures.collect(),
    };
    let has_progress = !row.done.is_empty() || !row.failed.is_empty() || !row.exposures.is_empty();
    has_progress.then_some(row)
}
