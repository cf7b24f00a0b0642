//! Client accounts: who hands jobs in, and how much of the endpoints their tasks may use.

use serde::{Deserialize, Serialize};

use crate::job::Step;

/// Name of a client account.
pub type AccountName = String;

/// What runs use of the endpoints, or may use; 0 stands for no limit then.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Usage {
    /// Returns what a task of a step uses.
    pub(crate) fn of_step(step: &Step) -> Self {
        Self {
            cpu_milli: u64::from(step.cpu_milli),
            memory_mb: u64::from(step.memory_mb),
            gpus: u64::from(step.gpus),
        }
    }

    pub(crate) const fn plus(self, other: Self) -> Self {
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

    pub(crate) const fn times(self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli * count,
            memory_mb: self.memory_mb * count,
            gpus: self.gpus * count,
        }
    }

    /// Returns how many tasks that use `need` each may run under this quota beside those that use `used`.
    pub(crate) fn room_for(self, need: Self, used: Self) -> u32 {
        let left = |most: u64, used: u64, need: u64| {
            if most == 0 || need == 0 {
                u64::MAX
            } else {
                most.saturating_sub(used) / need
            }
        };
        let fewest = left(self.cpu_milli, used.cpu_milli, need.cpu_milli)
            .min(left(self.memory_mb, used.memory_mb, need.memory_mb))
            .min(left(self.gpus, used.gpus, need.gpus));
        u32::try_from(fewest).unwrap_or(u32::MAX)
    }
}

/// A client account, as the configuration has it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its name.
    pub name: AccountName,
    /// Jobs a second that are its share when all endpoints are in use; 0 for no bound.
    pub weight: f64,
    /// Most that its tasks may use at the same time.
    pub quota: Usage,
}
