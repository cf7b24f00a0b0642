//! The list of endpoints, and the handling of their reports.

use std::collections::BTreeSet;

use crate::action::StepDownReason;
use crate::endpoint::{DomainName, Endpoint, EndpointEntry, EndpointKey};
use crate::event::{HoldAnswer, HoldReport, RunningRun};
use crate::ids::{EndpointId, Millis, Run, TaskKey};
use crate::metrics;
use crate::placed_run::{LossReason, PlacedRun, RunPhase};
use crate::planner::Planner;
use crate::record::{RosterBucket, RosterEntry};
use crate::resources::Resources;
use crate::tasks::TaskState;

/// Step of a low-discrepancy sequence, which covers a range evenly with any number of terms: the
/// fractional part of the golden ratio.
const SPREAD_STEP_PERMILLE: u64 = 618;

impl Planner {
    /// Adds an endpoint on which an earlier holder may have started runs.
    pub(super) fn add_rostered(&mut self, rostered: &RosterEntry) {
        let entry = EndpointEntry {
            id: rostered.id.clone(),
            address: rostered.address.clone(),
            service: String::new(),
            domain: String::new(),
            draining: false,
            cpu_milli: 0,
            memory_mb: 0,
            gpus: 0,
            rack: None,
            labels: BTreeSet::new(),
            report: 0,
            born_ms: rostered.born_ms,
            remaining_ms: None,
            cold_left_ms: 0,
        };
        let key = self.add_endpoint(entry, false);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.rostered = rostered.lapses_store_ms.is_none();
            endpoint.lapses_store_ms = rostered.lapses_store_ms;
            endpoint.rostered_capacity = rostered.capacity;
            endpoint.stale_leases = rostered.stale_leases;
        }
        if let Some(barrier) = &mut self.barrier {
            barrier.add(key, rostered);
        }
    }

    fn add_endpoint(&mut self, entry: EndpointEntry, listed: bool) -> EndpointKey {
        let id = entry.id.clone();
        let key = self
            .endpoints
            .insert(Endpoint::new(entry, listed, self.fence));
        self.endpoint_keys.insert(id, key);
        key
    }

    pub(super) fn update_endpoint_list(
        &mut self,
        read_ms: Millis,
        entries: Vec<EndpointEntry>,
        evacuated: BTreeSet<DomainName>,
    ) {
        let mut listed: BTreeSet<EndpointId> = BTreeSet::new();
        for entry in entries {
            if self.lacks_reported_start_time(&entry) {
                log::warn!(endpoint:% = entry.id; "ignoring endpoint entry without the start time that the endpoint reports");
                continue;
            }
            listed.insert(entry.id.clone());
            self.update_endpoint(read_ms, entry);
        }
        for endpoint in self.endpoints.values_mut() {
            let now_listed = listed.contains(&endpoint.entry.id);
            if endpoint.listed && !now_listed {
                log::info!(
                    endpoint:% = endpoint.entry.id, tasks = endpoint.placed.len(),
                    draining = endpoint.draining, over = endpoint.defunct;
                    "endpoint left the list"
                );
            }
            endpoint.listed = now_listed;
        }
        self.update_evacuations(read_ms, evacuated);
        self.drop_endpoints();
    }

    /// Returns whether an entry lacks the start time that its endpoint reports: another writer
    /// wrote it.
    fn lacks_reported_start_time(&self, entry: &EndpointEntry) -> bool {
        let key = self.endpoint_keys.get(&entry.id);
        let endpoint = key.and_then(|key| self.endpoints.get(*key));
        entry.born_ms.is_none() && endpoint.is_some_and(|endpoint| endpoint.born_ms.is_some())
    }

    fn update_endpoint(&mut self, read_ms: Millis, entry: EndpointEntry) {
        let Some(key) = self.endpoint_keys.get(&entry.id).copied() else {
            if !self.config.has_service(&entry.service) {
                return;
            }
            log::info!(endpoint:% = entry.id, address = entry.address.as_str(), domain = entry.domain.as_str(); "endpoint joined");
            self.unsaved.roster.insert(RosterBucket::of(&entry.id));
            let key = self.add_endpoint(entry.clone(), true);
            self.endpoints[key].enforces_capacity = self.config.enforces_capacity(&entry.service);
            // Nothing runs there before the roster names it.
            self.endpoints[key].rostered_capacity = Some(Resources::of_entry(&entry));
            self.endpoints[key].update_entry(read_ms, entry);
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let was_draining = endpoint.draining;
        let known_ms = endpoint.entry.born_ms;
        endpoint.enforces_capacity = self.config.enforces_capacity(&entry.service);
        endpoint.update_entry(read_ms, entry);
        if endpoint.draining && !was_draining {
            log::info!(endpoint:% = endpoint.entry.id, tasks = endpoint.placed.len(), remaining_ms:? = endpoint.entry.remaining_ms; "endpoint is draining");
        }
        if endpoint.entry.born_ms != known_ms && !endpoint.entry_is_of_incarnation() {
            // Only the endpoint's own lists show which incarnation is running.
            endpoint.next_hold_ms = self.now;
            if endpoint.lapses_store_ms.take().is_some() {
                // The next incarnation may hold longer leases than the roster says.
                self.unsaved
                    .roster
                    .insert(RosterBucket::of(&endpoint.entry.id));
            }
        }
        self.roster_capacity(key);
    }

    /// Writes the endpoint's capacity to the roster if that states a smaller one or none.
    fn roster_capacity(&mut self, key: EndpointKey) {
        let endpoint = self.endpoints.get(key);
        if let Some(endpoint) = endpoint.filter(|endpoint| endpoint.roster_lacks_capacity()) {
            let bucket = RosterBucket::of(&endpoint.entry.id);
            self.unsaved.roster.insert(bucket);
        }
    }

    /// Removes endpoints that left the list, are defunct and have no recorded runs.
    fn drop_endpoints(&mut self) {
        let gone = self.endpoints.iter().filter(|(_, endpoint)| {
            !endpoint.listed && endpoint.defunct && endpoint.placed.is_empty()
        });
        let gone: Vec<EndpointKey> = gone.map(|(key, _)| key).collect();
        for key in gone {
            if let Some(endpoint) = self.endpoints.get(key) {
                let (id, draining) = (endpoint.entry.id.clone(), endpoint.draining);
                self.record_gone_endpoint(&id, endpoint.born_ms, draining);
            }
            if let Some(endpoint) = self.endpoints.remove(key) {
                log::info!(endpoint:% = endpoint.entry.id; "endpoint dropped");
                self.endpoint_keys.remove(&endpoint.entry.id);
                let bucket = RosterBucket::of(&endpoint.entry.id);
                self.unsaved.roster.insert(bucket);
            }
        }
        self.settle_unknown_endpoints();
    }

    pub(super) fn handle_hold_answer(
        &mut self,
        key: EndpointKey,
        sent_ms: Millis,
        answer: HoldAnswer,
    ) {
        let retry_ms = self.limits.hold_retry_ms;
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.hold_sent_ms = None;
        match answer {
            // A partial list does not suffice: all runs that the next incarnation was ordered to
            // start must be known.
            HoldAnswer::Report(report)
                if endpoint.is_other_incarnation(report.born_ms) && !report.partial =>
            {
                self.replace_incarnation(key, sent_ms, &report);
            }
            HoldAnswer::Report(report) if !endpoint.is_other_incarnation(report.born_ms) => {
                self.record_report(key, sent_ms, &report);
            }
            HoldAnswer::Fenced => self.step_down(StepDownReason::Fenced),
            // A hold is sent to the address in the entry. If that is the address of another
            // incarnation, its answer says nothing about this one.
            HoldAnswer::OtherIncarnation if endpoint.entry_is_of_incarnation() => {
                self.give_up_replaced_endpoint(key);
            }
            HoldAnswer::Report(_)
            | HoldAnswer::OtherIncarnation
            | HoldAnswer::Refused
            | HoldAnswer::Unanswered => {
                let first = !std::mem::replace(&mut endpoint.hold_unanswered, true);
                endpoint.idle = false;
                endpoint.next_hold_ms = now + retry_ms;
                if first {
                    self.store_exposures(key);
                }
            }
        }
    }

    fn record_report(&mut self, key: EndpointKey, sent_ms: Millis, report: &HoldReport) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        if endpoint.silent_for(now) > self.limits.silent_ms && endpoint.contacted {
            log::info!(endpoint:% = endpoint.entry.id, silent_ms = endpoint.silent_for(now); "endpoint answers again");
        }
        endpoint.born_ms = report.born_ms.or(endpoint.born_ms);
        endpoint.leases.read_clock(now, report.clock_ms);
        let last_contact_ms = self.limits.last_contact_ms(now, sent_ms);
        endpoint.last_contact_ms = endpoint.last_contact_ms.max(Some(last_contact_ms));
        endpoint.defunct = false;
        endpoint.hold_unanswered = false;
        endpoint.lapsed_ms = None;
        if endpoint.lapses_store_ms.take().is_some() {
            let bucket = RosterBucket::of(&endpoint.entry.id);
            self.unsaved.roster.insert(bucket);
        }
        let bounded = !endpoint.contacted && endpoint.note_first_contact(&self.limits);
        let settled = endpoint.forget_lapsed_stale_leases(report.clock_ms);
        if bounded || settled {
            let bucket = RosterBucket::of(&endpoint.entry.id);
            self.unsaved.roster.insert(bucket);
        }
        endpoint.lists_incomplete = report.partial;
        let may_lack_ends = endpoint.note_listed_ends(report, &self.limits);
        self.record_lists(key, report);
        if last_contact_ms < now {
            self.endpoints[key].take_back_idle(now);
        }
        if report.partial {
            return;
        }
        // A run that is not listed may have ended beyond the ends that the list holds.
        if !may_lack_ends {
            self.settle_missing_runs(key, sent_ms, report);
            self.remove_from_barrier(key);
        }
        self.roster_capacity(key);
    }

    /// Takes in the ends of lists that arrived after their hold had counted as unanswered. The lists
    /// may be older than others that were taken in, so they say nothing of what runs, and do not
    /// count as contact.
    pub(super) fn handle_late_lists(&mut self, key: EndpointKey, report: &HoldReport) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        if endpoint.contacted && !report.partial && !endpoint.is_other_incarnation(report.born_ms) {
            self.record_listed_ends(key, report);
        }
    }

    /// Records the ends that an endpoint lists for the first time.
    fn record_listed_ends(&mut self, key: EndpointKey, report: &HoldReport) {
        let known = self.endpoints[key].last_end_received;
        let new = || report.ended.iter().filter(|end| end.number > known);
        for end in new() {
            self.record_end(key, end);
        }
        let Some(newest) = new().map(|end| end.number).max() else {
            return;
        };
        self.endpoints[key].last_end_received = newest;
        let jobs = new().map(|end| end.task.job);
        self.unsaved.record_ends(key, newest, jobs);
    }

    /// Records the ends and runs that an endpoint lists.
    pub(super) fn record_lists(&mut self, key: EndpointKey, report: &HoldReport) {
        let now = self.now;
        let idle_pause_ms =
            self.spread_evenly(self.limits.idle_hold_pause_ms(self.endpoints.len()));
        self.record_listed_ends(key, report);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let pending = endpoint.last_end_received > endpoint.acknowledged;
        // The next hold follows the commit that stores the ends, or renews the lease before it.
        endpoint.next_hold_ms = if pending {
            now + self.limits.hold_retry_ms
        } else {
            endpoint.batched_hold_due_ms(now, &self.limits)
        };
        self.settle_live_endpoint(key, report);
        for running in &report.running {
            self.record_running(key, running);
        }
        let endpoint = &mut self.endpoints[key];
        endpoint.idle = endpoint.placed.is_empty() && !pending;
        if endpoint.idle {
            endpoint.next_hold_ms += idle_pause_ms;
        }
    }

    /// Returns a time between 50% and 150% of the given one, evenly distributed over the calls, so
    /// that endpoints that answered at the same time are not held at the same time indefinitely.
    fn spread_evenly(&mut self, time_ms: Millis) -> Millis {
        self.idle_jitter_permille = (self.idle_jitter_permille + SPREAD_STEP_PERMILLE) % 1_000;
        time_ms / 2 + time_ms * self.idle_jitter_permille / 1_000
    }

    /// Records a run that an endpoint lists as running.
    fn record_running(&mut self, key: EndpointKey, running: &RunningRun) {
        let task = running.task;
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        if let Some(placed) = endpoint.placed.get_mut(&task) {
            if placed.run == running.run {
                placed.unseen = false;
                if placed.phase == RunPhase::Starting {
                    placed.phase = RunPhase::Running;
                    placed.confirmed_ms = Some(self.now);
                    self.note_run(task);
                }
                self.confirm_start(task);
                self.record_checkpoint(task, &running.checkpoint);
                self.update_exposure_age(key, task);
                self.note_at_work(key, task);
                return;
            }
            // The lists order the runs of a task on one endpoint; an older one is about to end.
            return;
        }
        self.note_run(task);
        self.adopt_or_stop(key, running);
    }

    /// Records with the quarantine of its endpoint that a lasting run is at work.
    fn note_at_work(&mut self, key: EndpointKey, task: TaskKey) {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.spec.steps.get(task.step as usize));
        if !step.is_some_and(|step| step.long_running) {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let placed = endpoint.placed.get(&task);
        if let Some(since_ms) = placed.and_then(|placed| placed.confirmed_ms) {
            endpoint.quarantine.at_work(self.now, since_ms);
        }
    }

    /// Adopts a run that an earlier holder started, or stops it if it is not needed.
    fn adopt_or_stop(&mut self, key: EndpointKey, running: &RunningRun) {
        let task = running.task;
        self.create_occurrence_of(task);
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task)).map(|task| task.state);
        let superseded = match state {
            // An earlier holder started the later run only after it knew that the other had ended.
            Some(TaskState::Placed(other, run)) if run < running.run => Some((other, run)),
            _ => None,
        };
        let waits = state == Some(TaskState::Waiting) || superseded.is_some();
        let job_ended = job.is_some_and(|job| job.outcome.is_some());
        let wanted = job.is_some() && !job_ended && waits;
        let step = job.and_then(|job| job.spec.steps.get(task.step as usize));
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        let resources = step.map(Resources::of_step);
        let id = endpoint.entry.id.clone();
        let charge = self.charge(task);
        self.record_run(
            key,
            task,
            PlacedRun {
                run: running.run,
                phase: RunPhase::Running,
                resources: resources.unwrap_or_default(),
                charge,
                size_unknown: resources.is_none(),
                unanswered: 0,
                unseen: false,
                confirmed_ms: Some(self.now),
                resumed: true,
                latency_sensitive: false,
                exclusive: false,
                on_trial: false,
            },
        );
        log::info!(task:% = task, run = running.run, endpoint:% = id, wanted = wanted; "found an unrecorded run on an endpoint");
        if wanted {
            if let Some((other, run)) = superseded {
                self.clear_placement(task);
                self.begin_stop(other, task, run);
            }
            self.set_placed(task, key, running.run);
            self.record_checkpoint(task, &running.checkpoint);
        } else {
            if job_ended && state == Some(TaskState::Waiting) {
                // The account is charged for the run from now on, and no longer for the task.
                self.set_placed(task, key, running.run);
            }
            self.begin_stop(key, task, running.run);
        }
    }

    /// Clears the placement of a task, because a later run of it was found elsewhere.
    fn clear_placement(&mut self, task: TaskKey) {
        let job = self.jobs.get_mut(&task.job);
        let progress = job.and_then(|job| job.step_progress_mut(task.step_key()));
        let Some(progress) = progress else {
            return;
        };
        if let Some(entry) = progress.tasks.get_mut(task.index) {
            entry.state = TaskState::Waiting;
            progress.placed -= 1;
        }
    }

    fn set_placed(&mut self, task: TaskKey, endpoint: EndpointKey, run: Run) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.started = true;
        let key = task.step_key();
        let Some(progress) = job.step_progress_mut(key) else {
            return;
        };
        progress.placed += 1;
        let all_placed = progress.waiting() == 0;
        if let Some(entry) = progress.tasks.begin(task.index) {
            entry.state = TaskState::Placed(endpoint, run);
            entry.last_run = entry.last_run.max(run);
        }
        if all_placed {
            self.close_step(key);
        }
    }

    pub(super) fn record_checkpoint(&mut self, task: TaskKey, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let job = self.jobs.get_mut(&task.job);
        let progress = job.and_then(|job| job.step_progress_mut(task.step_key()));
        let entry = progress.and_then(|progress| progress.tasks.begin(task.index));
        if let Some(entry) = entry {
            if entry.checkpoint != checkpoint {
                checkpoint.clone_into(&mut entry.checkpoint);
            }
        }
    }

    /// Requeues runs missing from a list that was requested after the run was confirmed there.
    fn settle_missing_runs(&mut self, key: EndpointKey, sent_ms: Millis, report: &HoldReport) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        let listed: BTreeSet<(TaskKey, Run)> = report
            .running
            .iter()
            .map(|running| (running.task, running.run))
            .collect();
        let absent = endpoint.placed.iter().filter(|(task, placed)| {
            let since_ms = match placed.phase {
                RunPhase::Announced | RunPhase::Starting => None,
                RunPhase::Running => placed.confirmed_ms,
                RunPhase::Stopping { taken_ms, .. } => taken_ms,
            };
            since_ms.is_some_and(|since_ms| since_ms < sent_ms)
                && !listed.contains(&(**task, placed.run))
        });
        let absent: Vec<(TaskKey, Run)> =
            absent.map(|(task, placed)| (*task, placed.run)).collect();
        for (task, run) in absent {
            let endpoint = &self.endpoints[key];
            log::info!(
                task:% = task, run = run, endpoint:% = endpoint.entry.id, born_ms:? = endpoint.born_ms,
                taken_in = endpoint.last_end_received, acknowledged = endpoint.acknowledged,
                listed_runs = report.running.len(), listed_ends = report.ended.len();
                "run is missing from the list of its endpoint"
            );
            metrics::run_missing();
            self.release_run(key, task);
            self.requeue(task, key, run);
        }
    }

    pub(super) fn give_up_replaced_endpoint(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.next_hold_ms = self.now + self.limits.hold_retry_ms;
        if !endpoint.defunct {
            log::warn!(endpoint:% = endpoint.entry.id, tasks = endpoint.placed.len(); "another incarnation answers at the address of the endpoint");
        }
        endpoint.contacted = true;
        self.give_up_endpoint(key, LossReason::Replaced);
        self.remove_from_barrier(key);
    }

    /// Marks an endpoint as defunct and gives up its runs.
    pub(super) fn give_up_endpoint(&mut self, key: EndpointKey, reason: LossReason) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.defunct = true;
        self.record_lost_runs(key, reason);
        self.requeue_lost_runs(key, reason);
    }

    /// Requeues the tasks of lost runs.
    pub(super) fn requeue_lost_runs(&mut self, key: EndpointKey, reason: LossReason) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        log_lost_runs(endpoint, reason, self.now);
        let placed = endpoint.placed.iter();
        let placed: Vec<(TaskKey, Run)> =
            placed.map(|(task, placed)| (*task, placed.run)).collect();
        for (task, run) in placed {
            metrics::run_lost(reason);
            self.release_run(key, task);
            self.requeue(task, key, run);
        }
    }

    /// Removes the record of a run from its endpoint and its account.
    pub(super) fn release_run(&mut self, key: EndpointKey, task: TaskKey) {
        self.stopping.remove(key, task);
        self.schedule_due = true;
        let endpoint = self.endpoints.get_mut(key);
        let freed = endpoint.and_then(|endpoint| endpoint.release(task));
        self.release_usage(freed);
    }
}

/// Logs each run that is lost with its endpoint. Whether the endpoint ever answered about the run,
/// and for how long it was in contact afterwards, distinguish a run that may have crashed it from
/// those that were there before.
fn log_lost_runs(endpoint: &Endpoint, reason: LossReason, now: Millis) {
    for (task, placed) in &endpoint.placed {
        log::info!(
            task:% = task, run = placed.run, endpoint:% = endpoint.entry.id, reason = reason.label(),
            draining = endpoint.draining, phase:? = placed.phase,
            answered = placed.confirmed_ms.is_some(), heard_with_ms = endpoint.contact_with_run_ms(placed).unwrap_or(0),
            silent_ms = endpoint.silent_for(now);
            "run given up with its endpoint"
        );
    }
}
