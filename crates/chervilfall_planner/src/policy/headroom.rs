//! Headroom that latency-tolerant work leaves for latency-sensitive work.
//!
//! A backlog of batch work immediately takes all capacity that becomes free, and a short request
//! that finds none is late before any does. Free capacity is therefore counted in slots of the size
//! of a latency-sensitive task. Latency-tolerant work first uses capacity outside the slots, and
//! takes slots only while enough of them stay open. Work that has waited for half of its objective
//! no longer has to leave headroom.

use crate::ids::Millis;
use crate::resources::Resources;

/// Number of slots, used and open, per latency-sensitive task at the recent peak. Such tasks arrive
/// in bursts of twice the usual rate.
const SLOT_FACTOR: f64 = 1.5;
/// Time in which a peak of latency-sensitive work decays.
const MEMORY_MS: f64 = 10_000.0;
/// Weight of a new task in the mean size of latency-sensitive tasks; about the last fifty count.
const SIZE_WEIGHT: f64 = 0.02;

/// Recent usage by latency-sensitive work.
#[derive(Debug, Clone, Default)]
pub(crate) struct Headroom {
    peak: f64,
    running: u32,
    noted_ms: Millis,
    cpu_milli: f64,
    memory_mb: f64,
}

/// Slots that are reserved as headroom for latency-sensitive work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeadroomSlots {
    /// Size of a slot: the mean size of latency-sensitive tasks, so that each one that ends opens a
    /// slot.
    pub(crate) size: Resources,
    /// Number of open slots.
    pub(crate) open: u32,
    /// Number of slots to leave open.
    pub(crate) min_open: u32,
}

impl Headroom {
    /// Records the start of a latency-sensitive task.
    pub(crate) fn note_start(&mut self, resources: Resources) {
        let weight = if self.cpu_milli > 0.0 {
            SIZE_WEIGHT
        } else {
            1.0
        };
        self.cpu_milli += weight * (resources.cpu_milli as f64 - self.cpu_milli);
        self.memory_mb += weight * (resources.memory_mb as f64 - self.memory_mb);
    }

    /// Records how many latency-sensitive tasks are running.
    pub(crate) fn note_running(&mut self, now: Millis, running: u32) {
        let passed = now.saturating_sub(self.noted_ms) as f64 / MEMORY_MS;
        self.noted_ms = now;
        self.running = running;
        self.peak = (self.peak * (1.0 - passed.min(1.0))).max(f64::from(running));
    }

    /// Returns the slots to reserve on endpoints with these free resources; none if there is no
    /// latency-sensitive work.
    pub(crate) fn slots(&self, free: impl Iterator<Item = Resources>) -> Option<HeadroomSlots> {
        // Sizes and numbers of tasks are far below the limits of the integer type.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = |value: f64| value as u64;
        let target = whole((self.peak * SLOT_FACTOR).ceil());
        let target = u32::try_from(target).unwrap_or(u32::MAX);
        let min_open = target.saturating_sub(self.running);
        if min_open == 0 || self.cpu_milli < 1.0 {
            return None;
        }
        let size = Resources {
            cpu_milli: whole(self.cpu_milli),
            memory_mb: whole(self.memory_mb),
            gpus: 0,
        };
        let open = free.map(|free| free.max_fitting(size)).sum();
        Some(HeadroomSlots {
            size,
            open,
            min_open,
        })
    }
}

impl HeadroomSlots {
    /// Returns the part of the free resources of an endpoint that lies outside its slots.
    pub(crate) fn outside(&self, free: Resources) -> Resources {
        free.minus(self.size.times(free.max_fitting(self.size)))
    }

    /// Returns the maximum number of tasks that need `need` each and may be placed into slots.
    pub(crate) fn max_tasks_inside(&self, need: Resources) -> u32 {
        let spare = self.open.saturating_sub(self.min_open);
        self.size.times(spare).max_fitting(need)
    }

    /// Records that a task was placed into slots of an endpoint.
    pub(crate) fn occupy(&mut self, free_before: Resources, need: Resources) {
        let left = free_before.minus(need).max_fitting(self.size);
        let closed = free_before.max_fitting(self.size).saturating_sub(left);
        self.open = self.open.saturating_sub(closed);
    }
}
