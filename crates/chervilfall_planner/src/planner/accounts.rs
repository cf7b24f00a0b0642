//! What client accounts have running, and what they may have.

use std::collections::BTreeMap;

use crate::account::{Account, AccountName};
use crate::ids::{JobId, Millis, TaskKey};
use crate::metrics;
use crate::planner::Planner;
use crate::policy::share::{Share, ShareAdmission};
use crate::resources::Resources;
use crate::tasks::{StepKey, TaskState};

/// Time between metrics of accounts.
const SHOW_MS: Millis = 1_000;

/// Names an account in the arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AccountKey(u32);

#[derive(Debug)]
struct AccountState {
    name: AccountName,
    quota: Resources,
    share: Share,
    /// What its runs use, those that are being stopped or may be at work among them.
    used: Resources,
    /// What inherited tasks use whose runs may not have been found yet.
    unseen: Resources,
}

/// The accounts that jobs belong to.
#[derive(Debug, Default)]
pub(super) struct Accounts {
    states: Vec<AccountState>,
    keys: BTreeMap<AccountName, AccountKey>,
    shown_ms: Millis,
}

impl Accounts {
    /// Returns the key of an account, which exists from now on.
    pub(super) fn key(&mut self, name: &str, now: Millis) -> AccountKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = AccountKey(u32::try_from(self.states.len()).unwrap_or(u32::MAX));
        self.states.push(AccountState {
            name: name.to_owned(),
            quota: Resources::default(),
            share: Share::new(0.0, now),
            used: Resources::default(),
            unseen: Resources::default(),
        });
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// Takes over quotas and shares. An account that is dropped keeps its last ones for what it has handed in.
    pub(super) fn configure(&mut self, accounts: &BTreeMap<AccountName, Account>, now: Millis) {
        for account in accounts.values() {
            let key = self.key(&account.name, now);
            let state = self.state_mut(key);
            if state.quota != account.quota {
                log::info!(
                    account = account.name.as_str(), cpu_milli = account.quota.cpu_milli,
                    memory_mb = account.quota.memory_mb, used_cpu_milli = state.used.cpu_milli;
                    "quota in force"
                );
            }
            state.quota = account.quota;
            state.share.set_per_s(account.weight);
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

    /// Returns how many tasks that use `need` each an account may start now.
    fn room_for(&self, key: AccountKey, need: Resources) -> u32 {
        let state = self.state(key);
        let used = state.used.add(state.unseen);
        state.quota.max_fitting_in_quota(used, need)
    }

    fn forget_unseen(&mut self) {
        for state in &mut self.states {
            state.unseen = Resources::default();
        }
    }

    /// Shows what accounts use, once a second; an operator reads a bounded number of them.
    pub(super) fn show(&mut self, now: Millis) {
        if now < self.shown_ms + SHOW_MS {
            return;
        }
        self.shown_ms = now;
        for state in self.states.iter().take(metrics::MAX_ACCOUNTS) {
            metrics::account(&state.name, state.used.cpu_milli, state.quota.cpu_milli);
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
            .room_for(account, Resources::charged_to_account(step))
    }

    /// Returns what a task counts for, and against whom.
    pub(super) fn charge(&self, task: TaskKey) -> Option<(AccountKey, Resources)> {
        let job = self.jobs.get(&task.job)?;
        let step = job.spec.steps.get(task.step as usize)?;
        Some((job.account?, Resources::charged_to_account(step)))
    }

    /// Counts inherited tasks as at work while their runs may not have been found yet.
    pub(super) fn count_unconfirmed(&mut self) {
        self.accounts.forget_unseen();
        if self.barrier.is_none() {
            return;
        }
        for key in self.open.keys() {
            let Some(job) = self.jobs.get(&key.job).filter(|job| job.inherited) else {
                continue;
            };
            let (Some(account), Some(progress)) = (job.account, job.step_progress(key)) else {
                continue;
            };
            let waits = |task: &&crate::tasks::Task| task.state == TaskState::Waiting;
            let waiting = progress.tasks.iter().filter(waits).count();
            let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            let Some(step) = job.spec.steps.get(key.step as usize) else {
                continue;
            };
            let unseen = Resources::charged_to_account(step).times(waiting);
            let state = self.accounts.state_mut(account);
            state.unseen = state.unseen.add(unseen);
        }
    }

    /// Says what becomes of a job that an account hands in.
    pub(super) fn admission(&mut self, account: Option<AccountKey>) -> ShareAdmission {
        let Some(account) = account else {
            return ShareAdmission::WithinShare;
        };
        let admission = self.accounts.state_mut(account).share.take(self.now);
        if admission == ShareAdmission::OverShare {
            self.accounts.state_mut(account).share.add_over_share_job();
        }
        admission
    }

    /// Takes note that a job has ended.
    pub(super) fn end_share(&mut self, id: JobId) {
        let job = self.jobs.get(&id);
        if let Some(account) = job.filter(|job| job.beyond).and_then(|job| job.account) {
            self.accounts.state_mut(account).share.end_over_share_job();
        }
    }

    /// Takes note of an inherited job beyond its account's share.
    pub(super) fn inherit_share(&mut self, account: AccountKey) {
        self.accounts.state_mut(account).share.add_over_share_job();
    }
}
