//! Handling of callers' requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::account::AccountName;
use crate::action::{Action, Answer, JobState, ReplyTo};
use crate::advice::Advice;
use crate::config::Queue;
use crate::event::{Asker, Request};
use crate::ids::{JobId, Millis};
use crate::job::JobSpec;
use crate::metrics;
use crate::planner::Planner;
use crate::policy::admission::{ForecastRefusal, RefusalCause};
use crate::policy::share::ShareAdmission;
use crate::record::{encode, JobRow};
use crate::tasks::{Job, TaskState};

/// Time after which a refused caller should retry if retries are not spread: about the length of a
/// takeover or a short outage.
pub(super) const RETRY_MS: Millis = 1_000;

/// Records the refusal of a submission that no job was made of, so that there is no forecast.
pub(super) fn record_unknown_refusal(
    request: &Request,
    cause: &'static str,
    retry_ms: Millis,
    event: &'static str,
) {
    let Request::Submit {
        queue, id, account, ..
    } = request
    else {
        return;
    };
    metrics::refused(cause);
    log::info!(
        job:% = id, queue = queue.name.as_str(), account = account.as_deref(), cause = cause,
        retry_ms = retry_ms;
        "{event}"
    );
}

/// Log line of a refusal that a forecast decides.
const FORECAST_EVENT: &str = "refused by forecast";

/// Log line of a refusal because this node is behind.
const OVERLOAD_EVENT: &str = "refused, the holder is behind";

/// Log line of a refusal because accepted work uses the account's quota up.
const QUOTA_EVENT: &str = "refused, the account's quota does not allow it in time";

/// A job as its caller submits it.
struct Submission {
    queue: Queue,
    id: JobId,
    spec: JobSpec,
    /// How long it may wait for a commit.
    wait_ms: Millis,
    account: Option<AccountName>,
}

impl Planner {
    pub(super) fn handle_request(&mut self, to: ReplyTo, request: Request) {
        if self.defer_until_looked_up(to, &request) {
            return;
        }
        match request {
            Request::Submit {
                queue,
                id,
                spec,
                wait_ms,
                account,
            } => {
                let submission = Submission {
                    queue,
                    id,
                    spec,
                    wait_ms,
                    account,
                };
                self.submit(to, submission);
            }
            Request::State { id, asker } if self.is_foreign_job(id, &asker) => {
                self.reply(to, Answer::Unknown);
            }
            Request::Cancel { id, asker } if self.is_foreign_job(id, &asker) => {
                self.reply(to, Answer::Unknown);
            }
            Request::State { id, .. } => self.answer_state(to, id),
            Request::Cancel { id, .. } => self.cancel(to, id),
            Request::Waiting { queue } => self.answer_waiting_count(to, &queue),
        }
    }

    /// Returns whether a job must be hidden from the caller because it belongs to another account.
    /// A caller without an account sees an account's job only if it names the job's queue, which
    /// has stopped requiring a key since.
    fn is_foreign_job(&self, id: JobId, asker: &Asker) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let Some(owner) = job.account else {
            return false;
        };
        match &asker.account {
            Some(account) => self.accounts.name(owner) != account,
            None => job.queue.name != asker.queue,
        }
    }

    pub(super) fn reply(&mut self, to: ReplyTo, answer: Answer) {
        self.actions.push(Action::Reply { to, answer });
    }

    fn submit(&mut self, to: ReplyTo, submission: Submission) {
        let id = submission.id;
        let asker = Asker {
            account: submission.account.clone(),
            queue: submission.queue.name.clone(),
        };
        if self.is_foreign_job(id, &asker) {
            log::info!(job:% = id; "refused, another account has a job of this name");
            self.reply(to, Answer::NameTaken);
            return;
        }
        if self.jobs.contains_key(&id) {
            self.submit_known_job(to, id);
            return;
        }
        match self.admit(submission) {
            Ok(mut job) => {
                job.submitters.push(to);
                self.queue_new_job(job);
            }
            Err(answer) => self.reply(to, answer),
        }
    }

    fn submit_known_job(&mut self, to: ReplyTo, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.pre_cancelled {
            self.accept_pre_cancelled(to, id);
        } else if job.stored && job.submitters.is_empty() {
            self.reply(to, Answer::Accepted);
        } else {
            job.submitters.push(to);
        }
    }

    /// Decides whether a new job is accepted.
    ///
    /// # Errors
    ///
    /// The answer to its caller if it is not.
    fn admit(&mut self, submission: Submission) -> Result<Job, Answer> {
        let mut job = self.new_job(submission)?;
        if let Some(answer) = self.refuse_by_overload(&job) {
            return Err(answer);
        }
        if let Some(answer) = self.refuse_by_memory(&job) {
            return Err(answer);
        }
        let refusal = self.check_submission(&mut job);
        if self.unsaved.new_jobs.len() >= self.limits.accept_queue {
            let refusal = self.store_refusal(self.rows_ahead(&job));
            let event = "refused, too many wait for the store";
            return Err(self.refuse(&job, refusal, event));
        }
        if let Some(refusal) = refusal {
            return Err(self.refuse(&job, refusal, FORECAST_EVENT));
        }
        self.charge_account(&mut job)?;
        if let Some(refusal) = self.check_quota(&mut job) {
            self.end_share(&job);
            return Err(self.refuse(&job, refusal, QUOTA_EVENT));
        }
        if job.beyond {
            // It ranks behind more jobs than those that were counted.
            if let Some(refusal) = self.check_submission(&mut job) {
                self.end_share(&job);
                return Err(self.refuse(&job, refusal, FORECAST_EVENT));
            }
        }
        Ok(job)
    }

    /// Refuses a job if this node is behind, also one that retries as told: nothing else relieves it.
    fn refuse_by_overload(&self, job: &Job) -> Option<Answer> {
        let passes_ms = self.overload.retry_ms(self.now)?;
        let retry_ms = self.spread_unremembered_retry_ms(job, passes_ms);
        self.record_refusal(
            job,
            RefusalCause::Overload.label(),
            retry_ms,
            OVERLOAD_EVENT,
        );
        Some(Answer::Refused { retry_ms })
    }

    /// Returns the job of a submission.
    ///
    /// # Errors
    ///
    /// The answer to its caller if there is no such queue, or the job is too large.
    fn new_job(&mut self, submission: Submission) -> Result<Job, Answer> {
        let Submission {
            queue,
            id,
            mut spec,
            wait_ms,
            account: name,
        } = submission;
        let queue = self.newest_queue(queue).ok_or(Answer::NoQueue)?;
        let text: Arc<str> = Arc::from(std::mem::take(&mut spec.spec));
        let row = JobRow {
            queue,
            spec,
            accepted_unix_ms: self.unix_ms,
            account: name.clone(),
            beyond: false,
        };
        let bytes = encode(&row).len().max(encode(&text.as_ref()).len());
        if bytes > self.limits.row_bytes {
            log::info!(job:% = id, account = name.as_deref(), bytes = bytes; "refused, too large for a row");
            return Err(Answer::TooLarge);
        }
        let mut job = Job::new(id, row, self.now);
        job.account = name.map(|name| self.accounts.key(&name, self.now));
        job.text = Some(text);
        job.refuse_at_ms = self.now + wait_ms;
        job.retried_as_told = self.is_retried_as_told(id);
        Ok(job)
    }

    /// Charges a job to its account's share.
    ///
    /// # Errors
    ///
    /// The answer to its caller if the account exceeds its share.
    fn charge_account(&mut self, job: &mut Job) -> Result<(), Answer> {
        let admission = self.charge_share(job.account);
        job.beyond = admission == ShareAdmission::OverShare;
        let ShareAdmission::Refused { retry_ms } = admission else {
            return Ok(());
        };
        let retry_ms = self.spread_unremembered_retry_ms(job, retry_ms);
        let event = "refused, the account exceeds its share";
        self.record_refusal(job, "share", retry_ms, event);
        Err(Answer::OverShare { retry_ms })
    }

    /// Refuses a job that is in no commit, and returns the answer to its callers.
    fn refuse(&mut self, job: &Job, refusal: ForecastRefusal, event: &'static str) -> Answer {
        let retry_ms = self.told_retry_ms(job.id, job.queue.priority, refusal.passes_ms);
        self.record_refusal(job, refusal.cause.label(), retry_ms, event);
        Answer::Refused { retry_ms }
    }

    /// Records a refusal with the facts that it follows from.
    pub(super) fn record_refusal(
        &self,
        job: &Job,
        cause: &'static str,
        retry_ms: Millis,
        event: &'static str,
    ) {
        metrics::refused(cause);
        log::info!(
            job:% = job.id, queue = job.queue.name.as_str(),
            account = job.account.map(|account| self.accounts.name(account)),
            cause = cause, forecast_ms = job.forecast_ms, quota_ms = job.quota_ms,
            chain_ms = job.chain_ms, objective_ms = job.objective_ms,
            waited_ms = self.now.saturating_sub(job.accepted_ms),
            may_wait_ms = job.refuse_at_ms.saturating_sub(job.accepted_ms),
            claim_age_ms = self.claim_age_ms(self.now), retry_ms = retry_ms;
            "{event}"
        );
    }

    /// Returns a queue as defined by the newer of two configurations: that of the node that
    /// received the request, and the planner's. Returns `None` if the newer one has no such queue.
    fn newest_queue(&self, named: Queue) -> Option<Queue> {
        let config = &self.config;
        if named.configuration > config.version {
            return Some(named);
        }
        let known = config.queues.get(&named.name).cloned();
        if known.is_none() && named.configuration < config.version {
            log::info!(
                queue = named.name.as_str(), named = named.configuration, configuration = config.version;
                "refused, the queue no longer exists"
            );
            return None;
        }
        Some(known.unwrap_or(named))
    }

    /// Refuses submissions that did not get into a batch in time and, with `recheck`, those that by
    /// a new forecast cannot complete in time. None of them is in a commit.
    pub(super) fn refuse_overdue(&mut self, recheck: bool) {
        let mut new_jobs = self.unsaved.new_jobs.iter();
        let is_overdue = |id| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| self.now >= job.refuse_at_ms)
        };
        if !recheck && !new_jobs.any(is_overdue) {
            return;
        }
        let mut refusals = BTreeMap::new();
        let mut rows_ahead = 0;
        for waiting in self.jobs_in_commit_order() {
            match self.refusal_of_waiting(waiting.id, rows_ahead, recheck) {
                Some(refusal) => {
                    refusals.insert(waiting.id, refusal);
                }
                None => rows_ahead += waiting.rows,
            }
        }
        let new_jobs = &mut self.unsaved.new_jobs;
        let jobs = &self.jobs;
        new_jobs.retain(|id| jobs.contains_key(id) && !refusals.contains_key(id));
        for (id, refusal) in refusals {
            self.refuse_waiting(id, refusal);
        }
    }

    /// Returns why a submission that waits for a commit behind jobs with `rows_ahead` rows is
    /// refused, if it is.
    fn refusal_of_waiting(
        &self,
        id: JobId,
        rows_ahead: usize,
        recheck: bool,
    ) -> Option<ForecastRefusal> {
        let job = self.jobs.get(&id)?;
        if self.now >= job.refuse_at_ms {
            return Some(self.store_refusal(rows_ahead));
        }
        if !recheck || job.outcome.is_some() {
            return None;
        }
        self.recheck_submission(job, rows_ahead)
    }

    /// Refuses a submission that waits for a commit.
    fn refuse_waiting(&mut self, id: JobId, refusal: ForecastRefusal) {
        self.release_share(id);
        let Some(job) = self.remove_job(id) else {
            return;
        };
        self.unsaved.progress.remove(id);
        let event = if self.now >= job.refuse_at_ms {
            "refused, the store does not answer"
        } else {
            FORECAST_EVENT
        };
        let answer = self.refuse(&job, refusal, event);
        for to in job.submitters {
            self.reply(to, answer);
        }
        for to in job.cancellers {
            self.cancel(to, id);
        }
    }

    fn answer_state(&mut self, to: ReplyTo, id: JobId) {
        let answer = match self.jobs.get(&id) {
            Some(job) if job.pre_cancelled => Answer::Unknown,
            Some(job) if job.stored => Answer::State(job.state()),
            // Its commit may be stored already; the caller can retry.
            Some(_) => Answer::Undecided,
            None if self.may_be_deposed() => Answer::Undecided,
            None => Answer::Unknown,
        };
        self.reply(to, answer);
    }

    /// Returns whether another node may hold the group by now and have newer state: the claim has
    /// not been confirmed for the time after which other nodes claim the group. This happens when
    /// the process or its machine was paused.
    fn may_be_deposed(&self) -> bool {
        self.claim_age_ms(self.now) >= self.commit_gaps.stall_timeout_ms()
    }

    fn cancel(&mut self, to: ReplyTo, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.cancel_unknown(to, id);
            return;
        };
        if job.pre_cancelled && job.cancel_stored {
            self.reply(to, Answer::Unknown);
            return;
        }
        if job.cancel_stored || job.visible_outcome.is_some() {
            self.reply(to, Answer::Cancelled);
            return;
        }
        job.cancellers.push(to);
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        self.unsaved.progress.insert(id);
        log::info!(job:% = id; "cancel requested");
        self.finish_job(id, JobState::Cancelled);
    }

    /// Records the cancellation of a job that has not been submitted: the submission may still be
    /// in flight, held by a node that waits for a holder. The caller is answered once the
    /// cancellation is stored, so that no later holder runs the job.
    fn cancel_unknown(&mut self, to: ReplyTo, id: JobId) {
        if self.pre_cancelled_jobs >= self.limits.max_pre_cancelled_jobs {
            self.reply(to, Answer::Unknown);
            return;
        }
        let mut job = Job::new(id, JobRow::default(), self.now);
        job.stored = true;
        job.cancelled = true;
        job.pre_cancelled = true;
        job.outcome = Some(JobState::Cancelled);
        job.finished_ms = Some(self.now);
        job.cancellers.push(to);
        self.insert_job(job);
        self.pre_cancelled_jobs += 1;
        self.finished.push_back((self.now, id));
        self.unsaved.progress.insert(id);
        log::info!(job:% = id; "cancel requested before the job was submitted");
    }

    /// Accepts the submission of a job that was cancelled before; the job never runs. The caller is
    /// answered once this is stored, so that a later holder knows the job.
    fn accept_pre_cancelled(&mut self, to: ReplyTo, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.pre_cancelled = false;
        job.submitters.push(to);
        self.pre_cancelled_jobs -= 1;
        self.unsaved.progress.insert(id);
        log::info!(job:% = id; "submitted after it was cancelled, never runs");
    }

    /// Ends a job: none of its tasks start any more, and its runs are stopped.
    pub(super) fn finish_job(&mut self, id: JobId, outcome: JobState) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        job.outcome = Some(outcome);
        job.finished_ms = Some(self.now);
        let age_ms = self.now.saturating_sub(job.accepted_ms);
        log::info!(
            job:% = id, queue = job.queue.name.as_str(), outcome:? = outcome, age_ms = age_ms,
            objective_ms = job.objective_ms;
            "job finished"
        );
        self.unsaved.progress.insert(id);
        self.finished.push_back((self.now, id));
        self.release_share(id);
        self.open.remove_job(id);
        self.clear_advice(id);
        self.watch_ended_job(id);
        self.stop_runs(id);
    }

    /// Drops the advice for a job's steps. A finished job is kept only to answer status requests,
    /// and the tickets of the advice take a large part of a holder's memory.
    fn clear_advice(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for progress in job.occurrences.values_mut().flatten() {
            progress.advice = Advice::default();
        }
    }

    fn stop_runs(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut placed = Vec::new();
        for (occurrence, steps) in &job.occurrences {
            for (step, progress) in (0_u16..).zip(steps) {
                for (index, task) in progress.tasks.begun() {
                    if let TaskState::Placed(endpoint, run) = task.state {
                        let key = crate::ids::TaskKey {
                            job: id,
                            occurrence: *occurrence,
                            step,
                            index,
                        };
                        placed.push((endpoint, key, run));
                    }
                }
            }
        }
        for (endpoint, task, run) in placed {
            self.begin_stop(endpoint, task, run);
        }
    }

    fn answer_waiting_count(&mut self, to: ReplyTo, queue: &str) {
        let answer = Answer::Waiting(self.waiting_jobs(queue));
        self.reply(to, answer);
    }
}
