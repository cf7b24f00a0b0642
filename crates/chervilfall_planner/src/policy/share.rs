//! Rate share of an account, as a token bucket.
//!
//! An account that submits many times its usual load would otherwise delay all others. Jobs in
//! excess of its share are still accepted and may use free capacity, but are ranked behind all
//! other work, and are refused once too many of them are open.

use crate::ids::Millis;

/// Burst size: an account may use the share of this time at once.
const BURST_MS: f64 = 1_000.0;
/// Backlog limit: as many jobs over the share may be open as the share allows in this time.
const BACKLOG_MS: f64 = 2_000.0;
/// Number of jobs over the share that may always be open.
const MIN_BACKLOG: f64 = 4.0;
/// Minimum retry time given to callers.
const MIN_RETRY_MS: f64 = 500.0;

/// Decision about a job that an account submits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShareAdmission {
    /// It is within the account's share.
    WithinShare,
    /// It is accepted but ranked behind other work.
    OverShare,
    /// It is refused.
    Refused {
        /// Time after which the caller should retry.
        retry_ms: Millis,
    },
}

/// What remains of an account's share.
#[derive(Debug, Clone)]
pub(crate) struct Share {
    /// Jobs per second; 0 for no limit.
    per_s: f64,
    tokens: f64,
    filled_ms: Millis,
    /// Number of jobs over the share that have not ended.
    over_share_jobs: u32,
}

impl Share {
    pub(crate) fn new(per_s: f64, now: Millis) -> Self {
        Self {
            per_s,
            tokens: burst(per_s),
            filled_ms: now,
            over_share_jobs: 0,
        }
    }

    pub(crate) fn set_per_s(&mut self, per_s: f64) {
        if self.per_s <= 0.0 {
            self.tokens = burst(per_s);
        }
        self.per_s = per_s;
        self.tokens = self.tokens.min(burst(per_s));
    }

    /// Decides about a submitted job and deducts it from the share if it is within it.
    pub(crate) fn take(&mut self, now: Millis) -> ShareAdmission {
        if self.per_s <= 0.0 {
            return ShareAdmission::WithinShare;
        }
        let passed_ms = now.saturating_sub(self.filled_ms) as f64;
        self.filled_ms = self.filled_ms.max(now);
        self.tokens = (self.tokens + passed_ms * self.per_s / 1_000.0).min(burst(self.per_s));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return ShareAdmission::WithinShare;
        }
        let max_over_share = (self.per_s * BACKLOG_MS / 1_000.0).max(MIN_BACKLOG);
        if f64::from(self.over_share_jobs) < max_over_share {
            return ShareAdmission::OverShare;
        }
        let until_next_ms = (1.0 - self.tokens) * 1_000.0 / self.per_s;
        // A retry time is a small positive number of milliseconds.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let retry_ms = until_next_ms.max(MIN_RETRY_MS) as Millis;
        ShareAdmission::Refused { retry_ms }
    }

    /// Counts an accepted job over the share.
    pub(crate) fn add_over_share_job(&mut self) {
        self.over_share_jobs += 1;
    }

    /// Removes an ended job over the share from the count.
    pub(crate) fn end_over_share_job(&mut self) {
        self.over_share_jobs = self.over_share_jobs.saturating_sub(1);
    }
}

/// Returns the number of jobs that may be submitted at once.
fn burst(per_s: f64) -> f64 {
    (per_s * BURST_MS / 1_000.0).max(1.0)
}
