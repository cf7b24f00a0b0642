//! What a new holder reads while it serves already: texts of inherited jobs, and jobs that have ended.
//!
//! Which rows a promise needs: a task is started only with its text, so that a job whose text has not been read waits. A
//! job's name is taken for new only once no row of an ended job bears it; until all these rows have been read, a request
//! that names an unknown job waits for a look at its one row.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::action::{Action, Answer, ReplyTo};
use crate::event::Request;
use crate::ids::{JobId, Millis};
use crate::planner::requests::RETRY_MS;
use crate::planner::Planner;
use crate::record::ProgressRow;

/// Most texts that are read before the others at the same time.
const MOST_HURRIED: usize = 16;
/// Time until a text that did not come is asked for again: one that cannot be read never comes.
const TEXT_RETRY_MS: Millis = 1_000;

/// What a look at the row of an ended job shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupResult {
    /// The row.
    Ended(ProgressRow),
    /// There is none.
    Absent,
    /// The store has not answered.
    Failed,
}

/// What is known of jobs that earlier holders have ended.
#[derive(Debug, Default)]
pub(super) struct History {
    /// All rows have been read.
    whole: bool,
    /// Jobs whose texts are being read before the others.
    hurried: BTreeSet<JobId>,
    /// Jobs whose texts did not come, and when they were asked for.
    textless: BTreeMap<JobId, Millis>,
    /// Names that no row bears.
    absent: BTreeSet<JobId>,
    /// Requests that wait for a look.
    waiting: BTreeMap<JobId, Vec<(ReplyTo, Request)>>,
}

impl History {
    /// Returns whether it is known if a job has ended that is not at hand.
    fn tells(&self, id: JobId) -> bool {
        self.whole || self.absent.contains(&id)
    }

    /// Takes the requests that wait.
    pub(super) fn take_waiting(&mut self) -> impl Iterator<Item = (ReplyTo, Request)> {
        std::mem::take(&mut self.waiting).into_values().flatten()
    }
}

impl Planner {
    /// Lets a request wait that names a job of which it is not known yet whether it has ended; returns whether it does.
    pub(super) fn waits_for_history(&mut self, to: ReplyTo, request: &Request) -> bool {
        let Some(id) = request.job() else {
            return false;
        };
        if self.jobs.contains_key(&id) || self.history.tells(id) {
            return false;
        }
        let waiting = self.history.waiting.entry(id).or_default();
        if waiting.is_empty() {
            self.actions.push(Action::LookUp(id));
        }
        waiting.push((to, request.clone()));
        true
    }

    pub(super) fn looked_up(&mut self, id: JobId, look: LookupResult) {
        let waiting = self.history.waiting.remove(&id).unwrap_or_default();
        match look {
            LookupResult::Ended(row) => self.take_ended(vec![(id, row)]),
            LookupResult::Absent => {
                self.history.absent.insert(id);
            }
            LookupResult::Failed => {
                for (to, request) in waiting {
                    self.reply(to, not_looked_up(&request));
                }
                return;
            }
        }
        for (to, request) in waiting {
            self.request(to, request);
        }
    }

    /// Takes in rows of jobs that have ended.
    pub(super) fn take_ended(&mut self, rows: Vec<(JobId, ProgressRow)>) {
        for (id, row) in rows {
            if !self.jobs.contains_key(&id) {
                self.restore_finished(id, &row);
                self.activate(id);
            }
        }
    }

    /// Has the text of a job read before the others: its turn has come.
    pub(super) fn request_text(&mut self, id: JobId) {
        let asked_ms = self.history.textless.get(&id);
        if asked_ms.is_some_and(|asked_ms| self.now < asked_ms + TEXT_RETRY_MS) {
            return;
        }
        if self.history.hurried.len() < MOST_HURRIED && self.history.hurried.insert(id) {
            self.actions.push(Action::ReadText(id));
        }
    }

    /// Takes in the text of a job whose turn had come; if it was not read, it is asked for again.
    pub(super) fn text_read(&mut self, id: JobId, text: Option<Arc<str>>) {
        self.history.hurried.remove(&id);
        match text {
            Some(text) => {
                self.history.textless.remove(&id);
                self.take_texts(vec![(id, text)]);
            }
            None => {
                self.history.textless.insert(id, self.now);
            }
        }
    }

    /// Takes in texts of inherited jobs.
    pub(super) fn take_texts(&mut self, texts: Vec<(JobId, Arc<str>)>) {
        for (id, text) in texts {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.text.get_or_insert(text);
            }
        }
        self.schedule_due = true;
    }

    /// Notes that all texts have been read: a job without one has none.
    pub(super) fn texts_read(&mut self) {
        for job in self.jobs.values_mut() {
            job.text.get_or_insert_with(|| Arc::from(""));
        }
        self.schedule_due = true;
    }

    /// Notes that all rows of ended jobs have been read.
    pub(super) fn history_read(&mut self) {
        self.history.whole = true;
        self.history.absent.clear();
    }
}

/// Answers a request about a job that could not be looked up: nothing was done.
pub(super) const fn not_looked_up(request: &Request) -> Answer {
    match request {
        Request::Submit { .. } => Answer::Refused { retry_ms: RETRY_MS },
        Request::Cancel { .. } => Answer::NotCancelled { retry_ms: RETRY_MS },
        Request::State { .. } | Request::Waiting { .. } => Answer::Undecided,
    }
}
