//! After a takeover: inherited tasks wait until no run of an earlier holder can be overlooked.

use std::collections::BTreeMap;

use crate::election::Takeover;
use crate::endpoint::EndpointKey;
use crate::ids::Millis;
use crate::limits::Limits;
use crate::planner::Planner;

/// Endpoints that may run what an earlier holder started.
#[derive(Debug)]
pub(crate) struct Barrier {
    lapse_ms: Millis,
    /// Endpoints that have not shown their lists yet, and when the leases of those that were silent
    /// before have lapsed, by the store's clock.
    missing: BTreeMap<EndpointKey, Option<Millis>>,
}

impl Barrier {
    /// Returns the barrier of a claim. The predecessor counts its leases from the sending of its
    /// last commit, which was before that commit was seen here; an endpoint's clock may be slow.
    pub(crate) fn after(takeover: &Takeover, limits: &Limits) -> Option<Self> {
        let seen_ms = takeover.predecessor_seen_ms?;
        let lapse = |from_ms: Millis, lease_ms: Millis| {
            let slow_ms = lease_ms * limits.drift_permille / 1_000;
            from_ms + lease_ms + slow_ms + limits.clock_slack_ms
        };
        let covered = lapse(seen_ms, limits.claim_cover_ms);
        let gone = takeover
            .predecessor_gone_ms
            .map(|gone_ms| lapse(gone_ms, limits.lease_ms));
        Some(Self {
            lapse_ms: gone.map_or(covered, |gone| gone.min(covered)),
            missing: BTreeMap::new(),
        })
    }

    pub(crate) fn add(&mut self, endpoint: EndpointKey, lapses_store_ms: Option<Millis>) {
        self.missing.insert(endpoint, lapses_store_ms);
    }

    /// Takes off endpoints whose leases had lapsed at `store_ms`, when the store carried out a commit of
    /// this holder, so that no successor had granted them any.
    fn pass_lapsed(&mut self, store_ms: Millis) {
        self.missing
            .retain(|_, lapses_store_ms| lapses_store_ms.is_none_or(|lapses| store_ms < lapses));
    }
}

impl Planner {
    /// Notes that an endpoint has shown what runs on it, or that its incarnation is over.
    pub(super) fn remove_from_barrier(&mut self, endpoint: EndpointKey) {
        if let Some(barrier) = &mut self.barrier {
            barrier.missing.remove(&endpoint);
        }
    }

    pub(super) fn check_barrier(&mut self) {
        let Some(barrier) = &mut self.barrier else {
            return;
        };
        if let Some((store_ms, _)) = self.store_clock {
            barrier.pass_lapsed(store_ms);
        }
        // The lapse counts once a later commit shows that no successor extends leases meanwhile.
        let lapsed = self.covered_from_ms >= barrier.lapse_ms;
        if !barrier.missing.is_empty() && !lapsed {
            return;
        }
        let missing = barrier.missing.len();
        self.barrier = None;
        log::info!(lapsed = lapsed, missing = missing; "inherited tasks may start");
    }
}
