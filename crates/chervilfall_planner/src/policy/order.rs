//! Order in which steps that wait are offered room.

use crate::tasks::Job;

/// Rank of a job; the lowest is offered room first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    priority: u32,
    accepted_unix_ms: u64,
}

/// Returns the rank: by priority, then first come, first served.
pub(crate) const fn rank(job: &Job) -> Rank {
    Rank {
        priority: job.queue.priority,
        accepted_unix_ms: job.accepted_unix_ms,
    }
}
