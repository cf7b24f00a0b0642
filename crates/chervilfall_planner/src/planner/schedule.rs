//! Offers room to steps that wait, best rank first.
//!
//! A whole pass visits every open step, and there can be hundreds of them beside hundreds of endpoints. So
//! whatever does not depend on the step is worked out once a pass, a step that can neither be placed nor asked
//! about is left at once, and the passes between whole ones visit the steps of best rank only.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config::AdviceTerms;
use crate::endpoint::{Endpoint, EndpointKey};
use crate::event::Ticket;
use crate::ids::{Millis, Run};
use crate::job::{JobSpec, Step};
use crate::limits::Limits;
use crate::planner::ask::most_calls;
use crate::planner::suspects::{WaitingTask, WaitingTasks};
use crate::planner::Planner;
use crate::policy::headroom::Holes;
use crate::policy::order::has_time;
use crate::policy::placement::{pick, pick_all, pick_beside, Haste, Offer};
use crate::policy::speed::Pace;
use crate::room::Room;
use crate::tasks::{StepKey, StepProgress};

/// Time between passes over all open steps. On 350 endpoints with a hundred of them a pass took 2 ms of a core,
/// a fifth of the time at one each tick, and a holder has half a core or less.
const WHOLE_PASS_MS: Millis = 30;
/// Steps of best rank that the passes between look at: short requests come first and can't wait.
const SHORT_PASS: usize = 24;

/// What holds for all steps of a pass.
pub(super) struct Pass {
    /// Endpoints of each service that take work.
    pub(super) pools: BTreeMap<String, Vec<EndpointKey>>,
    /// Holes that patient work leaves, by service.
    holes: BTreeMap<String, Holes>,
    /// A node can make a fast call for advice.
    fast_idle: bool,
    /// A node can make a slow call for advice.
    slow_idle: bool,
}

/// What a step needs to be placed, taken from its job.
pub(super) struct Wanted {
    spec: Arc<JobSpec>,
    /// The step's position in the job.
    position: usize,
    pub(super) service: String,
    pub(super) advice: Option<AdviceTerms>,
    pub(super) haste: Haste,
}

impl Wanted {
    pub(super) fn step(&self) -> &Step {
        &self.spec.steps[self.position]
    }

    pub(super) fn need(&self) -> Room {
        Room::of_step(self.step())
    }
}

impl Planner {
    pub(super) fn schedule(&mut self) {
        if self.open.is_empty() || self.now >= self.cover_until_ms() {
            return;
        }
        self.count_unseen();
        let mut pass = self.begin_pass();
        let whole = self.now.saturating_sub(self.last_whole_pass_ms) >= WHOLE_PASS_MS;
        let keys = if whole {
            self.last_whole_pass_ms = self.now;
            self.rank_open_steps();
            self.open.keys()
        } else {
            self.open.first(SHORT_PASS)
        };
        for key in keys {
            self.serve_step(&mut pass, key);
        }
    }

    fn begin_pass(&mut self) -> Pass {
        let mut pools: BTreeMap<String, Vec<EndpointKey>> = BTreeMap::new();
        for (key, endpoint) in &self.endpoints {
            if !endpoint.takes_work(self.now, &self.limits) {
                continue;
            }
            match pools.get_mut(&endpoint.entry.service) {
                Some(pool) => pool.push(key),
                None => {
                    pools.insert(endpoint.entry.service.clone(), vec![key]);
                }
            }
        }
        let holes = self.holes(&pools);
        Pass {
            pools,
            holes,
            fast_idle: self.can_ask(false),
            slow_idle: self.can_ask(true),
        }
    }

    /// Returns the holes that patient work is to leave in each pool.
    fn holes(&mut self, pools: &BTreeMap<String, Vec<EndpointKey>>) -> BTreeMap<String, Holes> {
        if !self.limits.policies.headroom {
            return BTreeMap::new();
        }
        let (now, endpoints) = (self.now, &self.endpoints);
        let holes = self.headrooms.iter_mut().filter_map(|(service, headroom)| {
            let pool = pools.get(service)?;
            let hurried = pool.iter().map(|key| endpoints[*key].hurried_runs);
            headroom.note_running(now, hurried.sum());
            let free = pool.iter().map(|key| endpoints[*key].free());
            Some((service.clone(), headroom.holes(free)?))
        });
        holes.collect()
    }

    fn serve_step(&mut self, pass: &mut Pass, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(progress) = job.step_progress(key) else {
            return;
        };
        let Some(step) = job.spec.steps.get(key.step as usize) else {
            return;
        };
        if step.gang && progress.placed > 0 {
            if self.barrier.is_none() {
                self.abort_gang(key);
            }
            return;
        }
        let advice = job.queue.advice;
        let least = if step.gang { progress.waiting() } else { 1 };
        // What its account may not start now holds up nobody else: no advice is asked for it.
        if self.quota_room(key) < least {
            return;
        }
        let blocked = job.inherited && self.barrier.is_some();
        if job.text.is_none() {
            if !blocked {
                self.want_text(key.job);
            }
            return;
        }
        let placeable = !blocked && (advice.is_none() || progress.advice.any_ticket(self.now));
        let idle = advice.is_some_and(|terms| {
            if terms.is_slow() {
                pass.slow_idle
            } else {
                pass.fast_idle
            }
        });
        let askable = idle && progress.advice.calls() < most_calls(step);
        if !placeable && !askable {
            return;
        }
        let wanted = Wanted {
            spec: Arc::clone(&job.spec),
            position: key.step as usize,
            service: job.queue.service.clone(),
            advice,
            haste: Haste::of(job),
        };
        if placeable {
            self.place_step(pass, key, &wanted);
        }
        if askable {
            while self.ask_for_step(pass, key, &wanted) {}
            pass.fast_idle = self.can_ask(false);
            pass.slow_idle = self.can_ask(true);
        }
    }

    /// Returns the endpoints that the step may use now.
    fn offers(&self, pass: &Pass, key: StepKey, wanted: &Wanted) -> Vec<Offer> {
        let Some(pool) = pass.pools.get(&wanted.service) else {
            return Vec::new();
        };
        let candidates = self.candidates(key, wanted, || pool.clone());
        self.usable(candidates, key, wanted, Endpoint::takes_work)
    }

    /// Returns the endpoints that the step may use now if it keeps away from what has just begun.
    pub(super) fn offers_apart(&self, key: StepKey, wanted: &Wanted) -> Vec<Offer> {
        let candidates = self.candidates(key, wanted, || self.endpoints.keys().collect());
        let takes = |endpoint: &Endpoint, now, limits: &Limits| {
            let kept = endpoint.reserved_for(now);
            kept.is_none_or(|step| step == key) && endpoint.takes_reserved_work(now, limits)
        };
        self.usable(candidates, key, wanted, takes)
    }

    /// Returns the endpoints for which the step has tickets, or all that there are if it needs none.
    fn candidates(
        &self,
        key: StepKey,
        wanted: &Wanted,
        all: impl FnOnce() -> Vec<EndpointKey>,
    ) -> Vec<EndpointKey> {
        if wanted.advice.is_none() {
            return all();
        }
        let job = self.jobs.get(&key.job);
        let progress = job.and_then(|job| job.step_progress(key));
        let ticketed = progress.map(|progress| progress.advice.ticketed(self.now).collect());
        ticketed.unwrap_or_default()
    }

    fn usable(
        &self,
        candidates: Vec<EndpointKey>,
        key: StepKey,
        wanted: &Wanted,
        takes: impl Fn(&Endpoint, Millis, &Limits) -> bool,
    ) -> Vec<Offer> {
        let job = self.jobs.get(&key.job);
        let Some(progress) = job.and_then(|job| job.step_progress(key)) else {
            return Vec::new();
        };
        let need = wanted.need();
        let usable = candidates.into_iter().filter_map(|endpoint_key| {
            let endpoint = self.endpoints.get(endpoint_key)?;
            let fits = endpoint.free().holds(need)
                && endpoint.entry.service == wanted.service
                && takes(endpoint, self.now, &self.limits);
            fits.then_some((endpoint_key, endpoint))
        });
        let failed_on = &progress.failed_on;
        let offers = usable.filter_map(|(endpoint_key, endpoint)| {
            let failed = failed_on.contains(&endpoint_key);
            self.offer(endpoint_key, endpoint, key, wanted.step(), failed)
        });
        offers.collect()
    }

    fn offer(
        &self,
        endpoint_key: EndpointKey,
        endpoint: &Endpoint,
        key: StepKey,
        step: &Step,
        failed: bool,
    ) -> Option<Offer> {
        let required = step.required_label.as_ref();
        if required.is_some_and(|label| !endpoint.entry.labels.contains(label)) {
            return None;
        }
        let mut most = endpoint.most(self.now);
        if step.max_per_endpoint > 0 {
            let there = endpoint
                .placed
                .range(key.task(0)..=key.task(u32::MAX))
                .count();
            let left = step
                .max_per_endpoint
                .saturating_sub(u32::try_from(there).unwrap_or(u32::MAX));
            most = most.min(left);
        }
        let near = step
            .affinity
            .as_ref()
            .is_none_or(|rack| endpoint.entry.rack.as_ref() == Some(rack));
        Some(Offer {
            endpoint: endpoint_key,
            free: endpoint.free(),
            most,
            failed,
            near,
            pace: self.pace(endpoint),
        })
    }

    /// Returns an endpoint's speed; all are alike if that is not looked at.
    pub(super) fn pace(&self, endpoint: &Endpoint) -> Pace {
        if self.limits.policies.speed {
            endpoint.speed.pace()
        } else {
            Pace::default()
        }
    }

    fn place_step(&mut self, pass: &mut Pass, key: StepKey, wanted: &Wanted) {
        let mut waiting = self.waiting_tasks(key);
        if !wanted.step().gang {
            waiting.keep(self.quota_room(key) as usize);
        }
        if wanted.step().gang {
            if waiting.awaited == 0 {
                self.place_gang(pass, key, wanted, &waiting);
            }
        } else {
            self.place_tasks(pass, key, wanted, &waiting.clear);
            if !waiting.all_clear() {
                self.place_suspects(key, wanted, &waiting);
            }
        }
        let job = self.jobs.get(&key.job);
        let progress = job.and_then(|job| job.step_progress(key));
        if progress.map_or(0, StepProgress::waiting) == 0 {
            self.close_step(key);
        }
    }

    fn place_tasks(
        &mut self,
        pass: &mut Pass,
        key: StepKey,
        wanted: &Wanted,
        waiting: &[WaitingTask],
    ) {
        let count = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
        if count == 0 {
            return;
        }
        let mut offers = self.offers(pass, key, wanted);
        let need = wanted.need();
        let holes = pass.holes.get_mut(&wanted.service);
        let picks = match holes.filter(|_| self.leaves_headroom(key, wanted)) {
            Some(holes) => pick_beside(&mut offers, need, count, holes),
            None => pick(&mut offers, need, count, wanted.haste),
        };
        let starts = waiting.iter().zip(picks);
        let starts =
            starts.map(|((index, last), endpoint)| (endpoint, *index, self.next_run(*last)));
        self.start_all(key, starts.collect());
    }

    /// Starts all members of a gang, or none.
    fn place_gang(&mut self, pass: &Pass, key: StepKey, wanted: &Wanted, waiting: &WaitingTasks) {
        let last = waiting.members().map(|(_, last)| *last).max();
        let run = self.next_run(last.unwrap_or(0));
        if !waiting.all_clear() {
            self.place_gang_with_suspects(key, wanted, waiting, run);
            return;
        }
        let mut offers = self.offers(pass, key, wanted);
        let picks = self.pick_gang(
            wanted,
            &mut offers,
            u32::try_from(waiting.clear.len()).unwrap_or(u32::MAX),
        );
        if picks.is_empty() {
            return;
        }
        self.share_checkpoint(key);
        let starts = waiting.clear.iter().zip(picks);
        let starts = starts.map(|((index, _), endpoint)| (endpoint, *index, run));
        self.start_all(key, starts.collect());
    }

    fn start_all(&mut self, key: StepKey, starts: Vec<(EndpointKey, u32, Run)>) {
        for (endpoint, index, run) in starts {
            let job = self.jobs.get(&key.job);
            let progress = job.and_then(|job| job.step_progress(key));
            let ticket = progress.and_then(|progress| progress.advice.ticket(endpoint, self.now));
            let ticket: Option<Ticket> = ticket.cloned();
            self.start(endpoint, key.task(index), run, ticket);
        }
    }

    /// Returns whether a step leaves room for hurried work: while its job has time to spare.
    fn leaves_headroom(&self, key: StepKey, wanted: &Wanted) -> bool {
        let job = self.jobs.get(&key.job);
        wanted.haste == Haste::Patient && job.is_some_and(|job| has_time(job, self.unix_ms))
    }

    /// Picks endpoints for a gang: on one rack if that matters and is possible.
    pub(super) fn pick_gang(
        &self,
        wanted: &Wanted,
        offers: &mut [Offer],
        count: u32,
    ) -> Vec<EndpointKey> {
        let need = wanted.need();
        if wanted.step().same_rack {
            let mut racks: BTreeMap<Option<&String>, Vec<Offer>> = BTreeMap::new();
            for offer in offers.iter() {
                let rack = self.endpoints[offer.endpoint].entry.rack.as_ref();
                racks.entry(rack).or_default().push(offer.clone());
            }
            let picks = racks
                .values_mut()
                .find_map(|offers| pick_all(offers, need, count, wanted.haste));
            if let Some(picks) = picks {
                return picks;
            }
        }
        pick_all(offers, need, count, wanted.haste).unwrap_or_default()
    }

    /// All members of a gang resume from the same checkpoint.
    pub(super) fn share_checkpoint(&mut self, key: StepKey) {
        let Some(progress) = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.step_progress_mut(key))
        else {
            return;
        };
        let newest = progress
            .tasks
            .iter()
            .map(|task| task.checkpoint.clone())
            .max()
            .unwrap_or_default();
        for task in &mut progress.tasks {
            task.checkpoint.clone_from(&newest);
        }
    }
}
