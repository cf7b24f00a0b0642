//! How many jobs of each queue wait for their first start, as callers are told.

use std::collections::BTreeMap;

use crate::config::QueueName;
use crate::ids::Millis;
use crate::planner::Planner;

/// Jobs of a group for each millisecond between two counts, which bounds the part of the holder's time
/// that counting takes. In a small group each answer is exact.
const JOBS_PER_MS: usize = 40;

/// The latest counts.
#[derive(Debug, Default)]
pub(super) struct WaitingCounts {
    counted_ms: Option<Millis>,
    by_queue: BTreeMap<QueueName, u64>,
}

impl Planner {
    /// Returns how many jobs of a queue wait for their first start, as of a short time ago.
    pub(super) fn waiting_jobs(&mut self, queue: &str) -> u64 {
        let valid_ms = (self.jobs.len() / JOBS_PER_MS) as Millis;
        let counted_ms = self.waiting_counts.counted_ms;
        if counted_ms.is_none_or(|counted_ms| self.now.saturating_sub(counted_ms) >= valid_ms) {
            self.count_waiting_jobs();
        }
        let count = self.waiting_counts.by_queue.get(queue);
        count.copied().unwrap_or(0)
    }

    fn count_waiting_jobs(&mut self) {
        let counts = &mut self.waiting_counts;
        counts.counted_ms = Some(self.now);
        counts.by_queue.clear();
        for job in self.jobs.values() {
            if !job.stored || job.outcome.is_some() || job.started {
                continue;
            }
            match counts.by_queue.get_mut(&job.queue.name) {
                Some(count) => *count += 1,
                None => {
                    counts.by_queue.insert(job.queue.name.clone(), 1);
                }
            }
        }
    }
}
