//! Forecasts of when submitted jobs can first start, from what the planner observes.

use std::collections::BTreeMap;

use crate::config::QueueName;
use crate::ids::{JobId, Millis};
use crate::job::Step;
use crate::metrics;
use crate::planner::accounts::AccountKey;
use crate::planner::requests::RETRY_MS;
use crate::planner::Planner;
use crate::policy::admission::{
    refusal, Forecast, ForecastRefusal, RefusalCause, Stage, Standing, SubmissionTimes,
    TERM_START_MS,
};
use crate::policy::commit_order::{sort_submissions, WaitingSubmission};
use crate::policy::order::{prospect_of, Prospect};
use crate::policy::pass_interval::full_pass_interval_ms;
use crate::policy::retry_time::{no_holder_retry_ms, retry_ms, Attempt, RefusalMemory};
use crate::policy::store_capacity::{StoreCapacity, StoredCommit};
use crate::resources::Resources;
use crate::tasks::{Job, StepKey};

/// Shortest interval between counts of what waits. Between two of them a forecast misses what has arrived.
const COUNT_INTERVAL_MS: Millis = 50;

/// Observations that forecasts are made from. A new holder starts without any.
#[derive(Debug, Default)]
pub(super) struct Admission {
    store: StoreCapacity,
    /// First starts of jobs, by queue.
    starts: BTreeMap<QueueName, Stage>,
    /// CPU that accounts free while work of theirs waits for it, by account.
    quotas: BTreeMap<AccountKey, Stage>,
    /// Usage of accounts with waiting work once what fits their quotas has started.
    planned: BTreeMap<AccountKey, Resources>,
    counted_ms: Millis,
    refusals: RefusalMemory,
}

/// Why an open step has not been placed, as far as forecasts distinguish it.
enum WaitsFor {
    Start,
    Quota { cpu_milli: u64 },
}

impl Planner {
    /// Records that a batch was built. If it leaves new jobs over, commits are the bottleneck.
    pub(super) fn note_batch_built(&mut self) {
        let left_over = !self.unsaved.new_jobs.is_empty();
        self.admission.store.note_left_over(self.now, left_over);
    }

    /// Records that a commit is stored, and how many rows new jobs used or could have used.
    pub(super) fn note_commit_stored(&mut self, took_ms: Millis, rows_for_jobs: usize) {
        self.admission.store.note(StoredCommit {
            interval_ms: took_ms.max(self.limits.commit_gap_ms),
            rows_for_jobs,
        });
    }

    /// Records the first start of a job, and how far its forecast was off.
    pub(super) fn note_first_start(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if let Some(stage) = self.admission.starts.get_mut(&job.queue.name) {
            stage.rate.note_served(self.now, 1);
        }
        if let Some(forecast_ms) = job.forecast_ms {
            let waited_ms = self.now.saturating_sub(job.accepted_ms);
            metrics::forecast(job.queue.priority, forecast_ms, waited_ms);
        }
    }

    /// Records that an account's usage has fallen.
    pub(super) fn note_usage_released(&mut self, account: AccountKey, usage: Resources) {
        if let Some(stage) = self.admission.quotas.get_mut(&account) {
            stage.rate.note_served(self.now, usage.cpu_milli);
        }
    }

    /// Counts what waits for its first start and for quota. Returns whether it was time to.
    pub(super) fn count_waiting_work(&mut self) -> bool {
        let interval_ms = full_pass_interval_ms(self.open.len()).max(COUNT_INTERVAL_MS);
        let due = self.now >= self.admission.counted_ms + interval_ms;
        if !due || !self.limits.policies.admission_forecast {
            return false;
        }
        let mut admission = std::mem::take(&mut self.admission);
        admission.counted_ms = self.now;
        admission.planned.clear();
        for stage in admission.starts.values_mut() {
            stage.clear_waiting();
        }
        for stage in admission.quotas.values_mut() {
            stage.clear_waiting();
        }
        let mut last_job = None;
        for key in self.open.keys() {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            // The steps of a job follow each other, and it has only one first start.
            let first_of_job = last_job.replace(key.job) != Some(key.job);
            self.count_step(&mut admission, key, job, first_of_job);
        }
        for stage in admission.starts.values_mut() {
            stage.note_counted(self.now);
        }
        for stage in admission.quotas.values_mut() {
            stage.note_counted(self.now);
        }
        self.admission = admission;
        true
    }

    fn count_step(&self, admission: &mut Admission, key: StepKey, job: &Job, first_of_job: bool) {
        let in_time = match prospect_of(job, key, self.unix_ms) {
            Prospect::InTime => true,
            Prospect::Late => false,
            // It ranks behind every job that is submitted now.
            Prospect::Overdue => return,
        };
        let standing = standing(job);
        match self.waits_for(&mut admission.planned, key, job) {
            WaitsFor::Quota { cpu_milli } => {
                let Some(account) = job.account else {
                    return;
                };
                let stage = admission.quotas.entry(account).or_default();
                stage.add_waiting(standing, in_time, cpu_milli);
            }
            WaitsFor::Start if first_of_job && !job.started => {
                if !admission.starts.contains_key(&job.queue.name) {
                    let stage = Stage::default();
                    admission.starts.insert(job.queue.name.clone(), stage);
                }
                if let Some(stage) = admission.starts.get_mut(&job.queue.name) {
                    stage.add_waiting(standing, in_time, 1);
                }
            }
            WaitsFor::Start => {}
        }
    }

    /// Returns what a step waits for. Work that its account's quota keeps from starting is not ahead
    /// of other accounts' work. The quota is given out in order of rank, as in a pass, because
    /// between the end of a run and the next pass some of it is always free.
    fn waits_for(
        &self,
        planned: &mut BTreeMap<AccountKey, Resources>,
        key: StepKey,
        job: &Job,
    ) -> WaitsFor {
        let step = job.spec.steps.get(key.step as usize);
        let (Some(account), Some(step), Some(progress)) =
            (job.account, step, job.step_progress(key))
        else {
            return WaitsFor::Start;
        };
        let waiting = progress.waiting();
        let need = Resources::charged_to_account(step);
        let used = planned
            .entry(account)
            .or_insert_with(|| self.accounts.used(account));
        let fitting = self.accounts.tasks_beside(account, *used, need);
        let needed = if step.gang { waiting } else { 1 };
        if fitting < needed {
            let cpu_milli = need.times(waiting).cpu_milli;
            return WaitsFor::Quota { cpu_milli };
        }
        *used = used.add(need.times(waiting.min(fitting)));
        WaitsFor::Start
    }

    /// Forecasts when a job that is not in a commit yet can first start. Jobs with `rows_ahead` rows
    /// go into commits before it.
    fn forecast(&self, job: &Job, rows_ahead: usize, times: SubmissionTimes) -> Forecast {
        let in_term_ms = self.now.saturating_sub(self.claimed_ms);
        if !self.limits.policies.admission_forecast || in_term_ms < TERM_START_MS {
            return Forecast::default();
        }
        let admission = &self.admission;
        let (commit_ms, storing_ms) = self.store_forecast(rows_ahead);
        let wait_ms = |stage: Option<&Stage>, slack_ms| {
            stage.map_or(0, |stage| stage.wait_ms(self.now, standing(job), slack_ms))
        };
        let slack_ms = times.slack_ms().saturating_sub(commit_ms + storing_ms);
        let start_ms = wait_ms(admission.starts.get(&job.queue.name), slack_ms);
        let quota = job
            .account
            .filter(|account| self.quota_is_used_up(*account, job));
        let quota = quota.and_then(|account| admission.quotas.get(&account));
        let quota_ms = wait_ms(quota, slack_ms.saturating_sub(start_ms));
        Forecast {
            commit_ms,
            storing_ms,
            start_ms,
            quota_ms,
        }
    }

    /// Forecasts the wait until a job is in a commit behind jobs with `rows_ahead` rows, and the
    /// duration of that commit.
    fn store_forecast(&self, rows_ahead: usize) -> (Millis, Millis) {
        let store = &self.admission.store;
        if !store.stays_short(self.now, self.limits.store_recovery_ms) {
            return (0, 0);
        }
        match self.commit_wait_ms(rows_ahead) {
            0 => (0, 0),
            commit_ms => (commit_ms, store.interval_ms()),
        }
    }

    /// Returns how long a job waits until it is in a commit behind jobs with `rows_ahead` rows.
    fn commit_wait_ms(&self, rows_ahead: usize) -> Millis {
        let sent_ms = self.in_flight.as_ref().map(|commit| commit.first_sent_ms);
        let in_flight_ms = sent_ms.map(|sent_ms| self.now.saturating_sub(sent_ms));
        self.admission.store.wait_ms(in_flight_ms, rows_ahead)
    }

    /// Returns the rows of the waiting jobs that go into commits before one that is submitted now.
    pub(super) fn rows_ahead(&self, job: &Job) -> usize {
        let arriving = self.waiting_submission(job);
        let order = self.commit_order();
        let waiting = self.uncommitted_jobs();
        let ahead =
            waiting.filter(|waiting| waiting.precedes(&arriving, order, self.commit_duration_ms));
        ahead.map(|waiting| waiting.rows).sum()
    }

    /// Returns the jobs that wait for a commit, in order of arrival.
    fn uncommitted_jobs(&self) -> impl Iterator<Item = WaitingSubmission> + '_ {
        let jobs = self.unsaved.new_jobs.iter();
        let jobs = jobs.filter_map(|id| self.jobs.get(id));
        jobs.map(|job| self.waiting_submission(job))
    }

    /// Returns the jobs that wait for a commit, in the order in which commits take them.
    pub(super) fn jobs_in_commit_order(&self) -> Vec<WaitingSubmission> {
        let mut waiting: Vec<WaitingSubmission> = self.uncommitted_jobs().collect();
        sort_submissions(&mut waiting, self.commit_order(), self.commit_duration_ms);
        waiting
    }

    /// Returns whether an account's quota lets none of the job's first steps start beside what
    /// already waits.
    fn quota_is_used_up(&self, account: AccountKey, job: &Job) -> bool {
        let startable = |step: &Step| {
            let needed = if step.gang { step.count } else { 1 };
            let planned = self.admission.planned.get(&account).copied();
            let used = planned.unwrap_or_else(|| self.accounts.used(account));
            let need = Resources::charged_to_account(step);
            self.accounts.tasks_beside(account, used, need) >= needed
        };
        let mut first_steps = job.spec.steps.iter().filter(|step| step.after.is_empty());
        !first_steps.any(startable)
    }

    /// Returns when the caller of a refused job should retry, and remembers that it was told so.
    pub(super) fn told_retry_ms(&mut self, id: JobId, priority: u32, passes_ms: Millis) -> Millis {
        if !self.limits.policies.spread_retries {
            return RETRY_MS;
        }
        let retry_ms = retry_ms(passes_ms, id, priority);
        self.admission.refusals.remember(id, self.now, retry_ms)
    }

    /// Returns when the caller of a job should retry that its account's share or an overload of this
    /// node refuses. It is not remembered, because the job may be refused again.
    pub(super) fn spread_unremembered_retry_ms(&self, job: &Job, passes_ms: Millis) -> Millis {
        if self.limits.policies.spread_retries {
            retry_ms(passes_ms, job.id, job.queue.priority)
        } else {
            passes_ms
        }
    }

    /// Returns when the caller of a job should retry that this holder does not answer, because it
    /// ends or cannot look up the job.
    pub(super) fn unanswered_retry_ms(&self, id: JobId) -> Millis {
        if self.limits.policies.spread_retries {
            no_holder_retry_ms(id)
        } else {
            RETRY_MS
        }
    }

    /// Returns whether a job was refused before and is submitted again no sooner than told.
    pub(super) fn is_retried_as_told(&self, id: JobId) -> bool {
        self.admission.refusals.attempt(id, self.now) == Attempt::AsTold
    }

    /// Adds a job to those that wait for a commit. A retry goes before first attempts, so that it
    /// is not refused for the same cause again.
    pub(super) fn queue_new_job(&mut self, job: Job) {
        let id = job.id;
        self.admission.refusals.forget(id);
        let position = if job.retried_as_told {
            let retried = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.retried_as_told);
            self.unsaved.new_jobs.partition_point(retried)
        } else {
            self.unsaved.new_jobs.len()
        };
        self.insert_job(job);
        self.unsaved.new_jobs.insert(position, id);
    }

    /// Returns a refusal because the store does not take a job in time.
    pub(super) fn store_refusal(&self, rows_ahead: usize) -> ForecastRefusal {
        // A store that does not answer is expected to take as long again as it has until now.
        let unanswered_ms = self.claim_age_ms(self.now);
        ForecastRefusal {
            cause: RefusalCause::Store,
            passes_ms: self.commit_wait_ms(rows_ahead).max(unanswered_ms),
        }
    }

    /// Decides about a job that was just submitted, and records its forecast.
    pub(super) fn check_submission(&self, job: &mut Job) -> Option<ForecastRefusal> {
        if !self.limits.policies.admission_forecast {
            return None;
        }
        let times = self.submission_times(job);
        let forecast = self.forecast(job, self.rows_ahead(job), times);
        job.forecast_ms = Some(forecast.total_ms());
        refusal(forecast, times).filter(|_| !job.retried_as_told)
    }

    /// Decides again about a job that waits for a commit behind jobs with `rows_ahead` rows.
    pub(super) fn recheck_submission(
        &self,
        job: &Job,
        rows_ahead: usize,
    ) -> Option<ForecastRefusal> {
        if job.retried_as_told {
            return None;
        }
        let times = self.submission_times(job);
        let forecast = self.forecast(job, rows_ahead, times);
        refusal(forecast.for_recheck(), times)
    }

    pub(super) fn submission_times(&self, job: &Job) -> SubmissionTimes {
        // Services run until they are cancelled, and repeated jobs when they are due.
        let counts = !job.long_running && job.spec.repeat_count == 0 && job.objective_ms > 0;
        SubmissionTimes {
            waited_ms: self.now.saturating_sub(job.accepted_ms),
            wait_left_ms: job.refuse_at_ms.saturating_sub(self.now),
            chain_ms: job.chain_ms,
            objective_ms: counts.then_some(job.objective_ms),
        }
    }
}

fn standing(job: &Job) -> Standing {
    Standing {
        beyond: job.beyond,
        priority: job.queue.priority,
    }
}
