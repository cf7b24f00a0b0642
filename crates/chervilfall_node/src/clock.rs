//! Steady time since the process started, and wall-clock time.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chervilfall_kernel::{MachineClocks, ProcessClock};
use chervilfall_planner::Millis;

static CLOCK: OnceLock<ProcessClock<MachineClocks>> = OnceLock::new();

/// Returns the clock of this process.
pub(crate) fn clock() -> &'static ProcessClock<MachineClocks> {
    CLOCK.get_or_init(|| ProcessClock::start(MachineClocks))
}

/// Returns milliseconds since the first call.
pub(crate) fn now_ms() -> Millis {
    clock().now_ms()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch; 0 if the clock is set before
/// it.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
