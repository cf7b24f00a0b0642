//! Stops runs on endpoints that have announced their departure, so that they resume elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use crate::endpoint::{Endpoint, EndpointKey};
use crate::ids::{Millis, Run, TaskKey};
use crate::job::Step;
use crate::metrics;
use crate::placed_run::{PlacedRun, RunPhase};
use crate::planner::Planner;
use crate::policy::departures::{departure_step, DepartureStep, LeaveTime, RunOutlook};
use crate::resources::Resources;
use crate::tasks::{Job, StepKey, StepProgress, TaskState};

/// Interval at which runs on departing endpoints are checked: a twentieth of the time in which a
/// stop must save the work.
const CHECK_INTERVAL_MS: Millis = 50;

/// When departing endpoints were last checked.
#[derive(Debug, Default)]
pub(super) struct Departures {
    checked_ms: Millis,
}

/// Free resources of the endpoints that accept work, by service. Shrinks as runs claim them.
type Room = BTreeMap<String, Vec<(EndpointKey, Resources)>>;

/// A run on a departing endpoint, or the gang that it is a member of.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    endpoint: EndpointKey,
    task: TaskKey,
    run: Run,
    leave: LeaveTime,
}

impl Planner {
    /// Stops runs that would lose their work when their endpoints depart.
    pub(super) fn clear_departing_endpoints(&mut self) {
        let since_ms = self.now.saturating_sub(self.departures.checked_ms);
        if !self.limits.policies.departures || since_ms < CHECK_INTERVAL_MS {
            return;
        }
        self.departures.checked_ms = self.now;
        let candidates = self.departing_runs();
        if candidates.is_empty() {
            return;
        }
        let mut room = None;
        let mut seen_gangs = BTreeSet::new();
        for candidate in candidates {
            let key = candidate.task.step_key();
            let Some(step) = self.running_step(candidate) else {
                continue;
            };
            if step.gang && !seen_gangs.insert(key) {
                continue;
            }
            let Some(kind) = self.stop_kind(candidate, &step) else {
                continue;
            };
            if kind != StopKind::Save && !self.claim_room(&mut room, candidate, &step) {
                continue;
            }
            self.stop_departing(candidate, &step, kind);
        }
    }

    /// Returns the confirmed runs on endpoints that depart.
    fn departing_runs(&self) -> Vec<Candidate> {
        let departing = self
            .endpoints
            .iter()
            .filter_map(|(key, endpoint)| Some((key, endpoint, endpoint.leave()?)));
        let runs = departing.flat_map(|(key, endpoint, leave)| {
            let placed = endpoint.placed.iter();
            let running = placed.filter(|(_, placed)| placed.phase == RunPhase::Running);
            running.map(move |(task, placed)| Candidate {
                endpoint: key,
                task: *task,
                run: placed.run,
                leave,
            })
        });
        let mut candidates: Vec<Candidate> = runs.collect();
        // A gang is decided on by its first candidate, so the earliest departure comes first.
        candidates.sort_by_key(|candidate| candidate.leave.earliest_ms);
        candidates
    }

    /// Returns the step of a run, if the run is its task's current one and its job goes on.
    fn running_step(&self, candidate: Candidate) -> Option<Step> {
        let job = self.jobs.get(&candidate.task.job)?;
        let state = job.task(candidate.task)?.state;
        let current = state == TaskState::Placed(candidate.endpoint, candidate.run);
        let step = job.spec.steps.get(candidate.task.step as usize)?;
        (current && job.outcome.is_none()).then(|| step.clone())
    }

    /// Returns how the run is to be stopped now; none if it goes on.
    fn stop_kind(&self, candidate: Candidate, step: &Step) -> Option<StopKind> {
        let job = self.jobs.get(&candidate.task.job)?;
        let key = candidate.task.step_key();
        let progress = job.step_progress(key)?;
        if step.long_running {
            let allowed =
                !step.gang && self.unavailable_tasks(key, progress) < step.max_unavailable;
            return allowed.then_some(StopKind::Service);
        }
        let outlook = if step.gang {
            self.gang_outlook(job, key, step, progress)?
        } else {
            let endpoint = self.endpoints.get(candidate.endpoint)?;
            self.outlook(job, candidate.task, step, endpoint)?
        };
        match departure_step(self.now, outlook, candidate.leave) {
            DepartureStep::Stay => None,
            DepartureStep::Save => Some(StopKind::Save),
            DepartureStep::Restart => Some(StopKind::Restart),
        }
    }

    /// Returns what is known of a confirmed run.
    fn outlook(
        &self,
        job: &Job,
        task: TaskKey,
        step: &Step,
        endpoint: &Endpoint,
    ) -> Option<RunOutlook> {
        let placed = endpoint.placed.get(&task).filter(|placed| is_up(placed))?;
        let saved_ms = job.task(task)?.saved_ms;
        let work_ms = step.estimate_ms.saturating_sub(saved_ms);
        Some(RunOutlook {
            ran_ms: self.now.saturating_sub(placed.confirmed_ms?),
            began_earlier: placed.resumed && saved_ms == 0,
            estimate_ms: endpoint.speed.duration_ms(work_ms),
            saves: step.checkpointing,
        })
    }

    /// Returns what is known of a gang, whose members end together with the slowest one; none
    /// unless all of its members are known to run.
    fn gang_outlook(
        &self,
        job: &Job,
        key: StepKey,
        step: &Step,
        progress: &StepProgress,
    ) -> Option<RunOutlook> {
        if self.barrier.is_some() || progress.aborting {
            return None;
        }
        if !progress.tasks.fresh().is_empty() {
            return None;
        }
        let members = progress.tasks.begun().map(|(index, entry)| {
            let TaskState::Placed(endpoint, _) = entry.state else {
                return None;
            };
            let endpoint = self.endpoints.get(endpoint)?;
            self.outlook(job, key.task(index), step, endpoint)
        });
        let members: Option<Vec<RunOutlook>> = members.collect();
        members?
            .into_iter()
            .max_by_key(|outlook| outlook.estimate_ms.saturating_sub(outlook.ran_ms))
    }

    /// Returns the number of tasks of a service that are not known to run.
    fn unavailable_tasks(&self, key: StepKey, progress: &StepProgress) -> u32 {
        let tasks = progress.tasks.begun();
        let unavailable = tasks.filter(|(index, entry)| {
            let TaskState::Placed(endpoint, _) = entry.state else {
                return true;
            };
            let endpoint = self.endpoints.get(endpoint);
            let placed = endpoint.and_then(|endpoint| endpoint.placed.get(&key.task(*index)));
            !placed.is_some_and(is_up)
        });
        let fresh = progress.tasks.fresh().len();
        u32::try_from(unavailable.count() + fresh).unwrap_or(u32::MAX)
    }

    /// Claims free resources elsewhere for a run, or for all members of its gang. Returns false if
    /// there are not enough.
    fn claim_room(&self, room: &mut Option<Room>, candidate: Candidate, step: &Step) -> bool {
        let Some(job) = self.jobs.get(&candidate.task.job) else {
            return false;
        };
        let room = room.get_or_insert_with(|| self.free_room());
        let Some(pool) = room.get_mut(&job.queue.service) else {
            return false;
        };
        let mut left = if step.gang { step.count } else { 1 };
        let need = Resources::of_step(step);
        let max_on_one = step.max_on_one_endpoint();
        let mut claimed = pool.clone();
        for (key, free) in &mut claimed {
            let endpoint = &self.endpoints[*key];
            let label = step.required_label.as_ref();
            if label.is_some_and(|label| !endpoint.entry.labels.contains(label)) {
                continue;
            }
            let tasks = free.max_fitting(need).min(max_on_one).min(left);
            *free = free.minus(need.times(tasks));
            left -= tasks;
        }
        let fits = left == 0;
        if fits {
            *pool = claimed;
        }
        fits
    }

    /// Returns the free resources of all endpoints that accept work.
    fn free_room(&self) -> Room {
        let mut room = Room::new();
        for (key, endpoint) in &self.endpoints {
            if endpoint.accepts_work(self.now, &self.limits) {
                let pool = room.entry(endpoint.entry.service.clone()).or_default();
                pool.push((key, endpoint.free()));
            }
        }
        room
    }

    fn stop_departing(&mut self, candidate: Candidate, step: &Step, kind: StopKind) {
        let Candidate {
            endpoint,
            task,
            run,
            leave,
        } = candidate;
        log::info!(
            task:% = task, run = run, endpoint:% = self.endpoints[endpoint].entry.id, kind = kind.label(),
            left_ms = leave.earliest_ms.saturating_sub(self.now), gang = step.gang;
            "endpoint departs, stopping the run"
        );
        metrics::departure_stop(kind.label());
        if step.gang {
            self.abort_gang(task.step_key());
        } else {
            self.begin_stop(endpoint, task, run);
        }
    }

    /// Records the work of a run on an endpoint that is in a checkpoint.
    pub(super) fn note_saved_work(
        &mut self,
        key: EndpointKey,
        task: TaskKey,
        since_ms: Millis,
        checkpoint: &str,
    ) {
        let ran_ms = self.now.saturating_sub(since_ms);
        let worked_ms = self.endpoints[key].speed.usual_ms(ran_ms);
        let job = self.jobs.get_mut(&task.job);
        let progress = job.and_then(|job| job.step_progress_mut(task.step_key()));
        let entry = progress.and_then(|progress| progress.tasks.begin(task.index));
        if let Some(entry) = entry.filter(|_| !checkpoint.is_empty()) {
            entry.saved_ms += worked_ms;
        }
    }
}

/// Why a run on a departing endpoint is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopKind {
    /// It would lose work that the stop saves.
    Save,
    /// It has done little work and starts again elsewhere.
    Restart,
    /// It runs until it is cancelled and goes on elsewhere.
    Service,
}

impl StopKind {
    const fn label(self) -> &'static str {
        match self {
            Self::Save => "save",
            Self::Restart => "restart",
            Self::Service => "service",
        }
    }
}

fn is_up(placed: &PlacedRun) -> bool {
    placed.phase == RunPhase::Running
}
