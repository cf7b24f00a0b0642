//! The clock of this process.

use chervilfall_kernel::{MachineClocks, ProcessClock};
use chervilfall_link::Clock;
use chervilfall_types::Instant;

/// Milliseconds since the process opened its clock, suspensions of the machine included: leases and claims that this
/// instance has granted lapse elsewhere meanwhile.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MonoClock {
    opened: ProcessClock<MachineClocks>,
}

impl MonoClock {
    pub(crate) fn open() -> Self {
        Self {
            opened: ProcessClock::start(MachineClocks),
        }
    }
}

impl Clock for MonoClock {
    fn now(&self) -> Instant {
        Instant(self.opened.now_ms())
    }
}
