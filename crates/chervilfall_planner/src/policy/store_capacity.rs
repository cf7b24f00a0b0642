//! Rate at which the store can take new jobs, from the commits that it has stored recently.
//!
//! The rate of the jobs that were stored is lower: a batch may have had room that nothing used, and
//! other changes use more of some batches than of others.

use std::collections::VecDeque;

use crate::ids::Millis;

/// Number of recent commits that the rows for new jobs follow from. The ends of jobs that were
/// stored together come in a wave, which leaves few rows for new jobs in several commits in a row.
const RECENT_COMMITS: usize = 8;
/// Number of recent commits that the time between commits follows from. One slow commit is no rate.
const TIMED_COMMITS: usize = 3;

/// A stored commit, as far as the capacity for new jobs follows from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredCommit {
    /// Time from its sending to the next commit.
    pub interval_ms: Millis,
    /// Rows that new jobs used or could have used.
    pub rows_for_jobs: usize,
}

/// Capacity of the store for new jobs.
#[derive(Debug, Clone, Default)]
pub struct StoreCapacity {
    recent: VecDeque<StoredCommit>,
    short_since_ms: Option<Millis>,
}

impl StoreCapacity {
    /// Records a stored commit.
    pub fn note(&mut self, commit: StoredCommit) {
        if self.recent.len() == RECENT_COMMITS {
            self.recent.pop_back();
        }
        self.recent.push_front(commit);
    }

    /// Records whether a commit that was just sent has left new jobs over.
    pub fn note_left_over(&mut self, now: Millis, left_over: bool) {
        self.short_since_ms = left_over.then(|| self.short_since_ms.unwrap_or(now));
    }

    /// Returns whether each commit of the last `recovery_ms` has left new jobs over. Before, the
    /// store may recover while a job waits. All that wait are then stored at once, and until then
    /// they cost no commit.
    #[must_use]
    pub fn stays_short(&self, now: Millis, recovery_ms: Millis) -> bool {
        let since_ms = self.short_since_ms;
        since_ms.is_some_and(|since_ms| now.saturating_sub(since_ms) >= recovery_ms)
    }

    /// Returns the expected time from one commit to the next, or 0 if too little is known. It is the
    /// shortest of the latest ones, because the store may have recovered.
    #[must_use]
    pub fn interval_ms(&self) -> Millis {
        if self.recent.len() < TIMED_COMMITS {
            return 0;
        }
        let latest = self.recent.iter().take(TIMED_COMMITS);
        let shortest_ms = latest.map(|commit| commit.interval_ms).min();
        shortest_ms.unwrap_or(0)
    }

    /// Returns the time until new jobs with `rows_ahead` rows are in commits, if the commit in
    /// flight was sent `in_flight_ms` ago. It is 0 if too little is known, or if they all fit the
    /// next commit.
    #[must_use]
    pub fn wait_ms(&self, in_flight_ms: Option<Millis>, rows_ahead: usize) -> Millis {
        let rows: usize = self.recent.iter().map(|commit| commit.rows_for_jobs).sum();
        let commits = (rows_ahead * self.recent.len()).checked_div(rows);
        let Some(commits) = commits.filter(|commits| *commits > 0) else {
            return 0;
        };
        let interval_ms = self.interval_ms();
        let left_ms = in_flight_ms.map_or(0, |sent_ms| interval_ms.saturating_sub(sent_ms));
        left_ms + interval_ms.saturating_mul(commits as Millis)
    }
}
