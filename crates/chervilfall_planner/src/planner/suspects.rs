//! Starts of tasks that may bring down their endpoints: where little else is lost, and written down first.

use std::cmp::Reverse;

use crate::endpoint::EndpointKey;
use crate::ids::{Millis, Run, TaskKey};
use crate::placed_run::RunPhase;
use crate::planner::schedule::StepRequest;
use crate::planner::Planner;
use crate::policy::crashes::{verdict, Verdict};
use crate::policy::placement::{pick_all_or_none, pick_endpoints, Offer};
use crate::resources::Resources;
use crate::tasks::{StepKey, TaskState};

/// How long a step waits for an endpoint that runs nothing before it takes others: as long as most work takes that has
/// to end there first. Where work that lasts runs everywhere, none is ever empty.
const EMPTY_ENDPOINT_WAIT_MS: Millis = 10_000;
/// How long an endpoint is kept free of other starts at a time: some whole passes.
const RESERVATION_MS: Millis = 200;

/// A task that waits, and its last run.
pub(super) type WaitingTask = (u32, Run);

/// The tasks of a step that wait, by what is known of them.
#[derive(Debug, Default)]
pub(super) struct WaitingTasks {
    pub(super) clear: Vec<WaitingTask>,
    pub(super) suspects: Vec<WaitingTask>,
    pub(super) isolated: Vec<WaitingTask>,
    /// Tasks that wait until it is known whether they are at fault, or until an earlier run is stopped.
    pub(super) blocked: u32,
}

impl WaitingTasks {
    /// Returns whether all that can be started now can be started anywhere.
    pub(super) fn none_suspect(&self) -> bool {
        self.suspects.is_empty() && self.isolated.is_empty()
    }

    /// Keeps at most so many tasks.
    pub(super) fn truncate(&mut self, most: usize) {
        self.clear.truncate(most);
        let left = most - self.clear.len();
        self.suspects.truncate(left);
        self.isolated.truncate(left - self.suspects.len());
    }

    /// Returns those that can be started now.
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
        for (index, task) in (0_u32..).zip(&progress.tasks) {
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
        waiting
    }

    /// Starts suspects where the fewest runs are, and those against which much speaks where nothing runs.
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
            for ((index, last), endpoint) in tasks.iter().zip(picks) {
                let run = self.next_run(*last);
                self.announce(endpoint, key.task(*index), run, exclusive);
            }
        }
    }

    /// Starts a gang of which some members are suspects, once all have a place. If much speaks against one, the whole
    /// gang keeps apart.
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

    /// Returns what may be used by a step with suspects: endpoints at whose address none has crashed of late, so that
    /// a bad machine speaks against no task, or all if there are no others. A step that keeps apart takes only those
    /// that run nothing, but does not wait for them without end.
    fn least_loaded_offers(
        &self,
        key: StepKey,
        request: &StepRequest,
        exclusive: bool,
    ) -> Vec<Offer> {
        let mut offers = self.offers_for_suspects(key, request);
        if exclusive && self.exclusive_search_ms(key) < EMPTY_ENDPOINT_WAIT_MS {
            offers.retain(|offer| self.endpoints[offer.endpoint].placed.is_empty());
        }
        for offer in &mut offers {
            let endpoint = &self.endpoints[offer.endpoint];
            offer.failed |= self.recently_crashed_at(&endpoint.entry.address);
        }
        if !exclusive {
            // The emptiest first: all runs there are lost if the suspect is at fault.
            let least = offers.iter().map(|offer| self.run_count(offer)).min();
            let most = least.unwrap_or(0) + 1;
            if !request.step().gang {
                offers.retain(|offer| self.run_count(offer) <= most);
            }
        }
        offers
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

    /// Notes whether a step still looks for endpoints that run nothing, and keeps other starts away from enough of them
    /// until they are empty: those that it has kept before, and then the ones with the fewest runs.
    fn update_exclusive_search(
        &mut self,
        key: StepKey,
        request: &StepRequest,
        count: u32,
        searches: bool,
    ) {
        let now = self.now;
        let need = request.required_resources();
        let mut offers = self.offers_for_suspects(key, request);
        // While no endpoint can be had at all, nothing is waited for.
        let searches = searches && !offers.is_empty();
        let job = self.jobs.get_mut(&key.job);
        if let Some(progress) = job.and_then(|job| job.step_progress_mut(key)) {
            let since_ms = progress.exclusive_since_ms.unwrap_or(now);
            progress.exclusive_since_ms = searches.then_some(since_ms);
        }
        if !searches {
            return;
        }
        offers.sort_by_key(|offer| {
            let kept = self.endpoints[offer.endpoint].reserved_for(now).is_some();
            (Reverse(kept), self.run_count(offer))
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

    /// Places a run whose start waits until the store has it.
    fn announce(&mut self, endpoint: EndpointKey, task: TaskKey, run: Run, exclusive: bool) {
        if !self.place_run(endpoint, task, run, RunPhase::Announced, exclusive) {
            return;
        }
        let id = self.endpoints[endpoint].entry.id.clone();
        log::info!(task:% = task, run = run, endpoint:% = id, apart = exclusive; "start waits for the store");
        self.record_planned_start(task, run, &id);
        self.announced.insert(task, (endpoint, run));
        self.unsaved.progress.insert(task.job);
    }

    /// Orders a start whose note is stored.
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
            log::info!(task:% = task, run = run; "start not ordered after all");
            self.release_run(endpoint, task);
            self.requeue(task, endpoint, run);
        }
    }
}

fn count(tasks: &[WaitingTask]) -> u32 {
    u32::try_from(tasks.len()).unwrap_or(u32::MAX)
}
