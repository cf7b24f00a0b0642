//! Room of endpoints, what tasks take of it, and what client accounts may take.

use serde::{Deserialize, Serialize};

use crate::endpoint::EndpointEntry;
use crate::job::Step;

/// Room of an endpoint, or what tasks take of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    pub(crate) fn of_entry(entry: &EndpointEntry) -> Self {
        Self {
            cpu_milli: entry.cpu_milli.into(),
            memory_mb: entry.memory_mb.into(),
            gpus: entry.gpus.into(),
        }
    }

    /// Returns what a task of a step takes of its endpoint.
    pub(crate) fn of_step(step: &Step) -> Self {
        Self {
            cpu_milli: if step.fills { 0 } else { step.cpu_milli.into() },
            ..Self::charged_to_account(step)
        }
    }

    /// Returns what a task of a step is charged to its account: what it was asked to have, also where it takes only what
    /// others leave.
    pub(crate) fn charged_to_account(step: &Step) -> Self {
        Self {
            cpu_milli: step.cpu_milli.into(),
            memory_mb: step.memory_mb.into(),
            gpus: step.gpus.into(),
        }
    }

    pub(crate) const fn can_fit(self, need: Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.gpus >= need.gpus
    }

    pub(crate) const fn add(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            gpus: self.gpus + other.gpus,
        }
    }

    pub(crate) const fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Returns what `count` tasks take that take this each.
    pub(crate) fn times(self, count: u32) -> Self {
        let count = u64::from(count);
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns how many of `need` fit.
    pub(crate) fn max_fitting(self, need: Self) -> u32 {
        let parts = [
            (self.cpu_milli, need.cpu_milli),
            (self.memory_mb, need.memory_mb),
            (self.gpus, need.gpus),
        ];
        let counts = parts.into_iter().filter(|(_, need)| *need > 0);
        let fewest = counts.map(|(have, need)| have / need).min();
        fewest
            .and_then(|fewest| u32::try_from(fewest).ok())
            .unwrap_or(u32::MAX)
    }

    /// Returns how many of `need` fit under this quota, in which 0 stands for no limit, beside what is used.
    pub(crate) fn max_fitting_in_quota(self, used: Self, need: Self) -> u32 {
        let limited = |most: u64, need: u64| if most == 0 { 0 } else { need };
        let need = Self {
            cpu_milli: limited(self.cpu_milli, need.cpu_milli),
            memory_mb: limited(self.memory_mb, need.memory_mb),
            gpus: limited(self.gpus, need.gpus),
        };
        self.minus(used).max_fitting(need)
    }
}
