//! Admission by forecast: a job that cannot complete while it still has worth is refused at once.
//!
//! Such a job would take room in commits and calls for advice from others, and its caller would
//! learn only at the end that it was in vain. The forecast counts only what has been observed
//! under pressure. Where too little is known it is 0, so the job is accepted.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::Millis;
use crate::policy::estimates::certain_ms;
use crate::policy::order::OVERDUE_FACTOR;

/// Time over which a rate is measured: several commits of a store that answers slowly.
const WINDOW_MS: Millis = 5_000;
/// Minimum time that a rate is measured over.
const MIN_SPAN_MS: Millis = 1_000;
/// Minimum number of observations of a rate.
const MIN_OBSERVATIONS: u64 = 20;
/// Observations within this time are kept as one, which bounds their number.
const SLOT_MS: Millis = 50;
/// Time at the beginning of a term in which there is no forecast.
pub(crate) const TERM_START_MS: Millis = 2_000;
/// While a submission waits it is checked many times, and one low reading of a rate must not
/// refuse it. Later forecasts are therefore divided by this.
const RECHECK_DIVISOR: Millis = 2;

/// What was served within a slot of time.
#[derive(Debug, Clone, Copy)]
struct Served {
    first_ms: Millis,
    last_ms: Millis,
    observations: u64,
    amount: u64,
}

/// Rate at which a stage serves what waits for it, measured while something waits without
/// interruption. At other times the rate would be that of the arrivals.
#[derive(Debug, Clone, Default)]
pub struct ServiceRate {
    waiting_since_ms: Option<Millis>,
    served: VecDeque<Served>,
}

impl ServiceRate {
    /// Records whether something waits.
    pub fn note_waiting(&mut self, now: Millis, waiting: bool) {
        if !waiting {
            self.waiting_since_ms = None;
            self.served.clear();
        } else if self.waiting_since_ms.is_none() {
            self.waiting_since_ms = Some(now);
        }
    }

    /// Records that an amount was served.
    pub fn note_served(&mut self, now: Millis, amount: u64) {
        if self.waiting_since_ms.is_none() {
            return;
        }
        let old = |served: &Served| served.first_ms + WINDOW_MS < now;
        while self.served.front().is_some_and(old) {
            self.served.pop_front();
        }
        match self.served.back_mut() {
            Some(last) if now < last.first_ms + SLOT_MS => {
                last.last_ms = now;
                last.observations += 1;
                last.amount += amount;
            }
            _ => self.served.push_back(Served {
                first_ms: now,
                last_ms: now,
                observations: 1,
                amount,
            }),
        }
    }

    /// Returns the time until an amount will have been served, or 0 if too little is known.
    #[must_use]
    pub fn wait_ms(&self, now: Millis, amount: u64) -> Millis {
        let recent = |served: &&Served| served.first_ms + WINDOW_MS >= now;
        let mut recent = self.served.iter().filter(recent);
        // Measured from observation to observation: a commit that is in flight has served nothing
        // yet, and before the first call for advice is answered nothing can start.
        let Some(first) = recent.next() else {
            return 0;
        };
        let (mut observations, mut served, mut end_ms) = (0, 0, first.last_ms);
        for slot in recent {
            observations += slot.observations;
            served += slot.amount;
            end_ms = slot.last_ms;
        }
        let span_ms = end_ms - first.last_ms;
        if observations < MIN_OBSERVATIONS || served == 0 || span_ms < MIN_SPAN_MS {
            return 0;
        }
        amount.saturating_mul(span_ms) / served
    }
}

/// Amount of work that waits for a stage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Of jobs that may complete within their objective.
    pub in_time: u64,
    /// Of jobs that will complete late. They are served after those in time.
    pub late: u64,
}

/// What ranks jobs of the same prospect; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Standing {
    /// It is in excess of its account's share.
    pub beyond: bool,
    /// Priority of its queue.
    pub priority: u32,
}

/// Work that waits for a stage, and the rate at which the stage serves it.
#[derive(Debug, Clone, Default)]
pub struct Stage {
    /// The rate.
    pub rate: ServiceRate,
    waiting: BTreeMap<Standing, Ahead>,
}

impl Stage {
    /// Begins to count anew what waits.
    pub fn clear_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Counts work that waits.
    pub fn add_waiting(&mut self, standing: Standing, in_time: bool, amount: u64) {
        let ahead = self.waiting.entry(standing).or_default();
        if in_time {
            ahead.in_time += amount;
        } else {
            ahead.late += amount;
        }
    }

    /// Records in the rate whether anything that was counted waits.
    pub fn note_counted(&mut self, now: Millis) {
        let waiting = !self.waiting.is_empty();
        self.rate.note_waiting(now, waiting);
    }

    /// Returns how long a new job waits for the stage. Work that will be late is ahead of it only
    /// if the job itself becomes late while it waits, after `slack_ms`.
    #[must_use]
    pub fn wait_ms(&self, now: Millis, standing: Standing, slack_ms: Millis) -> Millis {
        let ahead = self.waiting.range(..=standing).map(|(_, ahead)| *ahead);
        let in_time = ahead.clone().map(|ahead| ahead.in_time).sum();
        let wait_ms = self.rate.wait_ms(now, in_time);
        if wait_ms <= slack_ms {
            return wait_ms;
        }
        let late: u64 = ahead.map(|ahead| ahead.late).sum();
        self.rate.wait_ms(now, in_time.saturating_add(late))
    }
}

/// Why a job is refused although no rule forbids it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The store accepts too few jobs.
    Store,
    /// Too many jobs wait for their first start.
    Starts,
    /// Too much work of its account waits for the account's quota.
    Quota,
    /// The holder is behind with its calls.
    Overload,
}

impl RefusalCause {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Starts => "starts",
            Self::Quota => "quota",
            Self::Overload => "overload",
        }
    }
}

/// Forecast of when a job can first start, as the sum of its waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Wait until it is in a commit.
    pub commit_ms: Millis,
    /// Duration of that commit.
    pub storing_ms: Millis,
    /// Wait for its first start behind others.
    pub start_ms: Millis,
    /// Wait for its account's quota.
    pub quota_ms: Millis,
}

impl Forecast {
    /// Returns the time until the first start.
    #[must_use]
    pub const fn total_ms(self) -> Millis {
        self.stored_ms()
            .saturating_add(self.start_ms)
            .saturating_add(self.quota_ms)
    }

    /// Returns the time until it is stored.
    #[must_use]
    pub const fn stored_ms(self) -> Millis {
        self.commit_ms.saturating_add(self.storing_ms)
    }

    /// Returns the cause of the longest wait, and the wait.
    fn longest(self) -> (RefusalCause, Millis) {
        let waits = [
            (RefusalCause::Store, self.stored_ms()),
            (RefusalCause::Starts, self.start_ms),
            (RefusalCause::Quota, self.quota_ms),
        ];
        let longest = waits.into_iter().max_by_key(|(_, wait_ms)| *wait_ms);
        longest.unwrap_or((RefusalCause::Store, 0))
    }

    /// Returns the forecast by which a submission that has been checked before is refused.
    #[must_use]
    pub const fn for_recheck(self) -> Self {
        Self {
            commit_ms: self.commit_ms / RECHECK_DIVISOR,
            storing_ms: self.storing_ms / RECHECK_DIVISOR,
            start_ms: self.start_ms / RECHECK_DIVISOR,
            quota_ms: self.quota_ms / RECHECK_DIVISOR,
        }
    }
}

/// Times of a submission that its refusal depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionTimes {
    /// Time since it arrived.
    pub waited_ms: Millis,
    /// How much longer it may wait for a commit.
    pub wait_left_ms: Millis,
    /// Estimate of the longest chain of work.
    pub chain_ms: Millis,
    /// Objective, counted from arrival; none if the job has none that counts from there.
    pub objective_ms: Option<Millis>,
}

impl SubmissionTimes {
    /// Returns how long the job may still wait for its first start and complete in time.
    #[must_use]
    pub fn slack_ms(&self) -> Millis {
        self.objective_ms.map_or(Millis::MAX, |objective_ms| {
            objective_ms.saturating_sub(self.waited_ms + certain_ms(self.chain_ms))
        })
    }
}

/// A decision to refuse a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForecastRefusal {
    /// Cause.
    pub cause: RefusalCause,
    /// Time after which the cause has passed.
    pub passes_ms: Millis,
}

/// Decides whether a job that is not in a commit yet is refused: its commit would come too late for
/// the submission, or its end so late that it has no worth any more.
#[must_use]
pub fn refusal(forecast: Forecast, times: SubmissionTimes) -> Option<ForecastRefusal> {
    if forecast.commit_ms > times.wait_left_ms {
        return Some(ForecastRefusal {
            cause: RefusalCause::Store,
            passes_ms: forecast.commit_ms,
        });
    }
    let worthless_ms = times.objective_ms?.saturating_mul(OVERDUE_FACTOR);
    let end_ms = forecast
        .total_ms()
        .saturating_add(times.waited_ms + certain_ms(times.chain_ms));
    let (cause, passes_ms) = forecast.longest();
    // Without a wait there is nothing that a later attempt could avoid.
    let refused = end_ms > worthless_ms && passes_ms > 0;
    refused.then_some(ForecastRefusal { cause, passes_ms })
}
