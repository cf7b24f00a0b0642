//! Endpoints that start again under their name.
//!
//! An incarnation is told by its name and its start. Nothing that is known of one holds for the next: its runs and
//! leases are gone, its clock and the numbers of its ends and reports begin anew. So each has a record of its own in the
//! arena, and what is keyed by a record ends with it. Lists of runs alone tell of a new incarnation. The entry in
//! the list of endpoints may be older than what its endpoint has answered, and starts can't be put in order, because the
//! time of day may step back.

use crate::endpoint::{Endpoint, EndpointKey};
use crate::event::HoldReport;
use crate::ids::{Millis, Run, TaskKey};
use crate::metrics;
use crate::placed_run::{LossReason, PlacedRun, RunPhase};
use crate::planner::Planner;
use crate::record::RosterBucket;
use crate::tasks::TaskState;

impl Planner {
    /// Takes in the lists of an incarnation that has taken the place of the one that a hold was meant for.
    ///
    /// Orders that are still on their way to the earlier one may reach this one. They carry a lower fencing token than it
    /// is given from now on, so that its next lists show all of them that it has ever carried out.
    pub(super) fn replace_incarnation(
        &mut self,
        before: EndpointKey,
        sent_ms: Millis,
        report: &HoldReport,
    ) {
        let Some(endpoint) = self.endpoints.get(before) else {
            return;
        };
        metrics::started_again();
        log::warn!(
            endpoint:% = endpoint.entry.id, born_ms:? = report.born_ms, before_ms:? = endpoint.born_ms,
            tasks = endpoint.placed.len(), taken_in = endpoint.last_end_received,
            silent_ms = endpoint.silent_for(self.now);
            "endpoint has started again"
        );
        let mut next = Endpoint::next_incarnation(endpoint, report.born_ms);
        next.leases.read_clock(self.now, report.clock_ms);
        next.last_contact_ms = Some(self.limits.last_contact_ms(self.now, sent_ms));
        next.assume_granted(&self.limits);
        let id = endpoint.entry.id.clone();
        let (before_ms, draining) = (endpoint.born_ms, endpoint.draining);
        self.unsaved.roster.insert(RosterBucket::of(&id));
        let key = self.endpoints.insert(next);
        self.endpoint_keys.insert(id.clone(), key);

        self.move_runs(before, key, |task, placed| {
            report_lists_run(report, task, placed.run).then(|| placed.clone())
        });
        self.record_lost_runs(before, LossReason::Replaced);
        if draining {
            self.record_gone_endpoint(&id, before_ms, true);
        }
        let now = self.now;
        self.move_runs(before, key, |_, placed| in_flight_run(placed, sent_ms, now));
        self.remove_replaced_record(before);
        self.record_lists(key, report);
        self.remove_from_barrier(before);
    }

    /// Moves runs to the record of the next incarnation, as `kept` says what becomes of them.
    fn move_runs(
        &mut self,
        before: EndpointKey,
        key: EndpointKey,
        kept: impl Fn(TaskKey, &PlacedRun) -> Option<PlacedRun>,
    ) {
        let Some(endpoint) = self.endpoints.get(before) else {
            return;
        };
        let runs = endpoint.placed.iter();
        let runs: Vec<(TaskKey, PlacedRun)> = runs
            .filter_map(|(task, placed)| Some((*task, kept(*task, placed)?)))
            .collect();
        for (task, mut placed) in runs {
            self.release_run(before, task);
            if let RunPhase::Stopping { .. } = placed.phase {
                // What the earlier incarnation knows of the stop is gone with it.
                placed.phase = RunPhase::Stopping {
                    sent_ms: None,
                    taken_ms: None,
                };
                self.stopping.insert(key, task);
            }
            self.update_placement(task, before, key, placed.run);
            self.record_run(key, task, placed);
        }
    }

    /// Lets a task know where its run is now.
    fn update_placement(&mut self, task: TaskKey, before: EndpointKey, key: EndpointKey, run: Run) {
        let job = self.jobs.get_mut(&task.job);
        let progress = job.and_then(|job| job.step_progress_mut(task.step_key()));
        let entry = progress.and_then(|progress| progress.tasks.get_mut(task.index as usize));
        if let Some(entry) = entry.filter(|entry| entry.state == TaskState::Placed(before, run)) {
            entry.state = TaskState::Placed(key, run);
        }
    }

    /// Gives up what is left of an earlier incarnation.
    fn remove_replaced_record(&mut self, before: EndpointKey) {
        self.requeue_lost_runs(before, LossReason::Replaced);
        self.unsaved.acknowledgements.remove(before);
        self.endpoints.remove(before);
    }
}

/// Returns whether an endpoint shows a run, at work or ended.
fn report_lists_run(report: &HoldReport, task: TaskKey, run: Run) -> bool {
    let running = report.running.iter();
    let mut running = running.map(|running| (running.task, running.run));
    let mut ended = report.ended.iter().map(|ended| (ended.task, ended.run));
    running.any(|seen| seen == (task, run)) || ended.any(|seen| seen == (task, run))
}

/// Returns a run that the next incarnation may be told to start, or was told after its lists were asked for: the next
/// lists must show it.
fn in_flight_run(placed: &PlacedRun, sent_ms: Millis, now: Millis) -> Option<PlacedRun> {
    let on_its_way = placed.phase == RunPhase::Starting || placed.unanswered > 0;
    let answered_since = placed
        .confirmed_ms
        .is_some_and(|confirmed_ms| confirmed_ms >= sent_ms);
    if placed.phase == RunPhase::Announced || !(on_its_way || answered_since) {
        return None;
    }
    let phase = match placed.phase {
        RunPhase::Starting => RunPhase::Running,
        other => other,
    };
    Some(PlacedRun {
        phase,
        unseen: true,
        confirmed_ms: Some(now),
        // When it began is not known.
        resumed: true,
        ..placed.clone()
    })
}
