//! Leases: granted by holds, lapsed, and what the roster says of silent endpoints.

use crate::action::{Action, HoldOrder};
use crate::ids::Millis;
use crate::metrics;
use crate::placed_run::{LossReason, RunPhase};
use crate::planner::Planner;
use crate::record::RosterBucket;
use crate::starts::READ_BACK_MS;

/// Wait of a hold while the end of a stop is awaited, which an absent run never announces.
const SETTLE_WAIT_MS: Millis = 150;
/// Age of the last stored commit from which on no endpoint is marked as silent: some renewals
/// in a row.
const MARK_CLAIM_AGE_MS: Millis = 800;
/// Silence after which the lease of an endpoint is looked at.
const LAPSE_CHECK_MS: Millis = 1_000;

impl Planner {
    /// Bound on our clock that no lease may exceed.
    pub(super) const fn lease_bound_ms(&self) -> Millis {
        self.covered_from_ms + self.limits.claim_cover_ms
    }

    pub(super) fn send_holds(&mut self) {
        let now = self.now;
        let bound_ms = self.lease_bound_ms();
        let lease_ms = self.limits.lease_ms.min(self.limits.lease_max_ms);
        let mut first_holds = self.first_holds_left(false);
        let mut repeated_holds = self.first_holds_left(true);
        for (key, endpoint) in &mut self.endpoints {
            if endpoint.hold_sent_ms.is_some() || now < endpoint.next_hold_ms {
                continue;
            }
            let Some(fence) = endpoint.fence(self.version) else {
                continue;
            };
            if !endpoint.contacted {
                // Those that do not answer must not keep the others waiting.
                let left = if endpoint.hold_unanswered {
                    &mut repeated_holds
                } else {
                    &mut first_holds
                };
                if *left == 0 {
                    continue;
                }
                *left -= 1;
            }
            // An endpoint that does not answer is granted nothing more, so that its leases lapse.
            let silent = endpoint.is_silent(now, &self.limits);
            let until_ms = if silent || !endpoint.rostered {
                None
            } else {
                endpoint.leases.grant(now, lease_ms, bound_ms)
            };
            let settling = endpoint
                .placed
                .values()
                .any(|placed| matches!(placed.phase, RunPhase::Stopping { .. }));
            let wait_ms = if silent
                || !endpoint.contacted
                || endpoint.last_end_received > endpoint.acknowledged
            {
                0
            } else if settling {
                SETTLE_WAIT_MS
            } else {
                self.limits.hold_wait_ms
            };
            endpoint.hold_sent_ms = Some(now);
            self.actions.push(Action::Hold(HoldOrder {
                endpoint: key,
                id: endpoint.entry.id.clone(),
                address: endpoint.entry.address.clone(),
                until_ms,
                fence,
                acknowledged: endpoint.acknowledgeable(),
                wait_ms,
                timeout_ms: wait_ms + self.limits.hold_answer_ms,
            }));
        }
    }

    /// Returns how many endpoints that have not answered yet may be held now: for the first time, or again.
    fn first_holds_left(&self, again: bool) -> usize {
        let recent = |sent_ms: Millis| self.now < sent_ms + self.limits.first_hold_ms;
        let waiting = self.endpoints.values().filter(|endpoint| {
            let asked = !endpoint.contacted && endpoint.hold_unanswered == again;
            asked && endpoint.hold_sent_ms.is_some_and(recent)
        });
        let most = if again {
            self.limits.repeated_holds
        } else {
            self.limits.first_holds
        };
        most.saturating_sub(waiting.count())
    }

    /// Frees what was on endpoints whose leases have surely lapsed.
    ///
    /// A successor may have extended leases that this holder sees lapse. So a lapse counts only once
    /// a commit that was sent after it is stored, which shows that there was no successor by then.
    pub(super) fn check_leases(&mut self) {
        let (now, covered_from_ms) = (self.now, self.covered_from_ms);
        let mut lapsed = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            // Orders to the incarnation before may reach an endpoint until it has answered with a higher token.
            let settled = endpoint.contacted || (endpoint.has_started_again() && !endpoint.listed);
            let silent = settled && endpoint.silent_for(now) > LAPSE_CHECK_MS;
            if endpoint.defunct || !silent || !endpoint.leases.surely_lapsed(now, &self.limits) {
                continue;
            }
            let lapsed_ms = *endpoint.lapsed_ms.get_or_insert(now);
            if covered_from_ms >= lapsed_ms {
                lapsed.push(key);
            }
        }
        for key in lapsed {
            let endpoint = &self.endpoints[key];
            log::warn!(
                endpoint:% = endpoint.entry.id, silent_ms = endpoint.silent_for(now),
                tasks = endpoint.placed.len();
                "leases lapsed, endpoint is silent"
            );
            metrics::lapsed();
            self.give_up_endpoint(key, LossReason::Silent);
        }
        // An endpoint that has never answered runs nothing of ours.
        for endpoint in self.endpoints.values_mut() {
            if endpoint.last_contact_ms.is_none() && !endpoint.listed && self.barrier.is_none() {
                endpoint.defunct = true;
            }
        }
    }

    /// Lets the roster say of endpoints that have fallen silent when their leases lapse, so that a successor
    /// need not wait for them as long as for those that this holder may go on to grant leases.
    pub(super) fn mark_silent(&mut self) {
        let Some((store_ms, sent_ms)) = self.store_ahead else {
            return;
        };
        let now = self.now;
        // While the store is away a mark can neither help a successor nor be taken back.
        if self.claim_age_ms(now) > MARK_CLAIM_AGE_MS {
            return;
        }
        let drift_permille = self.limits.drift_permille;
        let mut forgettable = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            let silent = endpoint.silent_for(now) > self.limits.silent_ms;
            if !silent || !endpoint.contacted || endpoint.lapses_store_ms.is_some() {
                continue;
            }
            let Some(lapse_ms) = endpoint.leases.lapse_ms(&self.limits) else {
                continue;
            };
            let after_ms = lapse_ms.saturating_sub(sent_ms);
            let drift_ms = after_ms * drift_permille / 1_000 + 1;
            endpoint.lapses_store_ms = Some(store_ms + after_ms + drift_ms);
            log::info!(
                endpoint:% = endpoint.entry.id, silent_ms = endpoint.silent_for(now),
                lapses_in_ms = lapse_ms.saturating_sub(now), tasks = endpoint.placed.len();
                "endpoint is silent"
            );
            let bucket = RosterBucket::of(&endpoint.entry.id);
            self.unsaved.roster.insert(bucket);
            if lapse_ms.saturating_sub(now) + endpoint.silent_for(now) > READ_BACK_MS {
                forgettable.push(key);
            }
        }
        // A successor that comes before the lapse reads no starts of so long ago.
        for key in forgettable {
            self.record_lost_runs(key, LossReason::Silent);
        }
    }
}
