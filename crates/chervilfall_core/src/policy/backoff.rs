//! Exponential backoff with jitter, so that repeats after a common failure do not come together.

use rand::Rng;

/// Doublings after which the delay no longer grows.
const MAX_DOUBLINGS: u32 = 6;

/// Returns the delay before attempt `number + 1`, between half of and the whole exponential
/// delay, in milliseconds.
pub(crate) fn delay_ms(base_ms: u64, number: u32, rng: &mut impl Rng) -> u64 {
    let doublings = number.saturating_sub(1).min(MAX_DOUBLINGS);
    let full_ms = base_ms.saturating_mul(1 << doublings);
    rng.random_range(full_ms / 2..=full_ms)
}
