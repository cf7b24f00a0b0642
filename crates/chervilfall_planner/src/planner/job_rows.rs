//! Rows of jobs in a batch: which changes of jobs it contains, and the rows that each takes.

use crate::ids::{JobId, Millis};
use crate::metrics;
use crate::planner::batch::BatchBuilder;
use crate::planner::Planner;
use crate::policy::commit_order::{
    CommitOrder, JobTiming, ProgressKind, WaitingChanges, WaitingProgress, WaitingSubmission,
};
use crate::policy::order::min_remaining_ms;
use crate::record::{encode, ENDED, JOBS, PROGRESS, TEXTS};
use crate::tasks::{Job, OpenRows};

/// Upper limit on a text that is stored in its job's row. A new holder reads these rows before it
/// serves, so longer texts have rows of their own.
const MAX_TEXT_IN_JOB_ROW_BYTES: usize = 1_024;
/// Interval between log lines that say that more waits than a batch holds.
const PRESSURE_LOG_INTERVAL_MS: Millis = 1_000;

impl Planner {
    /// Adds changes of jobs, as far as they fit.
    pub(super) fn add_job_changes(&mut self, builder: &mut BatchBuilder) {
        let waiting = self.waiting_changes();
        let submissions = waiting.submissions.len();
        let plan = waiting.choose(
            self.commit_order(),
            builder.rows_left(),
            self.commit_duration_ms,
        );
        let rows_before = builder.rows_left();
        for id in plan.submissions {
            if !self.add_new_job(builder, id) {
                break;
            }
        }
        builder.rows_for_jobs = if builder.new_jobs.len() < submissions {
            // The bytes of a batch may have limited them more than its rows.
            rows_before - builder.rows_left()
        } else {
            plan.submission_rows
        };
        for id in plan.progress {
            if !self.add_progress(builder, id, plan.under_pressure) {
                break;
            }
        }
        let new_jobs = &builder.new_jobs;
        self.unsaved.new_jobs.retain(|id| !new_jobs.contains(id));
        self.unsaved.note_missed();
        if plan.under_pressure {
            self.report_pressure(builder);
        } else {
            self.add_moved_ends(builder);
        }
        self.add_removals(builder);
    }

    /// Returns the order in which changes go into batches.
    pub(super) const fn commit_order(&self) -> CommitOrder {
        if self.limits.policies.commit_order {
            CommitOrder::Urgency
        } else {
            CommitOrder::Arrival
        }
    }

    /// Returns a submission that waits for a batch.
    pub(super) fn waiting_submission(&self, job: &Job) -> WaitingSubmission {
        WaitingSubmission {
            id: job.id,
            beyond: job.beyond,
            priority: job.queue.priority,
            timing: self.timing(job),
            rows: 1 + usize::from(!self.stores_text_in_job_row(job)),
            missed_commits: self.unsaved.missed_submissions.of(job.id),
        }
    }

    /// Returns the changes of jobs that wait for a batch. A job that was cancelled before any batch
    /// contained it has no row of its own; its end is all that is stored.
    fn waiting_changes(&self) -> WaitingChanges {
        let jobs = |id: JobId| self.jobs.get(&id);
        let submissions = self.unsaved.new_jobs.iter().copied().filter_map(jobs);
        let submissions = submissions.filter(|job| job.outcome.is_none());
        let submissions = submissions.map(|job| self.waiting_submission(job));
        let progress = self.unsaved.progress.iter().filter_map(jobs);
        let progress = progress.map(|job| WaitingProgress {
            id: job.id,
            kind: self.progress_kind(job),
            timing: self.timing(job),
            rows: self.progress_form(job, false).rows(job),
            min_rows: self.progress_form(job, true).rows(job),
            missed_commits: self.unsaved.missed_progress.of(job.id),
        });
        WaitingChanges {
            submissions: submissions.collect(),
            progress: progress.collect(),
        }
    }

    fn timing(&self, job: &Job) -> JobTiming {
        let min_remaining_ms = if job.outcome.is_some() {
            0
        } else {
            min_remaining_ms(job)
        };
        JobTiming {
            age_ms: self.now.saturating_sub(job.accepted_ms),
            min_remaining_ms,
            objective_ms: job.objective_ms,
        }
    }

    fn progress_kind(&self, job: &Job) -> ProgressKind {
        let announced = self.announced.keys().any(|task| task.job == job.id);
        if announced || !job.cancellers.is_empty() || !job.stored {
            ProgressKind::Awaited
        } else if job.outcome.is_some() {
            ProgressKind::Ended
        } else {
            ProgressKind::Partial
        }
    }

    /// Returns whether a job's text is stored in its own row. An empty text is not: without a text,
    /// the row says that the text has a row of its own.
    fn stores_text_in_job_row(&self, job: &Job) -> bool {
        let text = job.text.as_deref().unwrap_or("");
        let short = !text.is_empty() && text.len() <= MAX_TEXT_IN_JOB_ROW_BYTES;
        short && self.limits.policies.texts_in_job_rows
    }

    /// Adds a submission, and returns whether it fits.
    fn add_new_job(&mut self, builder: &mut BatchBuilder, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        let account = job.account.map(|key| self.accounts.name(key).to_owned());
        let text = job.text.clone().unwrap_or_default();
        let mut rows = Vec::new();
        if self.stores_text_in_job_row(job) {
            rows.push((JOBS, encode(&job.row(account.clone(), &text))));
        }
        let fits_row = |(_, row): &(_, Vec<u8>)| row.len() <= self.limits.row_bytes;
        let open = if rows.first().is_some_and(fits_row) {
            OpenRows::WithText
        } else {
            let row = encode(&job.row(account, ""));
            rows = vec![(JOBS, row), (TEXTS, encode(&text.as_ref()))];
            OpenRows::SeparateText
        };
        if !builder.has_room_for_rows(rows.len()) {
            return false;
        }
        for (table, row) in rows {
            builder.put(table, id.to_string(), row);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.rows.open = open;
        }
        builder.new_jobs.insert(id);
        true
    }

    /// Moves ends that were stored beside the jobs' open rows to rows of their own, which a new
    /// holder reads while it serves. Those of jobs that may have runs are left in place.
    fn add_moved_ends(&mut self, builder: &mut BatchBuilder) {
        let ids: Vec<JobId> = self.unsaved.ended_in_place.iter().copied().collect();
        for id in ids {
            let job = self.jobs.get(&id);
            if job.is_some_and(|job| self.may_have_runs(job)) {
                continue;
            }
            let moves = job.is_some_and(|job| job.rows.open != OpenRows::Absent);
            if moves && !self.add_progress(builder, id, false) {
                return;
            }
            self.unsaved.ended_in_place.remove(&id);
        }
    }

    /// Removes the parts of finished jobs, then the rows of those that can no longer be asked for.
    fn add_removals(&mut self, builder: &mut BatchBuilder) {
        while let Some(key) = self.unsaved.removed_parts.last().copied() {
            if !builder.has_room() {
                return;
            }
            self.unsaved.removed_parts.pop();
            builder.remove(PROGRESS, &key);
        }
        while let Some((id, rows)) = self.unsaved.removed.last().copied() {
            if !builder.has_room_for_rows(rows.count()) {
                return;
            }
            self.unsaved.removed.pop();
            if rows.ended {
                builder.remove(ENDED, &id);
            }
            builder.remove_open_job(id, rows);
        }
    }

    fn report_pressure(&mut self, builder: &BatchBuilder) {
        let (submissions, progress) = (self.unsaved.new_jobs.len(), self.unsaved.progress.len());
        metrics::commit_under_pressure(submissions, progress);
        if self.now < self.unsaved.pressure_logged_ms + PRESSURE_LOG_INTERVAL_MS {
            return;
        }
        self.unsaved.pressure_logged_ms = self.now;
        log::info!(
            number = self.holder.number, stored_jobs = builder.new_jobs.len(),
            stored_progress = builder.progress.len(), left_jobs = submissions,
            left_progress = progress, commit_ms = self.commit_duration_ms;
            "more waits than one commit holds"
        );
    }
}
