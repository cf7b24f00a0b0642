//! Choice of the changes that go into the next commit.
//!
//! A commit holds a limited number of rows. If the store is slow, more changes wait than one commit
//! holds, and some of them are worth nothing once they are stored late. Those that are still in time
//! for their callers therefore go first.

use crate::ids::{JobId, Millis};
use crate::policy::order::OVERDUE_FACTOR;

/// Thirds of a commit that are reserved for the progress of earlier jobs, as far as there is any.
/// Without the reserve, jobs would be accepted faster than their ends can be stored.
const PROGRESS_THIRDS: usize = 2;
/// Number of commits without a change after which it precedes all others, so that none starves.
const MAX_MISSED_COMMITS: u32 = 3;

/// How the changes of a commit are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOrder {
    /// In order of arrival; submissions never use the rows reserved for progress.
    Arrival,
    /// By urgency if more waits than one commit holds; unused reserved rows go to submissions.
    Urgency,
}

/// Whether a change is still in time for the caller of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The job can end within its objective.
    InTime,
    /// The job will be late.
    Late,
    /// The job has lost all its value to its caller.
    Overdue,
}

/// Times of a job from which its timeliness follows.
#[derive(Debug, Clone, Copy)]
pub struct JobTiming {
    /// Time since its submission.
    pub age_ms: Millis,
    /// Lower bound for the time from the end of the commit to the end of the job.
    pub min_remaining_ms: Millis,
    /// Time after its submission within which it should end.
    pub objective_ms: Millis,
}

impl JobTiming {
    /// Returns the timeliness of a job whose change is stored in `commit_ms`.
    fn timeliness(self, commit_ms: Millis) -> Timeliness {
        let ends_ms = self.age_ms + commit_ms + self.min_remaining_ms;
        // Work without an objective is never late.
        if self.objective_ms == 0 || ends_ms < self.objective_ms {
            Timeliness::InTime
        } else if ends_ms < self.objective_ms.saturating_mul(OVERDUE_FACTOR) {
            Timeliness::Late
        } else {
            Timeliness::Overdue
        }
    }
}

/// A submission that waits for a commit.
#[derive(Debug, Clone, Copy)]
pub struct WaitingSubmission {
    /// The job.
    pub id: JobId,
    /// It exceeds its account's share, and ranks behind all other work.
    pub beyond: bool,
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Times of the job.
    pub timing: JobTiming,
    /// Rows that storing it takes.
    pub rows: usize,
    /// Commits that were sent without it while it waited.
    pub missed_commits: u32,
}

/// What a change of a job's progress is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgressKind {
    /// A cancelling caller or an announced start waits for it.
    Awaited,
    /// The job has ended.
    Ended,
    /// The job goes on. Its next change, often its end, makes this one unnecessary.
    Partial,
}

/// Progress of a job that waits for a commit.
#[derive(Debug, Clone, Copy)]
pub struct WaitingProgress {
    /// The job.
    pub id: JobId,
    /// What the change is for.
    pub kind: ProgressKind,
    /// Times of the job.
    pub timing: JobTiming,
    /// Rows that storing it takes.
    pub rows: usize,
    /// Rows that storing it takes at least, if the rest is left to a later commit.
    pub min_rows: usize,
    /// Commits that were sent without it while it waited.
    pub missed_commits: u32,
}

/// All changes of jobs that wait for a commit, each kind in order of arrival.
#[derive(Debug, Default)]
pub struct WaitingChanges {
    /// Submissions.
    pub submissions: Vec<WaitingSubmission>,
    /// Progress of earlier jobs.
    pub progress: Vec<WaitingProgress>,
}

/// Changes chosen for a commit, in the order in which they are added to it.
#[derive(Debug, PartialEq, Eq)]
pub struct CommitPlan {
    /// Jobs whose submissions are stored.
    pub submissions: Vec<JobId>,
    /// Rows that submissions could use if more waited than the commit holds.
    pub submission_rows: usize,
    /// Jobs whose progress is stored.
    pub progress: Vec<JobId>,
    /// More waits than the commit holds, so ends take as few rows as possible.
    pub under_pressure: bool,
}

/// Progress ranks by this; the lowest is stored first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ProgressRank {
    Starved,
    Awaited,
    Ended(Timeliness),
    Partial,
}

impl WaitingProgress {
    fn rank(&self, commit_ms: Millis) -> ProgressRank {
        match self.kind {
            _ if self.missed_commits >= MAX_MISSED_COMMITS => ProgressRank::Starved,
            ProgressKind::Awaited => ProgressRank::Awaited,
            ProgressKind::Ended => ProgressRank::Ended(self.timing.timeliness(commit_ms)),
            ProgressKind::Partial => ProgressRank::Partial,
        }
    }
}

/// Submissions rank by this; the lowest is stored first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SubmissionRank {
    Starved,
    Waiting {
        beyond: bool,
        timeliness: Timeliness,
        priority: u32,
    },
}

impl WaitingSubmission {
    /// Returns whether it goes into a commit before or with a submission that arrives now.
    #[must_use]
    pub fn precedes(&self, arriving: &Self, order: CommitOrder, commit_ms: Millis) -> bool {
        order == CommitOrder::Arrival || self.rank(commit_ms) <= arriving.rank(commit_ms)
    }

    fn rank(&self, commit_ms: Millis) -> SubmissionRank {
        if self.missed_commits >= MAX_MISSED_COMMITS {
            return SubmissionRank::Starved;
        }
        SubmissionRank::Waiting {
            beyond: self.beyond,
            timeliness: self.timing.timeliness(commit_ms),
            priority: self.priority,
        }
    }
}

/// Sorts submissions that arrived in this order by when they go into a commit under pressure.
pub fn sort_submissions(
    submissions: &mut [WaitingSubmission],
    order: CommitOrder,
    commit_ms: Millis,
) {
    if order == CommitOrder::Urgency {
        submissions.sort_by_key(|waiting| waiting.rank(commit_ms));
    }
}

impl WaitingChanges {
    /// Returns whether more waits than a commit of `rows` rows holds. A change that has missed a
    /// commit shows the same, also if the bytes of a commit are what limits it.
    fn exceed(&self, rows: usize) -> bool {
        let submissions = self.submissions.iter();
        let submissions = submissions.map(|waiting| (waiting.rows, waiting.missed_commits));
        let progress = self.progress.iter();
        let progress = progress.map(|waiting| (waiting.rows, waiting.missed_commits));
        let mut waiting = submissions.chain(progress);
        let needed: usize = waiting.clone().map(|(rows, _)| rows).sum();
        needed > rows || waiting.any(|(_, missed_commits)| missed_commits > 0)
    }

    /// Returns how many of `rows` rows are reserved for progress if each change of it takes
    /// `progress_rows`.
    fn reserved_rows(
        &self,
        order: CommitOrder,
        rows: usize,
        progress_rows: impl Fn(&WaitingProgress) -> usize,
    ) -> usize {
        let wanted: usize = match order {
            CommitOrder::Arrival if self.progress.is_empty() => 0,
            CommitOrder::Arrival => rows,
            CommitOrder::Urgency => self.progress.iter().map(progress_rows).sum(),
        };
        wanted.min(rows * PROGRESS_THIRDS / 3)
    }

    /// Chooses the changes of a commit that has room for `rows` rows and is expected to take
    /// `commit_ms`.
    #[must_use]
    pub fn choose(mut self, order: CommitOrder, rows: usize, commit_ms: Millis) -> CommitPlan {
        let under_pressure = order == CommitOrder::Urgency && self.exceed(rows);
        if under_pressure {
            sort_submissions(&mut self.submissions, order, commit_ms);
            self.progress.sort_by_key(|waiting| waiting.rank(commit_ms));
        }
        let progress_rows = |waiting: &WaitingProgress| {
            if under_pressure {
                waiting.min_rows
            } else {
                waiting.rows
            }
        };
        let reserved = self.reserved_rows(order, rows, progress_rows);
        let reserved_under_pressure = self.reserved_rows(order, rows, |waiting| waiting.min_rows);
        let submission_rows = rows - reserved_under_pressure;
        let mut left = rows - reserved;
        let submissions = self.submissions.iter();
        let submissions = submissions.take_while(|waiting| take(&mut left, waiting.rows));
        let submissions = submissions.map(|waiting| waiting.id).collect();
        left += reserved;
        let progress = self.progress.iter();
        let progress = progress.take_while(|waiting| take(&mut left, progress_rows(waiting)));
        CommitPlan {
            submissions,
            submission_rows,
            progress: progress.map(|waiting| waiting.id).collect(),
            under_pressure,
        }
    }
}

/// Takes `rows` from what is left and returns whether they fit.
fn take(left: &mut usize, rows: usize) -> bool {
    let rest = left.checked_sub(rows);
    *left = rest.unwrap_or(*left);
    rest.is_some()
}
