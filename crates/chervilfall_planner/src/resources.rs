//! Resources of endpoints, usage by tasks and quotas of client accounts.

use serde::{Deserialize, Serialize};

use crate::endpoint::EndpointEntry;
use crate::job::Step;

/// Resources of an endpoint, or the amount that tasks use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
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

    /// Returns the resources that a task of a step reserves on its endpoint.
    pub(crate) fn of_step(step: &Step) -> Self {
        Self {
            cpu_milli: if step.fills { 0 } else { step.cpu_milli.into() },
            ..Self::charged_to_account(step)
        }
    }

    /// Returns the resources that a task of a step is charged for: all that it requests, even if it
    /// reserves no CPU and only uses what others leave over.
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

    /// Returns the smaller amount of each resource.
    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Returns the larger amount of each resource.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns the resources of `count` tasks that use this amount each.
    pub(crate) fn times(self, count: u32) -> Self {
        let count = u64::from(count);
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns how many times `need` fits.
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

    /// Returns how many times `need` fits under this quota in addition to `used`. In a quota, 0
    /// means no limit.
    pub(crate) fn max_fitting_in_quota(self, used: Self, need: Self) -> u32 {
        let limited = |limit: u64, need: u64| if limit == 0 { 0 } else { need };
        let need = Self {
            cpu_milli: limited(self.cpu_milli, need.cpu_milli),
            memory_mb: limited(self.memory_mb, need.memory_mb),
            gpus: limited(self.gpus, need.gpus),
        };
        self.minus(used).max_fitting(need)
    }
}
