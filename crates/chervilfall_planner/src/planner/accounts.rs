//! Usage, quotas and shares of client accounts.

use std::collections::BTreeMap;

use crate::account::{Account, AccountName};
use crate::ids::{JobId, Millis, TaskKey};
use crate::job::Step;
use crate::metrics;
use crate::planner::Planner;
use crate::policy::fair_share::ShareLevel;
use crate::policy::share::{Share, ShareAdmission};
use crate::resources::Resources;
use crate::tasks::{Job, StepKey};

/// Interval between updates of the metrics of accounts.
const METRICS_INTERVAL_MS: Millis = 1_000;

/// Index of an account in [`Accounts`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AccountKey(u32);

#[derive(Debug)]
struct AccountState {
    name: AccountName,
    quota: Resources,
    share: Share,
    /// Its share in jobs per second, which is also its weight where accounts compete for capacity.
    weight: f64,
    /// Level of its usage where accounts compete for capacity.
    share_level: ShareLevel,
    /// Usage by its runs, including those that are being stopped or may still be running.
    used: Resources,
    /// Usage by inherited tasks that may have runs which have not been found yet.
    unconfirmed: Resources,
}

/// Usage by an account's inherited tasks that may have runs which have not been found yet.
#[derive(Debug, Default)]
struct UnconfirmedUsage {
    /// Usage by tasks that reserve all that they are charged for.
    reserving: Resources,
    /// Usage by tasks that fill, which are charged for CPU that they do not reserve.
    filling: Resources,
}

impl UnconfirmedUsage {
    fn add(&mut self, step: &Step, usage: Resources) {
        let sum = if step.fills {
            &mut self.filling
        } else {
            &mut self.reserving
        };
        *sum = sum.add(usage);
    }

    /// Returns the usage if runs that have not been found reserve at most `max_unfound`, if that is
    /// known. Tasks that fill are counted in full, because their CPU is not reserved.
    fn bounded(self, max_unfound: Option<Resources>) -> Resources {
        let reserving = max_unfound.map_or(self.reserving, |most| self.reserving.min(most));
        reserving.add(self.filling)
    }
}

/// The accounts that jobs belong to.
#[derive(Debug, Default)]
pub(super) struct Accounts {
    states: Vec<AccountState>,
    keys: BTreeMap<AccountName, AccountKey>,
    exported_ms: Millis,
}

impl Accounts {
    /// Returns the key of an account, which is created if it is missing.
    pub(super) fn key(&mut self, name: &str, now: Millis) -> AccountKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = AccountKey(u32::try_from(self.states.len()).unwrap_or(u32::MAX));
        self.states.push(AccountState {
            name: name.to_owned(),
            quota: Resources::default(),
            share: Share::new(0.0, now),
            weight: 0.0,
            share_level: ShareLevel::default(),
            used: Resources::default(),
            unconfirmed: Resources::default(),
        });
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// Applies quotas and shares. An account that is no longer configured keeps its last ones for
    /// the jobs that it has submitted.
    pub(super) fn configure(&mut self, accounts: &BTreeMap<AccountName, Account>, now: Millis) {
        for account in accounts.values() {
            let key = self.key(&account.name, now);
            let state = self.state_mut(key);
            if state.quota != account.quota {
                log::info!(
                    account = account.name.as_str(), cpu_milli = account.quota.cpu_milli,
                    memory_mb = account.quota.memory_mb, used_cpu_milli = state.used.cpu_milli;
                    "quota applied"
                );
            }
            state.quota = account.quota;
            state.share.set_per_s(account.weight);
            state.weight = account.weight;
        }
    }

    fn state(&self, key: AccountKey) -> &AccountState {
        &self.states[key.0 as usize]
    }

    fn state_mut(&mut self, key: AccountKey) -> &mut AccountState {
        &mut self.states[key.0 as usize]
    }

    pub(super) fn name(&self, key: AccountKey) -> &str {
        &self.state(key).name
    }

    pub(super) fn add(&mut self, key: AccountKey, usage: Resources) {
        let state = self.state_mut(key);
        state.used = state.used.add(usage);
    }

    pub(super) fn remove(&mut self, key: AccountKey, usage: Resources) {
        let state = self.state_mut(key);
        state.used = state.used.minus(usage);
    }

    /// Returns how many tasks of `need` each an account may start now.
    fn startable_tasks(&self, key: AccountKey, need: Resources) -> u32 {
        self.tasks_beside(key, self.used(key), need)
    }

    /// Returns an account's usage, with that of runs which have not been found yet.
    pub(super) fn used(&self, key: AccountKey) -> Resources {
        let state = self.state(key);
        state.used.add(state.unconfirmed)
    }

    /// Returns an account's usage by runs that are known.
    pub(super) fn used_by_runs(&self, key: AccountKey) -> Resources {
        self.state(key).used
    }

    pub(super) fn weight(&self, key: AccountKey) -> f64 {
        self.state(key).weight
    }

    /// Sets the levels that metrics show; accounts that are not named are at the lowest.
    pub(super) fn set_share_levels(&mut self, levels: &[(AccountKey, ShareLevel)]) {
        for state in &mut self.states {
            state.share_level = ShareLevel::default();
        }
        for (key, level) in levels {
            self.state_mut(*key).share_level = *level;
        }
    }

    pub(super) fn quota(&self, key: AccountKey) -> Resources {
        self.state(key).quota
    }

    /// Returns how many tasks of `need` each fit an account's quota beside `used`.
    pub(super) fn tasks_beside(&self, key: AccountKey, used: Resources, need: Resources) -> u32 {
        self.state(key).quota.max_fitting_in_quota(used, need)
    }

    /// Returns how many tasks of `need` each fit an account's whole quota.
    pub(super) fn max_tasks(&self, key: AccountKey, need: Resources) -> u32 {
        self.tasks_beside(key, Resources::default(), need)
    }

    fn clear_unconfirmed(&mut self) {
        for state in &mut self.states {
            state.unconfirmed = Resources::default();
        }
    }

    /// Updates the metrics of accounts once a second, for a bounded number of accounts.
    pub(super) fn export_metrics(&mut self, now: Millis) {
        if now < self.exported_ms + METRICS_INTERVAL_MS {
            return;
        }
        self.exported_ms = now;
        for state in self.states.iter().take(metrics::MAX_ACCOUNTS) {
            let unconfirmed = state.unconfirmed.cpu_milli;
            metrics::account(&state.name, state.used.cpu_milli, state.quota.cpu_milli);
            metrics::unconfirmed(&state.name, unconfirmed);
            metrics::share_level(&state.name, state.share_level.tenths());
            if unconfirmed > 0 {
                log::info!(
                    account = state.name.as_str(), cpu_milli = unconfirmed,
                    used_cpu_milli = state.used.cpu_milli, quota_cpu_milli = state.quota.cpu_milli;
                    "usage by inherited tasks is unconfirmed"
                );
            }
        }
    }
}

impl Planner {
    /// Returns how many tasks of a step its job's account may start now.
    pub(super) fn tasks_within_quota(&self, key: StepKey) -> u32 {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0;
        };
        let (Some(account), Some(step)) = (job.account, job.spec.steps.get(key.step as usize))
        else {
            return u32::MAX;
        };
        self.accounts
            .startable_tasks(account, Resources::charged_to_account(step))
    }

    /// Returns the account to which a task is charged, and the charged resources.
    pub(super) fn charge(&self, task: TaskKey) -> Option<(AccountKey, Resources)> {
        let job = self.jobs.get(&task.job)?;
        let step = job.spec.steps.get(task.step as usize)?;
        Some((job.account?, Resources::charged_to_account(step)))
    }

    /// Counts inherited tasks as running while they may have runs that have not been found yet:
    /// those of open steps, and those of jobs that have ended.
    pub(super) fn count_unconfirmed(&mut self) {
        self.accounts.clear_unconfirmed();
        let Some(barrier) = &self.barrier else {
            return;
        };
        let max_unfound = barrier.max_unfound_usage();
        let mut unconfirmed: BTreeMap<AccountKey, UnconfirmedUsage> = BTreeMap::new();
        let ended = barrier.ended_jobs().filter_map(|id| self.jobs.get(&id));
        let steps = self.open.keys().into_iter();
        for key in steps.chain(ended.flat_map(Job::ready_steps)) {
            let Some(job) = self.jobs.get(&key.job).filter(|job| job.inherited) else {
                continue;
            };
            let (Some(account), Some(progress)) = (job.account, job.step_progress(key)) else {
                continue;
            };
            let waiting = progress.waiting();
            let Some(step) = job.spec.steps.get(key.step as usize) else {
                continue;
            };
            let usage = Resources::charged_to_account(step).times(waiting);
            let unconfirmed = unconfirmed.entry(account).or_default();
            unconfirmed.add(step, usage);
        }
        for (account, unconfirmed) in unconfirmed {
            self.accounts.state_mut(account).unconfirmed = unconfirmed.bounded(max_unfound);
        }
    }

    /// Charges a submitted job to its account's share, and returns whether it is admitted.
    pub(super) fn charge_share(&mut self, account: Option<AccountKey>) -> ShareAdmission {
        let Some(account) = account else {
            return ShareAdmission::WithinShare;
        };
        let admission = self.accounts.state_mut(account).share.take(self.now);
        if admission == ShareAdmission::OverShare {
            self.accounts.state_mut(account).share.add_over_share_job();
        }
        admission
    }

    /// Updates the account's share for a job that has ended.
    pub(super) fn release_share(&mut self, id: JobId) {
        let account = self.jobs.get(&id).and_then(account_over_share);
        self.end_over_share_job(account);
    }

    /// Updates an account's share for a job over the share that is refused after all.
    pub(super) fn end_share(&mut self, job: &Job) {
        self.end_over_share_job(account_over_share(job));
    }

    fn end_over_share_job(&mut self, account: Option<AccountKey>) {
        if let Some(account) = account {
            self.accounts.state_mut(account).share.end_over_share_job();
        }
    }

    /// Records an inherited job that exceeded its account's share.
    pub(super) fn inherit_share(&mut self, account: AccountKey) {
        self.accounts.state_mut(account).share.add_over_share_job();
    }
}

/// Returns the account whose share a job exceeds.
fn account_over_share(job: &Job) -> Option<AccountKey> {
    job.account.filter(|_| job.beyond)
}
