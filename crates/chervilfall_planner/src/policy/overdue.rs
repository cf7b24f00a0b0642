//! Capacity that work without remaining worth leaves to other work.
//!
//! Overdue work ranks last, but it could still take capacity that a better-ranked step of its
//! service cannot start on in this pass: because its call for advice is in flight, because it is a
//! gang that needs more, or because it leaves headroom. Each such step therefore has a claim, and
//! overdue work starts only on what the claims leave over.

use crate::ids::Millis;
use crate::resources::Resources;

/// Multiple of its need that a step with advice claims, because the advice service may allow it as
/// little as a quarter of the endpoints.
const ADVICE_CLAIM_FACTOR: u32 = 4;

/// Returns whether a job has worth at a time since it began. Jobs without an objective always do.
#[must_use]
pub const fn has_worth(waited_ms: Millis, worthless_ms: Millis) -> bool {
    worthless_ms == 0 || waited_ms < worthless_ms
}

/// Claims of the steps of a service that wait with worth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Claims {
    claimed: Resources,
    /// Less than a task of any of the steps needs; none without a step.
    smallest: Option<Resources>,
}

impl Claims {
    /// Adds the claim of a step that waits with `tasks` tasks of `need` each.
    pub fn add(&mut self, need: Resources, tasks: u32, with_advice: bool) {
        if tasks == 0 {
            return;
        }
        let factor = if with_advice { ADVICE_CLAIM_FACTOR } else { 1 };
        self.claimed = self.claimed.add(need.times(tasks.saturating_mul(factor)));
        self.smallest = Some(self.smallest.map_or(need, |smallest| smallest.min(need)));
    }

    /// Returns the resources that the steps claim.
    #[must_use]
    pub const fn claimed(&self) -> Resources {
        self.claimed
    }

    /// Returns whether no step waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.smallest.is_none()
    }

    /// Returns whether a step that waits could use an endpoint with these free resources.
    #[must_use]
    pub fn can_use(&self, free: Resources) -> bool {
        self.smallest.is_some_and(|smallest| free.can_fit(smallest))
    }

    /// Returns how many tasks of `need` each fit beside the claims on endpoints that steps with
    /// claims could use, with `free` resources altogether.
    #[must_use]
    pub fn tasks_beside(&self, free: Resources, need: Resources) -> u32 {
        free.minus(self.claimed).max_fitting(need)
    }
}
