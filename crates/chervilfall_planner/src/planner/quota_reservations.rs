//! Reservations of accounts' quotas for wide steps.
//!
//! A step that needs much of its account's quota at once would wait for as long as narrower steps of
//! the account take whatever becomes free. So the best-ranked step that exceeds what is left reserves
//! the quota: steps of the account that rank behind it are backfilled, which means that they are
//! started only if they should end before the reserving step can start, or if they fit beside it.

use std::collections::BTreeMap;

use crate::ids::{Millis, TaskKey};
use crate::placed_run::PlacedRun;
use crate::planner::accounts::AccountKey;
use crate::planner::Planner;
use crate::resources::Resources;
use crate::tasks::{StepKey, StepProgress};

/// The reservations of a pass, by account.
pub(super) type QuotaReservations = BTreeMap<AccountKey, QuotaReservation>;

/// The quota that a step waits for.
#[derive(Debug)]
pub(super) struct QuotaReservation {
    /// Resources that it needs at once.
    need: Resources,
    /// The account's usage for which `start` was computed, if it was.
    used: Option<Resources>,
    start: Option<ExpectedStart>,
}

/// When a reserving step should be able to start.
#[derive(Debug, Clone, Copy)]
struct ExpectedStart {
    at_ms: Millis,
    /// The account's usage from then on, with the step's own.
    used: Resources,
}

impl Planner {
    /// Reserves the quota of a step's account for `count` tasks of the step, unless a better-ranked
    /// step has reserved it, or something other than the quota keeps the step from starting.
    pub(super) fn reserve_quota(
        &self,
        reservations: &mut QuotaReservations,
        key: StepKey,
        count: u32,
    ) {
        let Some((account, charge)) = self.charge(key.task(0)) else {
            return;
        };
        if reservations.contains_key(&account)
            || self.accounts.max_tasks(account, charge) < count
            || !self.waits_for_quota_only(key)
        {
            return;
        }
        let reservation = QuotaReservation {
            need: charge.times(count),
            used: None,
            start: None,
        };
        reservations.insert(account, reservation);
    }

    /// Returns how many tasks of a step its job's account may start now, if `within_quota` fit its
    /// quota, without delaying the step that has reserved the quota.
    pub(super) fn tasks_beside_reservation(
        &self,
        reservations: &mut QuotaReservations,
        key: StepKey,
        within_quota: u32,
    ) -> u32 {
        let Some((account, charge)) = self.charge(key.task(0)) else {
            return within_quota;
        };
        let Some(reservation) = reservations.get_mut(&account) else {
            return within_quota;
        };
        let used = Some(self.accounts.used(account));
        if reservation.used != used {
            reservation.used = used;
            reservation.start = self.expected_start(account, reservation.need);
        }
        let Some(start) = reservation.start else {
            return within_quota;
        };
        let estimate_ms = self.estimate_ms(key.task(0)).filter(|ms| *ms > 0);
        if estimate_ms.is_some_and(|ms| self.now + ms <= start.at_ms) {
            return within_quota;
        }
        within_quota.min(self.accounts.tasks_beside(account, start.used, charge))
    }

    /// Returns whether a step could be placed if its account's quota allowed it.
    fn waits_for_quota_only(&self, key: StepKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let has_tickets = |progress: &StepProgress| {
            job.queue.advice.is_none() || progress.advice.any_ticket(self.now)
        };
        let after_barrier = !job.inherited || self.barrier.is_none();
        after_barrier
            && job.text.is_some()
            && job.step_progress(key).is_some_and(has_tickets)
            && self.waiting_tasks(key).blocked == 0
    }

    /// Returns when an account's quota should have room for `need`; none if that cannot be told.
    fn expected_start(&self, account: AccountKey, need: Resources) -> Option<ExpectedStart> {
        let placed = self.endpoints.values().flat_map(|seen| &seen.placed);
        let charged = placed.filter_map(|(task, run)| {
            let (_, usage) = run.charge.filter(|(charged, _)| *charged == account)?;
            Some((self.expected_rest_ms(*task, run), usage))
        });
        let mut ends: Vec<(Millis, Resources)> = charged.collect();
        ends.sort_by_key(|(rest_ms, _)| *rest_ms);
        let mut used = self.accounts.used(account);
        for (rest_ms, usage) in ends {
            used = used.minus(usage);
            if self.accounts.tasks_beside(account, used, need) > 0 {
                let at_ms = self.now.saturating_add(rest_ms);
                let used = used.add(need);
                return Some(ExpectedStart { at_ms, used });
            }
        }
        None
    }

    /// Returns how long a run should still take: one that takes longer than estimated, as long again
    /// as it is over its estimate.
    fn expected_rest_ms(&self, task: TaskKey, run: &PlacedRun) -> Millis {
        let long_running = self.jobs.get(&task.job).is_some_and(|job| job.long_running);
        if long_running {
            return Millis::MAX;
        }
        let estimate_ms = self.estimate_ms(task).unwrap_or(0);
        let begun_ms = run.confirmed_ms.unwrap_or(self.now);
        estimate_ms.abs_diff(self.now.saturating_sub(begun_ms))
    }

    fn estimate_ms(&self, task: TaskKey) -> Option<Millis> {
        let job = self.jobs.get(&task.job)?;
        let step = job.spec.steps.get(task.step as usize)?;
        Some(step.estimate_ms)
    }
}
