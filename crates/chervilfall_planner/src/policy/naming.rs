//! Order in which a call for advice names endpoints.
//!
//! A task can start only on endpoints that a call named. Short requests that name the endpoints
//! with the most free capacity also start there, and split the large free blocks that gangs need.

use std::cmp::Reverse;

/// Which endpoints with enough free resources for a task are named first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamingOrder {
    /// Those with the least free CPU, which leaves large free blocks to wide work.
    LeastFree,
    /// Those with the most free CPU, of which something is still free when a slow call ends.
    MostFree,
}

/// An endpoint that a call may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamingCandidate {
    /// It has free resources for a task of the step.
    pub fits: bool,
    /// Rank of its speed class for the step; the lowest is preferred.
    pub speed_rank: i8,
    /// Its free CPU.
    pub free_cpu_milli: u64,
}

/// Position of an endpoint in a call; the lowest is named first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct NamingRank {
    lacks_capacity: bool,
    speed_rank: i8,
    by_free_cpu: (u64, Reverse<u64>),
}

impl NamingOrder {
    /// Returns the order for a call. Capacity seldom changes during a fast call.
    #[must_use]
    pub const fn new(slow_call: bool) -> Self {
        if slow_call {
            Self::MostFree
        } else {
            Self::LeastFree
        }
    }

    /// Returns the rank of a candidate. Among those that lack capacity, the ones with the most free
    /// CPU come first in either order, because they will have enough soonest.
    #[must_use]
    pub const fn rank(self, candidate: NamingCandidate) -> NamingRank {
        let free = candidate.free_cpu_milli;
        let packs = candidate.fits && matches!(self, Self::LeastFree);
        NamingRank {
            lacks_capacity: !candidate.fits,
            speed_rank: candidate.speed_rank,
            by_free_cpu: if packs {
                (free, Reverse(0))
            } else {
                (0, Reverse(free))
            },
        }
    }
}
