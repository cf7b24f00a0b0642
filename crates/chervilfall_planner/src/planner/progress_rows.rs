//! Rows that the progress of a job takes in a batch.

use crate::ids::JobId;
use crate::job_parts::{JobParts, PartChange};
use crate::planner::batch::{BatchBuilder, WrittenProgress};
use crate::planner::Planner;
use crate::progress_part::PartKey;
use crate::record::{encode, Owner, ProgressRow, ENDED, JOBS, PROGRESS};
use crate::tasks::{Job, OpenRows};

/// Rows that a job's progress is written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProgressForm {
    /// The row of its progress; the job stays open.
    Open,
    /// The same, with the job's outcome. Its open rows are removed by a later batch.
    EndedInPlace,
    /// The same, for a job beyond its account's share: its own row is written as that of a job within
    /// the share.
    EndedInPlaceWithinShare,
    /// The row of its end; its open rows are removed.
    Ended,
}

impl ProgressForm {
    /// Returns the form for a job.
    ///
    /// Ends are written in place if there are too many of them for one batch, or if the job may have
    /// runs in progress: a successor then needs the job's own row, which states how much the runs
    /// use. Earlier versions count each job beyond its account's share that they inherit with its own
    /// row as an open one. So this row is written again for jobs that may have runs, and ends of
    /// others are not written in place.
    fn of(job: &Job, under_pressure: bool, may_have_runs: bool) -> Self {
        let has_row = job.rows.open != OpenRows::Absent;
        if job.outcome.is_none() {
            Self::Open
        } else if has_row && job.beyond && may_have_runs {
            Self::EndedInPlaceWithinShare
        } else if has_row && !job.beyond && (may_have_runs || under_pressure) {
            Self::EndedInPlace
        } else {
            Self::Ended
        }
    }

    /// Returns the number of rows that it takes.
    pub(super) fn rows(self, job: &Job) -> usize {
        match self {
            Self::Open | Self::EndedInPlace => 1,
            Self::EndedInPlaceWithinShare => 2,
            Self::Ended => 1 + job.rows.open_count(),
        }
    }
}

impl Planner {
    /// Returns the rows that a job's progress is to be written to.
    pub(super) fn progress_form(&self, job: &Job, under_pressure: bool) -> ProgressForm {
        let may_have_runs = job.outcome.is_some() && self.may_have_runs(job);
        ProgressForm::of(job, under_pressure, may_have_runs)
    }

    /// Returns the progress of a job if one row holds it, and its steps are not in parts.
    fn progress_in_one_row(&self, job: &Job) -> Option<ProgressRow> {
        if !job.parts.is_empty() {
            return None;
        }
        let fits = |progress: &ProgressRow| {
            progress.max_bytes() <= self.limits.row_bytes
                || encode(progress).len() <= self.limits.row_bytes
        };
        let progress = Some(job.progress()).filter(fits);
        progress.or_else(|| Some(job.short_progress()).filter(fits))
    }

    /// Adds the progress of a job, and returns whether it fits.
    pub(super) fn add_progress(
        &mut self,
        builder: &mut BatchBuilder,
        id: JobId,
        under_pressure: bool,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            self.unsaved.progress.remove(id);
            return true;
        };
        let form = self.progress_form(job, under_pressure);
        if !builder.has_room_for_rows(form.rows(job)) {
            return false;
        }
        let progress = self.progress_in_one_row(job);
        let fits = match (form, progress) {
            (ProgressForm::Open, None) => self.add_parts(builder, id),
            (ProgressForm::Open, Some(progress)) => {
                self.put_progress(builder, id, encode(&progress));
                if let Some(job) = self.jobs.get_mut(&id) {
                    // From now on the row under its name lists steps.
                    job.parts = JobParts::default();
                }
                true
            }
            (_, progress) => {
                self.add_end(builder, id, form, progress);
                true
            }
        };
        if fits {
            self.unsaved.progress.remove(id);
            self.note_progress_added(builder, id);
        }
        fits
    }

    /// Adds the row under a job's name in the table of progress.
    fn put_progress(&mut self, builder: &mut BatchBuilder, id: JobId, row: Vec<u8>) {
        builder.put(PROGRESS, id.to_string(), row);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.rows.progress = true;
        }
    }

    /// Adds changes of the parts of a job's progress, and returns whether all of them fit. The others
    /// are left to later batches, and until then the ends in them are not acknowledged.
    fn add_parts(&mut self, builder: &mut BatchBuilder, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return true;
        };
        for change in job.part_changes(self.limits.row_bytes) {
            if !builder.has_room() {
                return false;
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.parts.record(&change);
            }
            let key = |number| PartKey { job: id, number };
            match change {
                PartChange::Head(row) => self.put_progress(builder, id, row),
                PartChange::Put { number, row, .. } => {
                    builder.put(PROGRESS, key(number).to_string(), row);
                }
                PartChange::Remove { number, .. } => builder.remove(PROGRESS, &key(number)),
            }
        }
        true
    }

    /// Adds the end of a job, with its progress if one row holds that.
    fn add_end(
        &mut self,
        builder: &mut BatchBuilder,
        id: JobId,
        form: ProgressForm,
        progress: Option<ProgressRow>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let owner = job.account.map(|key| Owner {
            account: self.accounts.name(key).to_owned(),
            queue: job.queue.name.clone(),
        });
        let row = |progress: ProgressRow| {
            let owner = owner.clone();
            encode(&ProgressRow { owner, ..progress })
        };
        let fits = |row: &Vec<u8>| row.len() <= self.limits.row_bytes;
        let row = progress
            .map(row)
            .filter(fits)
            .unwrap_or_else(|| row(job.end()));
        if form == ProgressForm::Ended {
            builder.put(ENDED, id.to_string(), row);
            builder.remove_open_job(id, std::mem::take(&mut job.rows));
            job.rows.ended = true;
            let parts = std::mem::take(&mut job.parts);
            self.unsaved.remove_parts(id, &parts);
            return;
        }
        builder.put(PROGRESS, id.to_string(), row);
        job.rows.progress = true;
        if form == ProgressForm::EndedInPlaceWithinShare {
            job.beyond = false;
            let account = job.account.map(|key| self.accounts.name(key).to_owned());
            let text = match job.rows.open {
                OpenRows::WithText => job.text.as_deref().unwrap_or_default(),
                OpenRows::SeparateText | OpenRows::Absent => "",
            };
            builder.put(JOBS, id.to_string(), encode(&job.row(account, text)));
        }
        self.unsaved.ended_in_place.insert(id);
    }

    /// Notes what follows once the progress of a job, all of which is in the batch, is stored.
    fn note_progress_added(&mut self, builder: &mut BatchBuilder, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if !job.stored {
            builder.new_jobs.insert(id);
        }
        builder.progress.push(WrittenProgress {
            job: id,
            outcome: job.outcome,
            cancelled: job.cancelled,
            pre_cancelled: job.pre_cancelled,
        });
        let announced = self.announced.iter().filter(|(task, _)| task.job == id);
        let announced = announced.map(|(task, (endpoint, run))| (*task, *endpoint, *run));
        builder.announced.extend(announced);
    }
}
