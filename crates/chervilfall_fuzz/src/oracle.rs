//! The oracle: compares what callers were told with what agents recorded.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use chervilfall_core::Ticket;
use chervilfall_fake::{JournalEntry, JournalKind};
use chervilfall_types::{Answer, AttemptKey, Phase, Reason, RequestKey, TaskKey, Verdict};

use crate::history::WorkKind;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// An endpoint carried more than it can.
    Overfilled(AttemptKey),
    /// The scheduler ordered more than an endpoint can carry.
    Overcommitted(AttemptKey),
    /// A task ran in two places at a time.
    RanTwice(AttemptKey, AttemptKey),
    /// A task that must not run again was started again.
    StartedAgain(TaskKey),
    /// A caller got more than one answer.
    AnsweredTwice(RequestKey),
    /// A caller got an answer to another request.
    ForeignAnswer(RequestKey),
    /// A caller was told that work did not run, but it started.
    FalseNotRun(RequestKey),
    /// A caller was told that work ran, but it did not end.
    FalseRan(RequestKey),
    /// A caller was told on a look-up that work did not run, but it had started.
    FalseLookUp(RequestKey),
    /// A look-up told the final answer of a job, and a later one told another.
    AnswerChanged(RequestKey),
    /// The outcome of a non-idempotent call was told and then not kept.
    LostOutcome(RequestKey),
    /// A caller got no answer from an instance that lives.
    NoAnswer(RequestKey),
    /// An accepted job did not become final after all faults ended.
    LostJob(RequestKey),
    /// An instance put an older configuration into force.
    VersionWentBack(u64, u64),
    /// An attempt started on an endpoint that was leaving.
    StartedOnLeaving(AttemptKey),
}

/// One submission of a request.
#[derive(Debug)]
struct Submission {
    nonce: u64,
    at_us: u64,
    answer: Option<(u64, Answer)>,
}

/// One look-up of a request's answer.
#[derive(Debug)]
struct LookUp {
    key: RequestKey,
    nonce: u64,
    answer: Option<(u64, Answer)>,
}

/// One request.
#[derive(Debug)]
struct Known {
    kind: WorkKind,
    submissions: BTreeMap<Ticket, Submission>,
    accepted: bool,
    cancelled: bool,
}

/// What the oracle knows.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    requests: BTreeMap<RequestKey, Known>,
    tickets: HashMap<Ticket, RequestKey>,
    look_ups: BTreeMap<Ticket, LookUp>,
    versions: HashMap<u64, u64>,
    pub(crate) violations: Vec<Violation>,
}

impl Oracle {
    /// Notes a submission at the run of an instance with this nonce.
    pub(crate) fn submitted(
        &mut self,
        ticket: Ticket,
        key: &RequestKey,
        kind: WorkKind,
        nonce: u64,
        at_us: u64,
    ) {
        self.tickets.insert(ticket, key.clone());
        let known = self.requests.entry(key.clone()).or_insert_with(|| Known {
            kind,
            submissions: BTreeMap::new(),
            accepted: false,
            cancelled: false,
        });
        let submission = Submission {
            nonce,
            at_us,
            answer: None,
        };
        known.submissions.insert(ticket, submission);
    }

    pub(crate) fn cancelled(&mut self, key: &RequestKey) {
        if let Some(known) = self.requests.get_mut(key) {
            known.cancelled = true;
        }
    }

    /// Notes a look-up at the run of an instance with this nonce.
    pub(crate) fn looked_up(&mut self, ticket: Ticket, key: &RequestKey, nonce: u64) {
        let look_up = LookUp {
            key: key.clone(),
            nonce,
            answer: None,
        };
        self.look_ups.insert(ticket, look_up);
    }

    /// Notes an answer.
    pub(crate) fn answered(&mut self, ticket: Ticket, answer: Answer, at_us: u64) {
        if let Some(look_up) = self.look_ups.get_mut(&ticket) {
            if answer.key != look_up.key {
                let violation = Violation::ForeignAnswer(look_up.key.clone());
                self.violations.push(violation);
            }
            look_up.answer = Some((at_us, answer));
            return;
        }
        let Some(key) = self.tickets.get(&ticket) else {
            return;
        };
        if answer.key != *key {
            self.violations.push(Violation::ForeignAnswer(key.clone()));
            return;
        }
        let Some(known) = self.requests.get_mut(key) else {
            return;
        };
        known.accepted |= match answer.phase {
            Phase::Accepted | Phase::Running => true,
            Phase::Done => answer.verdict == Some(Verdict::Ran),
            Phase::Queued | Phase::Refused | Phase::Cancelled | Phase::Unknown => false,
        };
        let Some(submission) = known.submissions.get_mut(&ticket) else {
            return;
        };
        if submission.answer.is_some() {
            self.violations.push(Violation::AnsweredTwice(key.clone()));
            return;
        }
        submission.answer = Some((at_us, answer));
    }

    /// Notes the version that a run of an instance has in force.
    pub(crate) fn version(&mut self, nonce: u64, version: u64) {
        let highest = self.versions.entry(nonce).or_default();
        if version < *highest {
            let violation = Violation::VersionWentBack(*highest, version);
            self.violations.push(violation);
        }
        *highest = version;
    }

    /// Returns the jobs that were accepted, with whether they may stay unfinished.
    pub(crate) fn accepted_jobs(&self) -> Vec<RequestKey> {
        let is_job = |known: &Known| {
            known.accepted
                && matches!(
                    known.kind,
                    WorkKind::Batch | WorkKind::BatchOnce | WorkKind::Gang
                )
        };
        self.requests
            .iter()
            .filter(|(_, known)| is_job(known))
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Returns the non-idempotent calls that were told to have run by the instance that ran them,
    /// if it still runs: a repeat of their keys must get that outcome. Another instance may have
    /// heard it from a holder that died before it was durable.
    pub(crate) fn outcomes_told(
        &self,
        journal: &[JournalEntry],
        alive: &HashSet<u64>,
    ) -> Vec<RequestKey> {
        let origins: HashSet<(&RequestKey, u64)> = journal
            .iter()
            .map(|entry| (&entry.attempt.task.request, entry.attempt.origin))
            .collect();
        let told = |key: &RequestKey, submission: &Submission| {
            let verdict = submission.answer.as_ref().and_then(|(_, a)| a.verdict);
            let ran_it = origins.contains(&(key, submission.nonce));
            verdict == Some(Verdict::Ran) && ran_it && alive.contains(&submission.nonce)
        };
        self.requests
            .iter()
            .filter(|(_, known)| known.kind == WorkKind::Match)
            .filter(|(key, known)| known.submissions.values().any(|s| told(key, s)))
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Checks everything at the end of a history.
    pub(crate) fn finish(&mut self, journal: &[JournalEntry], alive: &HashSet<u64>) {
        self.check_journal(journal);
        self.check_answers(journal, alive);
        self.check_look_ups(journal, alive);
        self.check_final_answers();
    }

    /// Checks that the final answer of a job stays the same, whoever holds its shard.
    fn check_final_answers(&mut self) {
        let mut told: HashMap<&RequestKey, Vec<(u64, &Answer)>> = HashMap::new();
        for look_up in self.look_ups.values() {
            if let Some((at_us, answer)) = &look_up.answer {
                told.entry(&look_up.key).or_default().push((*at_us, answer));
            }
        }
        let mut violations = Vec::new();
        for (key, known) in &self.requests {
            let is_job = !matches!(known.kind, WorkKind::Check | WorkKind::Match);
            if is_job && told.get_mut(key).is_some_and(|told| changed(told)) {
                violations.push(Violation::AnswerChanged(key.clone()));
            }
        }
        self.violations.extend(violations);
    }

    /// Checks that a look-up speaks of the key, whatever became of single submissions of it.
    ///
    /// Repeats of an idempotent call through several instances are executions of their own, of
    /// which a look-up tells one.
    fn check_look_ups(&mut self, journal: &[JournalEntry], alive: &HashSet<u64>) {
        let mut first_starts: HashMap<&RequestKey, u64> = HashMap::new();
        for entry in journal {
            if let JournalKind::Started { .. } = entry.kind {
                let key = &entry.attempt.task.request;
                first_starts.entry(key).or_insert(entry.at_us);
            }
        }
        for look_up in self.look_ups.values() {
            let key = &look_up.key;
            let Some((at_us, answer)) = &look_up.answer else {
                if alive.contains(&look_up.nonce) {
                    self.violations.push(Violation::NoAnswer(key.clone()));
                }
                continue;
            };
            let kind = self.requests.get(key).map(|known| known.kind);
            let started = first_starts.get(key).is_some_and(|first| first <= at_us);
            if answer.verdict == Some(Verdict::NotRun) && started && kind != Some(WorkKind::Check) {
                self.violations.push(Violation::FalseLookUp(key.clone()));
            }
        }
    }

    fn check_journal(&mut self, journal: &[JournalEntry]) {
        let mut running: HashMap<&TaskKey, BTreeSet<&AttemptKey>> = HashMap::new();
        let mut starts: HashMap<&TaskKey, u32> = HashMap::new();
        for entry in journal {
            let task = &entry.attempt.task;
            match &entry.kind {
                JournalKind::Started {
                    reserved,
                    capacity,
                    leaving,
                } => {
                    if !reserved.fits(capacity) {
                        let violation = Violation::Overfilled(entry.attempt.clone());
                        self.violations.push(violation);
                    }
                    if *leaving {
                        let violation = Violation::StartedOnLeaving(entry.attempt.clone());
                        self.violations.push(violation);
                    }
                    *starts.entry(task).or_default() += 1;
                    let others = running.entry(task).or_default();
                    let rival = others.iter().find(|other| self.are_rivals(other, entry));
                    if let Some(rival) = rival {
                        let violation =
                            Violation::RanTwice((*rival).clone(), entry.attempt.clone());
                        self.violations.push(violation);
                    }
                    others.insert(&entry.attempt);
                }
                JournalKind::Ended(_) => {
                    if let Some(others) = running.get_mut(task) {
                        others.remove(&entry.attempt);
                    }
                }
            }
        }
        for (task, count) in starts {
            let once = self
                .requests
                .get(&task.request)
                .is_some_and(|known| matches!(known.kind, WorkKind::Match | WorkKind::BatchOnce));
            if once && count > 1 {
                self.violations.push(Violation::StartedAgain(task.clone()));
            }
        }
    }

    /// Returns whether two running attempts of a task break the promise: repeats of an idempotent
    /// call through several instances are executions of their own.
    fn are_rivals(&self, other: &AttemptKey, entry: &JournalEntry) -> bool {
        let kind = self
            .requests
            .get(&entry.attempt.task.request)
            .map(|known| known.kind);
        kind != Some(WorkKind::Check) || other.origin == entry.attempt.origin
    }

    fn check_answers(&mut self, journal: &[JournalEntry], alive: &HashSet<u64>) {
        let mut starts: HashMap<&RequestKey, Vec<(u64, u64)>> = HashMap::new();
        let mut ended: HashSet<&RequestKey> = HashSet::new();
        for entry in journal {
            let key = &entry.attempt.task.request;
            match entry.kind {
                JournalKind::Started { .. } => {
                    let start = (entry.at_us, entry.attempt.origin);
                    starts.entry(key).or_default().push(start);
                }
                JournalKind::Ended(_) => {
                    ended.insert(key);
                }
            }
        }
        let mut violations = Vec::new();
        for (key, known) in &self.requests {
            let starts = starts.get(key).map_or(&[][..], Vec::as_slice);
            for submission in known.submissions.values() {
                let Some((at_us, answer)) = &submission.answer else {
                    if alive.contains(&submission.nonce) {
                        violations.push(Violation::NoAnswer(key.clone()));
                    }
                    continue;
                };
                if answer.verdict == Some(Verdict::NotRun)
                    && started_despite(known, submission, *at_us, starts)
                {
                    violations.push(Violation::FalseNotRun(key.clone()));
                }
                if answer.verdict == Some(Verdict::Ran) && !ended.contains(key) {
                    violations.push(Violation::FalseRan(key.clone()));
                }
            }
        }
        self.violations.extend(violations);
    }
}

/// Returns whether a final answer was followed by another one. That one submission was refused, or
/// that its outcome was not known in time, says nothing of the job.
fn changed(told: &mut [(u64, &Answer)]) -> bool {
    told.sort_by_key(|(at_us, _)| *at_us);
    let speaks = |answer: &&Answer| {
        let of_submission = matches!(
            answer.reason,
            Some(Reason::Deadline | Reason::StoreUnavailable)
        );
        !of_submission && matches!(answer.phase, Phase::Done | Phase::Cancelled)
    };
    let mut finals = told.iter().map(|(_, answer)| *answer).filter(speaks);
    let Some(first) = finals.next() else {
        return false;
    };
    finals.any(|answer| answer.phase != first.phase || answer.verdict != first.verdict)
}

/// Returns whether work started although a submission was answered with "not run".
///
/// The verdict speaks of the submission. A call's attempts carry the nonce of the instance that
/// took it, so a start counts against the verdict if it has that nonce and no other submission
/// at the same instance explains it. A job's attempts do not tell the submission, so a start
/// counts only if every submission was answered with "not run".
fn started_despite(
    known: &Known,
    submission: &Submission,
    answered_us: u64,
    starts: &[(u64, u64)],
) -> bool {
    match known.kind {
        WorkKind::Check | WorkKind::Match => {
            let explained = |at_us: u64| {
                known.submissions.values().any(|other| {
                    other.nonce == submission.nonce
                        && other.at_us > answered_us
                        && other.at_us <= at_us
                })
            };
            let before = |at_us: u64| {
                known.submissions.values().any(|other| {
                    other.nonce == submission.nonce
                        && other.at_us < submission.at_us
                        && at_us < submission.at_us
                })
            };
            starts.iter().any(|(at_us, origin)| {
                *origin == submission.nonce && !explained(*at_us) && !before(*at_us)
            })
        }
        WorkKind::Batch | WorkKind::BatchOnce | WorkKind::Gang | WorkKind::Service => {
            let all_not_run = known.submissions.values().all(|other| {
                let verdict = other.answer.as_ref().and_then(|(_, answer)| answer.verdict);
                verdict == Some(Verdict::NotRun)
            });
            all_not_run && !starts.is_empty()
        }
    }
}
