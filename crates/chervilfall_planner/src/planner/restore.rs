//! Restores the state of a group from its rows.

use crate::ids::{JobId, Millis};
use crate::metrics;
use crate::planner::{Planner, StoredGroup};
use crate::progress_part::{PartKey, PartRow};
use crate::record::{JobRow, ProgressRow};
use crate::starts::latest;
use crate::tasks::{Job, OpenRows};

impl Planner {
    /// Restores the state that earlier holders have stored.
    pub(super) fn restore(&mut self, stored: StoredGroup, last_commit_store_ms: Millis) {
        let jobs = stored.jobs.len();
        for (id, row) in stored.jobs {
            let account = row.account.as_deref();
            let account = account.map(|name| self.accounts.key(name, self.now));
            let mut job = Job::new(id, row, self.now);
            job.account = account;
            job.stored = true;
            job.inherited = true;
            job.rows.open = match job.text {
                Some(_) => OpenRows::WithText,
                None => OpenRows::SeparateText,
            };
            self.insert_job(job);
        }
        for (id, row) in stored.progress {
            match self.jobs.get_mut(&id) {
                Some(job) => job.restore(&row),
                // Earlier versions keep finished jobs in this table.
                None => self.restore_finished_job(id, &row),
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.rows.progress = true;
            }
        }
        self.restore_parts(stored.progress_parts);
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids.iter().copied() {
            self.restore_exposures(id);
        }
        self.expose_latest_starts(latest(stored.starts, last_commit_store_ms));
        for id in ids {
            self.restore_share(id);
            self.activate(id);
        }
        let entries = stored.roster.len();
        metrics::takeover();
        for entry in &stored.roster {
            self.add_rostered(entry);
        }
        log::info!(
            term = self.holder.term, fence = self.fence, jobs = jobs, endpoints = entries,
            barrier = self.barrier.is_some();
            "group taken over"
        );
    }

    /// Restores the parts of the progress of open jobs. Those of other jobs are left over from jobs
    /// that have ended, and are removed.
    fn restore_parts(&mut self, parts: Vec<(PartKey, PartRow)>) {
        for (key, row) in parts {
            let job = self.jobs.get_mut(&key.job);
            match job.filter(|job| job.rows.open != OpenRows::Absent) {
                Some(job) => job.restore_part(key.number, &row),
                None => self.unsaved.removed_parts.push(key),
            }
        }
        for job in self.jobs.values_mut() {
            if !job.parts.is_empty() {
                job.count_complete();
            }
        }
    }

    /// Counts a restored job beyond its account's share, or has the rows of its end moved.
    fn restore_share(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.outcome.is_none() {
            if let Some(account) = job.account.filter(|_| job.beyond) {
                self.inherit_share(account);
            }
        } else if job.rows.open != OpenRows::Absent {
            self.unsaved.ended_in_place.insert(id);
        }
    }

    pub(super) fn restore_finished_job(&mut self, id: JobId, row: &ProgressRow) {
        if row.outcome.is_none() {
            log::error!(job:% = id; "progress of a job whose own row is missing");
            return;
        }
        let mut job = Job::new(id, JobRow::default(), self.now);
        job.stored = true;
        job.inherited = true;
        if let Some(owner) = &row.owner {
            job.account = Some(self.accounts.key(&owner.account, self.now));
            job.queue.name.clone_from(&owner.queue);
        }
        job.restore(row);
        self.pre_cancelled_jobs += usize::from(job.pre_cancelled);
        self.insert_job(job);
    }
}
