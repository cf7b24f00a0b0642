//! Judges which endpoints a step may use now, and why it passes over the others.

use crate::endpoint::{Endpoint, EndpointKey, Exclusion};
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::Planner;
use crate::policy::gang_call_hold::CallHold;
use crate::policy::placement::Offer;
use crate::policy::soft_limits::is_wide;
use crate::policy::speed::SpeedClass;
use crate::resources::Resources;
use crate::tasks::{StepKey, StepProgress};

/// Maximum number of runs on one endpoint. Tasks that state next to no needs would otherwise fit in any
/// number.
const MAX_RUNS_PER_ENDPOINT: u32 = 1_000;

/// Why a step passes over an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PassedOver {
    /// The endpoint is gone.
    Gone,
    /// It belongs to another service.
    OtherService,
    /// It is given no new work of any step.
    Excluded(Exclusion),
    /// The advice service has denied it.
    Denied,
    /// It lacks the label that the step requires.
    Label,
    /// A task does not fit into its free resources.
    Room,
    /// A task would fit, but the resources are kept for a gang's call for advice.
    KeptForGang,
    /// It holds the most tasks of the step that it may.
    MaxPerEndpoint,
    /// The advice service has not been asked about it.
    NotAsked,
    /// A call for advice that names it is in flight.
    Asking,
    /// Its ticket has expired.
    TicketExpired,
    /// It has too many runs for a task that may crash it.
    LeftForSuspects,
    /// Its resources are left for steps with worth.
    LeftForClaims,
}

impl PassedOver {
    /// Returns its name in log lines and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::OtherService => "other_service",
            Self::Excluded(exclusion) => exclusion.label(),
            Self::Denied => "denied",
            Self::Label => "label",
            Self::Room => "room",
            Self::KeptForGang => "kept_for_gang",
            Self::MaxPerEndpoint => "max_per_endpoint",
            Self::NotAsked => "not_asked",
            Self::Asking => "asking",
            Self::TicketExpired => "ticket_expired",
            Self::LeftForSuspects => "left_for_suspects",
            Self::LeftForClaims => "left_for_claims",
        }
    }
}

/// Whose reservations exclude an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reservations {
    /// Those of all steps.
    All,
    /// Those of other steps.
    OfOthers,
}

/// How quarantines give way where they do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QuarantineYield {
    /// For one trial at a time, since they are taken to be right. Not for gangs, of which one failed
    /// member costs all.
    EarlyTrials,
    /// Once the time of the shortest pause has passed since the last failure, which saves attempts of
    /// jobs while all runs fail.
    AfterFirstPause,
    /// At any time. Only to count room, not for starts.
    Always,
}

/// A step for which endpoints are judged.
pub(super) struct JudgedStep<'a> {
    key: StepKey,
    pub(super) request: &'a StepRequest,
    pub(super) progress: &'a StepProgress,
    reservations: Reservations,
    quarantine_yield: QuarantineYield,
    /// Resources that the step must leave.
    holds: Vec<&'a CallHold<StepKey>>,
}

impl Planner {
    /// Returns the endpoints that the step may use now.
    pub(super) fn offers(&self, pass: &Pass, key: StepKey, request: &StepRequest) -> Vec<Offer> {
        let candidates = self.candidates(key, request, || pass.pool(request).to_vec());
        let mut offers = self.usable_offers(candidates, key, request, Reservations::All);
        self.leave_claimed(pass, key, request, &mut offers);
        offers
    }

    /// Returns the endpoints that the step may use now, including those reserved for it.
    pub(super) fn offers_for_suspects(&self, key: StepKey, request: &StepRequest) -> Vec<Offer> {
        let candidates = self.candidates(key, request, || self.endpoints.keys().collect());
        self.usable_offers(candidates, key, request, Reservations::OfOthers)
    }

    /// Returns the endpoints for which the step has tickets, or `all` if it needs no tickets.
    fn candidates(
        &self,
        key: StepKey,
        request: &StepRequest,
        all: impl FnOnce() -> Vec<EndpointKey>,
    ) -> Vec<EndpointKey> {
        if request.advice.is_none() {
            return all();
        }
        let job = self.jobs.get(&key.job);
        let progress = job.and_then(|job| job.step_progress(key));
        let ticketed = progress.map(|progress| progress.advice.ticketed(self.now).collect());
        ticketed.unwrap_or_default()
    }

    /// Returns those of the candidates that the step may use now, whether it has tickets or not.
    pub(super) fn usable_offers(
        &self,
        candidates: Vec<EndpointKey>,
        key: StepKey,
        request: &StepRequest,
        reservations: Reservations,
    ) -> Vec<Offer> {
        let Some(step) = self.judged_step(key, request, reservations, &candidates) else {
            return Vec::new();
        };
        let judged = candidates.into_iter();
        let judged = judged.map(|endpoint| self.judge(&step, endpoint));
        judged.filter_map(Result::ok).collect()
    }

    /// Returns a step for which the candidates are to be judged.
    pub(super) fn judged_step<'a>(
        &'a self,
        key: StepKey,
        request: &'a StepRequest,
        reservations: Reservations,
        candidates: &[EndpointKey],
    ) -> Option<JudgedStep<'a>> {
        let progress = self.jobs.get(&key.job)?.step_progress(key)?;
        Some(JudgedStep {
            key,
            request,
            progress,
            reservations,
            quarantine_yield: if self.are_widely_quarantined(request, candidates) {
                QuarantineYield::AfterFirstPause
            } else {
                QuarantineYield::EarlyTrials
            },
            holds: self.holds_before(key, request),
        })
    }

    /// Returns a step whose room is to be counted within the hard limits alone.
    pub(super) fn judged_within_hard_limits<'a>(
        &'a self,
        key: StepKey,
        request: &'a StepRequest,
    ) -> Option<JudgedStep<'a>> {
        let judged = self.judged_step(key, request, Reservations::OfOthers, &[])?;
        Some(JudgedStep {
            quarantine_yield: QuarantineYield::Always,
            ..judged
        })
    }

    /// Returns whether more of the endpoints with room for a step are quarantined than a policy may take
    /// out of a pool.
    fn are_widely_quarantined(&self, request: &StepRequest, candidates: &[EndpointKey]) -> bool {
        if request.limits.include_soft() {
            return false;
        }
        let need = request.required_resources();
        let endpoints = candidates.iter().filter_map(|key| self.endpoints.get(*key));
        let usable = endpoints.filter(|endpoint| {
            endpoint.free().can_fit(need)
                && endpoint.listed
                && endpoint.entry.service == request.service
                && request.step().accepts_labels(&endpoint.entry.labels)
        });
        let (mut all, mut quarantined) = (0, 0);
        for endpoint in usable {
            all += 1;
            quarantined += usize::from(endpoint.is_quarantined(self.now));
        }
        is_wide(quarantined, all)
    }

    /// Judges for each endpoint of a step's service whether the step may start a task there now,
    /// apart from claims.
    pub(super) fn judge_service(
        &self,
        key: StepKey,
        request: &StepRequest,
        reservations: Reservations,
    ) -> Vec<Result<Offer, PassedOver>> {
        let endpoints = self.endpoints.iter();
        let own = endpoints.filter(|(_, endpoint)| endpoint.entry.service == request.service);
        let own: Vec<EndpointKey> = own.map(|(endpoint, _)| endpoint).collect();
        let Some(step) = self.judged_step(key, request, reservations, &own) else {
            return Vec::new();
        };
        let judged = own.into_iter();
        let judged = judged.map(|endpoint| self.judge_with_ticket(&step, endpoint));
        judged.collect()
    }

    /// Judges whether a step may start a task on an endpoint now, apart from claims.
    fn judge_with_ticket(
        &self,
        judged: &JudgedStep<'_>,
        endpoint: EndpointKey,
    ) -> Result<Offer, PassedOver> {
        let advice = &judged.progress.advice;
        if advice.denied(endpoint) {
            return Err(PassedOver::Denied);
        }
        let offer = self.judge(judged, endpoint)?;
        if offer.max_new_tasks == 0 {
            return Err(PassedOver::MaxPerEndpoint);
        }
        if judged.request.advice.is_none() || advice.ticket(endpoint, self.now).is_some() {
            return Ok(offer);
        }
        Err(if advice.is_asking(endpoint) {
            PassedOver::Asking
        } else if advice.allowed(endpoint) {
            PassedOver::TicketExpired
        } else {
            PassedOver::NotAsked
        })
    }

    /// Judges whether a step may use an endpoint now, apart from tickets and claims.
    pub(super) fn judge(
        &self,
        judged: &JudgedStep<'_>,
        endpoint_key: EndpointKey,
    ) -> Result<Offer, PassedOver> {
        self.work.add(|work| work.endpoints_judged += 1);
        let request = judged.request;
        let endpoint = self.endpoints.get(endpoint_key).ok_or(PassedOver::Gone)?;
        let need = request.required_resources();
        // Most endpoints are full in most passes, so the cheapest condition comes first.
        if !endpoint.free().can_fit(need) {
            return Err(PassedOver::Room);
        }
        if endpoint.entry.service != request.service {
            return Err(PassedOver::OtherService);
        }
        let exclusion = match judged.reservations {
            Reservations::All => endpoint.exclusion(self.now, &self.limits),
            Reservations::OfOthers => endpoint.exclusion_for(judged.key, self.now, &self.limits),
        };
        if let Some(exclusion) = exclusion.filter(|why| !self.gives_way(judged, endpoint, *why)) {
            return Err(PassedOver::Excluded(exclusion));
        }
        if !request.step().accepts_labels(&endpoint.entry.labels) {
            return Err(PassedOver::Label);
        }
        let mut offer = self.offer(judged, endpoint_key, endpoint);
        offer.beyond_soft_limit = exclusion.is_some();
        if !offer.free.can_fit(need) {
            return Err(PassedOver::KeptForGang);
        }
        Ok(offer)
    }

    /// Returns whether an exclusion gives way for a step. Endpoints that are rightly quarantined get no
    /// more than early trials.
    fn gives_way(&self, judged: &JudgedStep<'_>, endpoint: &Endpoint, why: Exclusion) -> bool {
        if judged.request.limits.exclude(why) {
            return false;
        }
        if !endpoint.is_quarantined(self.now) {
            return true;
        }
        match judged.quarantine_yield {
            QuarantineYield::Always => true,
            QuarantineYield::AfterFirstPause => endpoint.first_pause_has_passed(self.now),
            QuarantineYield::EarlyTrials => {
                !judged.request.step().gang && endpoint.early_trial_is_possible(self.now)
            }
        }
    }

    /// Returns what an endpoint offers to a step beside what is kept for gangs.
    fn offer(
        &self,
        judged: &JudgedStep<'_>,
        endpoint_key: EndpointKey,
        endpoint: &Endpoint,
    ) -> Offer {
        let step = judged.request.step();
        let failed_on = &judged.progress.failed_on;
        let near = step
            .affinity
            .as_ref()
            .is_none_or(|rack| endpoint.entry.rack.as_ref() == Some(rack));
        let kept = judged.holds.iter().map(|hold| hold.on(endpoint_key));
        Offer {
            endpoint: endpoint_key,
            free: kept.fold(endpoint.free(), Resources::minus),
            max_new_tasks: self.max_new_tasks(judged, endpoint),
            beyond_soft_limit: false,
            failed: failed_on.contains(&endpoint_key),
            recent_failures: if failed_on.is_empty() {
                0
            } else {
                endpoint.failure_share.failures()
            },
            near,
            speed_class: self.speed_class(endpoint),
            cold: self.limits.policies.warm_endpoints && endpoint.is_cold(self.now),
        }
    }

    /// Returns the maximum number of further tasks of a step that an endpoint may be given.
    fn max_new_tasks(&self, judged: &JudgedStep<'_>, endpoint: &Endpoint) -> u32 {
        let runs = u32::try_from(endpoint.placed.len()).unwrap_or(u32::MAX);
        let max_new_runs = MAX_RUNS_PER_ENDPOINT.saturating_sub(runs);
        max_new_runs.min(self.max_new_tasks_of_step(judged, endpoint))
    }

    fn max_new_tasks_of_step(&self, judged: &JudgedStep<'_>, endpoint: &Endpoint) -> u32 {
        let max_new_tasks = match judged.quarantine_yield {
            QuarantineYield::Always | QuarantineYield::AfterFirstPause => u32::MAX,
            QuarantineYield::EarlyTrials => endpoint.max_new_tasks(self.now),
        };
        let step = judged.request.step();
        if step.max_per_endpoint == 0 {
            return max_new_tasks;
        }
        let tasks = judged.key.task(0)..=judged.key.task(u32::MAX);
        let placed = endpoint.placed.range(tasks).count();
        let placed = u32::try_from(placed).unwrap_or(u32::MAX);
        max_new_tasks.min(step.max_per_endpoint.saturating_sub(placed))
    }

    /// Returns an endpoint's speed class, or the default for all if the speed policy is off.
    pub(super) fn speed_class(&self, endpoint: &Endpoint) -> SpeedClass {
        if self.limits.policies.speed {
            endpoint.speed.speed_class()
        } else {
            SpeedClass::default()
        }
    }
}
