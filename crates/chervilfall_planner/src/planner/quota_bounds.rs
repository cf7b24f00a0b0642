//! Refuses jobs that the quotas of their accounts cannot serve while they have worth.

use crate::ids::Millis;
use crate::planner::accounts::AccountKey;
use crate::planner::Planner;
use crate::policy::admission::{ForecastRefusal, RefusalCause};
use crate::policy::estimates::certain_ms;
use crate::policy::order::OVERDUE_FACTOR;
use crate::policy::quota_bound::{acceptable_after_ms, Work};
use crate::resources::Resources;
use crate::tasks::{Job, StepKey, StepProgress};

impl Planner {
    /// Decides whether an account's quota allows a submitted job besides what was accepted for the
    /// account, and records the least time that all of it takes.
    pub(super) fn check_quota(&self, job: &mut Job) -> Option<ForecastRefusal> {
        let account = job.account?;
        let objective_ms = self.submission_times(job).objective_ms?;
        let quota = self.accounts.quota(account);
        if quota == Resources::default() {
            return None;
        }
        let least_ms = self
            .accepted_work(account, job)
            .add(remaining_work(job))
            .least_ms(quota);
        job.quota_ms = Some(least_ms);
        let worthless_ms = objective_ms.saturating_mul(OVERDUE_FACTOR);
        let passes_ms = acceptable_after_ms(least_ms, worthless_ms)?;
        self.limits.policies.quota_bound.then_some(ForecastRefusal {
            cause: RefusalCause::Quota,
            passes_ms,
        })
    }

    /// Returns the work of an account's accepted jobs that is not begun, and does not rank behind
    /// that of `job` permanently. A job that ranks behind only because it has become late counts: its
    /// caller was told that it will be done.
    fn accepted_work(&self, account: AccountKey, job: &Job) -> Work {
        let jobs = self.jobs.values();
        let ahead = jobs.filter(|other| {
            other.account == Some(account)
                && other.outcome.is_none()
                && (other.beyond, other.queue.priority) <= (job.beyond, job.queue.priority)
        });
        ahead.fold(Work::default(), |sum, other| sum.add(remaining_work(other)))
    }
}

/// Returns the certain part of a job's work that is not begun. Services, and occurrences that are
/// not due yet, have none.
fn remaining_work(job: &Job) -> Work {
    if job.long_running || job.spec.repeat_count > 0 {
        return Work::default();
    }
    let steps = (0_u16..).zip(&job.spec.steps);
    steps.fold(Work::default(), |sum, (index, step)| {
        let key = StepKey {
            job: job.id,
            occurrence: 0,
            step: index,
        };
        let waiting = job
            .step_progress(key)
            .map_or(step.count, StepProgress::waiting);
        let certain_ms: Millis = certain_ms(step.estimate_ms);
        let usage = Resources::charged_to_account(step).times(waiting);
        sum.add(Work::new(usage, certain_ms))
    })
}
