//! Keeps work away from endpoints that fail what others run.

use crate::ids::{JobId, Millis};

/// Failed runs without a completed one in between after which an endpoint is suspect: a sound one
/// that fails one run in twenty gets there once in 8,000 runs.
const FAILURES: u32 = 3;
/// First pause; it doubles with each failed trial.
const PAUSE_MS: Millis = 2_000;
/// Longest pause.
const PAUSE_MAX_MS: Millis = 16_000;

/// What an endpoint's ends say about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuarantineState {
    /// It may be given work.
    Sound,
    /// It is left alone.
    Paused,
    /// It may be given one task, whose end decides.
    Trial,
}

/// Counts an endpoint's ends.
#[derive(Debug, Clone, Default)]
pub(crate) struct Quarantine {
    failures: u32,
    last_job: Option<JobId>,
    pauses: u32,
    until_ms: Millis,
}

impl Quarantine {
    /// Notes a completed run.
    pub(crate) fn done(&mut self) {
        *self = Self::default();
    }

    /// Notes a failed run; returns the pause if the endpoint is to be left alone. Several failures
    /// of one job count once, since the job may be at fault.
    pub(crate) fn failed(&mut self, now: Millis, job: JobId) -> Option<Millis> {
        if self.last_job == Some(job) {
            return None;
        }
        self.last_job = Some(job);
        self.failures += 1;
        if self.failures < FAILURES {
            return None;
        }
        let pause_ms = (PAUSE_MS << self.pauses.min(8)).min(PAUSE_MAX_MS);
        self.pauses += 1;
        self.until_ms = now + pause_ms;
        Some(pause_ms)
    }

    pub(crate) const fn state(&self, now: Millis) -> QuarantineState {
        if self.pauses == 0 {
            QuarantineState::Sound
        } else if now < self.until_ms {
            QuarantineState::Paused
        } else {
            QuarantineState::Trial
        }
    }
}
