//! Endpoints that restart under their name.
//!
//! An incarnation is identified by its name and start time. Nothing known of one holds for the
//! next: its runs and leases are gone, and its clock and the numbers of its ends and reports begin
//! anew. So each incarnation has its own record in the arena, and everything keyed by a record ends
//! with it. Only the lists of runs reveal a new incarnation: the entry in the list of endpoints may
//! be older than the endpoint's last answer, and start times cannot be ordered, because the time of
//! day may step back.

use crate::endpoint::{Endpoint, EndpointKey};
use crate::event::HoldReport;
use crate::ids::{Millis, Run, TaskKey};
use crate::metrics;
use crate::placed_run::{LossReason, PlacedRun, RunPhase};
use crate::planner::Planner;
use crate::record::RosterBucket;
use crate::tasks::TaskState;

impl Planner {
    /// Records the lists of an incarnation that has replaced the one that a hold was meant for.
    ///
    /// Orders in flight to the earlier incarnation may reach this one. They carry a lower fencing
    /// token than it receives from now on, so its next lists show all such orders that it ever
    /// executes.
    pub(super) fn replace_incarnation(
        &mut self,
        old_key: EndpointKey,
        sent_ms: Millis,
        report: &HoldReport,
    ) {
        let Some(endpoint) = self.endpoints.get(old_key) else {
            return;
        };
        metrics::started_again();
        log::warn!(
            endpoint:% = endpoint.entry.id, born_ms:? = report.born_ms, before_ms:? = endpoint.born_ms,
            tasks = endpoint.placed.len(), taken_in = endpoint.last_end_received,
            silent_ms = endpoint.silent_for(self.now);
            "endpoint has restarted"
        );
        let mut next = Endpoint::next_incarnation(endpoint, report.born_ms);
        next.leases.read_clock(self.now, report.clock_ms);
        next.last_contact_ms = Some(self.limits.last_contact_ms(self.now, sent_ms));
        next.assume_granted(&self.limits);
        let may_lack_ends = next.note_listed_ends(report, &self.limits);
        let id = endpoint.entry.id.clone();
        let (before_ms, draining) = (endpoint.born_ms, endpoint.draining);
        self.unsaved.roster.insert(RosterBucket::of(&id));
        let new_key = self.endpoints.insert(next);
        self.endpoint_keys.insert(id.clone(), new_key);

        self.move_runs(old_key, new_key, |task, placed| {
            report_lists_run(report, task, placed.run).then(|| placed.clone())
        });
        self.record_lost_runs(old_key, LossReason::Replaced);
        if draining {
            self.record_gone_endpoint(&id, before_ms, true);
        }
        let now = self.now;
        self.move_runs(old_key, new_key, |_, placed| {
            let may_be_there = may_lack_ends || may_be_in_flight(placed, sent_ms);
            may_be_there.then(|| unseen_run(placed, now)).flatten()
        });
        self.remove_replaced_record(old_key);
        self.record_lists(new_key, report);
        if may_lack_ends {
            self.replace_in_barrier(old_key, new_key);
        } else {
            self.remove_from_barrier(old_key);
        }
    }

    /// Moves the runs for which `kept` returns a record to the next incarnation.
    fn move_runs(
        &mut self,
        old_key: EndpointKey,
        new_key: EndpointKey,
        kept: impl Fn(TaskKey, &PlacedRun) -> Option<PlacedRun>,
    ) {
        let Some(endpoint) = self.endpoints.get(old_key) else {
            return;
        };
        let runs = endpoint.placed.iter();
        let runs: Vec<(TaskKey, PlacedRun)> = runs
            .filter_map(|(task, placed)| Some((*task, kept(*task, placed)?)))
            .collect();
        for (task, mut placed) in runs {
            self.release_run(old_key, task);
            if let RunPhase::Stopping { .. } = placed.phase {
                // A stop that the earlier incarnation received is lost with it.
                placed.phase = RunPhase::Stopping {
                    sent_ms: None,
                    taken_ms: None,
                };
                self.stopping.insert(new_key, task);
            }
            self.update_placement(task, old_key, new_key, placed.run);
            self.record_run(new_key, task, placed);
        }
    }

    /// Updates the endpoint on which the run of a task is placed.
    fn update_placement(
        &mut self,
        task: TaskKey,
        old_key: EndpointKey,
        new_key: EndpointKey,
        run: Run,
    ) {
        let job = self.jobs.get_mut(&task.job);
        let progress = job.and_then(|job| job.step_progress_mut(task.step_key()));
        let entry = progress.and_then(|progress| progress.tasks.get_mut(task.index));
        if let Some(entry) = entry.filter(|entry| entry.state == TaskState::Placed(old_key, run)) {
            entry.state = TaskState::Placed(new_key, run);
        }
    }

    /// Gives up the remaining runs of an earlier incarnation and removes its record.
    fn remove_replaced_record(&mut self, old_key: EndpointKey) {
        self.requeue_lost_runs(old_key, LossReason::Replaced);
        self.unsaved.acknowledgements.remove(old_key);
        self.endpoints.remove(old_key);
    }
}

/// Returns whether a report lists a run, running or ended.
fn report_lists_run(report: &HoldReport, task: TaskKey, run: Run) -> bool {
    let running = report.running.iter();
    let mut running = running.map(|running| (running.task, running.run));
    let mut ended = report.ended.iter().map(|ended| (ended.task, ended.run));
    running.any(|seen| seen == (task, run)) || ended.any(|seen| seen == (task, run))
}

/// Returns whether the start of a run may still reach the next incarnation, or was answered after
/// the lists were requested.
fn may_be_in_flight(placed: &PlacedRun, sent_ms: Millis) -> bool {
    let unanswered = placed.phase == RunPhase::Starting || placed.unanswered > 0;
    let answered_since = placed
        .confirmed_ms
        .is_some_and(|confirmed_ms| confirmed_ms >= sent_ms);
    unanswered || answered_since
}

/// Returns the record of a run that may be on the next incarnation without being listed; none if it
/// was never sent. The next lists must show it.
fn unseen_run(placed: &PlacedRun, now: Millis) -> Option<PlacedRun> {
    let phase = match placed.phase {
        RunPhase::Announced => return None,
        RunPhase::Starting => RunPhase::Running,
        other => other,
    };
    Some(PlacedRun {
        phase,
        unseen: true,
        confirmed_ms: Some(now),
        // When the run began is not known.
        resumed: true,
        ..placed.clone()
    })
}
