//! How long a caller's request waits, by how long the caller does.

use std::time::Duration;

use chervilfall_planner::Request;

use crate::settings::Timings;

/// Part of a caller's time, in percent, after which an answer must be on its way.
const ANSWER_PERCENT: u32 = 80;
/// Part of a caller's time, in percent, that a submission waits for a holder or the store before it is
/// refused. While the store is away nothing can be accepted, and what helps a caller is to be there when it
/// returns: with half, a caller with 3 s is waiting for 1.9 s of them, with 0.6 s a try for
/// 1.4 s. The other half is left for coming back, at another node if this one is at fault.
const BEFORE_REFUSAL_PERCENT: u32 = 48;

/// Bounds on the waits of one request, each from its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitBounds {
    /// Wait for the answer of a holder that was asked.
    pub answer: Duration,
    /// Wait for a holder or the store before a submission is refused.
    pub before_refusal: Duration,
    /// Wait of other requests for a holder.
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

    /// Returns how long a request waits for a holder that it can be passed on to.
    #[must_use]
    pub fn holder(&self, request: &Request) -> Duration {
        match request {
            Request::Submit { .. } => self.before_refusal,
            Request::State { .. } | Request::Cancel { .. } | Request::Waiting { .. } => self.other,
        }
    }
}
