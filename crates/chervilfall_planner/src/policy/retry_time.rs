//! Times after which refused callers should retry, and what the holder remembers of its refusals.
//!
//! Callers that are refused together and told the same time return together, and are refused
//! again. Each is therefore told a time of its own, and is accepted if it keeps to it.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{JobId, Millis};

/// Shortest time told: several round trips of a caller.
const MIN_MS: Millis = 200;
/// Longest time told. Forecasts are not good for longer.
const MAX_MS: Millis = 10_000;
/// Limit of the jitter that the least urgent priorities approach, in thousandths of the time.
const MAX_JITTER_PERMILLE: Millis = 500;
/// Shortest time told if there is no holder. A takeover takes about a second.
const NO_HOLDER_MIN_MS: Millis = 500;
/// Range of the times told if there is no holder.
const NO_HOLDER_RANGE_MS: Millis = 1_000;
/// How long after its retry time a refusal is remembered.
const REMEMBERED_MS: Millis = 3_000;
/// Maximum number of remembered refusals. At the rates of a large fleet that is half a minute of
/// refusals, more than the longest retry time.
const MAX_REMEMBERED: usize = 4_096;

/// Returns a number below `range` that depends on the job only.
fn spread(id: JobId, range: Millis) -> Millis {
    (id.spread_hash() >> u32::BITS) % range.max(1)
}

/// Returns when a refused caller should retry, for a cause that passes after `passes_ms`. The more
/// urgent the priority, the smaller the jitter.
#[must_use]
pub fn retry_ms(passes_ms: Millis, id: JobId, priority: u32) -> Millis {
    let base_ms = passes_ms.clamp(MIN_MS, MAX_MS);
    let priority = Millis::from(priority);
    let jitter_permille = MAX_JITTER_PERMILLE * (priority + 1) / (priority + 2);
    base_ms + spread(id, base_ms * jitter_permille / 1_000 + 1)
}

/// Returns when a caller should retry that was refused because there is no holder.
#[must_use]
pub fn no_holder_retry_ms(id: JobId) -> Millis {
    NO_HOLDER_MIN_MS + spread(id, NO_HOLDER_RANGE_MS + 1)
}

/// How a submission relates to an earlier refusal of the same job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// No refusal of it is remembered.
    First,
    /// It came sooner than its caller was told.
    Early {
        /// Time until it should come.
        left_ms: Millis,
    },
    /// It came as told.
    AsTold,
}

/// Refused jobs whose callers were told when to retry.
#[derive(Debug, Clone, Default)]
pub struct RefusalMemory {
    retry_at_ms: BTreeMap<JobId, Millis>,
    by_time: BTreeSet<(Millis, JobId)>,
}

impl RefusalMemory {
    /// Records a refusal, and returns when the caller should retry: after `retry_ms`, or at the time
    /// that it was told before and came too early for.
    pub fn remember(&mut self, id: JobId, now: Millis, retry_ms: Millis) -> Millis {
        if let Attempt::Early { left_ms } = self.attempt(id, now) {
            return left_ms.max(MIN_MS);
        }
        self.forget(id);
        self.forget_old(now);
        if self.retry_at_ms.len() < MAX_REMEMBERED {
            let retry_at_ms = now + retry_ms;
            self.retry_at_ms.insert(id, retry_at_ms);
            self.by_time.insert((retry_at_ms, id));
        }
        retry_ms
    }

    /// Returns how a submission relates to the refusals.
    #[must_use]
    pub fn attempt(&self, id: JobId, now: Millis) -> Attempt {
        match self.retry_at_ms.get(&id) {
            Some(at_ms) if now < *at_ms => Attempt::Early {
                left_ms: at_ms - now,
            },
            Some(at_ms) if now < at_ms + REMEMBERED_MS => Attempt::AsTold,
            _ => Attempt::First,
        }
    }

    /// Forgets the refusal of a job that is accepted.
    pub fn forget(&mut self, id: JobId) {
        if let Some(at_ms) = self.retry_at_ms.remove(&id) {
            self.by_time.remove(&(at_ms, id));
        }
    }

    fn forget_old(&mut self, now: Millis) {
        while let Some((at_ms, id)) = self.by_time.first().copied() {
            if now < at_ms + REMEMBERED_MS {
                return;
            }
            self.forget(id);
        }
    }
}
