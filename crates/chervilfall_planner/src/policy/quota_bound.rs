//! Least time in which an account's quota allows the work that was accepted for it.
//!
//! Unlike a forecast, this needs no observed rate. The quota is a hard limit, so accepted work
//! divided by it is a lower bound of the time until all of it can be done.

use crate::ids::Millis;
use crate::resources::Resources;

/// Use of resources over time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// In thousandths of a core times milliseconds.
    cpu: u64,
    /// In megabytes times milliseconds.
    memory: u64,
    /// In accelerators times milliseconds.
    gpus: u64,
}

impl Work {
    /// Returns the work that uses these resources for a time.
    #[must_use]
    pub const fn new(resources: Resources, for_ms: Millis) -> Self {
        Self {
            cpu: resources.cpu_milli.saturating_mul(for_ms),
            memory: resources.memory_mb.saturating_mul(for_ms),
            gpus: resources.gpus.saturating_mul(for_ms),
        }
    }

    /// Returns the sum.
    #[must_use]
    pub const fn add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns the least time in which a quota allows the work. In a quota, 0 means no limit.
    #[must_use]
    pub fn least_ms(self, quota: Resources) -> Millis {
        let parts = [
            (self.cpu, quota.cpu_milli),
            (self.memory, quota.memory_mb),
            (self.gpus, quota.gpus),
        ];
        let limited = parts.into_iter().filter(|(_, quota)| *quota > 0);
        limited.map(|(work, quota)| work / quota).max().unwrap_or(0)
    }
}

/// Returns the time after which a job can be accepted whose account has accepted work for
/// `least_ms`, its own included; none if it can be accepted now. After `worthless_ms` its end has
/// no worth for its caller.
#[must_use]
pub const fn acceptable_after_ms(least_ms: Millis, worthless_ms: Millis) -> Option<Millis> {
    match least_ms.checked_sub(worthless_ms) {
        Some(0) | None => None,
        Some(after_ms) => Some(after_ms),
    }
}
