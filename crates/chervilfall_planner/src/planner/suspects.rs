//! Starts of suspects, which are tasks that may crash their endpoints. They run where little else
//! would be lost, and each start is stored before it is sent.

use std::cmp::Reverse;

use crate::endpoint::EndpointKey;
use crate::ids::{Millis, Run, TaskKey};
use crate::placed_run::RunPhase;
use crate::planner::schedule::StepRequest;
use crate::planner::Planner;
use crate::policy::crashes::{verdict, Verdict};
use crate::policy::placement::{pick_all_or_none, pick_endpoints, Offer};
use crate::resources::Resources;
use crate::tasks::{StepKey, TaskState, MAX_WAITING_TASKS};

/// Time for which a step waits for an endpoint without runs before it accepts others: most work
/// that must end there first takes no longer. Where every endpoint has long-running work, none
/// becomes empty.
const EMPTY_ENDPOINT_WAIT_MS: Millis = 10_000;
/// Number of tasks without a run that one pass considers. A gang needs all of its tasks at once.
const MAX_FRESH_TASKS: usize = 1_000;
/// Time for which one reservation keeps other starts off an endpoint: several full passes.
const RESERVATION_MS: Millis = 200;

/// Index of a waiting task, and its last run.
pub(super) type WaitingTask = (u32, Run);

/// The waiting tasks of a step, by verdict.
#[derive(Debug, Default)]
pub(super) struct WaitingTasks {
    pub(super) clear: Vec<WaitingTask>,
    pub(super) suspects: Vec<WaitingTask>,
    pub(super) isolated: Vec<WaitingTask>,
    /// Number of tasks that cannot start until it is known whether they are at fault, or until an
    /// earlier run is stopped.
    pub(super) blocked: u32,
}

impl WaitingTasks {
    /// Returns whether every task that can be started now can be started on any endpoint.
    pub(super) fn none_suspect(&self) -> bool {
        self.suspects.is_empty() && self.isolated.is_empty()
    }

    /// Keeps at most `max` tasks.
    pub(super) fn truncate(&mut self, max: usize) {
        self.clear.truncate(max);
        let left = max - self.clear.len();
        self.suspects.truncate(left);
        self.isolated.truncate(left - self.suspects.len());
    }

    /// Returns the tasks that can be started now.
    pub(super) fn startable(&self) -> impl Iterator<Item = &WaitingTask> {
        self.isolated
            .iter()
            .chain(&self.suspects)
            .chain(&self.clear)
    }
}

impl Planner {
    pub(super) fn waiting_tasks(&self, key: StepKey) -> WaitingTasks {
        let mut waiting = WaitingTasks::default();
        let job = self.jobs.get(&key.job);
        let Some(progress) = job.and_then(|job| job.step_progress(key)) else {
            return waiting;
        };
        for (index, task) in progress.tasks.begun() {
            if task.state != TaskState::Waiting {
                continue;
            }
            if self.stopping.contains(key.task(index)) {
                waiting.blocked += 1;
                continue;
            }
            let entry = (index, task.last_run);
            match verdict(&task.exposures) {
                Verdict::Clear => waiting.clear.push(entry),
                Verdict::Suspect => waiting.suspects.push(entry),
                Verdict::Isolate => waiting.isolated.push(entry),
                Verdict::Awaited | Verdict::Culprit => waiting.blocked += 1,
            }
        }
        let steps = job.map(|job| &job.spec.steps);
        let step = steps.and_then(|steps| steps.get(key.step as usize));
        let gang = step.is_some_and(|step| step.gang);
        let considered = if gang {
            MAX_WAITING_TASKS as usize
        } else {
            MAX_FRESH_TASKS
        };
        let mut fresh = progress.tasks.fresh();
        for index in fresh.by_ref().take(considered) {
            if self.stopping.contains(key.task(index)) {
                waiting.blocked += 1;
            } else {
                waiting.clear.push((index, 0));
            }
        }
        if gang {
            // One with more tasks never starts.
            waiting.blocked += u32::try_from(fresh.len()).unwrap_or(u32::MAX);
        }
        waiting
    }

    /// Starts suspects on the endpoints with the fewest runs, and isolated tasks on endpoints
    /// without runs.
    pub(super) fn place_suspects(
        &mut self,
        key: StepKey,
        request: &StepRequest,
        waiting: &WaitingTasks,
    ) {
        for (tasks, exclusive) in [(&waiting.suspects, false), (&waiting.isolated, true)] {
            if tasks.is_empty() {
                continue;
            }
            let mut offers = self.least_loaded_offers(key, request, exclusive);
            let count = count(tasks);
            let picks = pick_endpoints(
                &mut offers,
                request.required_resources(),
                count,
                request.latency_class,
            );
            if exclusive {
                self.update_exclusive_search(key, request, count, picks.is_empty());
            }
            for ((index, last_run), endpoint) in tasks.iter().zip(picks) {
                let run = self.next_run(*last_run);
                self.announce(endpoint, key.task(*index), run, exclusive);
            }
        }
    }

    /// Starts a gang with suspects among its members, once all members can be placed. If one must
    /// be isolated, the whole gang runs exclusively.
    pub(super) fn place_gang_with_suspects(
        &mut self,
        key: StepKey,
        request: &StepRequest,
        waiting: &WaitingTasks,
        run: Run,
    ) {
        let exclusive = !waiting.isolated.is_empty();
        let mut offers = self.least_loaded_offers(key, request, exclusive);
        let startable: Vec<WaitingTask> = waiting.startable().copied().collect();
        let count = count(&startable);
        let picks = pick_all_or_none(
            &mut offers,
            request.required_resources(),
            count,
            request.latency_class,
        )
        .unwrap_or_default();
        if exclusive {
            self.update_exclusive_search(key, request, count, picks.is_empty());
        }
        if picks.is_empty() {
            return;
        }
        self.share_checkpoint(key);
        for ((index, _), endpoint) in startable.iter().zip(picks) {
            self.announce(endpoint, key.task(*index), run, exclusive);
        }
    }

    /// Returns the endpoints for a step with suspects. Those at addresses with a recent crash count
    /// as failed, so that they are used only if there are no others: a faulty machine must not
    /// count against a task. An exclusive step waits a limited time for endpoints without runs.
    fn least_loaded_offers(
        &self,
        key: StepKey,
        request: &StepRequest,
        exclusive: bool,
    ) -> Vec<Offer> {
        let mut offers = self.offers_for_suspects(key, request);
        self.keep_least_loaded(key, request, exclusive, &mut offers);
        for offer in &mut offers {
            let endpoint = &self.endpoints[offer.endpoint];
            offer.failed |= self.recently_crashed_at(&endpoint.entry.address);
        }
        offers
    }

    /// Removes the offers of endpoints with too many runs for a step with suspects.
    pub(super) fn keep_least_loaded(
        &self,
        key: StepKey,
        request: &StepRequest,
        exclusive: bool,
        offers: &mut Vec<Offer>,
    ) {
        if exclusive && self.exclusive_search_ms(key) < EMPTY_ENDPOINT_WAIT_MS {
            offers.retain(|offer| self.endpoints[offer.endpoint].placed.is_empty());
        }
        if !exclusive {
            // Few runs must be there, because all of them are lost if the suspect is at fault.
            let min_runs = offers.iter().map(|offer| self.run_count(offer)).min();
            let max_runs = min_runs.unwrap_or(0) + 1;
            if !request.step().gang {
                offers.retain(|offer| self.run_count(offer) <= max_runs);
            }
        }
    }

    fn run_count(&self, offer: &Offer) -> usize {
        self.endpoints[offer.endpoint].placed.len()
    }

    fn exclusive_search_ms(&self, key: StepKey) -> Millis {
        let job = self.jobs.get(&key.job);
        let progress = job.and_then(|job| job.step_progress(key));
        let since_ms = progress.and_then(|progress| progress.exclusive_since_ms);
        since_ms.map_or(0, |since_ms| self.now.saturating_sub(since_ms))
    }

    /// Records whether a step still searches for endpoints without runs, and reserves enough
    /// endpoints until they are empty: those reserved before, then those with the fewest runs.
    fn update_exclusive_search(
        &mut self,
        key: StepKey,
        request: &StepRequest,
        count: u32,
        searching: bool,
    ) {
        let now = self.now;
        let need = request.required_resources();
        let mut offers = self.offers_for_suspects(key, request);
        // The wait does not begin while there is no usable endpoint at all.
        let searching = searching && !offers.is_empty();
        let job = self.jobs.get_mut(&key.job);
        if let Some(progress) = job.and_then(|job| job.step_progress_mut(key)) {
            let since_ms = progress.exclusive_since_ms.unwrap_or(now);
            progress.exclusive_since_ms = searching.then_some(since_ms);
        }
        if !searching {
            return;
        }
        offers.sort_by_key(|offer| {
            let reserved = self.endpoints[offer.endpoint].reserved_for(now).is_some();
            (Reverse(reserved), self.run_count(offer))
        });
        let mut missing = if request.step().gang { count } else { 1 };
        for offer in offers {
            if missing == 0 {
                return;
            }
            let endpoint = &mut self.endpoints[offer.endpoint];
            endpoint.reserve(key, now + RESERVATION_MS);
            let whole = Resources::of_entry(&endpoint.entry);
            missing = missing.saturating_sub(whole.max_fitting(need));
        }
    }

    /// Places a run whose start is sent once its exposure is stored.
    fn announce(&mut self, endpoint: EndpointKey, task: TaskKey, run: Run, exclusive: bool) {
        if !self.place_run(endpoint, task, run, RunPhase::Announced, exclusive) {
            return;
        }
        let id = self.endpoints[endpoint].entry.id.clone();
        log::info!(task:% = task, run = run, endpoint:% = id, apart = exclusive; "start waits until its exposure is stored");
        self.record_planned_start(task, run, &id);
        self.announced.insert(task, (endpoint, run));
        self.unsaved.progress.insert(task.job);
    }

    /// Orders the start of a run whose exposure is stored.
    pub(super) fn start_announced(&mut self, endpoint: EndpointKey, task: TaskKey, run: Run) {
        if self.announced.get(&task) == Some(&(endpoint, run)) {
            self.announced.remove(&task);
        }
        let placed = self.placed_mut(endpoint, task, run);
        let Some(placed) = placed.filter(|placed| placed.phase == RunPhase::Announced) else {
            return;
        };
        placed.phase = RunPhase::Starting;
        if !self.order_start(endpoint, task, run) {
            log::info!(task:% = task, run = run; "announced start cannot be ordered, requeuing the task");
            self.release_run(endpoint, task);
            self.requeue(task, endpoint, run);
        }
    }
}

fn count(tasks: &[WaitingTask]) -> u32 {
    u32::try_from(tasks.len()).unwrap_or(u32::MAX)
}
