//! Quarantine of endpoints that fail part of their runs.
//!
//! [`crate::policy::quarantine`] detects endpoints that fail all of their runs. An endpoint that
//! fails half of them rarely fails three in a row, and a job has two or three attempts.

use std::collections::{BTreeSet, VecDeque};

use crate::ids::{JobId, Millis};
use crate::policy::quarantine::{pause_ms, QuarantineState};

/// Number of latest ends that count: enough to tell an endpoint that fails half of its runs.
const WINDOW: usize = 16;
/// Share of the runs that fail on a sound endpoint.
const SOUND_FAILURE_SHARE: f64 = 0.05;
/// An endpoint is unsound if a sound one would show its failures less often than this, as in
/// [`crate::policy::quarantine`].
const MAX_SOUND_PROBABILITY: f64 = 1.0 / 8_000.0;
/// Number of completed trials in a row that end the quarantine. An endpoint that fails half of its
/// runs passes this once in eight times.
const TRIALS: u32 = 3;
/// Reciprocal of the largest share of a pool that is quarantined at a time.
const POOL_FRACTION: usize = 5;

/// Returns the probability that a sound endpoint fails at least `failures` of `ends` runs.
fn sound_probability(ends: u32, failures: u32) -> f64 {
    let odds = SOUND_FAILURE_SHARE / (1.0 - SOUND_FAILURE_SHARE);
    let mut exactly = (0..ends).fold(1.0, |product, _| product * (1.0 - SOUND_FAILURE_SHARE));
    let mut fewer = 0.0;
    for count in 0..failures {
        fewer += exactly;
        exactly *= odds * f64::from(ends.saturating_sub(count)) / f64::from(count + 1);
    }
    (1.0 - fewer).max(0.0)
}

/// Returns whether an endpoint on which the runs of `failures` jobs have failed among `ends` ends
/// is unsound.
#[must_use]
pub fn is_unsound(ends: u32, failures: u32) -> bool {
    failures > 1 && sound_probability(ends, failures) < MAX_SOUND_PROBABILITY
}

/// The latest ends on an endpoint, and its quarantine.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailureShare {
    /// Jobs of the latest ends, and whether the run has failed.
    ends: VecDeque<(JobId, bool)>,
    /// Number of jobs of which a run has failed among them. Failures of one job count once, since
    /// the job may be at fault.
    failures: u32,
    pauses: u32,
    until_ms: Millis,
    completed_trials: u32,
}

impl FailureShare {
    /// Records the end of a run. Returns whether the quarantine has ended with it.
    pub(crate) fn record(&mut self, now: Millis, job: JobId, failed: bool) -> bool {
        if self.ends.len() == WINDOW {
            self.ends.pop_front();
        }
        self.ends.push_back((job, failed));
        self.failures = self.counts().1;
        if self.state(now) != QuarantineState::Trial {
            return false;
        }
        if failed {
            self.pause(now);
            return false;
        }
        self.completed_trials += 1;
        let ended = self.completed_trials >= TRIALS;
        if ended {
            *self = Self::default();
        }
        ended
    }

    /// Begins a pause, and returns its length.
    fn pause(&mut self, now: Millis) -> Millis {
        let pause_ms = pause_ms(self.pauses);
        self.pauses += 1;
        self.until_ms = now + pause_ms;
        self.completed_trials = 0;
        pause_ms
    }

    /// Returns the number of ends and of failures, each job's failures counted once.
    pub(crate) fn counts(&self) -> (u32, u32) {
        let failed = self.ends.iter().filter(|(_, failed)| *failed);
        let jobs: BTreeSet<JobId> = failed.clone().map(|(job, _)| *job).collect();
        let ends = self.ends.len() - failed.count() + jobs.len();
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        (count(ends), count(jobs.len()))
    }

    /// Returns the number of jobs of which a run has failed recently.
    pub(crate) const fn failures(&self) -> u32 {
        self.failures
    }

    pub(crate) const fn state(&self, now: Millis) -> QuarantineState {
        QuarantineState::after(self.pauses, self.until_ms, now)
    }

    const fn is_quarantined(&self) -> bool {
        self.pauses > 0
    }

    /// Returns whether it is quarantined or should be.
    pub(crate) fn is_candidate(&self) -> bool {
        // Most endpoints of a pool are sound, and this is asked of all of them.
        if self.failures < 2 {
            return self.is_quarantined();
        }
        let (ends, failures) = self.counts();
        self.is_quarantined() || is_unsound(ends, failures)
    }

    /// Ends the quarantine, but keeps what is known of the latest ends.
    fn lift(&mut self) {
        self.pauses = 0;
        self.completed_trials = 0;
    }
}

/// Quarantines the worst endpoints of a pool, at most a fifth of it. If most of the pool fails, the
/// cause is not the endpoints, and none is quarantined. Returns the positions of those that are
/// newly quarantined, with the length of the pause.
pub(crate) fn quarantine_worst(
    now: Millis,
    pool: &mut [&mut FailureShare],
) -> Vec<(usize, Millis)> {
    let most = pool.len() / POOL_FRACTION;
    let positions = (0..pool.len()).filter(|position| pool[*position].is_candidate());
    let mut candidates: Vec<usize> = positions.collect();
    candidates.sort_by(|left, right| {
        let probability = |position: usize| {
            let (ends, failures) = pool[position].counts();
            sound_probability(ends, failures)
        };
        probability(*left).total_cmp(&probability(*right))
    });
    if candidates.len() * 2 > pool.len() {
        candidates.clear();
    }
    candidates.truncate(most);
    let mut begun = Vec::new();
    for (position, share) in pool.iter_mut().enumerate() {
        if !candidates.contains(&position) {
            share.lift();
        } else if !share.is_quarantined() {
            begun.push((position, share.pause(now)));
        }
    }
    begun
}
