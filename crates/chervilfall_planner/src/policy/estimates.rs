//! What is certain of an estimate.

use crate::ids::Millis;

/// Estimates of work are off by a factor of up to about two, so half of one is certain.
const CERTAIN_DIVISOR: Millis = 2;

/// Returns the part of an estimate of work that is certain.
pub(crate) const fn certain_ms(estimate_ms: Millis) -> Millis {
    estimate_ms / CERTAIN_DIVISOR
}
