//! Examines a step that stands still: what each endpoint of its service has to do with it.

use std::collections::BTreeMap;

use crate::account::AccountName;
use crate::advice::Advice;
use crate::config::{QueueName, ServiceName};
use crate::ids::Millis;
use crate::metrics;
use crate::planner::offers::{PassedOver, Reservations};
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::suspects::WaitingTasks;
use crate::planner::waiting::WaitCause;
use crate::planner::Planner;
use crate::policy::headroom::HeadroomSlots;
use crate::policy::placement::{pick_keeping_headroom, Offer};
use crate::policy::soft_limits::AppliedLimits;
use crate::resources::Resources;
use crate::tasks::StepKey;

/// A step that stands still, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StandingStep {
    /// Name of the step, as in orders.
    pub step: String,
    /// Client account of its job.
    pub account: Option<AccountName>,
    /// Queue of its job.
    pub queue: QueueName,
    /// Service on whose endpoints it runs.
    pub service: ServiceName,
    /// Its tasks start together or not at all.
    pub gang: bool,
    /// What the latest pass that visited it has recorded.
    pub cause: Option<&'static str>,
    /// Tasks that are not placed.
    pub waiting: u32,
    /// Tasks that are placed: their start was ordered, they run or they are being stopped.
    pub placed: u32,
    /// Tasks that must start at once.
    pub wants: u32,
    /// Tasks that cannot start until earlier runs have ended, or it is known whether the tasks have
    /// crashed their endpoints.
    pub blocked: u32,
    /// Time since its turn came or a run of it was last seen.
    pub for_ms: Millis,
    /// Endpoints of its service.
    pub endpoints: usize,
    /// How much of its service is in use.
    pub usage: ServiceUsage,
    /// What the advice service has answered; none if the step needs no tickets.
    pub advice: Option<StandingAdvice>,
    /// Endpoints that the step passes over, by reason.
    pub passed_over: BTreeMap<PassedOver, usize>,
    /// Endpoints that offer to run a task of the step.
    pub offering: usize,
    /// Those of them that may be given one task only, because they are on trial.
    pub on_trial: usize,
    /// Tasks that may start on the endpoints that offer to.
    pub room: u64,
    /// It leaves headroom to latency-sensitive work, which `room` takes into account.
    pub leaves_headroom: bool,
    /// CPU that steps with worth wait for, if the step leaves it to them, in thousandths of a core.
    pub claimed_cpu_milli: u64,
    /// Other steps of the same account and service that stand still.
    pub standing_beside: usize,
}

/// CPU of a service's listed endpoints, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceUsage {
    /// CPU of the endpoints.
    pub capacity_cpu_milli: u64,
    /// The part that runs reserve.
    pub used_cpu_milli: u64,
}

/// What is known from the advice service about a step that stands still.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StandingAdvice {
    /// Endpoints that may run the step.
    pub allowed: usize,
    /// Those with a valid ticket.
    pub ticketed: usize,
    /// Calls that are not answered yet.
    pub calls_in_flight: usize,
    /// Calls that were answered.
    pub answered_calls: u32,
    /// Answers that were forgotten because they may belong to another question.
    pub doubted_answers: u32,
    /// Tasks for which there is room where the step is allowed, as the calls count it.
    pub room: u64,
}

impl StandingStep {
    /// Writes a line, and counts the reasons.
    pub(super) fn log(&self) {
        for (reason, endpoints) in &self.passed_over {
            metrics::standing_passed_over(reason.label(), *endpoints);
        }
        let advice = self.advice.unwrap_or_default();
        log::info!(
            step = self.step.as_str(), account = self.account.as_deref().unwrap_or(""),
            queue = self.queue.as_str(), service = self.service.as_str(), gang = self.gang,
            cause = self.cause.unwrap_or("none"), waiting = self.waiting, placed = self.placed,
            wants = self.wants, blocked = self.blocked, for_ms = self.for_ms, endpoints = self.endpoints,
            with_advice = self.advice.is_some(), allowed = advice.allowed,
            ticketed = advice.ticketed, calls_in_flight = advice.calls_in_flight,
            answered_calls = advice.answered_calls,
            doubted_answers = advice.doubted_answers, room_for_advice = advice.room,
            passed_over = self.reasons().as_str(), offering = self.offering,
            on_trial = self.on_trial, room = self.room, leaves_headroom = self.leaves_headroom,
            capacity_cpu_milli = self.usage.capacity_cpu_milli,
            used_cpu_milli = self.usage.used_cpu_milli,
            claimed_cpu_milli = self.claimed_cpu_milli, standing_beside = self.standing_beside;
            "step stands still"
        );
    }

    /// Returns the numbers of endpoints by reason, as in `room:3,silent:1`.
    fn reasons(&self) -> String {
        let reasons = self.passed_over.iter();
        let reasons = reasons.map(|(reason, endpoints)| format!("{}:{endpoints}", reason.label()));
        reasons.collect::<Vec<String>>().join(",")
    }
}

/// The endpoints of a step's service, as judged for it.
#[derive(Debug, Default)]
struct JudgedPool {
    endpoints: usize,
    offers: Vec<Offer>,
    passed_over: BTreeMap<PassedOver, usize>,
}

impl JudgedPool {
    fn of(judged: Vec<Result<Offer, PassedOver>>) -> Self {
        let mut pool = Self {
            endpoints: judged.len(),
            ..Self::default()
        };
        for judgement in judged {
            match judgement {
                Ok(offer) => pool.offers.push(offer),
                Err(reason) => pool.pass_over(reason, 1),
            }
        }
        pool
    }

    fn pass_over(&mut self, reason: PassedOver, endpoints: usize) {
        if endpoints > 0 {
            *self.passed_over.entry(reason).or_default() += endpoints;
        }
    }

    /// Counts the offers that a narrower choice leaves out.
    fn narrow(&mut self, reason: PassedOver, choose: impl FnOnce(&mut Vec<Offer>)) {
        let before = self.offers.len();
        choose(&mut self.offers);
        self.pass_over(reason, before - self.offers.len());
    }
}

impl Planner {
    /// Examines a step that has stood still `for_ms`.
    pub(super) fn examine(
        &self,
        pass: &Pass,
        key: StepKey,
        for_ms: Millis,
        standing_beside: usize,
    ) -> Option<StandingStep> {
        let job = self.jobs.get(&key.job)?;
        let progress = job.step_progress(key)?;
        let mut request = StepRequest::of(job, key)?;
        request.limits = AppliedLimits::for_starts(progress.room_wait.for_ms(self.now));
        let step = request.step();
        let waiting = progress.waiting();
        let tasks = self.waiting_tasks(key);
        let wants = if step.gang { waiting } else { waiting.min(1) };
        let pool = self.judged_pool(pass, key, &request, &tasks);
        let account = job.account.map(|account| self.accounts.name(account));
        let claims = self.claims_before(pass, key, &request);
        let on_trial = pool.offers.iter().filter(|offer| {
            let endpoint = &self.endpoints[offer.endpoint];
            endpoint.max_new_tasks(self.now) == 1
        });
        Some(StandingStep {
            step: key.to_string(),
            account: account.map(ToOwned::to_owned),
            queue: job.queue.name.clone(),
            service: request.service.clone(),
            gang: step.gang,
            cause: self.waiting.cause(key).map(WaitCause::label),
            waiting,
            placed: progress.placed,
            wants,
            blocked: tasks.blocked,
            for_ms,
            endpoints: pool.endpoints,
            usage: self.service_usage(&request.service),
            advice: request
                .advice
                .map(|_| self.standing_advice(pass, key, &request, &progress.advice)),
            on_trial: on_trial.count(),
            room: self.room_on_offers(pass, key, &request, &pool.offers, wants),
            offering: pool.offers.len(),
            passed_over: pool.passed_over,
            leaves_headroom: self.headroom_to_leave(pass, key, &request).is_some(),
            claimed_cpu_milli: claims.map_or(0, |claims| claims.claimed().cpu_milli),
            standing_beside,
        })
    }

    /// Judges all endpoints of a step's service for its waiting tasks; for those that are clear of
    /// suspicion if there are any.
    fn judged_pool(
        &self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
        tasks: &WaitingTasks,
    ) -> JudgedPool {
        let suspects = !tasks.none_suspect() && (tasks.clear.is_empty() || request.step().gang);
        let reservations = if suspects {
            Reservations::OfOthers
        } else {
            Reservations::All
        };
        let mut pool = JudgedPool::of(self.judge_service(key, request, reservations));
        if !suspects {
            pool.narrow(PassedOver::LeftForClaims, |offers| {
                self.leave_claimed(pass, key, request, offers);
            });
            return pool;
        }
        let exclusive = !tasks.isolated.is_empty();
        pool.narrow(PassedOver::LeftForSuspects, |offers| {
            self.keep_least_loaded(key, request, exclusive, offers);
        });
        if self.claims_before(pass, key, request).is_some() {
            pool.narrow(PassedOver::LeftForClaims, Vec::clear);
        }
        pool
    }

    fn standing_advice(
        &self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
        advice: &Advice,
    ) -> StandingAdvice {
        let endpoints = self.endpoints.keys();
        StandingAdvice {
            allowed: endpoints.filter(|key| advice.allowed(*key)).count(),
            ticketed: advice.ticketed(self.now).count(),
            calls_in_flight: advice.calls_in_flight(),
            answered_calls: advice.answered_calls(),
            doubted_answers: advice.doubted_answers(),
            room: self.room_for_advice(pass.pool(request), key, request, advice),
        }
    }

    /// Returns how much of a service is in use.
    fn service_usage(&self, service: &str) -> ServiceUsage {
        let own = self.endpoints.values().filter(|endpoint| {
            endpoint.listed && !endpoint.defunct && endpoint.entry.service == service
        });
        let usage = own.map(|endpoint| ServiceUsage {
            capacity_cpu_milli: endpoint.entry.cpu_milli.into(),
            used_cpu_milli: endpoint.used.cpu_milli,
        });
        usage.fold(ServiceUsage::default(), |sum, one| ServiceUsage {
            capacity_cpu_milli: sum.capacity_cpu_milli + one.capacity_cpu_milli,
            used_cpu_milli: sum.used_cpu_milli + one.used_cpu_milli,
        })
    }

    /// Returns the headroom that a step leaves to latency-sensitive work; none if it leaves none.
    fn headroom_to_leave(
        &self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
    ) -> Option<HeadroomSlots> {
        let slots = pass.headroom_slots.get(&request.service)?;
        let leaves = !request.step().gang && self.must_leave_headroom(key, request);
        leaves.then_some(*slots)
    }

    /// Returns for how many tasks of a step its offers have room, up to those that wait.
    fn room_on_offers(
        &self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
        offers: &[Offer],
        wants: u32,
    ) -> u64 {
        let need = request.required_resources();
        if let Some(mut slots) = self.headroom_to_leave(pass, key, request) {
            let mut offers = offers.to_vec();
            return pick_keeping_headroom(&mut offers, need, wants, &mut slots).len() as u64;
        }
        let room = offers.iter().map(|offer| room_on(offer, need));
        room.sum()
    }
}

fn room_on(offer: &Offer, need: Resources) -> u64 {
    offer.max_fitting(need).into()
}
