//! Places waiting tasks on endpoints, steps of the best rank first.
//!
//! A full pass visits every open step, and there can be thousands of steps and hundreds of endpoints.
//! So whatever does not depend on the step is computed once per pass, a step that can neither be
//! placed nor request advice is skipped early, full passes are rarer the more steps there are, and the
//! passes between them visit only the steps of the best rank and those that can do more than before.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::config::AdviceTimings;
use crate::endpoint::EndpointKey;
use crate::event::Ticket;
use crate::ids::Run;
use crate::job::{JobSpec, Step};
use crate::metrics;
use crate::planner::ask::max_calls_in_flight;
use crate::planner::quota_reservations::QuotaReservations;
use crate::planner::suspects::{WaitingTask, WaitingTasks};
use crate::planner::waiting::WaitCause;
use crate::planner::Planner;
use crate::policy::headroom::HeadroomSlots;
use crate::policy::order::has_slack;
use crate::policy::overdue::Claims;
use crate::policy::pass_interval::full_pass_interval_ms;
use crate::policy::placement::{
    pick_all_or_none, pick_endpoints, pick_keeping_headroom, LatencyClass, Offer,
};
use crate::policy::soft_limits::AppliedLimits;
use crate::resources::Resources;
use crate::tasks::{Job, StepKey, StepProgress};

/// Values shared by all steps of a pass.
pub(super) struct Pass {
    /// It visits all open steps, in order of rank.
    pub(super) full: bool,
    /// Endpoints that accept work, by service.
    pub(super) pools: BTreeMap<String, Vec<EndpointKey>>,
    /// The same without regard to soft limits.
    pools_within_hard_limits: BTreeMap<String, Vec<EndpointKey>>,
    /// What was free on each of these when the pass began, in the same order, by service.
    free: BTreeMap<String, Vec<Resources>>,
    /// Headroom that latency-tolerant work leaves free, by service.
    pub(super) headroom_slots: BTreeMap<String, HeadroomSlots>,
    /// Quotas that better-ranked steps wait for.
    pub(super) quota_reservations: QuotaReservations,
    /// Whether a node can make a fast call for advice.
    fast_call_possible: bool,
    /// Whether a node can make a slow call for advice.
    slow_call_possible: bool,
    /// Capacity that steps with worth wait for, by service.
    pub(super) claims: BTreeMap<String, Claims>,
    /// Steps that have a claim. A pass by fair share visits a step several times.
    pub(super) claimants: BTreeSet<StepKey>,
    /// A step with worth waits for a node to call the advice service.
    pub(super) node_wanted: bool,
}

impl Pass {
    /// Returns the endpoints that accept work within the limits that apply to a step.
    pub(super) fn pool(&self, request: &StepRequest) -> &[EndpointKey] {
        let pools = match request.limits {
            AppliedLimits::All => &self.pools,
            AppliedLimits::Hard => &self.pools_within_hard_limits,
        };
        pools.get(&request.service).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints within the hard limits that had room for a task of a step when the pass
    /// began. Nothing becomes free during a pass.
    pub(super) fn with_room<'a>(
        &'a self,
        request: &StepRequest,
    ) -> impl Iterator<Item = EndpointKey> + 'a {
        let need = request.required_resources();
        let pool = self.pools_within_hard_limits.get(&request.service);
        let free = self.free.get(&request.service);
        let endpoints = pool.into_iter().flatten().zip(free.into_iter().flatten());
        let with_room = endpoints.filter(move |(_, free)| free.can_fit(need));
        with_room.map(|(endpoint, _)| *endpoint)
    }

    /// Returns whether a node can make a call for advice now.
    pub(super) const fn call_possible(&self, slow: bool) -> bool {
        if slow {
            self.slow_call_possible
        } else {
            self.fast_call_possible
        }
    }
}

/// What is needed to place a step, taken from its job.
pub(super) struct StepRequest {
    spec: Arc<JobSpec>,
    /// The step's index in the job.
    step_index: usize,
    pub(super) service: String,
    pub(super) advice: Option<AdviceTimings>,
    pub(super) latency_class: LatencyClass,
    pub(super) limits: AppliedLimits,
}

impl StepRequest {
    /// Returns the request of a step within all limits; none if its job has no such step.
    pub(super) fn of(job: &Job, key: StepKey) -> Option<Self> {
        let step_index = usize::from(key.step);
        (step_index < job.spec.steps.len()).then(|| Self {
            spec: Arc::clone(&job.spec),
            step_index,
            service: job.queue.service.clone(),
            advice: job.queue.advice,
            latency_class: LatencyClass::of(job),
            limits: AppliedLimits::All,
        })
    }

    pub(super) fn step(&self) -> &Step {
        &self.spec.steps[self.step_index]
    }

    pub(super) fn required_resources(&self) -> Resources {
        Resources::of_step(self.step())
    }
}

impl Planner {
    pub(super) fn schedule(&mut self) {
        self.count_unconfirmed();
        if self.open.is_empty() || self.skips_pass() {
            return;
        }
        self.work.add(|work| work.passes += 1);
        let since_full_ms = self.now.saturating_sub(self.last_full_pass_ms);
        let full = since_full_ms >= full_pass_interval_ms(self.open.len());
        let mut pass = self.begin_pass(full);
        let keys = if full {
            self.last_full_pass_ms = self.now;
            self.changed.begin_full_pass();
            self.rank_open_steps();
            self.open.keys()
        } else {
            self.steps_of_short_pass()
        };
        if self.limits.policies.fair_share {
            self.schedule_by_fair_share(&mut pass, keys);
        } else {
            for key in keys {
                self.schedule_step(&mut pass, key);
            }
        }
        if full {
            self.report_standing(&pass);
        }
    }

    fn begin_pass(&mut self, full: bool) -> Pass {
        let mut pools = BTreeMap::new();
        let mut pools_within_hard_limits = BTreeMap::new();
        let mut free = BTreeMap::new();
        for (key, endpoint) in &self.endpoints {
            let exclusion = endpoint.exclusion(self.now, &self.limits);
            if exclusion.is_some_and(|exclusion| AppliedLimits::Hard.exclude(exclusion)) {
                continue;
            }
            let service = &endpoint.entry.service;
            add_by_service(&mut pools_within_hard_limits, service, key);
            add_by_service(&mut free, service, endpoint.free());
            if exclusion.is_none() {
                add_by_service(&mut pools, service, key);
            }
        }
        let headroom_slots = self.headroom_slots(&pools);
        Pass {
            full,
            pools,
            pools_within_hard_limits,
            free,
            headroom_slots,
            quota_reservations: QuotaReservations::new(),
            fast_call_possible: self.can_call_advice(false),
            slow_call_possible: self.can_call_advice(true),
            claims: BTreeMap::new(),
            claimants: BTreeSet::new(),
            node_wanted: false,
        }
    }

    /// Returns the headroom that latency-tolerant work must leave in each pool.
    fn headroom_slots(
        &mut self,
        pools: &BTreeMap<String, Vec<EndpointKey>>,
    ) -> BTreeMap<String, HeadroomSlots> {
        if !self.limits.policies.headroom {
            return BTreeMap::new();
        }
        let (now, endpoints) = (self.now, &self.endpoints);
        let headroom_slots = self.headrooms.iter_mut().filter_map(|(service, headroom)| {
            let pool = pools.get(service)?;
            let running = pool.iter().map(|key| endpoints[*key].sensitive_runs);
            headroom.note_running(now, running.sum());
            let free = pool.iter().map(|key| endpoints[*key].free());
            Some((service.clone(), headroom.slots(free)?))
        });
        headroom_slots.collect()
    }

    pub(super) fn schedule_step(&mut self, pass: &mut Pass, key: StepKey) {
        self.work.add(|work| work.steps_visited += 1);
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
                self.note_standing(key);
                self.abort_gang(key);
            } else {
                self.note_wait(key, WaitCause::Barrier);
            }
            return;
        }
        let min_startable = if step.gang { progress.waiting() } else { 1 };
        let Some(startable) = self.startable_within_quota(pass, key, min_startable) else {
            return;
        };
        if self.waits_for_others(pass, key, startable) {
            return;
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let advice = job.queue.advice;
        let call_possible = advice.is_some_and(|timings| pass.call_possible(timings.is_slow()));
        let Some(mut request) = StepRequest::of(job, key) else {
            return;
        };
        request.limits = AppliedLimits::Hard;
        let passed_over_ms = self.passed_over_ms(pass, key, &request);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(progress) = job.step_progress(key) else {
            return;
        };
        let placeable = advice.is_none() || progress.advice.any_ticket(self.now);
        let limits_for_advice = AppliedLimits::for_advice(passed_over_ms);
        let leaves_nodes =
            pass.node_wanted && self.open.is_overdue(key) && limits_for_advice.include_soft();
        let may_call = progress.advice.calls_in_flight() < max_calls_in_flight(request.step())
            && !leaves_nodes;
        if advice.is_some() && may_call && !call_possible {
            self.note_caller(pass, key);
        }
        let can_request_advice = call_possible && may_call;
        if !placeable && !can_request_advice {
            self.claim_capacity(pass, key, startable);
            self.note_unplaced(key, call_possible && !leaves_nodes);
            return;
        }
        request.limits = AppliedLimits::for_starts(passed_over_ms);
        if placeable {
            self.place_step(pass, key, &request, startable);
        }
        request.limits = limits_for_advice;
        if can_request_advice {
            self.request_all_advice(pass, key, &request);
        }
        let startable = startable.min(self.tasks_within_quota(key));
        self.claim_capacity(pass, key, startable);
        self.note_unplaced(key, call_possible && !leaves_nodes);
    }

    /// Makes the calls for advice that a step needs now.
    fn request_all_advice(&mut self, pass: &mut Pass, key: StepKey, request: &StepRequest) {
        while self.request_advice_for_step(pass, key, request) {
            pass.fast_call_possible = self.can_call_advice(false);
            pass.slow_call_possible = self.can_call_advice(true);
        }
    }

    fn place_step(&mut self, pass: &mut Pass, key: StepKey, request: &StepRequest, startable: u32) {
        let mut waiting = self.waiting_tasks(key);
        let step = request.step();
        if !step.gang {
            let most = startable.min(self.tasks_to_next_level(key));
            waiting.truncate(most as usize);
        }
        // Soft limits give way until the step has a run.
        if !request.limits.include_soft() && !step.gang && !step.long_running {
            waiting.truncate(1);
        }
        if request.step().gang {
            if waiting.blocked == 0 {
                self.place_gang(pass, key, request, &waiting);
            }
        } else {
            self.place_tasks(pass, key, request, &waiting.clear);
            let yields = self.claims_before(pass, key, request).is_some();
            if !waiting.none_suspect() && !yields {
                self.place_suspects(key, request, &waiting);
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
        request: &StepRequest,
        waiting: &[WaitingTask],
    ) {
        let count = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
        if count == 0 {
            return;
        }
        let mut offers = self.offers(pass, key, request);
        let need = request.required_resources();
        let headroom_slots = pass.headroom_slots.get_mut(&request.service);
        let picks = match headroom_slots.filter(|_| self.must_leave_headroom(key, request)) {
            Some(slots) => pick_keeping_headroom(&mut offers, need, count, slots),
            None => pick_endpoints(&mut offers, need, count, request.latency_class),
        };
        let starts = waiting.iter().zip(picks);
        let starts = starts
            .map(|((index, last_run), endpoint)| (endpoint, *index, self.next_run(*last_run)));
        self.start_all(key, starts.collect());
    }

    /// Starts all members of a gang, or none.
    fn place_gang(
        &mut self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
        waiting: &WaitingTasks,
    ) {
        let last_run = waiting.startable().map(|(_, last_run)| *last_run).max();
        let run = self.next_run(last_run.unwrap_or(0));
        if !waiting.none_suspect() {
            if self.claims_before(pass, key, request).is_none() {
                self.place_gang_with_suspects(key, request, waiting, run);
            }
            return;
        }
        let mut offers = self.offers(pass, key, request);
        let picks = self.pick_gang(
            request,
            &mut offers,
            u32::try_from(waiting.clear.len()).unwrap_or(u32::MAX),
        );
        if picks.is_empty() {
            return;
        }
        self.share_checkpoint(key);
        let starts = waiting.clear.iter().zip(picks);
        let starts = starts.map(|((index, _), endpoint)| (endpoint, *index, run));
        self.note_gang_start(key);
        self.start_all(key, starts.collect());
    }

    fn start_all(&mut self, key: StepKey, starts: Vec<(EndpointKey, u32, Run)>) {
        if self.open.is_overdue(key) {
            metrics::overdue_starts(starts.len());
        }
        for (endpoint, index, run) in starts {
            let job = self.jobs.get(&key.job);
            let progress = job.and_then(|job| job.step_progress(key));
            let ticket = progress.and_then(|progress| progress.advice.ticket(endpoint, self.now));
            let ticket: Option<Ticket> = ticket.cloned();
            self.place_and_start(endpoint, key.task(index), run, ticket);
        }
    }

    /// Returns whether a step must leave headroom for latency-sensitive work: it is
    /// latency-tolerant and its job has slack.
    pub(super) fn must_leave_headroom(&self, key: StepKey, request: &StepRequest) -> bool {
        let job = self.jobs.get(&key.job);
        request.limits.include_soft()
            && request.latency_class == LatencyClass::Tolerant
            && job.is_some_and(|job| has_slack(job, self.unix_ms))
    }

    /// Picks endpoints for a gang: all in one rack if the step asks for it and that is possible.
    pub(super) fn pick_gang(
        &self,
        request: &StepRequest,
        offers: &mut [Offer],
        count: u32,
    ) -> Vec<EndpointKey> {
        let need = request.required_resources();
        if request.step().same_rack {
            let mut racks: BTreeMap<Option<&String>, Vec<Offer>> = BTreeMap::new();
            for offer in offers.iter() {
                let rack = self.endpoints[offer.endpoint].entry.rack.as_ref();
                racks.entry(rack).or_default().push(offer.clone());
            }
            let picks = racks
                .values_mut()
                .find_map(|offers| pick_all_or_none(offers, need, count, request.latency_class));
            if let Some(picks) = picks {
                return picks;
            }
        }
        pick_all_or_none(offers, need, count, request.latency_class).unwrap_or_default()
    }

    /// Sets the newest checkpoint for all members of a gang, so that all resume from the same one.
    pub(super) fn share_checkpoint(&mut self, key: StepKey) {
        let Some(progress) = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.step_progress_mut(key))
        else {
            return;
        };
        let checkpoints = progress.tasks.begun().map(|(_, task)| &task.checkpoint);
        let newest = checkpoints.max().cloned().unwrap_or_default();
        for (_, task) in progress.tasks.begin_all() {
            task.checkpoint.clone_from(&newest);
        }
    }
}

fn add_by_service<T>(lists: &mut BTreeMap<String, Vec<T>>, service: &String, entry: T) {
    match lists.get_mut(service) {
        Some(list) => list.push(entry),
        None => {
            lists.insert(service.clone(), vec![entry]);
        }
    }
}
