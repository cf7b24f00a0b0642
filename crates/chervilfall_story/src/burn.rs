//! How fast each queue uses its error budget.
//!
//! A job is good if it completes within its objective. It is bad if it completes later, or if its
//! submission is refused because there is no holder or the store does not answer. Jobs that fail
//! by themselves or are cancelled don't count.

use std::collections::{BTreeMap, BTreeSet};

use chervilfall_schema::BurnRow;
use serde::Serialize;

use crate::line::LogLine;

/// Length of one bucket, in milliseconds.
const BUCKET_MS: u64 = 10_000;
/// Length of the short window, in milliseconds.
const SHORT_MS: u64 = 300_000;
/// Length of the long window, in milliseconds.
const LONG_MS: u64 = 3_600_000;
/// Burn rate over both windows from which an operator is paged, in thousandths.
const PAGE_BURN_PERMILLE: u64 = 14_400;
/// 100 %, in thousandths.
const WHOLE_PERMILLE: u64 = 1_000;
/// Log events of a refused submission, one for each time that it was sent.
const REFUSED: [&str; 5] = [
    "refused by forecast",
    "refused, the group is given up",
    "refused, the job could not be looked up",
    "refused, the store does not answer",
    "refused, too many wait for the store",
];

/// An error that prevents the computation of burn rates.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BurnError {
    /// The required share of successes leaves no error budget.
    #[error("success-permille is {0}; allowed is 0 to 999")]
    Share(u64),
    /// No line reports a job that completed or was refused.
    #[error("no line says that a job ended or was refused")]
    NoJobs,
}

/// Burn rate in one time bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Point {
    /// Time since the first line, in milliseconds.
    pub at_ms: u64,
    /// Burn rate, in thousandths of the allowed rate.
    pub burn_permille: u64,
}

/// Burn rate of a queue over time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Series {
    /// Queue.
    pub queue: String,
    /// Buckets in chronological order.
    pub points: Vec<Point>,
}

/// Error budget burn of all queues.
#[derive(Debug, Clone, Serialize)]
pub struct Burn {
    /// Share of requests that must succeed, in thousandths.
    pub success_permille: u64,
    /// Time between the first and the last line, in milliseconds.
    pub log_ms: u64,
    /// Completed jobs that are not counted because their lines lack the age or the objective.
    pub unjudged: usize,
    /// One row per queue, in the form in which live instances report their classes.
    pub rows: Vec<BurnRow>,
    /// Burn rate of each queue over time.
    pub series: Vec<Series>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requests: u64,
    bad: u64,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.bad += other.bad;
    }

    /// Returns the ratio of the share of bad requests to the allowed share, in thousandths.
    fn burn_permille(self, success_permille: u64) -> u64 {
        let allowed = self.requests * (WHOLE_PERMILLE - success_permille);
        (self.bad * WHOLE_PERMILLE * WHOLE_PERMILLE)
            .checked_div(allowed)
            .unwrap_or(0)
    }
}

/// Counts of a queue by bucket number.
type Buckets = BTreeMap<u64, Counts>;

impl Burn {
    /// Computes the burn of each queue. Lines may be duplicated and in any order; a job that ended
    /// counts once.
    ///
    /// # Errors
    ///
    /// Returns an error if `success_permille` leaves no error budget or if no line counts.
    pub fn from_lines(lines: &[LogLine], success_permille: u64) -> Result<Self, BurnError> {
        if success_permille >= WHOLE_PERMILLE {
            return Err(BurnError::Share(success_permille));
        }
        let first_ms = lines.iter().map(|line| line.unix_ms).min();
        let last_ms = lines.iter().map(|line| line.unix_ms).max();
        let (Some(first_ms), Some(last_ms)) = (first_ms, last_ms) else {
            return Err(BurnError::NoJobs);
        };
        let queues = buckets(lines, first_ms);
        if queues.is_empty() {
            return Err(BurnError::NoJobs);
        }
        let log_ms = last_ms - first_ms;
        let rows = queues
            .iter()
            .map(|(queue, buckets)| row(queue, buckets, log_ms, success_permille));
        let series = queues.iter().map(|(queue, buckets)| Series {
            queue: queue.clone(),
            points: buckets
                .iter()
                .map(|(bucket, counts)| Point {
                    at_ms: bucket * BUCKET_MS,
                    burn_permille: counts.burn_permille(success_permille),
                })
                .collect(),
        });
        Ok(Self {
            success_permille,
            log_ms,
            unjudged: lines.iter().filter(|line| is_unjudged(line)).count(),
            rows: rows.collect(),
            series: series.collect(),
        })
    }
}

fn buckets(lines: &[LogLine], first_ms: u64) -> BTreeMap<String, Buckets> {
    let mut queues: BTreeMap<String, Buckets> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for line in lines {
        let (Some(bad), Some(queue), Some(job)) =
            (is_bad_request(line), line.text("queue"), line.text("job"))
        else {
            continue;
        };
        // A refused job may be sent again, so each refusal counts. The end of a job counts once.
        let time_ms = REFUSED
            .contains(&line.event.as_str())
            .then_some(line.unix_ms);
        if !seen.insert((job, time_ms)) {
            continue;
        }
        let bucket = (line.unix_ms - first_ms) / BUCKET_MS;
        let counts = queues.entry(queue.to_owned()).or_default();
        counts.entry(bucket).or_default().add(Counts {
            requests: 1,
            bad: u64::from(bad),
        });
    }
    queues
}

/// Returns whether a line reports a bad request; `None` if it reports none that counts.
fn is_bad_request(line: &LogLine) -> Option<bool> {
    if REFUSED.contains(&line.event.as_str()) {
        return Some(true);
    }
    if !is_completed(line) {
        return None;
    }
    Some(line.number("age_ms")? > line.number("objective_ms")?)
}

fn is_completed(line: &LogLine) -> bool {
    line.event == "job finished" && line.text("outcome") == Some("Completed")
}

fn is_unjudged(line: &LogLine) -> bool {
    let judged = line.number("age_ms").is_some() && line.number("objective_ms").is_some();
    is_completed(line) && !judged
}

fn row(queue: &str, buckets: &Buckets, log_ms: u64, success_permille: u64) -> BurnRow {
    let over = |window_ms: u64| {
        let from = log_ms.saturating_sub(window_ms) / BUCKET_MS;
        let mut sum = Counts::default();
        for (_, counts) in buckets.range(from..) {
            sum.add(*counts);
        }
        sum
    };
    let long = over(LONG_MS);
    let burn_short_permille = over(SHORT_MS).burn_permille(success_permille);
    let burn_long_permille = long.burn_permille(success_permille);
    BurnRow {
        class: queue.to_owned(),
        requests: long.requests,
        bad: long.bad,
        burn_short_permille,
        burn_long_permille,
        budget_left_permille: WHOLE_PERMILLE.saturating_sub(burn_long_permille),
        page: burn_short_permille >= PAGE_BURN_PERMILLE && burn_long_permille >= PAGE_BURN_PERMILLE,
    }
}
