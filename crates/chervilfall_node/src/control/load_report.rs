//! The status line of the control thread.

use std::time::Instant;

use chervilfall_planner::LoadReport;

use super::Control;
use crate::clock::now_ms;
use crate::load::{LoadStatus, WorkKind};
use crate::ports::Platform;

impl<P: Platform> Control<P> {
    /// Writes a status line, and tells the policy for handovers how long events waited.
    pub(super) fn report_load(&mut self, status: LoadStatus) {
        if let Some(handover) = &mut self.handover {
            let report = LoadReport {
                covers_ms: status.covers_ms,
                mean_wait_ms: status.mean_queue_age_ms,
            };
            handover.record_load(now_ms(), report);
        }
        let Some(planner) = &mut self.planner else {
            return;
        };
        let backlog = planner.backlog();
        let now = Instant::now();
        let traffic_lag_ms = self.lags.traffic.take_max_ms(now);
        let links_lag_ms = self.lags.links.take_max_ms(now);
        let work = planner.take_work();
        let longest_commit_gap_ms = planner.take_longest_commit_gap_ms();
        log::info!(
            term = planner.term(), busy_percent = status.busy_percent, events = status.events,
            most_waiting = status.most_waiting, oldest_ms = status.max_queue_age_ms,
            mean_ms = status.mean_queue_age_ms,
            longest_ms = status.max_stretch_ms, open_steps = backlog.open_steps,
            unsaved_jobs = backlog.unsaved_jobs, advice_calls = backlog.advice_calls,
            links = self.links.len(),
            requests_ms = status.kind_ms(WorkKind::Requests),
            endpoints_ms = status.kind_ms(WorkKind::Endpoints),
            advice_ms = status.kind_ms(WorkKind::Advice),
            store_ms = status.kind_ms(WorkKind::Store),
            links_ms = status.kind_ms(WorkKind::Links),
            lists_ms = status.kind_ms(WorkKind::Lists),
            ticks_ms = status.kind_ms(WorkKind::Ticks),
            traffic_lag_ms = traffic_lag_ms, links_lag_ms = links_lag_ms, commit_wait_ms = status.max_commit_wait_ms, passes = work.passes,
            steps_visited = work.steps_visited, endpoints_judged = work.endpoints_judged,
            nodes_searched = work.nodes_searched, longest_commit_gap_ms = longest_commit_gap_ms;
            "control thread load"
        );
    }
}
