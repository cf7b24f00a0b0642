//! Passes that are skipped as a whole, because nothing may be started at all.

use crate::ids::Millis;
use crate::metrics;
use crate::planner::Planner;

/// Shortest interval between lines.
const LINE_INTERVAL_MS: Millis = 1_000;

/// Why a pass is skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SkipCause {
    /// Leases of this holder would reach beyond its claim.
    LeaseBound,
    /// The evacuations were not read recently enough.
    Evacuations,
}

impl SkipCause {
    const fn label(self) -> &'static str {
        match self {
            Self::LeaseBound => "lease_bound",
            Self::Evacuations => "evacuations",
        }
    }
}

/// The skipped passes since the last one that was not.
#[derive(Debug, Default)]
pub(super) struct SkippedPasses {
    /// When the first was skipped; none if the last pass was not skipped.
    since_ms: Option<Millis>,
    /// Number of skipped passes.
    passes: u64,
    /// When the last line was written.
    logged_ms: Option<Millis>,
}

impl SkippedPasses {
    /// Returns whether the last pass was skipped.
    pub(super) const fn last_was_skipped(&self) -> bool {
        self.since_ms.is_some()
    }

    /// Records a skipped pass; returns since when passes are skipped if a line is due.
    fn record(&mut self, now: Millis) -> Option<Millis> {
        self.passes += 1;
        let since_ms = *self.since_ms.get_or_insert(now);
        let recent = |logged_ms: Millis| now.saturating_sub(logged_ms) < LINE_INTERVAL_MS;
        if self.logged_ms.is_some_and(recent) {
            return None;
        }
        self.logged_ms = Some(now);
        Some(since_ms)
    }
}

impl Planner {
    /// Returns whether nothing may be started now, and records that.
    pub(super) fn skips_pass(&mut self) -> bool {
        let Some(cause) = self.skip_cause() else {
            self.note_passes_resumed();
            return false;
        };
        metrics::pass_skipped(cause.label());
        if let Some(since_ms) = self.skipped_passes.record(self.now) {
            log::info!(
                cause = cause.label(), for_ms = self.now.saturating_sub(since_ms),
                passes = self.skipped_passes.passes, open_steps = self.open.len(),
                claim_age_ms = self.claim_age_ms(self.now),
                evacuations_age_ms = self.evacuations_age_ms();
                "scheduling is skipped"
            );
        }
        true
    }

    fn skip_cause(&self) -> Option<SkipCause> {
        if self.now >= self.lease_bound_ms() {
            Some(SkipCause::LeaseBound)
        } else if !self.evacuations_are_known() {
            Some(SkipCause::Evacuations)
        } else {
            None
        }
    }

    fn note_passes_resumed(&mut self) {
        if let Some(since_ms) = self.skipped_passes.since_ms.take() {
            log::info!(
                for_ms = self.now.saturating_sub(since_ms), passes = self.skipped_passes.passes;
                "scheduling goes on"
            );
            self.skipped_passes.passes = 0;
        }
    }
}
