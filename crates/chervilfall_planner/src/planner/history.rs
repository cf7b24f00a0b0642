//! Rows that a new holder reads while it already serves requests: texts of inherited jobs, and
//! finished jobs.
//!
//! A task is started only with its text, so a job whose text has not been read waits. A job's name
//! counts as new only if no finished job has it. Until all rows of finished jobs have been read, a
//! request that names an unknown job waits for a lookup of that job's row.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::action::{Action, Answer, ReplyTo};
use crate::event::Request;
use crate::ids::{JobId, Millis};
use crate::planner::requests::record_unknown_refusal;
use crate::planner::Planner;
use crate::policy::admission::RefusalCause;
use crate::record::ProgressRow;

/// Upper limit on the texts that are read ahead of the others at the same time.
const MAX_PRIORITIZED_TEXTS: usize = 16;
/// Time until a text whose read failed is requested again. A text that cannot be read fails every
/// time.
const TEXT_RETRY_MS: Millis = 1_000;

/// Result of a lookup of a finished job's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupResult {
    /// The row.
    Ended(ProgressRow),
    /// There is no such row.
    Absent,
    /// The store did not answer.
    Failed,
}

/// Knowledge of the jobs that finished under earlier holders.
#[derive(Debug, Default)]
pub(super) struct History {
    /// Whether all rows of finished jobs have been read.
    complete: bool,
    /// Jobs whose texts are being read ahead of the others.
    prioritized: BTreeSet<JobId>,
    /// Jobs whose texts could not be read, and when the last read failed.
    missing_texts: BTreeMap<JobId, Millis>,
    /// Jobs that a lookup did not find.
    absent: BTreeSet<JobId>,
    /// Requests that wait for a lookup.
    waiting: BTreeMap<JobId, Vec<(ReplyTo, Request)>>,
}

impl History {
    /// Returns whether a job that is not in memory is known not to have finished earlier.
    fn is_known_absent(&self, id: JobId) -> bool {
        self.complete || self.absent.contains(&id)
    }

    /// Removes and returns the waiting requests.
    pub(super) fn take_waiting(&mut self) -> impl Iterator<Item = (ReplyTo, Request)> {
        std::mem::take(&mut self.waiting).into_values().flatten()
    }
}

impl Planner {
    /// Defers a request if it is unknown whether the job that it names has finished earlier.
    /// Returns whether the request was deferred.
    pub(super) fn defer_until_looked_up(&mut self, to: ReplyTo, request: &Request) -> bool {
        let Some(id) = request.job() else {
            return false;
        };
        if self.jobs.contains_key(&id) || self.history.is_known_absent(id) {
            return false;
        }
        let waiting = self.history.waiting.entry(id).or_default();
        if waiting.is_empty() {
            self.actions.push(Action::LookUp(id));
        }
        waiting.push((to, request.clone()));
        true
    }

    pub(super) fn handle_lookup_result(&mut self, id: JobId, result: LookupResult) {
        let waiting = self.history.waiting.remove(&id).unwrap_or_default();
        match result {
            LookupResult::Ended(row) => self.restore_ended(vec![(id, row)]),
            LookupResult::Absent => {
                self.history.absent.insert(id);
            }
            LookupResult::Failed => {
                for (to, request) in waiting {
                    let answer = self.lookup_failed_answer(id, &request);
                    self.reply(to, answer);
                }
                return;
            }
        }
        for (to, request) in waiting {
            self.handle_request(to, request);
        }
    }

    /// Returns the answer to a request about a job that the store could not look up.
    fn lookup_failed_answer(&mut self, id: JobId, request: &Request) -> Answer {
        let passes_ms = self.claim_age_ms(self.now);
        let retry_ms = match request {
            Request::Submit { queue, .. } => self.told_retry_ms(id, queue.priority, passes_ms),
            _ => self.unanswered_retry_ms(id),
        };
        let event = "refused, the job could not be looked up";
        record_unknown_refusal(request, RefusalCause::Store.label(), retry_ms, event);
        not_looked_up_answer(request, retry_ms)
    }

    /// Restores finished jobs from their rows.
    pub(super) fn restore_ended(&mut self, rows: Vec<(JobId, ProgressRow)>) {
        for (id, row) in rows {
            if !self.jobs.contains_key(&id) {
                self.restore_finished_job(id, &row);
                self.activate(id);
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.rows.ended = true;
            }
        }
    }

    /// Requests the text of a job ahead of the others, because the job has tasks to start.
    pub(super) fn request_text(&mut self, id: JobId) {
        let asked_ms = self.history.missing_texts.get(&id);
        if asked_ms.is_some_and(|asked_ms| self.now < asked_ms + TEXT_RETRY_MS) {
            return;
        }
        if self.history.prioritized.len() < MAX_PRIORITIZED_TEXTS
            && self.history.prioritized.insert(id)
        {
            self.actions.push(Action::ReadText(id));
        }
    }

    /// Handles the result of [`Self::request_text`]. A failed read can be requested again later.
    pub(super) fn handle_text_read(&mut self, id: JobId, text: Option<Arc<str>>) {
        self.history.prioritized.remove(&id);
        match text {
            Some(text) => {
                self.history.missing_texts.remove(&id);
                self.add_texts(vec![(id, text)]);
            }
            None => {
                self.history.missing_texts.insert(id, self.now);
            }
        }
    }

    /// Adds texts of inherited jobs.
    pub(super) fn add_texts(&mut self, texts: Vec<(JobId, Arc<str>)>) {
        for (id, text) in texts {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.text.get_or_insert(text);
            }
        }
        self.schedule_due = true;
    }

    /// Records that all texts have been read: a job without a text gets an empty one.
    pub(super) fn handle_all_texts_read(&mut self) {
        for job in self.jobs.values_mut() {
            job.text.get_or_insert_with(|| Arc::from(""));
        }
        self.schedule_due = true;
    }

    /// Records that all rows of finished jobs have been read.
    pub(super) fn handle_history_read(&mut self) {
        self.history.complete = true;
        self.history.absent.clear();
    }
}

/// Returns the answer to a request about a job that was not looked up; nothing was changed.
pub(super) const fn not_looked_up_answer(request: &Request, retry_ms: Millis) -> Answer {
    match request {
        Request::Submit { .. } => Answer::Refused { retry_ms },
        Request::Cancel { .. } => Answer::NotCancelled { retry_ms },
        Request::State { .. } | Request::Waiting { .. } => Answer::Undecided,
    }
}
