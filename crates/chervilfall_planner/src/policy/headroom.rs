//! Room that patient work leaves for hurried work.
//!
//! Batch work with a backlog fills every hole at once, and a short request that finds no room is late before
//! one opens. So patient work goes into holes that are too small for hurried tasks, and into larger ones only
//! while enough of these are left. Work that has waited for half of its objective is patient no longer.

use crate::ids::Millis;
use crate::resources::Resources;

/// Holes for hurried work, used and open, for each hurried task of the most that were at work lately: they
/// come in bursts of twice the usual rate.
const KEEP_FACTOR: f64 = 1.5;
/// Time in which a peak of hurried work is forgotten.
const MEMORY_MS: f64 = 10_000.0;
/// Weight of a new task in the size of hurried tasks: about the last fifty count.
const SIZE_WEIGHT: f64 = 0.02;

/// What hurried work has used lately.
#[derive(Debug, Clone, Default)]
pub(crate) struct Headroom {
    peak: f64,
    running: u32,
    noted_ms: Millis,
    cpu_milli: f64,
    memory_mb: f64,
}

/// Holes that patient work is to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeadroomSlots {
    /// Size of a hole: the mean size of hurried tasks, so that one that ends leaves a hole.
    pub(crate) size: Resources,
    /// Holes that are open.
    pub(crate) open: u32,
    /// Holes to leave open.
    pub(crate) keep: u32,
}

impl Headroom {
    /// Notes that a hurried task is started.
    pub(crate) fn note_start(&mut self, resources: Resources) {
        let weight = if self.cpu_milli > 0.0 {
            SIZE_WEIGHT
        } else {
            1.0
        };
        self.cpu_milli += weight * (resources.cpu_milli as f64 - self.cpu_milli);
        self.memory_mb += weight * (resources.memory_mb as f64 - self.memory_mb);
    }

    /// Notes how many hurried tasks are at work.
    pub(crate) fn note_running(&mut self, now: Millis, running: u32) {
        let passed = now.saturating_sub(self.noted_ms) as f64 / MEMORY_MS;
        self.noted_ms = now;
        self.running = running;
        self.peak = (self.peak * (1.0 - passed.min(1.0))).max(f64::from(running));
    }

    /// Returns the holes to leave among endpoints with this free room; none if there is no hurried work.
    pub(crate) fn slots(&self, free: impl Iterator<Item = Resources>) -> Option<HeadroomSlots> {
        // Sizes of tasks and their number fit many times.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = |value: f64| value as u64;
        let wanted = whole((self.peak * KEEP_FACTOR).ceil());
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        let keep = wanted.saturating_sub(self.running);
        if keep == 0 || self.cpu_milli < 1.0 {
            return None;
        }
        let size = Resources {
            cpu_milli: whole(self.cpu_milli),
            memory_mb: whole(self.memory_mb),
            gpus: 0,
        };
        let open = free.map(|free| free.max_fitting(size)).sum();
        Some(HeadroomSlots { size, open, keep })
    }
}

impl HeadroomSlots {
    /// Returns what is left of free room beside its holes.
    pub(crate) fn beside(&self, free: Resources) -> Resources {
        free.minus(self.size.times(free.max_fitting(self.size)))
    }

    /// Returns how many tasks that need `need` may be put into holes.
    pub(crate) fn tasks(&self, need: Resources) -> u32 {
        let spare = self.open.saturating_sub(self.keep);
        self.size.times(spare).max_fitting(need)
    }

    /// Notes that a task was put into holes.
    pub(crate) fn fill(&mut self, free_before: Resources, need: Resources) {
        let left = free_before.minus(need).max_fitting(self.size);
        let closed = free_before.max_fitting(self.size).saturating_sub(left);
        self.open = self.open.saturating_sub(closed);
    }
}
