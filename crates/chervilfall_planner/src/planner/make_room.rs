//! Pauses runs that can wait, so that a gang of a more urgent queue has room.

use crate::endpoint::{EndpointKey, Reserved, Room};
use crate::ids::{Millis, TaskKey};
use crate::meters;
use crate::planner::schedule::{Pass, Wanted};
use crate::planner::Planner;
use crate::policy::preemption::{plan, Host, Pausable};
use crate::tasks::StepKey;

/// Time in which paused runs end and their ends are listed: endpoints stop within 0.4 s.
const PAUSE_MS: Millis = 600;
/// Time for which the room is kept; it passes to others if a run does not end or a start is refused.
const RESERVE_MS: Millis = 1_200;
/// Time between two looks for room for one step: each goes through what runs on its endpoints.
const SEEK_GAP_MS: Millis = 200;

impl Planner {
    /// Makes room for a gang that can still be in time, on endpoints for which it has tickets.
    pub(super) fn make_room(&mut self, pass: &Pass, key: StepKey, wanted: &Wanted) {
        let now = self.now;
        if !self.limits.policies.preemption || !wanted.step().gang || !self.in_time(key) {
            return;
        }
        let progress = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.step_progress_mut(key));
        let Some(progress) = progress else {
            return;
        };
        let waiting = progress.waiting();
        if waiting == 0 || now < progress.room_sought_ms + SEEK_GAP_MS {
            return;
        }
        progress.room_sought_ms = now;
        if self.keeps_room_for(key) {
            return;
        }
        let need = Room::of_step(wanted.step());
        let hosts = self.hosts(pass, key, wanted);
        let Some(plan) = plan(hosts, need, waiting) else {
            return;
        };
        log::info!(
            step:% = key, tasks = waiting, endpoints = plan.places.len(), pauses = plan.pauses.len();
            "room is made for a gang"
        );
        for (endpoint, count) in &plan.places {
            self.reserve(*endpoint, key, need, *count);
        }
        for (endpoint, run) in &plan.pauses {
            self.pause(*endpoint, run);
        }
    }

    /// Returns whether room that was made for the step is still kept.
    fn keeps_room_for(&self, key: StepKey) -> bool {
        let mut reserved = self
            .endpoints
            .values()
            .filter_map(|endpoint| endpoint.reserved);
        reserved.any(|reserved| reserved.step == key && self.now < reserved.until_ms)
    }

    /// Returns the endpoints that the step may use once what gives way to it has ended.
    fn hosts(&self, pass: &Pass, key: StepKey, wanted: &Wanted) -> Vec<Host> {
        let progress = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.step_progress(key));
        let (Some(progress), Some(pool)) = (progress, pass.pools.get(&wanted.service)) else {
            return Vec::new();
        };
        let advised = wanted.advice.is_some();
        let starts_ms = self.now + PAUSE_MS;
        let usable = pool.iter().filter_map(|endpoint_key| {
            let endpoint = self.endpoints.get(*endpoint_key)?;
            let ticket = !advised || progress.advice.ticket(*endpoint_key, starts_ms).is_some();
            let open = ticket
                && endpoint.takes_work(self.now, &self.limits)
                && !endpoint.reserved_for_other(key, self.now);
            open.then_some((*endpoint_key, endpoint))
        });
        let hosts = usable.filter_map(|(endpoint_key, endpoint)| {
            let failed = progress.failed_on.contains(&endpoint_key);
            let offer = self.offer(endpoint_key, endpoint, key, wanted.step(), failed)?;
            Some(Host {
                endpoint: endpoint_key,
                free: offer.free,
                most: offer.most,
                runs: endpoint.pausable(wanted.priority, self.now),
            })
        });
        hosts.collect()
    }

    fn reserve(&mut self, endpoint: EndpointKey, step: StepKey, need: Room, count: u32) {
        let until_ms = self.now + RESERVE_MS;
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            let room = need.times(count);
            endpoint.reserved = Some(Reserved {
                step,
                room,
                until_ms,
            });
        }
    }

    /// Gives up the room that is kept for a step.
    pub(super) fn drop_reserved(&mut self, step: StepKey) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint
                .reserved
                .is_some_and(|reserved| reserved.step == step)
            {
                endpoint.reserved = None;
            }
        }
    }

    fn pause(&mut self, endpoint: EndpointKey, run: &Pausable) {
        let task: TaskKey = run.task;
        if let Some(entry) = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.task_mut(task))
        {
            entry.pauses += 1;
        }
        meters::paused();
        log::info!(task:% = task, run = run.run; "run is paused, a gang needs its room");
        self.begin_stop(endpoint, task, run.run);
    }
}
