//! Fair share of accounts that compete for a pool (dominant resource fairness).
//!
//! Without this rule, work of the same priority starts in order of acceptance, so an account that
//! submits much work at once delays all others until that work has started.

use crate::ids::Millis;
use crate::resources::Resources;

/// Levels up to an account's fair share. The order changes by whole levels only, so that accounts
/// with almost the same usage do not alternate with each start.
const LEVELS_PER_FAIR_SHARE: u32 = 10;
/// Weight of an account for which none is configured.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Usage of an account compared to its fair share, in tenths of it; the lowest is served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareLevel(u32);

impl ShareLevel {
    /// Usage of exactly the fair share.
    pub const FAIR: Self = Self(LEVELS_PER_FAIR_SHARE);

    /// Returns the level.
    #[must_use]
    pub const fn tenths(self) -> u32 {
        self.0
    }
}

/// The pool that accounts compete for.
#[derive(Debug, Clone, Copy, Default)]
pub struct FairShare {
    pool: Resources,
    /// Sum of the weights of the accounts that use the pool or wait for it.
    total_weight: f64,
}

impl FairShare {
    /// Returns the competition for a pool between accounts with these weights.
    #[must_use]
    pub fn new(pool: Resources, weights: impl Iterator<Item = f64>) -> Self {
        Self {
            pool,
            total_weight: weights.map(effective_weight).sum(),
        }
    }

    /// Returns the level of an account: its dominant share of the pool, divided by the part of the
    /// pool that its weight entitles it to.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn level(&self, used: Resources, weight: f64) -> ShareLevel {
        let entitled = effective_weight(weight) / self.total_weight;
        let dominant = part(used.cpu_milli, self.pool.cpu_milli)
            .max(part(used.memory_mb, self.pool.memory_mb));
        // A cast saturates.
        ShareLevel((dominant / entitled * f64::from(LEVELS_PER_FAIR_SHARE)) as u32)
    }

    /// Returns after how many more tasks that use `charge` each an account is at a higher level, at
    /// least 1.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn tasks_to_next_level(&self, used: Resources, charge: Resources, weight: f64) -> u32 {
        let entitled = effective_weight(weight) / self.total_weight;
        let next = f64::from(self.level(used, weight).0) + 1.0;
        let limit = next / f64::from(LEVELS_PER_FAIR_SHARE) * entitled;
        let tasks = |used: u64, charge: u64, whole: u64| {
            let left = limit - part(used, whole);
            left / part(charge, whole)
        };
        let cpu = tasks(used.cpu_milli, charge.cpu_milli, self.pool.cpu_milli);
        let memory = tasks(used.memory_mb, charge.memory_mb, self.pool.memory_mb);
        // A cast saturates; a division by no charge gives infinity.
        (cpu.min(memory).ceil() as u32).max(1)
    }
}

/// Returns the weight that counts: 1 if none is configured.
fn effective_weight(weight: f64) -> f64 {
    if weight > 0.0 {
        weight
    } else {
        DEFAULT_WEIGHT
    }
}

#[allow(clippy::cast_precision_loss)]
fn part(used: u64, whole: u64) -> f64 {
    used as f64 / whole.max(1) as f64
}

/// Usage of an account by the start of its runs.
///
/// A gang waits until all its members fit at once. If what narrower steps of the account start in
/// the meantime counted against it, it would fall behind other accounts for as long as it waits.
#[derive(Debug, Clone, Default)]
pub struct UsageByStart(Vec<(Millis, Resources)>);

impl UsageByStart {
    /// Returns the usage by runs that were started at these times.
    #[must_use]
    pub fn new(mut runs: Vec<(Millis, Resources)>) -> Self {
        runs.sort_unstable_by_key(|(started_ms, _)| *started_ms);
        let mut sum = Resources::default();
        for (_, used) in &mut runs {
            sum = sum.add(*used);
            *used = sum;
        }
        Self(runs)
    }

    /// Returns the usage by runs that were started before `since_ms`.
    #[must_use]
    pub fn before(&self, since_ms: Millis) -> Resources {
        let earlier = self
            .0
            .partition_point(|(started_ms, _)| *started_ms < since_ms);
        let last = earlier.checked_sub(1).and_then(|last| self.0.get(last));
        last.map(|(_, used)| *used).unwrap_or_default()
    }
}
