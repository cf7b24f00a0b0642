//! How long a request waits, depending on how long its caller does.

use std::time::Duration;

use chervilfall_planner::Request;

use crate::settings::Timings;

/// Percentage of a caller's wait budget after which its answer must be sent.
const ANSWER_PERCENT: u32 = 80;
/// Percentage of a caller's wait budget that a submission waits for a holder or the store before it
/// is refused. While the store is unavailable nothing can be accepted, so it helps a caller to be
/// waiting when the store returns: with half of the budget per attempt, a caller with 3 s is
/// waiting for 1.9 s of them, with 0.6 s per attempt for 1.4 s. The other half is left for a retry,
/// at another node if this one is at fault.
const BEFORE_REFUSAL_PERCENT: u32 = 48;

/// Limits on the waits of one request, each counted from its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitBounds {
    /// Wait for the answer of a holder that the request was sent to.
    pub answer: Duration,
    /// Wait for a holder or the store before a submission is refused.
    pub before_refusal: Duration,
    /// Wait for a holder of requests that are not submissions.
    pub other: Duration,
}

impl WaitBounds {
    /// Returns the bounds for a caller that waits for `wait_budget`, if that is known.
    #[must_use]
    pub fn new(wait_budget: Option<Duration>, timings: &Timings) -> Self {
        let answer_wait = Duration::from_millis(timings.answer_wait_ms);
        let holder_wait = Duration::from_millis(timings.holder_wait_ms);
        let Some(wait_budget) = wait_budget else {
            return Self {
                answer: answer_wait,
                before_refusal: holder_wait,
                other: holder_wait,
            };
        };
        let answer = wait_budget * ANSWER_PERCENT / 100;
        Self {
            answer,
            before_refusal: wait_budget * BEFORE_REFUSAL_PERCENT / 100,
            other: holder_wait.min(answer),
        }
    }

    /// Returns how long a request waits for a holder to forward it to.
    #[must_use]
    pub fn holder(&self, request: &Request) -> Duration {
        match request {
            Request::Submit { .. } => self.before_refusal,
            Request::State { .. } | Request::Cancel { .. } | Request::Waiting { .. } => self.other,
        }
    }
}
