//! Building of batches: the changes of a commit, within the store's limits.

use std::collections::BTreeSet;

use crate::action::JobState;
use crate::commit::{RowChange, RowKey};
use crate::endpoint::EndpointKey;
use crate::ids::{JobId, Run, TaskKey};
use crate::record::{JOBS, PROGRESS, TEXTS};
use crate::resources::Resources;
use crate::tasks::{JobRows, OpenRows};

/// What a batch says of a job's progress. The job may have changed again by the time that the batch
/// is stored.
#[derive(Debug, Clone, Copy)]
pub(super) struct WrittenProgress {
    pub(super) job: JobId,
    pub(super) outcome: Option<JobState>,
    pub(super) cancelled: bool,
    /// The job was cancelled and has not been submitted.
    pub(super) pre_cancelled: bool,
}

/// Collects the changes of a batch within the store's limits.
pub(super) struct BatchBuilder {
    rows: usize,
    bytes: usize,
    /// Bytes of the values that were added.
    pub(super) value_bytes: usize,
    pub(super) changes: Vec<RowChange>,
    pub(super) new_jobs: BTreeSet<JobId>,
    /// Rows that new jobs use or could have used.
    pub(super) rows_for_jobs: usize,
    pub(super) progress: Vec<WrittenProgress>,
    pub(super) announced: Vec<(TaskKey, EndpointKey, Run)>,
    pub(super) grantable: BTreeSet<EndpointKey>,
    /// Capacities that the roster states once the batch is stored.
    pub(super) rostered_capacities: Vec<(EndpointKey, Resources)>,
}

impl BatchBuilder {
    pub(super) const fn new(rows: usize, bytes: usize) -> Self {
        Self {
            rows,
            bytes,
            value_bytes: 0,
            changes: Vec::new(),
            new_jobs: BTreeSet::new(),
            rows_for_jobs: 0,
            progress: Vec::new(),
            announced: Vec::new(),
            grantable: BTreeSet::new(),
            rostered_capacities: Vec::new(),
        }
    }

    /// Returns how many rows can still be added.
    pub(super) fn rows_left(&self) -> usize {
        self.rows.saturating_sub(self.changes.len() + 1)
    }

    pub(super) fn has_room(&self) -> bool {
        self.has_room_for(0)
    }

    /// Returns whether another row fits, besides `more` rows that are still to be added.
    pub(super) fn has_room_for(&self, more: usize) -> bool {
        self.changes.len() + more + 1 < self.rows && self.bytes > 0
    }

    pub(super) fn put(&mut self, table: &'static str, key: String, value: Vec<u8>) {
        self.bytes = self.bytes.saturating_sub(value.len());
        self.value_bytes += value.len();
        self.changes
            .push(RowChange::Put(RowKey { table, key }, value));
    }

    /// Returns whether this many rows fit.
    pub(super) fn has_room_for_rows(&self, rows: usize) -> bool {
        rows == 0 || self.has_room_for(rows - 1)
    }

    /// Removes the rows of an open job.
    pub(super) fn remove_open_job(&mut self, id: JobId, rows: JobRows) {
        if rows.open != OpenRows::Absent {
            self.remove(JOBS, &id);
        }
        if rows.open == OpenRows::SeparateText {
            self.remove(TEXTS, &id);
        }
        if rows.progress {
            self.remove(PROGRESS, &id);
        }
    }

    pub(super) fn remove(&mut self, table: &'static str, row: &impl ToString) {
        let key = row.to_string();
        self.changes.push(RowChange::Remove(RowKey { table, key }));
    }
}
