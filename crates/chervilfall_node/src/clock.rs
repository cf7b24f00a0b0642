//! Steady time since the process began, and time of day.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chervilfall_planner::Millis;

static START: OnceLock<Instant> = OnceLock::new();

/// Returns steady milliseconds since the first call.
pub(crate) fn now_ms() -> Millis {
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time of day in milliseconds since 1970; 0 if the clock stands before that.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
