//! An account's share of the jobs that are taken: what it hands in beyond that comes after all others' work.
//!
//! An account that sends many times its usual would otherwise make all others wait. Its jobs beyond the share are still
//! taken and use what is free, but are offered room last, and are refused once many of them wait.

use crate::ids::Millis;

/// Time whose share an account may use at once.
const BURST_MS: f64 = 1_000.0;
/// Time whose share of jobs beyond it may wait before more are refused.
const BACKLOG_MS: f64 = 2_000.0;
/// Jobs beyond their share that may always wait.
const LEAST_BACKLOG: f64 = 4.0;
/// Shortest time to come back that is told.
const LEAST_RETRY_MS: f64 = 500.0;

/// What becomes of a job that an account hands in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShareAdmission {
    /// It is within the account's share.
    WithinShare,
    /// It is taken, and comes after others.
    OverShare,
    /// It is refused.
    Refused {
        /// When to come back.
        retry_ms: Millis,
    },
}

/// What an account has left of its share.
#[derive(Debug, Clone)]
pub(crate) struct Share {
    /// Jobs a second; 0 for no bound.
    per_s: f64,
    left: f64,
    filled_ms: Millis,
    /// Jobs beyond the share that have not ended.
    beyond: u32,
}

impl Share {
    pub(crate) fn new(per_s: f64, now: Millis) -> Self {
        Self {
            per_s,
            left: burst(per_s),
            filled_ms: now,
            beyond: 0,
        }
    }

    pub(crate) fn set_per_s(&mut self, per_s: f64) {
        if self.per_s <= 0.0 {
            self.left = burst(per_s);
        }
        self.per_s = per_s;
        self.left = self.left.min(burst(per_s));
    }

    /// Takes note of a job that is handed in.
    pub(crate) fn take(&mut self, now: Millis) -> ShareAdmission {
        if self.per_s <= 0.0 {
            return ShareAdmission::WithinShare;
        }
        let passed_ms = now.saturating_sub(self.filled_ms) as f64;
        self.filled_ms = self.filled_ms.max(now);
        self.left = (self.left + passed_ms * self.per_s / 1_000.0).min(burst(self.per_s));
        if self.left >= 1.0 {
            self.left -= 1.0;
            return ShareAdmission::WithinShare;
        }
        let most = (self.per_s * BACKLOG_MS / 1_000.0).max(LEAST_BACKLOG);
        if f64::from(self.beyond) < most {
            return ShareAdmission::OverShare;
        }
        let until_next_ms = (1.0 - self.left) * 1_000.0 / self.per_s;
        // A time to come back is a small positive number of milliseconds.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let retry_ms = until_next_ms.max(LEAST_RETRY_MS) as Millis;
        ShareAdmission::Refused { retry_ms }
    }

    /// Counts a job beyond the share that waits or is at work.
    pub(crate) fn add_over_share_job(&mut self) {
        self.beyond += 1;
    }

    /// Counts one that has ended.
    pub(crate) fn end_over_share_job(&mut self) {
        self.beyond = self.beyond.saturating_sub(1);
    }
}

/// Returns the jobs that may be handed in at once.
fn burst(per_s: f64) -> f64 {
    (per_s * BURST_MS / 1_000.0).max(1.0)
}
