//! Memory of the jobs that a holder knows: those that wait or run, and those that can still be asked
//! for.

use crate::action::Answer;
use crate::ids::JobId;
use crate::planner::requests::RETRY_MS;
use crate::planner::Planner;
use crate::tasks::Job;

/// Jobs that take no more than this count as small, in bytes.
const SMALL_JOB_BYTES: u64 = 16_384;
/// One in this many parts of the memory is kept for small jobs.
const SMALL_JOB_PART: u64 = 4;
/// Log line of a refusal because of it.
const MEMORY_EVENT: &str = "refused, jobs take all memory that they may";

impl Planner {
    pub(super) fn insert_job(&mut self, job: Job) {
        self.job_bytes += job.memory_bytes;
        if let Some(replaced) = self.jobs.insert(job.id, job) {
            self.job_bytes -= replaced.memory_bytes;
        }
    }

    pub(super) fn remove_job(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.job_bytes -= job.memory_bytes;
        Some(job)
    }

    /// Refuses a job if there is no memory for it.
    pub(super) fn refuse_by_memory(&self, job: &Job) -> Option<Answer> {
        let max = self.limits.max_job_bytes;
        let max = if job.memory_bytes <= SMALL_JOB_BYTES {
            max
        } else {
            max - max / SMALL_JOB_PART
        };
        if self.job_bytes + job.memory_bytes <= max {
            return None;
        }
        let retry_ms = self.spread_unremembered_retry_ms(job, RETRY_MS);
        self.record_refusal(job, "memory", retry_ms, MEMORY_EVENT);
        Some(Answer::Refused { retry_ms })
    }
}
