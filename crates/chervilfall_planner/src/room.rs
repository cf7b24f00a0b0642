//! Room of endpoints, and what tasks take of it.

use crate::endpoint::EndpointEntry;
use crate::job::Step;

/// Room of an endpoint, or what a task takes of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Room {
    pub(crate) cpu_milli: u32,
    pub(crate) memory_mb: u32,
    pub(crate) gpus: u32,
}

impl Room {
    pub(crate) fn of_entry(entry: &EndpointEntry) -> Self {
        Self {
            cpu_milli: entry.cpu_milli,
            memory_mb: entry.memory_mb,
            gpus: entry.gpus,
        }
    }

    pub(crate) fn of_step(step: &Step) -> Self {
        Self {
            cpu_milli: if step.fills { 0 } else { step.cpu_milli },
            memory_mb: step.memory_mb,
            gpus: step.gpus,
        }
    }

    pub(crate) const fn holds(self, need: Self) -> bool {
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
    pub(crate) const fn times(self, count: u32) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns how many of `need` fit.
    pub(crate) fn fits(self, need: Self) -> u32 {
        let parts = [
            (self.cpu_milli, need.cpu_milli),
            (self.memory_mb, need.memory_mb),
            (self.gpus, need.gpus),
        ];
        let counts = parts.into_iter().filter(|(_, need)| *need > 0);
        counts
            .map(|(have, need)| have / need)
            .min()
            .unwrap_or(u32::MAX)
    }
}
