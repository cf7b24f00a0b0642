//! Steps that stand still: their turn has come, and nothing of them runs.
//!
//! Passes record since when that is so. Once a second some of these steps are examined endpoint by
//! endpoint, and a line for each tells what keeps it from starting.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::ids::{Millis, TaskKey};
use crate::metrics;
use crate::planner::schedule::Pass;
use crate::planner::standing_step::StandingStep;
use crate::planner::Planner;
use crate::tasks::{Job, StepKey};

/// Interval between reports.
const REPORT_INTERVAL_MS: Millis = 1_000;
/// Time from which a step counts as standing still.
const MIN_STANDING_MS: Millis = 1_000;
/// Shortest interval between examinations of one step.
const STEP_INTERVAL_MS: Millis = 5_000;
/// Time after which a step that no pass has visited is forgotten: a start is answered or given up by
/// then, and the step is visited again if no run has begun.
const FORGET_MS: Millis = 3_000;
/// Maximum number of steps that a report examines.
const MAX_EXAMINED: usize = 8;
/// Maximum number of endpoints that a report compares with steps, if it examines more than one: each
/// step is compared with the endpoints of its service, and a group may have thousands.
const MAX_JUDGED_ENDPOINTS: usize = 3_000;

/// Since when a step stands still.
#[derive(Debug, Clone, Copy)]
struct Standing {
    since_ms: Millis,
    /// When a pass last visited it.
    seen_ms: Millis,
    /// Its tasks run until they are cancelled.
    lasts: bool,
    /// Number of reports that have examined it, and when the last did.
    examined: u32,
    examined_ms: Millis,
}

/// The steps that stand still.
#[derive(Debug, Default)]
pub(super) struct StandingSteps {
    steps: BTreeMap<StepKey, Standing>,
    reported_ms: Millis,
    /// The steps that the last report has examined.
    examined: Vec<StandingStep>,
}

impl StandingSteps {
    /// Records that a step stands still.
    fn add(&mut self, now: Millis, key: StepKey, lasts: bool) {
        let standing = self.steps.entry(key).or_insert(Standing {
            since_ms: now,
            seen_ms: now,
            lasts,
            examined: 0,
            examined_ms: 0,
        });
        standing.seen_ms = now;
    }

    /// Records that a run of a task has begun or ended. Of the steps beside it only those whose
    /// tasks last still stand.
    fn remove(&mut self, task: TaskKey) {
        if self.steps.is_empty() {
            return;
        }
        let own = task.step_key();
        let first = StepKey { step: 0, ..own };
        let last = StepKey {
            step: u16::MAX,
            ..own
        };
        let beside = self.steps.range(first..=last);
        let ended = beside.filter(|(key, standing)| **key == own || !standing.lasts);
        let ended: Vec<StepKey> = ended.map(|(key, _)| *key).collect();
        for key in ended {
            self.steps.remove(&key);
        }
    }

    /// Chooses the steps to examine: those examined least often, then those that stand longest.
    fn choose(
        &mut self,
        now: Millis,
        still: &[(StepKey, Millis)],
        max_steps: usize,
    ) -> Vec<(StepKey, Millis)> {
        let due = still.iter().filter(|(key, _)| {
            let standing = &self.steps[key];
            let since_examined_ms = now.saturating_sub(standing.examined_ms);
            standing.examined == 0 || since_examined_ms >= STEP_INTERVAL_MS
        });
        let mut due: Vec<(StepKey, Millis)> = due.copied().collect();
        due.sort_by_key(|(key, for_ms)| (self.steps[key].examined, Reverse(*for_ms)));
        due.truncate(max_steps);
        for (key, _) in &due {
            if let Some(standing) = self.steps.get_mut(key) {
                standing.examined += 1;
                standing.examined_ms = now;
            }
        }
        due
    }

    /// Sets the gauges to 0, because this node no longer decides about the steps.
    pub(super) fn clear(&mut self) {
        self.steps.clear();
        metrics::standing_steps(0, 0);
    }
}

impl Planner {
    /// Returns the steps that stood still when the last report examined them.
    #[must_use]
    pub fn standing_steps(&self) -> &[StandingStep] {
        &self.standing.examined
    }

    /// Records that a step whose turn has come is not placed.
    pub(super) fn note_standing(&mut self, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let step = job.spec.steps.get(key.step as usize);
        let lasts = step.is_some_and(|step| step.long_running);
        if lasts || nothing_runs(job, key) {
            self.standing.add(self.now, key, lasts);
        }
    }

    /// Records that a run of a task has begun or ended.
    pub(super) fn note_run(&mut self, task: TaskKey) {
        self.standing.remove(task);
    }

    /// Reports once a second which steps stand still and why.
    pub(super) fn report_standing(&mut self, pass: &Pass) {
        if self.now.saturating_sub(self.standing.reported_ms) < REPORT_INTERVAL_MS {
            return;
        }
        self.standing.reported_ms = self.now;
        let still = self.still();
        let max_steps = max_examined(self.endpoints.len());
        let chosen = self.standing.choose(self.now, &still, max_steps);
        let examined = chosen.into_iter().filter_map(|(key, for_ms)| {
            let beside = self.standing_beside(&still, key);
            self.examine(pass, key, for_ms, beside)
        });
        let examined: Vec<StandingStep> = examined.collect();
        for step in &examined {
            step.log();
        }
        self.standing.examined = examined;
    }

    /// Sets the gauges, and forgets steps that have begun or that nobody wants any more.
    pub(super) fn export_standing(&mut self) {
        if !self.skipped_passes.last_was_skipped() {
            let (now, jobs) = (self.now, &self.jobs);
            self.standing.steps.retain(|key, standing| {
                let seen_recently = now.saturating_sub(standing.seen_ms) < FORGET_MS;
                seen_recently && jobs.get(&key.job).is_some_and(is_wanted)
            });
        }
        let still = self.still();
        let longest_ms = still.iter().map(|(_, for_ms)| *for_ms).max();
        metrics::standing_steps(still.len(), longest_ms.unwrap_or(0));
        if still.is_empty() {
            self.standing.examined.clear();
        }
    }

    /// Returns the steps that stand still, and for how long. All tasks of a step that is not open are
    /// placed, and usually about to begin.
    fn still(&self) -> Vec<(StepKey, Millis)> {
        let steps = self.standing.steps.iter();
        let steps = steps.map(|(key, step)| (*key, self.now.saturating_sub(step.since_ms)));
        let still = steps.filter(|(key, for_ms)| {
            let min_ms = if self.open.contains(*key) {
                MIN_STANDING_MS
            } else {
                FORGET_MS
            };
            *for_ms >= min_ms
        });
        still.collect()
    }

    /// Returns how many of the steps are of the same account and service as one of them, without
    /// that one.
    fn standing_beside(&self, still: &[(StepKey, Millis)], own: StepKey) -> usize {
        let owner = |key: StepKey| {
            let job = self.jobs.get(&key.job)?;
            Some((job.account, job.queue.service.as_str()))
        };
        let own_owner = owner(own);
        let same = still.iter().filter(|(key, _)| owner(*key) == own_owner);
        same.count().saturating_sub(1)
    }
}

/// Returns how many steps a report examines in a group with this many endpoints.
fn max_examined(endpoints: usize) -> usize {
    let affordable = MAX_JUDGED_ENDPOINTS / endpoints.max(1);
    affordable.clamp(1, MAX_EXAMINED)
}

/// Returns whether tasks of a job may still have to start.
fn is_wanted(job: &Job) -> bool {
    job.outcome.is_none() && !job.cancelled
}

/// Returns whether nothing of a step's occurrence is placed, apart from gangs that are being
/// withdrawn.
fn nothing_runs(job: &Job, key: StepKey) -> bool {
    let steps = job.occurrences.get(&key.occurrence);
    let mut steps = steps.into_iter().flatten();
    steps.all(|step| step.placed == 0 || step.aborting)
}
