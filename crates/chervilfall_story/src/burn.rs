//! How fast each queue uses its error budget.
//!
//! A job is good if it completes within its objective, and bad if it completes later or if its submission
//! is refused for want of a holder or the store. Jobs that fail by themselves or are cancelled don't count.

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
/// The whole, in thousandths.
const WHOLE_PERMILLE: u64 = 1_000;
/// Events that say that a submission was refused, one for each time that it was sent.
const REFUSED: [&str; 2] = [
    "refused, the store does not answer",
    "refused, too many wait for the store",
];

/// Why no burn can be told.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BurnError {
    /// The share that must succeed leaves no budget.
    #[error("success-permille is {0}; allowed is 0 to 999")]
    Share(u64),
    /// No line says that a job ended or was refused.
    #[error("no line says that a job ended or was refused")]
    NoJobs,
}

/// Burn of one bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Point {
    /// Time since the first line, in milliseconds.
    pub at_ms: u64,
    /// Burn rate, in thousandths of the allowed rate.
    pub burn_permille: u64,
}

/// Burn of a queue over time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Series {
    /// Queue.
    pub queue: String,
    /// Its buckets, in order of time.
    pub points: Vec<Point>,
}

/// Burn of all queues.
#[derive(Debug, Clone, Serialize)]
pub struct Burn {
    /// Share that must succeed, in thousandths.
    pub success_permille: u64,
    /// Length of the log, in milliseconds.
    pub log_ms: u64,
    /// Completed jobs whose lines name no objective, so that they can't be judged.
    pub unjudged: usize,
    /// A row a queue, as live instances report it for their classes.
    pub rows: Vec<BurnRow>,
    /// Burn over time.
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

    /// Returns the share of bad requests over the allowed share, in thousandths.
    fn burn_permille(self, success_permille: u64) -> u64 {
        let allowed = self.requests * (WHOLE_PERMILLE - success_permille);
        (self.bad * WHOLE_PERMILLE * WHOLE_PERMILLE)
            .checked_div(allowed)
            .unwrap_or(0)
    }
}

/// Counts of a queue by bucket.
type Buckets = BTreeMap<u64, Counts>;

impl Burn {
    /// Counts what the lines say. Lines may be given twice and in any order; a job counts once.
    ///
    /// # Errors
    ///
    /// Returns an error if `success_permille` leaves no budget or no line counts.
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
        // A refused job may be sent again, so that each refusal counts; a job ends once.
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

/// Returns whether a line tells of a bad request; `None` if it tells of none that counts.
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
