//! What became of planned requests.

use std::collections::BTreeMap;

use chervilfall_schema::{Answer, Verdict};
use hdrhistogram::Histogram;

use crate::mix::{PlannedKind, PlannedRequest};

/// Longest time that histograms tell apart, in microseconds.
const MAX_US: u64 = 600_000_000;

/// What became of one request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request.
    pub planned: PlannedRequest,
    /// The last answer; absent if there was none at all.
    pub answer: Option<Answer>,
    /// Time from arrival to the last answer, in microseconds.
    pub latency_us: u64,
    /// How often the client tried.
    pub tries: u32,
    /// Tries whose connection was lost, so that their answer is not known.
    pub lost_tries: u32,
    /// Number of the group that its caller came from.
    pub group: usize,
    /// When the last answer came, in microseconds from the beginning of the load.
    pub answered_us: u64,
}

impl Outcome {
    /// Returns the verdict of the last answer in words; `pending` for an accepted job.
    #[must_use]
    pub fn verdict(&self) -> &'static str {
        match &self.answer {
            None => "no answer",
            Some(answer) => match answer.verdict {
                None => "pending",
                Some(Verdict::NotRun) => "not run",
                Some(Verdict::MayHaveRun) => "may have run",
                Some(Verdict::Ran) => "ran",
            },
        }
    }
}

/// Quantiles of times, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WaitTimes {
    /// Number of times.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest.
    pub max_us: u64,
}

/// Counts and times by kind.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// Requests by kind and verdict.
    pub verdicts: BTreeMap<(PlannedKind, &'static str), u64>,
    /// Time from arrival to the answer by kind.
    pub latency: BTreeMap<PlannedKind, WaitTimes>,
    /// Waiting time before the first start, as the system says it, by kind.
    pub waited: BTreeMap<PlannedKind, WaitTimes>,
}

impl Summary {
    /// Returns the summary of outcomes.
    #[must_use]
    pub fn of(outcomes: &[Outcome]) -> Self {
        let mut summary = Self::default();
        let mut latency: BTreeMap<PlannedKind, Vec<u64>> = BTreeMap::new();
        let mut waited: BTreeMap<PlannedKind, Vec<u64>> = BTreeMap::new();
        for outcome in outcomes {
            let kind = outcome.planned.kind;
            let count = summary.verdicts.entry((kind, outcome.verdict()));
            *count.or_default() += 1;
            latency.entry(kind).or_default().push(outcome.latency_us);
            let waited_ms = outcome.answer.as_ref().and_then(|a| a.waited_ms);
            if let Some(waited_ms) = waited_ms {
                waited.entry(kind).or_default().push(waited_ms * 1_000);
            }
        }
        summary.latency = latency.iter().map(|(k, t)| (*k, times(t))).collect();
        summary.waited = waited.iter().map(|(k, t)| (*k, times(t))).collect();
        summary
    }
}

/// Returns the quantiles of times.
fn times(times_us: &[u64]) -> WaitTimes {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_US, 3) else {
        return WaitTimes::default();
    };
    for time_us in times_us {
        histogram.saturating_record(*time_us);
    }
    WaitTimes {
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}
