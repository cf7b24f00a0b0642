//! How late the thread for traffic runs its tasks.

use std::time::Instant;

use chervilfall_planner::Millis;

use super::{Control, ControlEvent};
use crate::ports::Platform;

/// Measures the lag by a task at a time that does nothing.
#[derive(Debug, Default)]
pub(super) struct TrafficLag {
    /// When the task that has not run yet was spawned.
    spawned: Option<Instant>,
    /// How long the last one waited.
    last_ms: Millis,
    /// The longest wait since the last report.
    max_ms: Millis,
}

impl TrafficLag {
    /// Returns how late tasks run as of `now`.
    fn ms(&self, now: Instant) -> Millis {
        let waits = self.spawned.map(|spawned| millis_between(spawned, now));
        self.last_ms.max(waits.unwrap_or(0))
    }

    /// Records that the task has run.
    pub(super) fn record(&mut self, now: Instant) {
        if let Some(spawned) = self.spawned.take() {
            self.last_ms = millis_between(spawned, now);
            self.max_ms = self.max_ms.max(self.last_ms);
        }
    }

    /// Takes the longest wait since the last time, in milliseconds.
    pub(super) fn take_max_ms(&mut self, now: Instant) -> Millis {
        std::mem::take(&mut self.max_ms).max(self.ms(now))
    }
}

fn millis_between(from: Instant, to: Instant) -> Millis {
    let passed = to.saturating_duration_since(from);
    Millis::try_from(passed.as_millis()).unwrap_or(Millis::MAX)
}

impl<P: Platform> Control<P> {
    /// Begins a measurement unless one is in progress.
    pub(super) fn measure_traffic_lag(&mut self) {
        if self.traffic_lag.spawned.is_some() {
            return;
        }
        self.traffic_lag.spawned = Some(Instant::now());
        let sender = self.sender.clone();
        self.traffic.spawn(async move {
            let probe = ControlEvent::TrafficProbe(Instant::now());
            probe.send(&sender).await;
        });
    }

    /// Tells the planner how late this node makes its calls.
    pub(super) fn report_traffic_lag(&mut self) {
        let lag_ms = self.traffic_lag.ms(Instant::now());
        if let Some(planner) = &mut self.planner {
            planner.record_lag(lag_ms);
        }
    }
}
