//! A machine that is suspended: its steady clock stands, and all others count on.
//!
//! A holder that does not notice goes on as if no time had passed. It grants leases by a claim that is long gone, while
//! its successor counts on their having lapsed and starts the same tasks elsewhere; callers are kept waiting beyond the
//! time that they have.

use std::future::pending;
use std::sync::Mutex;
use std::time::Duration;

use chervilfall_kernel::{Clocks, DeadlinePassed, MachineClocks, ProcessClock};
use tokio::time::Instant;

/// Clocks of a machine that can be suspended; the steady one is that of the test's runtime.
struct FakeClocks {
    began: Instant,
    suspended: Mutex<Duration>,
}

impl FakeClocks {
    fn new() -> Self {
        Self {
            began: Instant::now(),
            suspended: Mutex::new(Duration::ZERO),
        }
    }

    fn suspend(&self, time: Duration) {
        *self.suspended.lock().expect("no panic") += time;
    }
}

impl Clocks for &FakeClocks {
    fn steady(&self) -> Duration {
        self.began.elapsed()
    }

    fn boot(&self) -> Duration {
        self.began.elapsed() + *self.suspended.lock().expect("no panic")
    }
}

const SUSPENDED: Duration = Duration::from_secs(5);

#[tokio::test(start_paused = true)]
async fn time_counts_on_while_the_machine_is_suspended() {
    let clocks = FakeClocks::new();
    let clock = ProcessClock::start(&clocks);
    tokio::time::advance(Duration::from_millis(700)).await;
    assert_eq!(clock.now_ms(), 700);
    let deadline = clock.deadline(Duration::from_secs(9));
    clocks.suspend(SUSPENDED);
    assert_eq!(clock.now_ms(), 5_700);
    assert_eq!(clock.left(deadline), Duration::from_secs(4));
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_soon_after_its_deadline_has_passed_in_a_suspension() {
    let clocks = FakeClocks::new();
    let clock = ProcessClock::start(&clocks);
    let deadline = clock.deadline(Duration::from_secs(2));
    let wait = clock.until(deadline, pending::<()>());
    let suspension = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        clocks.suspend(SUSPENDED);
        Instant::now()
    };
    let (waited, resumed) = tokio::join!(wait, suspension);
    assert_eq!(waited, Err(DeadlinePassed));
    let late = resumed.elapsed();
    assert!(
        late <= Duration::from_millis(250),
        "{late:?} after the machine is back"
    );
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_with_its_future_or_its_deadline() {
    let clocks = FakeClocks::new();
    let clock = ProcessClock::start(&clocks);
    let deadline = clock.deadline(Duration::from_secs(1));
    let soon = tokio::time::sleep(Duration::from_millis(600));
    assert_eq!(clock.until(deadline, soon).await, Ok(()));
    assert_eq!(clock.now_ms(), 600);
    assert_eq!(
        clock.until(deadline, pending::<()>()).await,
        Err(DeadlinePassed)
    );
    assert_eq!(clock.now_ms(), 1_000);
}

#[test]
fn the_machine_has_both_clocks() {
    let (steady, boot) = (MachineClocks.steady(), MachineClocks.boot());
    assert!(
        boot >= steady,
        "{boot:?} counts what {steady:?} does, and suspensions"
    );
}
