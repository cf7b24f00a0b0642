//! Quarantine of endpoints on which runs of several jobs fail.
//!
//! A completed run shows that an endpoint is sound. Lasting runs never complete, so one that has
//! stayed up for some time shows the same, and one that fails is compared with the step's runs
//! elsewhere.

use crate::ids::{JobId, Millis};

/// Number of failed runs without a completed one in between from which an endpoint is quarantined.
/// A sound endpoint that fails one run in twenty reaches this once in 8,000 runs.
const FAILURE_THRESHOLD: u32 = 3;
/// First pause, which doubles with each failed trial.
const FIRST_PAUSE_MS: Millis = 2_000;
/// Longest pause.
const MAX_PAUSE_MS: Millis = 16_000;
/// Time for which a lasting run must be at work to show that its endpoint is sound.
const STAYED_UP_MS: Millis = 3_000;

/// Returns the pause after a number of earlier ones.
pub(crate) fn pause_ms(earlier: u32) -> Millis {
    (FIRST_PAUSE_MS << earlier.min(8)).min(MAX_PAUSE_MS)
}

/// Quarantine state of an endpoint, derived from the ends of its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuarantineState {
    /// It may be given work.
    Sound,
    /// It is given no work.
    Paused,
    /// It may be given one task, whose outcome decides.
    Trial,
}

impl QuarantineState {
    /// Returns the state after a number of pauses, of which the last ends at `until_ms`.
    pub(crate) const fn after(pauses: u32, until_ms: Millis, now: Millis) -> Self {
        if pauses == 0 {
            Self::Sound
        } else if now < until_ms {
            Self::Paused
        } else {
            Self::Trial
        }
    }
}

/// Failure count and pauses of an endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct Quarantine {
    failures: u32,
    last_job: Option<JobId>,
    /// When a run last failed.
    failed_ms: Millis,
    /// When the last trial began.
    trial_ms: Millis,
    pauses: u32,
    until_ms: Millis,
}

impl Quarantine {
    /// Records a completed run.
    pub(crate) fn done(&mut self) {
        *self = Self::default();
    }

    /// Records that a lasting run is at work since `since_ms`. Only a run that began after the last
    /// failure counts, so each counts once.
    pub(crate) fn at_work(&mut self, now: Millis, since_ms: Millis) {
        if since_ms > self.failed_ms && now.saturating_sub(since_ms) >= STAYED_UP_MS {
            self.done();
        }
    }

    /// Records a failed run; returns the pause if the endpoint is quarantined. Consecutive failures
    /// of one job count once, since the job may be at fault.
    pub(crate) fn failed(&mut self, now: Millis, job: JobId) -> Option<Millis> {
        self.failed_ms = now;
        if self.last_job == Some(job) {
            return None;
        }
        self.last_job = Some(job);
        self.failures += 1;
        if self.failures < FAILURE_THRESHOLD {
            return None;
        }
        let pause_ms = pause_ms(self.pauses);
        self.pauses += 1;
        self.until_ms = now + pause_ms;
        Some(pause_ms)
    }

    /// Records the start of a run during the quarantine.
    pub(crate) fn trial_begun(&mut self, now: Millis) {
        self.trial_ms = now;
    }

    /// Returns whether the time of the shortest pause has passed since the last trial began.
    pub(crate) const fn may_try_again(&self, now: Millis) -> bool {
        now.saturating_sub(self.trial_ms) >= FIRST_PAUSE_MS
    }

    /// Returns whether the time of the shortest pause has passed since the last failure.
    pub(crate) const fn first_pause_has_passed(&self, now: Millis) -> bool {
        now.saturating_sub(self.failed_ms) >= FIRST_PAUSE_MS
    }

    pub(crate) const fn state(&self, now: Millis) -> QuarantineState {
        QuarantineState::after(self.pauses, self.until_ms, now)
    }
}
