//! Availability under a fault: which idempotent calls ran in time, and for how long none did.

use chervilfall_load::{Outcome, PlannedKind};
use chervilfall_schema::Verdict;
use serde::Serialize;

/// What callers saw of idempotent calls.
#[derive(Debug, Clone, Serialize)]
pub struct Availability {
    /// Where the callers were.
    pub callers: String,
    /// Calls that were made.
    pub calls: u64,
    /// Share of calls that ran within their deadline from their arrival, in thousandths.
    pub in_time_permille: u64,
    /// Longest time without a call that ran, in milliseconds.
    pub longest_gap_ms: u64,
}

impl Availability {
    /// Returns what all callers together saw.
    pub(crate) fn of_all(outcomes: &[Outcome]) -> Self {
        Self::of("everywhere", outcomes.iter().collect())
    }

    /// Returns what the callers of one group saw, who were in a domain.
    pub(crate) fn of_group(outcomes: &[Outcome], group: usize, domain: &str) -> Self {
        let of_group = outcomes.iter().filter(|outcome| outcome.group == group);
        Self::of(domain, of_group.collect())
    }

    fn of(callers: &str, mut outcomes: Vec<&Outcome>) -> Self {
        outcomes.retain(|outcome| outcome.planned.kind == PlannedKind::StatusCheck);
        let calls = outcomes.len() as u64;
        let in_time = outcomes.iter().filter(|o| ran(o) && is_in_time(o)).count() as u64;
        Self {
            callers: callers.to_owned(),
            calls,
            in_time_permille: in_time * 1_000 / calls.max(1),
            longest_gap_ms: longest_gap_ms(&outcomes),
        }
    }
}

/// Returns whether a call ran and did not fail.
fn ran(outcome: &Outcome) -> bool {
    let answer = outcome.answer.as_ref();
    answer.is_some_and(|answer| answer.verdict == Some(Verdict::Ran) && answer.reason.is_none())
}

fn is_in_time(outcome: &Outcome) -> bool {
    outcome.latency_us <= outcome.planned.request.deadline_ms.get() * 1_000
}

fn longest_gap_ms(outcomes: &[&Outcome]) -> u64 {
    let good = outcomes.iter().filter(|outcome| ran(outcome));
    let mut times: Vec<u64> = good.map(|outcome| outcome.answered_us).collect();
    times.sort_unstable();
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or(0) / 1_000
}
