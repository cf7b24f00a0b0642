//! Barrier after a takeover: inherited tasks wait until every run of an earlier holder is either
//! known, with its end if it has ended, or has certainly lost its lease.

use std::collections::{BTreeMap, BTreeSet};

use crate::election::Takeover;
use crate::endpoint::{Endpoint, EndpointKey};
use crate::ids::{JobId, Millis};
use crate::limits::Limits;
use crate::planner::Planner;
use crate::record::RosterEntry;
use crate::resources::Resources;
use crate::tasks::Job;

/// Endpoints that may have runs started by an earlier holder.
#[derive(Debug)]
pub(crate) struct Barrier {
    lapses: BarrierLapses,
    /// Endpoints that have not reported all their runs and ends yet.
    missing: BTreeMap<EndpointKey, MissingEndpoint>,
    /// Inherited jobs that have ended and whose steps are known. Their runs may still be in progress.
    ended_jobs: BTreeSet<JobId>,
}

/// What the roster states of an endpoint that has not reported all its runs and ends yet.
#[derive(Debug)]
struct MissingEndpoint {
    /// If the predecessor marked it as silent, the time by the store's clock at which its leases
    /// have lapsed.
    lapses_store_ms: Option<Millis>,
    /// Upper limit on the resources that its runs reserve.
    capacity: Option<Resources>,
    /// It may hold stale leases.
    stale_leases: bool,
}

/// When the leases of earlier holders have certainly lapsed at endpoints that do not answer, even if
/// their clocks are slow.
#[derive(Debug, Clone, Copy)]
struct BarrierLapses {
    /// At endpoints on which each lease is by their own clock.
    usual_ms: Millis,
    /// At endpoints of which the roster states that they may hold stale leases: the predecessor knew of
    /// the restart in its last commit, and sent no more orders to the incarnation before.
    stale_ms: Millis,
    /// At endpoints that have restarted without the predecessor's knowledge: it may have sent orders to
    /// the incarnation before for as long as its claim covered leases.
    replaced_ms: Millis,
}

impl BarrierLapses {
    /// Returns the times after a claim, if there was a predecessor. It is safe to count from when the
    /// predecessor's last commit was first seen here, because the predecessor counts its leases from
    /// when it sent that commit, which was earlier.
    fn after(takeover: &Takeover, limits: &Limits) -> Option<Self> {
        let seen_ms = takeover.predecessor_seen_ms?;
        let gone_ms = takeover.predecessor_gone_ms;
        let covered_ms = limits.lease_over_ms(seen_ms, limits.claim_cover_ms);
        let gone_lapse_ms = gone_ms.map(|gone_ms| limits.lease_over_ms(gone_ms, limits.lease_ms));
        let usual_ms = gone_lapse_ms.map_or(covered_ms, |gone| gone.min(covered_ms));
        let last_order_ms = seen_ms + limits.claim_cover_ms;
        let last_order_ms = gone_ms.map_or(last_order_ms, |gone| gone.min(last_order_ms));
        Some(Self {
            usual_ms,
            stale_ms: usual_ms.max(limits.stale_lease_over_ms(seen_ms)),
            replaced_ms: usual_ms.max(limits.stale_lease_over_ms(last_order_ms)),
        })
    }

    /// Returns the time for an endpoint that has not reported.
    const fn of(self, missing: &MissingEndpoint, replaced: bool) -> Millis {
        if replaced {
            self.replaced_ms
        } else if missing.stale_leases {
            self.stale_ms
        } else {
            self.usual_ms
        }
    }
}

impl Barrier {
    /// Returns the barrier of a claim, if there was a predecessor.
    pub(crate) fn after(takeover: &Takeover, limits: &Limits) -> Option<Self> {
        Some(Self {
            lapses: BarrierLapses::after(takeover, limits)?,
            missing: BTreeMap::new(),
            ended_jobs: BTreeSet::new(),
        })
    }

    pub(crate) fn add(&mut self, endpoint: EndpointKey, entry: &RosterEntry) {
        let missing = MissingEndpoint {
            lapses_store_ms: entry.lapses_store_ms,
            capacity: entry.capacity,
            stale_leases: entry.stale_leases.is_some(),
        };
        self.missing.insert(endpoint, missing);
    }

    /// Returns an upper limit on the resources that runs reserve which have not been found yet; none
    /// if the roster does not limit them for all endpoints.
    ///
    /// Such runs are only on endpoints that have not reported their lists. A holder starts nothing
    /// there beyond the capacity that the stored roster states, which never falls, so neither a
    /// later change of the endpoint's capacity nor another takeover can exceed the sum.
    pub(crate) fn max_unfound_usage(&self) -> Option<Resources> {
        let mut capacities = self.missing.values().map(|missing| missing.capacity);
        capacities.try_fold(Resources::default(), |sum, capacity| {
            Some(sum.add(capacity?))
        })
    }

    /// Returns the inherited jobs that have ended and may have runs which have not been found yet.
    pub(crate) fn ended_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.ended_jobs.iter().copied()
    }
}

impl MissingEndpoint {
    /// Returns whether the leases of a silent endpoint had lapsed at `store_ms`. A commit of this
    /// holder was stored then, so no successor had granted new ones.
    fn had_lapsed(&self, store_ms: Millis) -> bool {
        self.lapses_store_ms
            .is_some_and(|lapses| lapses <= store_ms)
    }
}

impl Planner {
    /// Removes an endpoint that has reported all its runs and ends, or whose incarnation has been
    /// replaced.
    pub(super) fn remove_from_barrier(&mut self, endpoint: EndpointKey) {
        if let Some(barrier) = &mut self.barrier {
            barrier.missing.remove(&endpoint);
        }
    }

    /// Lets the barrier wait for the next incarnation of an endpoint in place of the earlier one.
    pub(super) fn replace_in_barrier(&mut self, old: EndpointKey, new: EndpointKey) {
        let Some(barrier) = &mut self.barrier else {
            return;
        };
        if let Some(missing) = barrier.missing.remove(&old) {
            barrier.missing.insert(new, missing);
        }
    }

    /// Remembers an inherited job that has ended, because the stops of its runs may not have reached
    /// their endpoints. Returns whether it may have runs that have not been found yet.
    pub(super) fn watch_ended_job(&mut self, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        // The steps of a job that is only stored as ended are not known.
        let has_steps = |job: &Job| job.inherited && !job.spec.steps.is_empty();
        let Some(barrier) = self.barrier.as_mut().filter(|_| job.is_some_and(has_steps)) else {
            return false;
        };
        barrier.ended_jobs.insert(id);
        true
    }

    /// Returns whether a job that has ended may have runs in progress: they are being stopped, or an
    /// earlier holder started them and they have not been found yet.
    pub(super) fn may_have_runs(&self, job: &Job) -> bool {
        let unfound = job.inherited && self.barrier.is_some();
        self.stopping.contains_job(job.id) || (unfound && job.ready_steps().next().is_some())
    }

    /// Removes the barrier once no endpoint is missing.
    ///
    /// An endpoint is no longer waited for once the leases of earlier holders have lapsed there, unless it
    /// has begun to list its ends: this holder has renewed its leases since, so its runs did not
    /// lapse.
    pub(super) fn check_barrier(&mut self) {
        let Some(barrier) = &mut self.barrier else {
            return;
        };
        let (lapses, claim_confirmed_ms) = (barrier.lapses, self.claim_confirmed_ms);
        let store_ms = self.store_clock.map(|(store_ms, _)| store_ms);
        let endpoints = &self.endpoints;
        let unreported = barrier.missing.len();
        barrier.missing.retain(|key, missing| {
            let endpoint = endpoints.get(*key);
            let lists_more = endpoint.is_some_and(Endpoint::may_list_more_ends);
            let replaced = endpoint.is_some_and(|endpoint| !endpoint.entry_is_of_incarnation());
            // The lapse counts only once a later commit shows that no successor has extended leases.
            let lease_over = claim_confirmed_ms >= lapses.of(missing, replaced);
            // The predecessor's mark is for the incarnation that it knew.
            let marked = store_ms.filter(|_| !replaced);
            let marked = marked.is_some_and(|store_ms| missing.had_lapsed(store_ms));
            lists_more || !(lease_over || marked)
        });
        if !barrier.missing.is_empty() {
            return;
        }
        self.barrier = None;
        log::info!(missing = unreported; "inherited tasks may start");
    }
}
