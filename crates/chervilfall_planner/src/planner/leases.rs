//! Leases: granting them by holds, detecting lapsed ones, and marking silent endpoints in the
//! roster.

use crate::action::{Action, HoldOrder};
use crate::ids::Millis;
use crate::metrics;
use crate::placed_run::{LossReason, RunPhase};
use crate::planner::Planner;
use crate::record::RosterBucket;
use crate::starts::READ_BACK_MS;

/// Wait time of a hold while a run is being stopped. It is short because no end is reported if the
/// endpoint does not have the run.
const STOP_WAIT_MS: Millis = 150;
/// Age of the last stored commit above which no endpoint is marked as silent: several renewals in a
/// row.
const MAX_MARK_CLAIM_AGE_MS: Millis = 800;
/// Silence after which the lease of an endpoint is checked.
const LAPSE_CHECK_SILENCE_MS: Millis = 1_000;

impl Planner {
    /// Returns the time by this node's clock that no lease may exceed.
    pub(super) const fn lease_bound_ms(&self) -> Millis {
        self.claim_confirmed_ms + self.limits.claim_cover_ms
    }

    pub(super) fn send_holds(&mut self) {
        let now = self.now;
        let bound_ms = self.lease_bound_ms();
        let lease_ms = self.limits.lease_ms.min(self.limits.lease_max_ms);
        let idle_wait_ms = self.limits.idle_hold_wait_ms(self.endpoints.len());
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
                // Endpoints that do not answer must not delay the others.
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
            // A silent endpoint is granted no further leases, so that its current leases lapse.
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
                STOP_WAIT_MS
            } else if endpoint.placed.is_empty() {
                idle_wait_ms
            } else {
                self.limits.hold_wait_ms
            };
            // An endpoint that has left a hold unanswered may be on a congested link, so the time that
            // this one does not wait for an end is left for the way of its answer.
            let answer_ms = if endpoint.contacted && endpoint.hold_unanswered {
                self.limits.hold_answer_ms + self.limits.hold_wait_ms
            } else {
                self.limits.hold_answer_ms
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
                timeout_ms: wait_ms + answer_ms,
            }));
        }
    }

    /// Returns how many more endpoints that have not answered this holder may be held now. Those
    /// that have left a hold unanswered (`again`) are limited separately.
    fn first_holds_left(&self, again: bool) -> usize {
        let recent = |sent_ms: Millis| self.now < sent_ms + self.limits.first_hold_ms;
        let waiting = self.endpoints.values().filter(|endpoint| {
            let asked = !endpoint.contacted && endpoint.hold_unanswered == again;
            asked && endpoint.hold_sent_ms.is_some_and(recent)
        });
        let limit = if again {
            self.limits.repeated_holds
        } else {
            self.limits.first_holds
        };
        limit.saturating_sub(waiting.count())
    }

    /// Gives up endpoints whose leases have certainly lapsed.
    ///
    /// A successor may have extended leases that lapse from the view of this holder. So a lapse
    /// counts only once a commit that was sent after it is stored, which shows that there was no
    /// successor by then.
    pub(super) fn check_leases(&mut self) {
        let (now, claim_confirmed_ms) = (self.now, self.claim_confirmed_ms);
        let mut lapsed = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            // Until an endpoint has answered with a higher fencing token, orders to the previous
            // incarnation may still reach it.
            let settled = endpoint.contacted || (endpoint.has_started_again() && !endpoint.listed);
            let silent = settled && endpoint.silent_for(now) > LAPSE_CHECK_SILENCE_MS;
            if endpoint.defunct || !silent || !endpoint.leases_surely_lapsed(now, &self.limits) {
                continue;
            }
            let lapsed_ms = *endpoint.lapsed_ms.get_or_insert(now);
            if claim_confirmed_ms >= lapsed_ms {
                lapsed.push(key);
            }
        }
        for key in lapsed {
            let endpoint = &self.endpoints[key];
            log::warn!(
                endpoint:% = endpoint.entry.id, silent_ms = endpoint.silent_for(now),
                tasks = endpoint.placed.len(), hold_waits_ms:? = endpoint.hold_waits_ms(now),
                missed = endpoint.hold_unanswered, taken_in = endpoint.last_end_received,
                acknowledged = endpoint.acknowledged,
                surely_lapsed_ms:? = endpoint.lapse_ms(&self.limits).map(|at_ms| now.saturating_sub(at_ms));
                "leases lapsed, endpoint is silent"
            );
            metrics::lapsed();
            self.give_up_endpoint(key, LossReason::Silent);
        }
        // An endpoint that has never answered runs nothing for this holder.
        for endpoint in self.endpoints.values_mut() {
            if endpoint.last_contact_ms.is_none() && !endpoint.listed && self.barrier.is_none() {
                endpoint.defunct = true;
            }
        }
    }

    /// Marks endpoints that have fallen silent in the roster, with the time at which their leases
    /// lapse. A successor can then wait for them less long than for endpoints to which this holder
    /// may have granted further leases.
    pub(super) fn mark_silent(&mut self) {
        let Some((store_ms, sent_ms)) = self.store_clock_bound else {
            return;
        };
        let now = self.now;
        // While the store does not answer, a mark can neither reach a successor nor be removed.
        if self.claim_age_ms(now) > MAX_MARK_CLAIM_AGE_MS {
            return;
        }
        let drift_permille = self.limits.drift_permille;
        let mut forgettable = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            let silent = endpoint.silent_for(now) > self.limits.silent_ms;
            if !silent || !endpoint.contacted || endpoint.lapses_store_ms.is_some() {
                continue;
            }
            let Some(lapse_ms) = endpoint.lapse_ms(&self.limits) else {
                continue;
            };
            let after_ms = lapse_ms.saturating_sub(sent_ms);
            let drift_ms = after_ms * drift_permille / 1_000 + 1;
            endpoint.lapses_store_ms = Some(store_ms + after_ms + drift_ms);
            log::info!(
                endpoint:% = endpoint.entry.id, silent_ms = endpoint.silent_for(now),
                lapses_in_ms = lapse_ms.saturating_sub(now), tasks = endpoint.placed.len(),
                hold_waits_ms:? = endpoint.hold_waits_ms(now), missed = endpoint.hold_unanswered;
                "endpoint is silent"
            );
            let bucket = RosterBucket::of(&endpoint.entry.id);
            self.unsaved.roster.insert(bucket);
            if lapse_ms.saturating_sub(now) + endpoint.silent_for(now) > READ_BACK_MS {
                forgettable.push(key);
            }
        }
        // A successor that takes over before these leases lapse does not read starts of that age,
        // so the runs are recorded with their jobs.
        for key in forgettable {
            self.record_lost_runs(key, LossReason::Silent);
        }
    }
}
