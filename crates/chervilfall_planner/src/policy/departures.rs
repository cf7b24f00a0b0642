//! Runs on endpoints that have announced their departure.
//!
//! A draining endpoint says for how much longer it will exist at least. What still runs there when
//! it leaves loses its work. The endpoint may stay much longer, so a run is stopped only if it is
//! expected to outlast the announced time, and as late as its checkpoint permits.

use crate::ids::Millis;

/// Time before the departure at which runs that save checkpoints are stopped: a stop takes up to
/// 900 ms until its end is listed, and the order has to arrive.
const SAVE_BEFORE_MS: Millis = 1_000;
/// A run that cannot save is restarted elsewhere only while it has run for less than this part of
/// its expected duration, so that little work is repeated.
const YOUNG_FRACTION: Millis = 10;
/// Estimates are too low by at most this factor.
const MAX_UNDERESTIMATE: Millis = 2;

/// When a draining endpoint may leave. How long its report waited to be read is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaveTime {
    /// If the report was written right after the previous reading of the list.
    pub earliest_ms: Millis,
    /// If the report was written when it was read.
    pub announced_ms: Millis,
}

/// What is known of a run on a departing endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunOutlook {
    /// Time since its start.
    pub ran_ms: Millis,
    /// An earlier holder started it, so that `ran_ms` is only a lower bound.
    pub began_earlier: bool,
    /// Its whole duration by its estimate and the endpoint's speed; 0 if unknown.
    pub estimate_ms: Millis,
    /// A stop saves its work.
    pub saves: bool,
}

/// What to do with a run on a departing endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureStep {
    /// It goes on.
    Stay,
    /// It is stopped, which saves its work.
    Save,
    /// It is stopped if it can start elsewhere at once.
    Restart,
}

impl RunOutlook {
    /// Returns the expected duration of the run. A run that has passed its estimate ends at the
    /// latest at the maximum underestimate, and durations are spread evenly by their logarithm, so
    /// the geometric mean is the median of what is still possible.
    fn expected_ms(&self) -> Millis {
        if self.ran_ms <= self.estimate_ms {
            return self.estimate_ms;
        }
        self.ran_ms
            .saturating_mul(self.estimate_ms.saturating_mul(MAX_UNDERESTIMATE))
            .isqrt()
    }

    /// Returns whether the run is expected to outlast the next `left_ms`.
    fn outlasts(&self, left_ms: Millis) -> bool {
        self.expected_ms() > self.ran_ms.saturating_add(left_ms)
    }
}

/// Returns what to do with a run on an endpoint that may leave at `leave`. A run that may end by
/// itself before that is not stopped, and a stop is ordered in time for the earliest departure.
#[must_use]
pub fn departure_step(now: Millis, run: RunOutlook, leave: LeaveTime) -> DepartureStep {
    let left_ms = leave.earliest_ms.saturating_sub(now);
    if !run.outlasts(leave.announced_ms.saturating_sub(now)) {
        DepartureStep::Stay
    } else if run.saves {
        if left_ms <= SAVE_BEFORE_MS {
            DepartureStep::Save
        } else {
            DepartureStep::Stay
        }
    } else if !run.began_earlier && run.ran_ms < run.estimate_ms / YOUNG_FRACTION {
        DepartureStep::Restart
    } else {
        DepartureStep::Stay
    }
}
