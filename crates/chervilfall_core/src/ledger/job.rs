//! One job and its tasks, as the holder of its shard sees them.

use std::collections::{BTreeMap, VecDeque};

use chervilfall_types::{
    Answer, AttemptKey, DomainName, EndpointName, EntryId, Epoch, ExplainEvent, Instant, Phase,
    Reason, Request, RequestKey, TaskCounts, TaskKey, Verdict, WorkClass,
};
use chervilfall_wire::RequestDigest;

use crate::ledger::record::TaskOutcome;

/// An attempt that may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Out {
    pub(crate) attempt: AttemptKey,
    pub(crate) owner: EntryId,
    /// Our time after which it does not start.
    pub(crate) start_by: Instant,
    /// Where it runs, once that is known, and the epoch of the owner who said so.
    pub(crate) place: Option<(EndpointName, Epoch)>,
    /// Whether contact with its owner was lost.
    pub(crate) lost: bool,
}

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// No attempt at it runs.
    Waiting,
    /// An attempt may run.
    Out(Out),
    /// Whether an attempt at it runs is not known yet.
    Recovering,
    /// Its outcome is final.
    Ended(TaskOutcome),
}

/// One task.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) phase: TaskPhase,
    /// Number of its last attempt.
    pub(crate) number: u32,
    /// Attempts that failed.
    pub(crate) failures: u32,
    /// Whether the log says that it may have been placed.
    pub(crate) logged: bool,
    /// Whether an earlier attempt at it may have started.
    pub(crate) started: bool,
}

impl Task {
    /// Returns the outcome if no further attempt is made and none runs.
    pub(crate) const fn given_up(&self) -> TaskOutcome {
        if self.started {
            TaskOutcome::MayHaveRun
        } else {
            TaskOutcome::NotRun
        }
    }
}

/// One job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) digest: RequestDigest,
    /// Failure domain whose owners may run it.
    pub(crate) domain: DomainName,
    pub(crate) durable: bool,
    pub(crate) cancelled: bool,
    /// Whether all tasks of a gang are being withdrawn because one did not start or run.
    pub(crate) aborting: bool,
    pub(crate) since: Instant,
    pub(crate) tasks: Vec<Task>,
    pub(crate) ready: VecDeque<u32>,
    pub(crate) first_start: Option<Instant>,
    pub(crate) last_endpoint: Option<EndpointName>,
    pub(crate) history: Vec<ExplainEvent>,
    /// Records of the job that are not durable yet.
    pub(crate) unwritten: usize,
}

/// Most events that are kept of a job.
const MAX_HISTORY: usize = 64;

impl Job {
    pub(crate) fn new(
        request: Request,
        digest: RequestDigest,
        domain: DomainName,
        now: Instant,
    ) -> Self {
        let task = Task {
            phase: TaskPhase::Waiting,
            number: 0,
            failures: 0,
            logged: false,
            started: false,
        };
        let tasks = vec![task; request.work.tasks as usize];
        Self {
            request,
            digest,
            domain,
            durable: false,
            cancelled: false,
            aborting: false,
            since: now,
            tasks,
            ready: VecDeque::new(),
            first_start: None,
            last_endpoint: None,
            history: Vec::new(),
            unwritten: 0,
        }
    }

    /// Adds to what the job's explanation tells.
    pub(crate) fn note(&mut self, now: Instant, event: String) {
        if self.history.len() < MAX_HISTORY {
            let at_ms = now.since(self.since);
            self.history.push(ExplainEvent { at_ms, event });
        }
    }

    /// Puts every waiting task into the line for an owner.
    pub(crate) fn all_ready(&mut self) {
        self.ready.clear();
        for (index, task) in (0..).zip(&self.tasks) {
            if task.phase == TaskPhase::Waiting {
                self.ready.push_back(index);
            }
        }
    }

    /// Notes that the log says that tasks may be placed, and puts them in line.
    pub(crate) fn dispatch_logged(&mut self, tasks: &[u32]) {
        for index in tasks {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.logged = true;
                self.ready.push_back(*index);
            }
        }
    }

    /// Returns the key of the next attempt at a task.
    pub(crate) fn next_attempt(&mut self, index: u32, epoch: Epoch) -> Option<AttemptKey> {
        let task = self.tasks.get_mut(index as usize)?;
        task.number += 1;
        Some(AttemptKey {
            task: TaskKey {
                request: self.request.key.clone(),
                index,
            },
            origin: epoch.0,
            number: task.number,
        })
    }

    /// Returns the attempts that may run, with their owners.
    pub(crate) fn attempts_out(&self) -> Vec<(EntryId, AttemptKey)> {
        self.tasks
            .iter()
            .filter_map(|task| match &task.phase {
                TaskPhase::Out(out) => Some((out.owner, out.attempt.clone())),
                _ => None,
            })
            .collect()
    }

    /// Ends the tasks that wait and returns their outcomes; used when the job is cancelled.
    pub(crate) fn end_waiting(&mut self) -> BTreeMap<u32, TaskOutcome> {
        self.ready.clear();
        let mut ended = BTreeMap::new();
        for (index, task) in (0..).zip(&mut self.tasks) {
            if task.phase == TaskPhase::Waiting {
                let outcome = task.given_up();
                ended.insert(index, outcome.clone());
                task.phase = TaskPhase::Ended(outcome);
            }
        }
        ended
    }

    /// Returns whether the job is final and the log says so: before that another holder could
    /// start it again, so no caller is told.
    pub(crate) fn is_settled(&self) -> bool {
        self.unwritten == 0 && self.is_final()
    }

    /// Returns whether the outcome of every task is final.
    pub(crate) fn is_final(&self) -> bool {
        let ended = |task: &Task| matches!(task.phase, TaskPhase::Ended(_));
        self.tasks.iter().all(ended)
    }

    /// Marks attempts whose owner can't be reached.
    pub(crate) fn owner_lost(&mut self, entry: EntryId) {
        for task in &mut self.tasks {
            if let TaskPhase::Out(out) = &mut task.phase {
                out.lost |= out.owner == entry;
            }
        }
    }

    /// Returns whether a task that may have run may be tried again.
    pub(crate) fn may_repeat(&self) -> bool {
        self.request.work.idempotent || self.request.work.class == WorkClass::Service
    }

    fn counts(&self) -> TaskCounts {
        let mut counts = TaskCounts::default();
        for task in &self.tasks {
            match &task.phase {
                TaskPhase::Out(out) if out.place.is_some() => counts.running += 1,
                TaskPhase::Waiting | TaskPhase::Recovering | TaskPhase::Out(_) => {
                    counts.waiting += 1;
                }
                TaskPhase::Ended(TaskOutcome::Ran(_)) => counts.ran += 1,
                TaskPhase::Ended(_) => counts.failed += 1,
            }
        }
        counts
    }

    /// Returns the answer as it stands.
    pub(crate) fn answer(&self, key: &RequestKey, _now: Instant) -> Answer {
        let counts = self.counts();
        let mut answer = Answer::pending(key.clone(), self.phase(counts));
        answer.tasks = Some(counts);
        answer.waited_ms = self.first_start.map(|start| start.since(self.since));
        answer.endpoint.clone_from(&self.last_endpoint);
        if answer.phase.is_final() {
            answer.verdict = Some(self.verdict());
            answer.reason = self.reason(counts);
            answer.result = Some(self.results());
        }
        answer
    }

    fn phase(&self, counts: TaskCounts) -> Phase {
        if !self.durable {
            return Phase::Queued;
        }
        if self.is_settled() {
            return if self.cancelled {
                Phase::Cancelled
            } else {
                Phase::Done
            };
        }
        if counts.running + counts.ran + counts.failed > 0 {
            Phase::Running
        } else {
            Phase::Accepted
        }
    }

    /// Returns the verdict of a final job: `NotRun` only if no task ran at all, `Ran` only if
    /// every task surely ran.
    fn verdict(&self) -> Verdict {
        let all = |wanted: fn(&TaskOutcome) -> bool| {
            self.tasks
                .iter()
                .all(|task| matches!(&task.phase, TaskPhase::Ended(end) if wanted(end)))
        };
        if all(|end| matches!(end, TaskOutcome::NotRun)) {
            return Verdict::NotRun;
        }
        if all(|end| matches!(end, TaskOutcome::Ran(_) | TaskOutcome::Failed(_))) {
            return Verdict::Ran;
        }
        Verdict::MayHaveRun
    }

    fn reason(&self, counts: TaskCounts) -> Option<Reason> {
        if self.cancelled {
            return Some(Reason::Cancelled);
        }
        (counts.failed > 0).then_some(Reason::TaskFailed)
    }

    /// Returns the results of all tasks in order, a line each.
    fn results(&self) -> String {
        let lines: Vec<&str> = self
            .tasks
            .iter()
            .map(|task| match &task.phase {
                TaskPhase::Ended(TaskOutcome::Ran(text) | TaskOutcome::Failed(text)) => text,
                _ => "",
            })
            .collect();
        lines.join("\n")
    }
}
