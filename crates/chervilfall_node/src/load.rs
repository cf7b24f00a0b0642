//! How busy the control thread is: its share of time, its queue, and how old events are when it takes them.
//!
//! One thread plans for a whole group of endpoints. When it falls behind, every answer and every start is late, so
//! that operators need to see how near it is to its limit before callers do.

use std::time::{Duration, Instant};

use chervilfall_kernel::Work;

/// Time between status lines.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// What a status line says of the time since the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadStatus {
    /// Part of the time that the thread worked, in percent.
    pub busy_percent: u64,
    /// Events that it handled.
    pub events: u64,
    /// Most events that waited.
    pub most_waiting: usize,
    /// Greatest age of a probe when it was taken from the queue, in milliseconds.
    pub max_queue_age_ms: u64,
    /// Longest time that it worked at a stretch, in milliseconds.
    pub max_stretch_ms: u64,
}

/// Adds up what the control thread works off.
#[derive(Debug)]
pub struct ControlLoad {
    since: Instant,
    busy: Duration,
    longest: Duration,
    oldest: Duration,
    events: u64,
    most_waiting: usize,
}

impl ControlLoad {
    /// Begins to count at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            since: now,
            busy: Duration::ZERO,
            longest: Duration::ZERO,
            oldest: Duration::ZERO,
            events: 0,
            most_waiting: 0,
        }
    }

    /// Counts work.
    pub fn add(&mut self, work: Work) {
        self.busy += work.took;
        self.longest = self.longest.max(work.took);
        self.events += work.events as u64;
        self.most_waiting = self.most_waiting.max(work.waiting);
    }

    /// Notes that a probe was taken from the queue that had waited for `age`.
    pub fn record_queue_age(&mut self, age: Duration) {
        self.oldest = self.oldest.max(age);
        metrics::histogram!("chervilfall_control_queue_seconds").record(age.as_secs_f64());
    }

    /// Returns the status and begins anew, once a second.
    pub fn status(&mut self, now: Instant) -> Option<LoadStatus> {
        let passed = now.saturating_duration_since(self.since);
        if passed < STATUS_INTERVAL {
            return None;
        }
        let busy_ratio = self.busy.as_secs_f64() / passed.as_secs_f64();
        metrics::gauge!("chervilfall_control_busy_ratio").set(busy_ratio);
        metrics::gauge!("chervilfall_control_queue_events").set(self.most_waiting as f64);
        let status = LoadStatus {
            busy_percent: percent(busy_ratio),
            events: self.events,
            most_waiting: self.most_waiting,
            max_queue_age_ms: millis(self.oldest),
            max_stretch_ms: millis(self.longest),
        };
        *self = Self::new(now);
        Some(status)
    }
}

// The ratio lies between 0 and little more than 1.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn percent(ratio: f64) -> u64 {
    (ratio * 100.0).round() as u64
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
