//! How often all open steps are visited.
//!
//! A visit costs the holder the same whether the step can start or not. With a fixed interval an
//! overload takes ever more of the time in which the holder renews its claim and its leases. So the
//! visits in a second are limited, and with more open steps the interval grows. The steps of best
//! rank are visited in between.

use crate::ids::Millis;

/// Interval with few open steps. Passes for each change would visit the same steps several times
/// before anything can have changed for them.
const MIN_INTERVAL_MS: Millis = 30;
/// Longest interval. A step that has room is to start within 3 s, and some limits give way only after
/// 1.5 s.
pub(crate) const MAX_INTERVAL_MS: Millis = 500;
/// Visits in a second, apart from those of the steps of best rank. At some microseconds each they take
/// a small part of half a core.
const VISITS_PER_S: u64 = 4_000;

/// Returns the interval between visits of all of this many open steps.
#[must_use]
pub fn full_pass_interval_ms(open_steps: usize) -> Millis {
    let visited_in_ms = open_steps as u64 * 1_000 / VISITS_PER_S;
    visited_in_ms.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS)
}
