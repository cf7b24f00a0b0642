//! Time since the process began, and deadlines.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};
use tokio::time::timeout;

/// The clocks of a machine.
pub trait Clocks {
    /// Returns the steady clock, which stands while the machine is suspended.
    fn steady(&self) -> Duration;

    /// Returns the clock that counts on while the machine is suspended.
    fn boot(&self) -> Duration;
}

/// The clocks of this machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct MachineClocks;

impl Clocks for MachineClocks {
    fn steady(&self) -> Duration {
        read(ClockId::CLOCK_MONOTONIC)
    }

    fn boot(&self) -> Duration {
        read(ClockId::CLOCK_BOOTTIME)
    }
}

fn read(clock: ClockId) -> Duration {
    // Both clocks exist on every system that this program is built for.
    let time = clock_gettime(clock).expect("the machine has this clock");
    Duration::from(time)
}

/// Longest wait at a time: timers of the runtime stand while the machine is suspended, so that a deadline that has passed
/// meanwhile is noticed this long after.
const LOOK: Duration = Duration::from_millis(200);

/// Time since a process began, suspensions included: others count on while this machine is suspended, so that its leases
/// lapse, its claim is taken over and its callers go away.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock<C> {
    clocks: C,
    start: Duration,
}

/// A moment until which something is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Duration);

/// A deadline has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("deadline has passed")]
pub struct DeadlinePassed;

impl<C: Clocks> ProcessClock<C> {
    /// Begins to count.
    pub fn start(clocks: C) -> Self {
        let start = clocks.boot();
        Self { clocks, start }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.clocks.boot().saturating_sub(self.start)
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the deadline that is this far away.
    pub fn deadline(&self, after: Duration) -> Deadline {
        Deadline(self.elapsed() + after)
    }

    /// Returns the time that is left until a deadline.
    pub fn left(&self, deadline: Deadline) -> Duration {
        deadline.0.saturating_sub(self.elapsed())
    }

    /// Waits for a future until a deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if the deadline passes first.
    pub async fn until<F: Future>(
        &self,
        deadline: Deadline,
        future: F,
    ) -> Result<F::Output, DeadlinePassed> {
        let mut future = pin!(future);
        loop {
            let left = self.left(deadline);
            if let Ok(output) = timeout(left.min(LOOK), &mut future).await {
                return Ok(output);
            }
            if self.left(deadline).is_zero() {
                return Err(DeadlinePassed);
            }
        }
    }
}
