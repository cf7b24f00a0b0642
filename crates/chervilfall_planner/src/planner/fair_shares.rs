//! Levels of accounts that compete for capacity, as used in the order of open steps.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Millis;
use crate::planner::accounts::AccountKey;
use crate::planner::schedule::Pass;
use crate::planner::Planner;
use crate::policy::fair_share::{FairShare, ShareLevel, UsageByStart};
use crate::policy::order::{rank, Rank};
use crate::resources::Resources;
use crate::tasks::{Job, StepKey};

/// Fair shares as of the last full pass.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    fair_share: FairShare,
    usage: BTreeMap<AccountKey, UsageByStart>,
}

impl Planner {
    /// Updates the levels of the accounts that use capacity or wait for it.
    pub(super) fn update_fair_shares(&mut self) {
        if !self.limits.policies.fair_share {
            return;
        }
        let mut runs: BTreeMap<AccountKey, Vec<(Millis, Resources)>> = BTreeMap::new();
        let placed = self
            .endpoints
            .values()
            .flat_map(|seen| seen.placed.values());
        for run in placed {
            if let Some((account, usage)) = run.charge {
                let started_ms = run.confirmed_ms.unwrap_or(self.now);
                runs.entry(account).or_default().push((started_ms, usage));
            }
        }
        let keys = self.open.keys();
        let waiting = keys
            .iter()
            .filter_map(|key| self.jobs.get(&key.job)?.account);
        let active: BTreeSet<AccountKey> = runs.keys().copied().chain(waiting).collect();
        let weights = active.iter().map(|key| self.accounts.weight(*key));
        let fair_share = FairShare::new(self.listed_capacity(), weights);
        let levels = active.iter().map(|key| {
            let level =
                fair_share.level(self.accounts.used_by_runs(*key), self.accounts.weight(*key));
            (*key, level)
        });
        let levels: Vec<(AccountKey, ShareLevel)> = levels.collect();
        self.accounts.set_share_levels(&levels);
        let usage = runs
            .into_iter()
            .map(|(account, runs)| (account, UsageByStart::new(runs)));
        self.fair_shares = FairShares {
            fair_share,
            usage: usage.collect(),
        };
    }

    fn listed_capacity(&self) -> Resources {
        let listed = self.endpoints.values().filter(|endpoint| endpoint.listed);
        listed.fold(Resources::default(), |sum, endpoint| {
            sum.add(Resources::of_entry(&endpoint.entry))
        })
    }

    /// Returns the level at which a step competes. Work without an account competes like an account
    /// that uses its fair share. For a gang, runs that were started since its job was accepted, or
    /// taken over, do not count.
    pub(super) fn share_level(&self, job: &Job, key: StepKey) -> ShareLevel {
        if !self.limits.policies.fair_share {
            return ShareLevel::default();
        }
        let Some(account) = job.account else {
            return ShareLevel::FAIR;
        };
        let fair_share = self.fair_shares.fair_share;
        let step = job.spec.steps.get(key.step as usize);
        let used = if step.is_some_and(|step| step.gang) {
            let usage = self.fair_shares.usage.get(&account);
            usage.map_or_else(Resources::default, |usage| usage.before(job.accepted_ms))
        } else {
            self.accounts.used_by_runs(account)
        };
        fair_share.level(used, self.accounts.weight(account))
    }

    /// Returns after how many starts the account of a step is at a higher level, so that other
    /// accounts may come first.
    pub(super) fn tasks_to_next_level(&self, key: StepKey) -> u32 {
        if !self.limits.policies.fair_share {
            return u32::MAX;
        }
        let Some((account, charge)) = self.charge(key.task(0)) else {
            return u32::MAX;
        };
        let used = self.accounts.used_by_runs(account);
        let weight = self.accounts.weight(account);
        self.fair_shares
            .fair_share
            .tasks_to_next_level(used, charge, weight)
    }

    /// Visits steps in the order of their ranks, which fall with each level that their accounts
    /// reach during the pass. Otherwise one account would get all capacity that is free at once.
    pub(super) fn schedule_by_fair_share(&mut self, pass: &mut Pass, keys: Vec<StepKey>) {
        let ranked = keys
            .into_iter()
            .filter_map(|key| Some((self.rank_now(key)?, key)));
        let mut left: BTreeSet<(Rank, StepKey)> = ranked.collect();
        while let Some((rank, key)) = left.pop_first() {
            if self.rank_now(key).is_some_and(|now| now <= rank) {
                self.schedule_step(pass, key);
            }
            let rank_now = self.rank_now(key).filter(|_| self.open.contains(key));
            if let Some(rank_now) = rank_now.filter(|now| *now > rank) {
                left.insert((rank_now, key));
            }
        }
    }

    /// Returns the rank of a step with what its account uses now.
    pub(super) fn rank_now(&self, key: StepKey) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        let overdue_last = self.limits.policies.overdue_last;
        let share_level = self.share_level(job, key);
        Some(rank(job, key, self.unix_ms, overdue_last, share_level))
    }
}
