//! Load of the control thread: its share of busy time, its queue, and the age of events when they
//! are handled.
//!
//! One thread plans for a whole group of endpoints. When it falls behind, every answer and every
//! start is late, so operators need to see how close it is to its limit before callers notice.

use std::time::{Duration, Instant};

use chervilfall_kernel::Work;

/// Interval between status lines.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Kinds of work of the control thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Callers' requests.
    Requests,
    /// Answers of endpoints to holds, starts and stops, and orders that were not answered.
    Endpoints,
    /// Answers of the advice service.
    Advice,
    /// Answers of the store, and the starts that follow from them.
    Store,
    /// Links of followers.
    Links,
    /// Lists of endpoints, and takeovers.
    Lists,
    /// Passes over the open steps, and whatever else is due with time.
    Ticks,
}

impl WorkKind {
    const COUNT: usize = 7;
}

/// Content of a status line: the load since the previous one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadStatus {
    /// Share of time that the thread was busy, in percent.
    pub busy_percent: u64,
    /// Number of events that it handled.
    pub events: u64,
    /// Highest number of queued events.
    pub most_waiting: usize,
    /// Highest age of a probe when it was taken from the queue, in milliseconds.
    pub max_queue_age_ms: u64,
    /// Mean age of probes when they were taken from the queue, in milliseconds; `None` if there was
    /// no probe.
    pub mean_queue_age_ms: Option<u64>,
    /// Time since the previous status line, in milliseconds.
    pub covers_ms: u64,
    /// Longest uninterrupted stretch of work, in milliseconds.
    pub max_stretch_ms: u64,
    /// Time that each kind of work took, in milliseconds, in the order of [`WorkKind`].
    pub kinds_ms: [u64; WorkKind::COUNT],
    /// Longest wait of a commit for the thread that sends it, in milliseconds.
    pub max_commit_wait_ms: u64,
}

impl LoadStatus {
    /// Returns the time that a kind of work took, in milliseconds.
    #[must_use]
    pub const fn kind_ms(&self, kind: WorkKind) -> u64 {
        self.kinds_ms[kind as usize]
    }
}

/// Sums up the control thread's work between status lines.
#[derive(Debug)]
pub struct ControlLoad {
    since: Instant,
    busy: Duration,
    longest: Duration,
    oldest: Duration,
    /// Sum of the ages of the probes.
    ages: Duration,
    probes: u32,
    events: u64,
    most_waiting: usize,
    kinds: [Duration; WorkKind::COUNT],
    max_commit_wait: Duration,
}

impl ControlLoad {
    /// Starts counting at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            since: now,
            busy: Duration::ZERO,
            longest: Duration::ZERO,
            oldest: Duration::ZERO,
            ages: Duration::ZERO,
            probes: 0,
            events: 0,
            most_waiting: 0,
            kinds: [Duration::ZERO; WorkKind::COUNT],
            max_commit_wait: Duration::ZERO,
        }
    }

    /// Adds the time that work of a kind took.
    pub fn add_kind(&mut self, kind: WorkKind, took: Duration) {
        self.kinds[kind as usize] += took;
    }

    /// Records that a commit waited for the thread that sends it.
    pub fn record_commit_wait(&mut self, waited: Duration) {
        self.max_commit_wait = self.max_commit_wait.max(waited);
        metrics::histogram!("chervilfall_commit_send_wait_seconds").record(waited.as_secs_f64());
    }

    /// Adds a stretch of work.
    pub fn add(&mut self, work: Work) {
        self.busy += work.took;
        self.longest = self.longest.max(work.took);
        self.events += work.events as u64;
        self.most_waiting = self.most_waiting.max(work.waiting);
    }

    /// Records that a probe waited in the queue for `age`.
    pub fn record_queue_age(&mut self, age: Duration) {
        self.oldest = self.oldest.max(age);
        self.ages += age;
        self.probes += 1;
        metrics::histogram!("chervilfall_control_queue_seconds").record(age.as_secs_f64());
    }

    /// Returns the status and starts over, once a second.
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
            mean_queue_age_ms: self.ages.checked_div(self.probes).map(millis),
            covers_ms: millis(passed),
            max_stretch_ms: millis(self.longest),
            kinds_ms: self.kinds.map(millis),
            max_commit_wait_ms: millis(self.max_commit_wait),
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
