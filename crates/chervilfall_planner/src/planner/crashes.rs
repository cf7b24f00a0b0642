//! Tracking of tasks that may have crashed their endpoints.

use std::collections::BTreeSet;

use crate::endpoint::{Endpoint, EndpointKey};
use crate::event::HoldReport;
use crate::ids::{EndpointId, JobId, Millis, Run, TaskKey, UnixMillis};
use crate::metrics;
use crate::placed_run::{LossReason, RunPhase};
use crate::planner::Planner;
use crate::policy::crashes::{
    verdict, Exposure, ExposureState, Verdict, CLEARED_AFTER_MS, NEW_RUN_MS,
};
use crate::starts::StartNote;
use crate::tasks::{Task, TaskState};

/// Time for which an address is remembered after an endpoint crashed there: several cycles of a
/// machine that crashes and restarts repeatedly. Suspects are started elsewhere if possible, so
/// that a faulty machine does not count against a task.
const CRASHED_ADDRESS_RETENTION_MS: Millis = 60_000;

impl Planner {
    /// Records exposures for the runs that were on a lost endpoint.
    pub(super) fn record_lost_runs(&mut self, key: EndpointKey, reason: LossReason) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        // A draining endpoint ends its remaining runs itself.
        if endpoint.draining {
            return;
        }
        let (id, born_ms) = (endpoint.entry.id.clone(), endpoint.born_ms);
        for (task, exposure) in lost_runs(endpoint) {
            self.record_exposure(task, exposure);
        }
        if reason == LossReason::Replaced {
            self.record_gone_endpoint(&id, born_ms, false);
        }
    }

    /// Records an exposure of an unfinished task.
    fn record_exposure(&mut self, task: TaskKey, exposure: Exposure) {
        let id = exposure.endpoint.clone();
        let Some(entry) = self.unfinished_task(task) else {
            return;
        };
        entry.expose(exposure);
        self.exposed.entry(id).or_default().insert(task);
        self.unsaved.progress.insert(task.job);
    }

    /// Treats the latest starts of earlier holders as lost until their endpoints answer. The
    /// exposures are not stored until an endpoint turns out to be gone: nearly all answer at once.
    pub(super) fn expose_latest_starts(&mut self, starts: Vec<StartNote>) {
        for note in starts {
            self.expose_earlier_start(&note);
        }
    }

    /// Records the starts that an earlier holder made but could not store. The holder was cut off,
    /// so the started runs may be lost together with their endpoints.
    pub(super) fn record_unstored_starts(&mut self, starts: Vec<StartNote>) {
        for note in starts {
            let key = self.endpoint_keys.get(&note.endpoint);
            let endpoint = key.and_then(|key| self.endpoints.get(*key));
            let answers = endpoint.is_some_and(|seen| {
                let there = seen.contacted && !seen.is_silent(self.now, &self.limits);
                there && !seen.is_other_incarnation(note.born_ms)
            });
            if !answers && self.expose_earlier_start(&note) {
                log::info!(task:% = note.task(), run = note.run, endpoint:% = note.endpoint; "earlier holder reported a start");
                self.unsaved.progress.insert(note.task().job);
            }
        }
        self.settle_unknown_endpoints();
    }

    /// Records an exposure to a run that an earlier holder started. Returns false if the run is
    /// known or no longer matters.
    fn expose_earlier_start(&mut self, note: &StartNote) -> bool {
        let (task, run) = (note.task(), note.run);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            // The job's row contains only steps of which something is known.
            job.occurrence(task.occurrence);
        }
        let Some(entry) = self.unfinished_task(task) else {
            return false;
        };
        if entry.failed.contains(&run) || entry.exposures.iter().any(|seen| seen.run == run) {
            return false;
        }
        entry.exposures.push(Exposure {
            run,
            endpoint: note.endpoint.clone(),
            born_ms: note.born_ms,
            fate: ExposureState::Lost,
            new: true,
            // Whether runs of other jobs were there is not known.
            alone: false,
            answered: false,
        });
        let tasks = self.exposed.entry(note.endpoint.clone()).or_default();
        tasks.insert(task);
        true
    }

    /// Records, before the start is sent, that a run of a suspect may be running.
    pub(super) fn record_planned_start(&mut self, task: TaskKey, run: Run, endpoint: &EndpointId) {
        let key = self.endpoint_keys.get(endpoint);
        let endpoint_record = key.and_then(|key| self.endpoints.get(*key));
        let exposure = Exposure {
            run,
            endpoint: endpoint.clone(),
            born_ms: endpoint_record.and_then(|endpoint_record| endpoint_record.born_ms),
            fate: ExposureState::AtWork,
            new: true,
            alone: self.runs_exclusively(task.job, endpoint),
            answered: false,
        };
        self.record_exposure(task, exposure);
    }

    /// Returns whether no runs of other jobs are placed on an endpoint.
    fn runs_exclusively(&self, job: JobId, endpoint: &EndpointId) -> bool {
        let key = self.endpoint_keys.get(endpoint);
        let endpoint = key.and_then(|key| self.endpoints.get(*key));
        endpoint.is_some_and(|endpoint| endpoint.placed.keys().all(|there| there.job == job))
    }

    /// Returns a task, unless it is done or its job has ended.
    fn unfinished_task(&mut self, task: TaskKey) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&task.job)?;
        if job.outcome.is_some() {
            return None;
        }
        let progress = job.step_progress_mut(task.step_key())?;
        let entry = progress.tasks.begin(task.index)?;
        (entry.state != TaskState::Done).then_some(entry)
    }

    /// Returns the verdict on a task.
    pub(super) fn verdict(&self, task: TaskKey) -> Verdict {
        let job = self.jobs.get(&task.job);
        let entry = job.and_then(|job| job.task(task));
        entry.map_or(Verdict::Clear, |entry| verdict(&entry.exposures))
    }

    /// Tracks the exposures of a job that was read from rows. Runs stored as running may be lost.
    pub(super) fn restore_exposures(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for (task, entry) in job.tasks_mut() {
            for exposure in &mut entry.exposures {
                if exposure.fate == ExposureState::AtWork {
                    exposure.fate = ExposureState::Lost;
                }
                let tasks = self.exposed.entry(exposure.endpoint.clone()).or_default();
                tasks.insert(task);
            }
        }
    }

    /// Marks the exposures to an endpoint that does not answer to be stored: the next holder may
    /// take over too late to read them from the rows of the latest starts.
    pub(super) fn store_exposures(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        if let Some(tasks) = self.exposed.get(&endpoint.entry.id) {
            for task in tasks {
                self.unsaved.progress.insert(task.job);
            }
        }
    }

    /// Updates the exposures to an endpoint that answers: its current incarnation has not crashed,
    /// and the earlier ones under its name have.
    pub(super) fn settle_live_endpoint(&mut self, key: EndpointKey, report: &HoldReport) {
        if self.exposed.is_empty() {
            return;
        }
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        let (id, born_ms) = (endpoint.entry.id.clone(), endpoint.born_ms);
        let Some(tasks) = self.exposed.get(&id) else {
            return;
        };
        for task in tasks.clone() {
            let running = report.running.iter().filter(|run| run.task == task);
            let running: BTreeSet<Run> = running.map(|run| run.run).collect();
            let Some(entry) = self.unfinished_task(task) else {
                self.remove_exposed_task(&id, task);
                continue;
            };
            let before = entry.exposures.len();
            let mut crashed = false;
            entry.exposures.retain_mut(|seen| {
                if seen.endpoint != id || seen.fate == ExposureState::AtWork {
                    return true;
                }
                if !seen.matches_incarnation(&id, born_ms) {
                    crashed |= seen.fate == ExposureState::Lost;
                    seen.fate = ExposureState::Crashed;
                    return true;
                }
                seen.fate = ExposureState::AtWork;
                running.contains(&seen.run)
            });
            let exposed = entry.exposures.iter().any(|seen| seen.endpoint == id);
            if entry.exposures.len() < before {
                log::info!(task:% = task, endpoint:% = id; "endpoint has not crashed, exposure removed");
                self.unsaved.progress.insert(task.job);
            }
            if !exposed {
                self.remove_exposed_task(&id, task);
            }
            if crashed {
                self.unsaved.progress.insert(task.job);
                self.apply_verdict(task, &id);
            }
        }
    }

    fn remove_exposed_task(&mut self, id: &EndpointId, task: TaskKey) {
        if let Some(tasks) = self.exposed.get_mut(id) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.exposed.remove(id);
            }
        }
    }

    /// Records that an incarnation is gone: it has crashed, unless it was draining.
    pub(super) fn record_gone_endpoint(
        &mut self,
        id: &EndpointId,
        born_ms: Option<UnixMillis>,
        draining: bool,
    ) {
        let key = self.endpoint_keys.get(id);
        if let Some(endpoint) = key.and_then(|key| self.endpoints.get(*key)) {
            if !draining {
                let address = endpoint.entry.address.clone();
                self.crashed_addresses.insert(address, self.now);
            }
        }
        let Some(tasks) = self.exposed.get(id).cloned() else {
            return;
        };
        for task in tasks {
            let Some(entry) = self.unfinished_task(task) else {
                self.remove_exposed_task(id, task);
                continue;
            };
            let mut changed = false;
            for seen in &mut entry.exposures {
                if seen.matches_incarnation(id, born_ms)
                    && seen.fate == ExposureState::Lost
                    && !draining
                {
                    seen.fate = ExposureState::Crashed;
                    changed = true;
                }
            }
            if draining {
                let before = entry.exposures.len();
                entry
                    .exposures
                    .retain(|seen| !seen.matches_incarnation(id, born_ms));
                changed = entry.exposures.len() < before;
                if !entry.exposures.iter().any(|seen| seen.endpoint == *id) {
                    self.remove_exposed_task(id, task);
                }
            }
            if changed {
                self.unsaved.progress.insert(task.job);
                self.apply_verdict(task, id);
            }
        }
    }

    /// Settles exposures to endpoints that are no longer known, and forgets old crash addresses.
    pub(super) fn settle_unknown_endpoints(&mut self) {
        let unknown = self.exposed.keys();
        let unknown = unknown.filter(|id| !self.endpoint_keys.contains_key(*id));
        let unknown: Vec<EndpointId> = unknown.cloned().collect();
        for id in unknown {
            self.record_gone_endpoint(&id, None, false);
        }
        let now = self.now;
        self.crashed_addresses
            .retain(|_, at_ms| now.saturating_sub(*at_ms) < CRASHED_ADDRESS_RETENTION_MS);
    }

    fn apply_verdict(&mut self, task: TaskKey, endpoint: &EndpointId) {
        let found = self.verdict(task);
        log::info!(task:% = task, endpoint:% = endpoint, verdict:? = found; "endpoint crashed while it ran a task");
        if found == Verdict::Culprit {
            log::warn!(task:% = task; "task crashes its endpoints, giving up its job");
            metrics::given_up("crashes");
            self.fail_job(task.job);
        }
    }

    /// Removes the exposure of a run that ended while its endpoint was in contact.
    pub(super) fn clear_survived_exposure(&mut self, task: TaskKey, run: Run) {
        let Some(entry) = self.unfinished_task(task) else {
            return;
        };
        let is_of_live_run =
            |seen: &Exposure| seen.run == run && seen.fate == ExposureState::AtWork;
        let position = entry.exposures.iter().position(is_of_live_run);
        if let Some(position) = position {
            let seen = entry.exposures.remove(position);
            self.remove_exposed_task(&seen.endpoint, task);
            self.unsaved.progress.insert(task.job);
        }
    }

    /// Updates the exposures of a task whose run its endpoint lists: the run is no longer new after
    /// enough contact, and a long-running task is cleared after more.
    pub(super) fn update_exposure_age(&mut self, key: EndpointKey, task: TaskKey) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        let Some(placed) = endpoint.placed.get(&task) else {
            return;
        };
        let contact_ms = endpoint.contact_with_run_ms(placed).unwrap_or(0);
        let run = placed.run;
        if contact_ms < NEW_RUN_MS {
            return;
        }
        let long_running = self.jobs.get(&task.job).is_some_and(|job| job.long_running);
        let cleared = long_running && contact_ms >= CLEARED_AFTER_MS;
        // A member of a gang may be exclusive for the sake of another one.
        if cleared && self.endpoints[key].end_exclusiveness(task) {
            log::info!(task:% = task, run = run, endpoint:% = self.endpoints[key].entry.id; "cleared, other work may run beside it");
            self.schedule_due = true;
        }
        let Some(entry) = self.unfinished_task(task) else {
            return;
        };
        if entry.exposures.is_empty() {
            return;
        }
        if cleared {
            entry.exposures.clear();
            self.unsaved.progress.insert(task.job);
            return;
        }
        let mut seen = entry.exposures.iter_mut();
        if let Some(seen) = seen.find(|seen| seen.run == run && seen.new) {
            seen.new = false;
            seen.answered = true;
            self.unsaved.progress.insert(task.job);
        }
    }

    /// Returns whether an endpoint has recently crashed at this address.
    pub(super) fn recently_crashed_at(&self, address: &str) -> bool {
        self.crashed_addresses.contains_key(address)
    }
}

/// Returns the runs that were ordered on a lost endpoint, each with its exposure.
fn lost_runs(endpoint: &Endpoint) -> Vec<(TaskKey, Exposure)> {
    let ordered = endpoint.placed.iter();
    let ordered =
        ordered.filter(|(_, placed)| placed.phase != RunPhase::Announced && !placed.unseen);
    let mut jobs = ordered.clone().map(|(task, _)| task.job);
    let first = jobs.next();
    let alone = jobs.all(|job| Some(job) == first);
    let exposures = ordered.map(|(task, placed)| {
        let exposure = Exposure {
            run: placed.run,
            endpoint: endpoint.entry.id.clone(),
            born_ms: endpoint.born_ms,
            fate: ExposureState::Lost,
            new: endpoint.has_just_begun(placed),
            alone,
            answered: placed.confirmed_ms.is_some(),
        };
        (*task, exposure)
    });
    exposures.collect()
}
