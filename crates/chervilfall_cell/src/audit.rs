//! Compares what callers were told with what endpoints recorded.

use std::collections::{BTreeMap, HashMap, HashSet};

use chervilfall_agent::AgentOutcome;
use chervilfall_fake::{JournalEntry, JournalKind};
use chervilfall_load::{Outcome, PlannedKind};
use chervilfall_schema::{Reason, Verdict};
use chervilfall_types::{AttemptKey, TaskKey};

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// An endpoint carried more than it can.
    Overfilled(String),
    /// A task ran in two places at a time.
    RanTwice(String),
    /// A non-idempotent request started more than once.
    StartedAgain(String),
    /// A caller was told that work did not run, but it started.
    FalseNotRun(String),
    /// A caller was told that work ran, but not all of it did.
    FalseRan(String),
    /// A request has no final answer.
    Lost(String),
}

/// Result of an audit.
#[derive(Debug, Clone, Default)]
pub struct Audit {
    /// Attempts that endpoints started.
    pub started: u64,
    /// Requests that were compared.
    pub requests: u64,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// Compares outcomes with the journal, which is in the order of time.
#[must_use]
pub fn audit(outcomes: &[Outcome], journal: &[JournalEntry]) -> Audit {
    let mut audit = Audit {
        requests: outcomes.len() as u64,
        ..Audit::default()
    };
    check_journal(&mut audit, journal);
    let runs = Runs::of(journal);
    for outcome in outcomes {
        check_outcome(&mut audit, outcome, &runs);
    }
    audit
}

/// Checks what needs no answer: capacity, and one running attempt for each task of a job.
fn check_journal(audit: &mut Audit, journal: &[JournalEntry]) {
    let mut running: HashMap<&TaskKey, HashSet<&AttemptKey>> = HashMap::new();
    for entry in journal {
        let task = &entry.attempt.task;
        match &entry.kind {
            JournalKind::Started {
                reserved, capacity, ..
            } => {
                audit.started += 1;
                if !reserved.fits(capacity) {
                    let text = format!("{} on {}", entry.attempt, entry.endpoint);
                    audit.violations.push(Violation::Overfilled(text));
                }
                let attempts = running.entry(task).or_default();
                attempts.insert(&entry.attempt);
                // An idempotent call that was asked for twice is two executions, told apart by
                // their origin.
                let same_origin = attempts
                    .iter()
                    .filter(|attempt| attempt.origin == entry.attempt.origin)
                    .count();
                if same_origin > 1 {
                    let text = format!("{}/{}", task.request, task.index);
                    audit.violations.push(Violation::RanTwice(text));
                }
            }
            JournalKind::Ended(_) => {
                if let Some(attempts) = running.get_mut(task) {
                    attempts.remove(&entry.attempt);
                }
            }
        }
    }
}

/// Starts, and tasks that ran to their end or failed, by request key.
struct Runs {
    starts: HashMap<String, BTreeMap<u32, u64>>,
    completed: HashMap<String, HashSet<u32>>,
    failed: HashMap<String, HashSet<u32>>,
}

impl Runs {
    fn of(journal: &[JournalEntry]) -> Self {
        let mut runs = Self {
            starts: HashMap::new(),
            completed: HashMap::new(),
            failed: HashMap::new(),
        };
        for entry in journal {
            let key = entry.attempt.task.request.as_str().to_owned();
            let index = entry.attempt.task.index;
            match &entry.kind {
                JournalKind::Started { .. } => {
                    let starts = runs.starts.entry(key).or_default();
                    *starts.entry(index).or_default() += 1;
                }
                JournalKind::Ended(AgentOutcome::Ran(_)) => {
                    runs.completed.entry(key).or_default().insert(index);
                }
                JournalKind::Ended(AgentOutcome::Failed(_)) => {
                    runs.failed.entry(key).or_default().insert(index);
                }
                JournalKind::Ended(_) => {}
            }
        }
        runs
    }
}

fn check_outcome(audit: &mut Audit, outcome: &Outcome, runs: &Runs) {
    let key = &outcome.planned.request.key;
    let starts = runs.starts.get(key);
    let most_starts = starts.and_then(|starts| starts.values().max().copied());
    if !outcome.planned.idempotent && most_starts.unwrap_or(0) > 1 {
        let violation = Violation::StartedAgain(key.clone());
        audit.violations.push(violation);
    }
    let verdict = outcome.answer.as_ref().and_then(|answer| answer.verdict);
    let ends = Ends {
        completed: runs.completed.get(key).cloned().unwrap_or_default(),
        failed: runs.failed.get(key).cloned().unwrap_or_default(),
    };
    match verdict {
        // The verdict speaks of the last try: after a try whose connection was lost it does not
        // tell what that one did.
        Some(Verdict::NotRun) if most_starts.is_some() && outcome.lost_tries == 0 => {
            let text = described(outcome);
            audit.violations.push(Violation::FalseNotRun(text));
        }
        Some(Verdict::Ran) if !ran(outcome, &ends) => {
            let text = described(outcome);
            audit.violations.push(Violation::FalseRan(text));
        }
        None => audit.violations.push(Violation::Lost(described(outcome))),
        Some(Verdict::NotRun | Verdict::MayHaveRun | Verdict::Ran) => {}
    }
}

/// Returns what is known of an outcome, for the reader of a report.
fn described(outcome: &Outcome) -> String {
    let answer = outcome.answer.as_ref();
    let reason = answer.and_then(|answer| answer.reason);
    format!(
        "{} ({}, {:?}, {} tries, {} lost)",
        outcome.planned.request.key,
        outcome.planned.kind.name(),
        reason,
        outcome.tries,
        outcome.lost_tries
    )
}

/// Tasks of a request that ended by themselves.
struct Ends {
    completed: HashSet<u32>,
    failed: HashSet<u32>,
}

/// Returns whether the tasks ended as the verdict that the request ran says: all to their end, or,
/// if the answer says that a task failed, each in one way and at least one by failing.
fn ran(outcome: &Outcome, ends: &Ends) -> bool {
    let told_failed = outcome
        .answer
        .as_ref()
        .is_some_and(|answer| answer.reason == Some(Reason::TaskFailed));
    let ended = if told_failed {
        ends.completed.union(&ends.failed).count()
    } else {
        ends.completed.len()
    } as u64;
    let enough = match outcome.planned.kind {
        PlannedKind::StatusCheck | PlannedKind::LendingMatch => ended >= 1,
        PlannedKind::Batch | PlannedKind::Gang => ended == outcome.planned.tasks,
        PlannedKind::Service => true,
    };
    enough && (!told_failed || !ends.failed.is_empty())
}
