//! The tasks of a step.
//!
//! A caller can ask for any number of tasks. Only those are kept that have begun: a run of them was
//! placed or has ended. The others all wait and are alike.

use std::ops::Range;

use crate::tasks::{Task, TaskState};

/// A task that has not begun.
static WAITING: Task = without_history(TaskState::Waiting);

/// A task of a step that is finished.
static DONE: Task = without_history(TaskState::Done);

const fn without_history(state: TaskState) -> Task {
    Task {
        state,
        last_run: 0,
        checkpoint: String::new(),
        saved_ms: 0,
        failed: Vec::new(),
        exposures: Vec::new(),
    }
}

/// The tasks of a step.
#[derive(Debug)]
pub(crate) struct TaskList {
    count: u32,
    /// All tasks are done, and none is kept.
    finished: bool,
    /// The first tasks: all that have begun, and those between them.
    begun: Vec<Task>,
}

impl TaskList {
    pub(crate) const fn new(count: u32) -> Self {
        Self {
            count,
            finished: false,
            begun: Vec::new(),
        }
    }

    /// Returns the number of tasks.
    pub(crate) const fn count(&self) -> u32 {
        self.count
    }

    /// Marks all tasks as done and keeps none of them.
    pub(crate) fn finish(&mut self) {
        self.finished = true;
        self.begun = Vec::new();
    }

    pub(crate) const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the tasks that are kept, with their indices.
    pub(crate) fn begun(&self) -> impl Iterator<Item = (u32, &Task)> {
        (0_u32..).zip(&self.begun)
    }

    pub(crate) fn begun_mut(&mut self) -> impl Iterator<Item = (u32, &mut Task)> {
        (0_u32..).zip(&mut self.begun)
    }

    /// Returns the indices of the tasks that have not begun.
    pub(crate) fn fresh(&self) -> Range<u32> {
        if self.finished {
            return self.count..self.count;
        }
        let begun = u32::try_from(self.begun.len()).unwrap_or(u32::MAX);
        begun..self.count
    }

    /// Returns a task; none if the step has no such task.
    pub(crate) fn get(&self, index: u32) -> Option<&Task> {
        if index >= self.count {
            return None;
        }
        if self.finished {
            return Some(&DONE);
        }
        self.begun.get(index as usize).or(Some(&WAITING))
    }

    /// Returns a task that is kept.
    pub(crate) fn get_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.begun.get_mut(index as usize)
    }

    /// Returns a task, which is kept from now on; none if the step has no such task, or is finished.
    pub(crate) fn begin(&mut self, index: u32) -> Option<&mut Task> {
        if self.finished || index >= self.count {
            return None;
        }
        let kept = index as usize + 1;
        if kept > self.begun.len() {
            self.begun.resize_with(kept, Task::default);
        }
        self.begun.get_mut(index as usize)
    }

    /// Keeps all tasks from now on unless the step is finished, and returns them.
    pub(crate) fn begin_all(&mut self) -> impl Iterator<Item = (u32, &mut Task)> {
        let kept = if self.finished { 0 } else { self.count };
        self.begun.resize_with(kept as usize, Task::default);
        self.begun_mut()
    }
}
