//! Progress of a job as it is stored, and restored by the next holder.

use crate::record::{ranges, ProgressRow, StepRow};
use crate::tasks::{Job, StepProgress, TaskState};

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

    /// Returns the same in its shortest form.
    pub(crate) fn short_progress(&self) -> ProgressRow {
        let complete = self
            .occurrences
            .iter()
            .filter(|(_, steps)| is_complete(steps));
        let complete = ranges(complete.map(|(occurrence, _)| *occurrence));
        self.progress_beside(complete)
    }

    /// Returns the row that lists its steps beside the complete occurrences; all of them if there are
    /// none.
    fn progress_beside(&self, complete: Vec<(u32, u32)>) -> ProgressRow {
        let listed = self
            .occurrences
            .iter()
            .filter(|(_, steps)| complete.is_empty() || !is_complete(steps));
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

    /// Restores the progress from a stored row.
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
        let complete = self.occurrences.values().filter(|steps| is_complete(steps));
        self.complete_occurrences = u32::try_from(complete.count()).unwrap_or(u32::MAX);
    }

    fn restore_step(&mut self, row: &StepRow) {
        let Some(progress) = self.occurrence(row.occurrence).get_mut(row.step as usize) else {
            return;
        };
        for (first, count) in &row.done {
            for index in *first..first.saturating_add(*count) {
                let Some(task) = progress.tasks.begin(index) else {
                    break;
                };
                task.state = TaskState::Done;
                progress.done += 1;
            }
        }
        if progress.complete() {
            progress.finish();
        }
        for (index, runs) in &row.failed {
            if let Some(task) = progress.tasks.begin(*index) {
                task.failed.clone_from(runs);
            }
        }
        for (index, exposures) in &row.exposures {
            if let Some(task) = progress.tasks.begin(*index) {
                task.exposures.clone_from(exposures);
            }
        }
    }
}

fn is_complete(steps: &[StepProgress]) -> bool {
    steps.iter().all(StepProgress::complete)
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
