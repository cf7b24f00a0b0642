//! Runs that are being stopped.

use std::collections::{BTreeMap, BTreeSet};

use crate::endpoint::EndpointKey;
use crate::ids::{JobId, TaskKey};

/// Runs that are being stopped, by endpoint and by task.
#[derive(Debug, Default)]
pub(super) struct Stopping {
    runs: BTreeSet<(EndpointKey, TaskKey)>,
    /// Number of endpoints on which a run of a task is being stopped.
    endpoints: BTreeMap<TaskKey, usize>,
}

impl Stopping {
    pub(super) fn insert(&mut self, endpoint: EndpointKey, task: TaskKey) {
        if self.runs.insert((endpoint, task)) {
            *self.endpoints.entry(task).or_default() += 1;
        }
    }

    pub(super) fn remove(&mut self, endpoint: EndpointKey, task: TaskKey) {
        if !self.runs.remove(&(endpoint, task)) {
            return;
        }
        if let Some(count) = self.endpoints.get_mut(&task) {
            *count -= 1;
            if *count == 0 {
                self.endpoints.remove(&task);
            }
        }
    }

    /// Returns whether a run of a task is being stopped and may still be running.
    pub(super) fn contains(&self, task: TaskKey) -> bool {
        self.endpoints.contains_key(&task)
    }

    /// Returns whether a run of a job is being stopped and may still be running.
    pub(super) fn contains_job(&self, job: JobId) -> bool {
        let first = TaskKey {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let mut tasks = self.endpoints.range(first..);
        tasks.next().is_some_and(|(task, _)| task.job == job)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (EndpointKey, TaskKey)> + '_ {
        self.runs.iter().copied()
    }
}
