//! State of open jobs: their occurrences, steps and tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::account::AccountName;
use crate::action::{JobState, ReplyTo};
use crate::advice::Advice;
use crate::config::Queue;
use crate::endpoint::EndpointKey;
use crate::gang_wait::GangWait;
use crate::ids::{JobId, Millis, Run, TaskKey};
use crate::job::{JobSpec, Step, MAX_GANG_TASKS};
use crate::job_parts::JobParts;
use crate::planner::AccountKey;
use crate::policy::crashes::Exposure;
use crate::policy::soft_limits::RoomWait;
use crate::policy::speed::DurationSample;
use crate::record::JobRow;
use crate::task_list::TaskList;

/// Number of waiting tasks of a step that decisions take into account. Further ones wait until these
/// have been placed.
pub(crate) const MAX_WAITING_TASKS: u32 = MAX_GANG_TASKS;
/// Maximum number of steps that a job has open in all its occurrences. Further occurrences that are
/// due begin as earlier ones complete.
const MAX_OPEN_STEPS: usize = 1_024;
/// Number of runs of one task that a holder can start before it reaches the run numbers of the next
/// term.
pub(crate) const RUNS_PER_TERM: u64 = 10_000;

/// State of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It waits to be placed.
    #[default]
    Waiting,
    /// A run of it may be in progress on the endpoint.
    Placed(EndpointKey, Run),
    /// It has completed.
    Done,
}

/// A task.
#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) last_run: Run,
    pub(crate) checkpoint: String,
    /// Work in the checkpoint, as time at the usual speed, as far as this holder knows.
    pub(crate) saved_ms: Millis,
    pub(crate) failed: Vec<Run>,
    /// Runs that may have crashed their endpoints.
    pub(crate) exposures: Vec<Exposure>,
}

impl Task {
    /// Records an exposure, replacing an earlier one of the same run.
    pub(crate) fn expose(&mut self, exposure: Exposure) {
        let same = |seen: &Exposure| {
            seen.run == exposure.run
                && seen.matches_incarnation(&exposure.endpoint, exposure.born_ms)
        };
        self.exposures.retain(|seen| !same(seen));
        self.exposures.push(exposure);
    }
}

/// Progress of a step in one occurrence.
#[derive(Debug)]
pub(crate) struct StepProgress {
    pub(crate) tasks: TaskList,
    pub(crate) done: u32,
    pub(crate) placed: u32,
    pub(crate) advice: Advice,
    /// All members of the gang's run are being withdrawn.
    pub(crate) aborting: bool,
    /// What it met while it waited, if it is a gang.
    pub(crate) gang_wait: GangWait,
    /// Endpoints on which a run of the step has failed; others are preferred.
    pub(crate) failed_on: Vec<EndpointKey>,
    /// Durations of completed runs that did not resume from a checkpoint.
    pub(crate) durations: Vec<DurationSample>,
    /// How long it has had room without starting.
    pub(crate) room_wait: RoomWait,
    /// Since when it has been looking for endpoints for exclusive runs.
    pub(crate) exclusive_since_ms: Option<Millis>,
}

impl StepProgress {
    fn new(step: &Step) -> Self {
        Self {
            tasks: TaskList::new(step.count),
            done: 0,
            placed: 0,
            advice: Advice::default(),
            aborting: false,
            gang_wait: GangWait::default(),
            failed_on: Vec::new(),
            durations: Vec::new(),
            room_wait: RoomWait::default(),
            exclusive_since_ms: None,
        }
    }

    pub(crate) fn complete(&self) -> bool {
        self.done == self.tasks.count()
    }

    /// Marks all tasks as done.
    pub(crate) fn finish(&mut self) {
        self.done = self.tasks.count();
        self.tasks.finish();
    }

    /// Returns whether it waits with nothing running; each lasting task counts by itself.
    pub(crate) fn stands(&self, long_running: bool) -> bool {
        self.waiting() > 0 && (self.placed == 0 || long_running)
    }

    /// Returns the number of tasks that wait, as far as decisions take them into account.
    pub(crate) fn waiting(&self) -> u32 {
        let waiting = self.tasks.count() - self.done - self.placed;
        waiting.min(MAX_WAITING_TASKS)
    }
}

/// Returns whether all steps of an occurrence are complete.
pub(crate) fn all_complete(steps: &[StepProgress]) -> bool {
    steps.iter().all(StepProgress::complete)
}

/// Where a job's own row and its text are stored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum OpenRows {
    /// Nowhere.
    #[default]
    Absent,
    /// In one row.
    WithText,
    /// In a row each.
    SeparateText,
}

/// Which rows of a job exist in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct JobRows {
    /// The rows of the job itself and of its text.
    pub(crate) open: OpenRows,
    /// The row of its progress.
    pub(crate) progress: bool,
    /// The row of its end.
    pub(crate) ended: bool,
}

impl JobRows {
    /// Returns the number of rows that are removed when the job's end is written.
    pub(crate) fn open_count(self) -> usize {
        let open = match self.open {
            OpenRows::Absent => 0,
            OpenRows::WithText => 1,
            OpenRows::SeparateText => 2,
        };
        open + usize::from(self.progress)
    }

    /// Returns the number of rows.
    pub(crate) fn count(self) -> usize {
        self.open_count() + usize::from(self.ended)
    }
}

/// A job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) queue: Queue,
    /// Client account that submitted it, if one was required.
    pub(crate) account: Option<AccountKey>,
    /// It was submitted in excess of the account's share.
    pub(crate) beyond: bool,
    pub(crate) spec: Arc<JobSpec>,
    /// Memory that it takes while it waits, in bytes.
    pub(crate) memory_bytes: u64,
    /// Longest chain of estimated work.
    pub(crate) chain_ms: Millis,
    /// Time after its submission within which it should complete.
    pub(crate) objective_ms: Millis,
    /// Some of its tasks run until it is cancelled.
    pub(crate) long_running: bool,
    /// Text passed with its starts; none while the text of an inherited job has not been read.
    pub(crate) text: Option<Arc<str>>,
    /// Its rows that are stored or in flight to the store.
    pub(crate) rows: JobRows,
    /// The parts of its progress, if one row does not hold it.
    pub(crate) parts: JobParts,
    pub(crate) accepted_ms: Millis,
    pub(crate) accepted_unix_ms: u64,
    /// When its submission is refused if no commit has included it by then.
    pub(crate) refuse_at_ms: Millis,
    /// Forecast of the time from its submission to its first start; none for inherited jobs.
    pub(crate) forecast_ms: Option<Millis>,
    /// Least time in which its account's quota allows it and what was accepted before, when it was
    /// submitted; none if there is no such bound.
    pub(crate) quota_ms: Option<Millis>,
    /// It was refused before and submitted again no sooner than its caller was told.
    pub(crate) retried_as_told: bool,
    /// The job's row is stored.
    pub(crate) stored: bool,
    /// It was read from rows, so an earlier holder may have started tasks of it.
    pub(crate) inherited: bool,
    pub(crate) cancelled: bool,
    /// It was cancelled before its submission and has not been submitted yet.
    pub(crate) pre_cancelled: bool,
    /// A task of it is known to have started.
    pub(crate) started: bool,
    pub(crate) outcome: Option<JobState>,
    /// Outcome that is stored and therefore visible to callers.
    pub(crate) visible_outcome: Option<JobState>,
    pub(crate) cancel_stored: bool,
    pub(crate) finished_ms: Option<Millis>,
    pub(crate) occurrences: BTreeMap<u32, Vec<StepProgress>>,
    pub(crate) complete_occurrences: u32,
    /// Callers to answer once the job is stored.
    pub(crate) submitters: Vec<ReplyTo>,
    /// Callers to answer once the cancellation is stored.
    pub(crate) cancellers: Vec<ReplyTo>,
}

impl Job {
    pub(crate) fn new(id: JobId, mut row: JobRow, now: Millis) -> Self {
        let text = std::mem::take(&mut row.spec.spec);
        Self {
            id,
            chain_ms: row.spec.chain_ms(),
            objective_ms: row.spec.objective_ms(&row.queue),
            memory_bytes: memory_bytes(&row.spec, &text),
            long_running: row.spec.steps.iter().any(|step| step.long_running),
            queue: row.queue,
            account: None,
            beyond: row.beyond,
            spec: Arc::new(row.spec),
            text: (!text.is_empty()).then(|| Arc::from(text)),
            rows: JobRows::default(),
            parts: JobParts::default(),
            accepted_ms: now,
            accepted_unix_ms: row.accepted_unix_ms,
            refuse_at_ms: now,
            forecast_ms: None,
            quota_ms: None,
            retried_as_told: false,
            stored: false,
            inherited: false,
            cancelled: false,
            pre_cancelled: false,
            started: false,
            outcome: None,
            visible_outcome: None,
            cancel_stored: false,
            finished_ms: None,
            occurrences: BTreeMap::new(),
            complete_occurrences: 0,
            submitters: Vec::new(),
            cancellers: Vec::new(),
        }
    }

    /// Adopts the queue's settings unless the job already has those of a newer configuration.
    pub(crate) fn set_queue(&mut self, queue: &Queue) {
        if queue.configuration < self.queue.configuration {
            return;
        }
        self.queue.clone_from(queue);
        self.objective_ms = self.spec.objective_ms(queue);
    }

    /// Returns the row that holds the job and `text`, which is empty if its text has a row of its
    /// own.
    pub(crate) fn row(&self, account: Option<AccountName>, text: &str) -> JobRow {
        JobRow {
            queue: self.queue.clone(),
            spec: JobSpec {
                spec: text.to_owned(),
                ..JobSpec::clone(&self.spec)
            },
            accepted_unix_ms: self.accepted_unix_ms,
            account,
            beyond: self.beyond,
        }
    }

    /// Returns whether an occurrence may be open: it is one of those that are already, or these are
    /// fewer than there may be.
    pub(crate) fn may_open_occurrence(&self, occurrence: u32) -> bool {
        let open = self.occurrences.len() - self.complete_occurrences as usize;
        let max_open = (MAX_OPEN_STEPS / self.spec.steps.len().max(1)).max(1);
        self.occurrences.contains_key(&occurrence) || open < max_open
    }

    /// Returns the occurrences that exist and are not complete.
    pub(crate) fn incomplete_occurrences(&self) -> impl Iterator<Item = u32> + '_ {
        let incomplete = self.occurrences.iter();
        let incomplete = incomplete.filter(|(_, steps)| !all_complete(steps));
        incomplete.map(|(occurrence, _)| *occurrence)
    }

    /// Returns the steps of an occurrence, creating them if necessary.
    pub(crate) fn occurrence(&mut self, occurrence: u32) -> &mut Vec<StepProgress> {
        let steps = &self.spec.steps;
        self.occurrences
            .entry(occurrence)
            .or_insert_with(|| steps.iter().map(StepProgress::new).collect())
    }

    pub(crate) fn step_progress(&self, key: StepKey) -> Option<&StepProgress> {
        self.occurrences
            .get(&key.occurrence)?
            .get(key.step as usize)
    }

    pub(crate) fn step_progress_mut(&mut self, key: StepKey) -> Option<&mut StepProgress> {
        self.occurrences
            .get_mut(&key.occurrence)?
            .get_mut(key.step as usize)
    }

    /// Returns whether the steps before a step are complete.
    pub(crate) fn is_step_ready(&self, key: StepKey) -> bool {
        let step = self.spec.steps.get(key.step as usize);
        step.is_some_and(|step| {
            step.after.iter().all(|earlier| {
                let earlier = StepKey {
                    step: *earlier,
                    ..key
                };
                self.step_progress(earlier)
                    .is_some_and(StepProgress::complete)
            })
        })
    }

    /// Returns the steps that are ready and have waiting tasks.
    pub(crate) fn ready_steps(&self) -> impl Iterator<Item = StepKey> + '_ {
        let steps = self.occurrences.iter().flat_map(|(occurrence, steps)| {
            let steps = (0_u16..).zip(steps);
            steps.map(|(step, progress)| (*occurrence, step, progress))
        });
        let waiting = steps.filter(|(_, _, progress)| progress.waiting() > 0);
        let keys = waiting.map(|(occurrence, step, _)| StepKey {
            job: self.id,
            occurrence,
            step,
        });
        keys.filter(|key| self.is_step_ready(*key))
    }

    pub(crate) fn task(&self, key: TaskKey) -> Option<&Task> {
        self.step_progress(key.step_key())?.tasks.get(key.index)
    }

    /// Returns the tasks of all existing occurrences that have begun.
    pub(crate) fn tasks_mut(&mut self) -> impl Iterator<Item = (TaskKey, &mut Task)> {
        let id = self.id;
        let steps = self
            .occurrences
            .iter_mut()
            .flat_map(move |(occurrence, steps)| {
                let keys = (0_u16..).map(move |step| StepKey {
                    job: id,
                    occurrence: *occurrence,
                    step,
                });
                keys.zip(steps)
            });
        steps.flat_map(|(key, progress)| {
            let tasks = progress.tasks.begun_mut();
            tasks.map(move |(index, task)| (key.task(index), task))
        })
    }

    /// Returns the state visible to callers, which only reflects outcomes and cancellations that
    /// are stored.
    pub(crate) fn state(&self) -> JobState {
        if let Some(outcome) = self.visible_outcome {
            return outcome;
        }
        if self.cancel_stored {
            return JobState::Cancelled;
        }
        if self.started {
            JobState::Running
        } else {
            JobState::Pending
        }
    }
}

fn memory_bytes(spec: &JobSpec, text: &str) -> u64 {
    let progress_bytes = spec.steps.len() * size_of::<StepProgress>();
    let own_bytes = size_of::<Job>() + text.len() + progress_bytes;
    spec.memory_bytes() + own_bytes as u64
}

/// Identifies a step in one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct StepKey {
    pub(crate) job: JobId,
    pub(crate) occurrence: u32,
    pub(crate) step: u16,
}

impl StepKey {
    pub(crate) const fn task(self, index: u32) -> TaskKey {
        TaskKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

impl std::fmt::Display for StepKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl TaskKey {
    pub(crate) const fn step_key(self) -> StepKey {
        StepKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}
