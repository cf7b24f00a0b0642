//! Quarantine of endpoints that fail what they start.
//!
//! A failing endpoint is free again at once, so that it looks idle and attracts work, up to the
//! point that its peers get none. It is quarantined unless the other endpoints of its owner are
//! seen to fail too: then the fault is the work's. After a while it gets an attempt now and then as
//! a trial; a success ends the quarantine, a failure doubles it unless the others fail too.

use chervilfall_types::Instant;

/// Ends from which older ones count half.
const WINDOW: u32 = 64;
/// Ends that are needed for a judgement.
const LEAST_ENDS: u32 = 4;
/// Share of failures from which an endpoint fails what it starts, in thousandths.
const FAILING_PERMILLE: u32 = 700;
/// Length of the first quarantine, in milliseconds.
const FIRST_MS: u64 = 2_000;
/// Least time between two trials, in milliseconds.
const TRIAL_MS: u64 = 500;
/// Most doublings of the length: an endpoint that is well again is used again within 16 s.
const MAX_DOUBLINGS: u32 = 3;

/// Ends of attempts that ran by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Ends {
    ended: u32,
    failed: u32,
}

impl Ends {
    fn record(&mut self, failed: bool) {
        if self.ended >= WINDOW {
            self.ended /= 2;
            self.failed /= 2;
        }
        self.ended += 1;
        self.failed += u32::from(failed);
    }

    /// Adds the ends of another endpoint.
    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
        }
    }

    const fn is_failing(self) -> bool {
        self.ended >= LEAST_ENDS && self.failed * 1_000 >= self.ended * FAILING_PERMILLE
    }
}

/// What is known of an endpoint's ends.
#[derive(Debug, Default)]
pub(crate) struct Health {
    ends: Ends,
    /// End of the quarantine, after which trials are made.
    quarantined_until: Option<Instant>,
    /// Earliest time of the next trial.
    next_trial: Instant,
    /// Quarantines without a success between them.
    quarantines: u32,
}

impl Health {
    /// Returns the ends that were seen.
    pub(crate) const fn ends(&self) -> Ends {
        self.ends
    }

    /// Returns whether an attempt may start.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        let trial = now >= self.next_trial;
        self.quarantined_until
            .is_none_or(|until| trial && now >= until)
    }

    /// Notes that an attempt was placed; the next trial waits for its end.
    pub(crate) fn placed(&mut self, now: Instant) {
        if self.is_on_trial(now) {
            self.next_trial = now.after(TRIAL_MS);
        }
    }

    /// Returns whether trials are made.
    pub(crate) fn is_on_trial(&self, now: Instant) -> bool {
        self.quarantined_until.is_some_and(|until| now >= until)
    }

    /// Takes an attempt that ran to its end.
    pub(crate) fn succeeded(&mut self, now: Instant) {
        self.ends.record(false);
        if self.is_on_trial(now) {
            *self = Self::default();
        }
    }

    /// Takes an attempt that failed, with the ends of the owner's other endpoints; returns the
    /// length of the quarantine that follows, in milliseconds, if one does.
    pub(crate) fn failed(&mut self, now: Instant, others: Ends) -> Option<u64> {
        self.ends.record(true);
        let due = match self.quarantined_until {
            None => self.ends.is_failing(),
            Some(until) => now >= until,
        };
        if !due {
            return None;
        }
        if others.is_failing() {
            self.quarantined_until = None;
            self.quarantines = 0;
            return None;
        }
        let length_ms = FIRST_MS << self.quarantines.min(MAX_DOUBLINGS);
        self.quarantines += 1;
        self.quarantined_until = Some(now.after(length_ms));
        Some(length_ms)
    }
}
