//! Keeps capacity for gangs while calls renew their tickets.

use crate::endpoint::EndpointKey;
use crate::ids::CallNumber;
use crate::metrics;
use crate::planner::offers::Reservations;
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::Planner;
use crate::policy::gang_call_hold::{CallHold, CallHolds};
use crate::policy::placement::LatencyClass;
use crate::resources::Resources;
use crate::tasks::{StepKey, StepProgress};

/// The holds of gangs' calls in flight.
pub(super) type GangCallHolds = CallHolds<StepKey>;

/// How the call of a hold has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HoldOutcome {
    /// The gang fits on the endpoints with tickets.
    Fits,
    /// Other work has taken capacity that the gang needs.
    Taken,
    /// The call has failed, or the gang needs it no more.
    Failed,
}

impl HoldOutcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Fits => "fits",
            Self::Taken => "taken",
            Self::Failed => "failed",
        }
    }
}

impl Planner {
    /// Keeps the capacity for which a gang's call was made. `named` are the endpoints that the call
    /// names.
    pub(super) fn keep_for_gang(
        &mut self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
        call: CallNumber,
        named: Vec<EndpointKey>,
    ) {
        if !self.limits.policies.gang_call_hold || !request.step().gang {
            return;
        }
        let job = self.jobs.get(&key.job);
        let progress = job.and_then(|job| job.step_progress(key));
        let waiting = progress.map_or(0, StepProgress::waiting);
        let mut offers = self.usable_offers(named, key, request, Reservations::All);
        let picks = self.pick_gang(request, &mut offers, waiting);
        if picks.is_empty() {
            return;
        }
        let pool = pass.pools.get(&request.service);
        let pool = pool.map_or(&[][..], Vec::as_slice);
        let capacity = pool.iter().filter_map(|key| self.endpoints.get(*key));
        let capacity = capacity.fold(Resources::default(), |sum, endpoint| {
            sum.add(Resources::of_entry(&endpoint.entry))
        });
        let hold = CallHold::new(
            key,
            request.service.clone(),
            request.required_resources(),
            &picks,
            self.now,
        );
        if self.call_holds.begin(call, hold, capacity) {
            self.export_kept(&request.service);
        } else {
            metrics::gang_call_hold("over_limit");
        }
    }

    /// Ends the hold of a call, if there is one.
    pub(super) fn end_call_hold(&mut self, call: CallNumber, outcome: HoldOutcome) {
        let Some(hold) = self.call_holds.end(call) else {
            return;
        };
        metrics::gang_call_hold(outcome.label());
        self.export_kept(hold.service());
        log::info!(
            step:% = hold.step(), outcome = outcome.label(), cpu_milli = hold.total().cpu_milli,
            for_ms = self.now.saturating_sub(hold.since_ms());
            "capacity was kept during a gang's call"
        );
    }

    fn export_kept(&self, service: &str) {
        metrics::gang_call_held(service, self.call_holds.kept(service).cpu_milli);
    }

    /// Returns whether a gang has a call in flight for which capacity is kept.
    pub(super) fn has_call_hold(&self, key: StepKey) -> bool {
        self.call_holds.iter().any(|hold| hold.step() == key)
    }

    /// Returns the holds that a step must leave: those of gangs of better rank, if the step is
    /// latency-tolerant.
    pub(super) fn holds_before(
        &self,
        key: StepKey,
        request: &StepRequest,
    ) -> Vec<&CallHold<StepKey>> {
        if request.latency_class != LatencyClass::Tolerant || !request.limits.include_soft() {
            return Vec::new();
        }
        let Some(own_rank) = self.open.rank(key) else {
            return Vec::new();
        };
        let before = self.call_holds.iter().filter(|hold| {
            let rank = self.open.rank(hold.step());
            rank.is_some_and(|rank| rank < own_rank)
        });
        before.collect()
    }
}
