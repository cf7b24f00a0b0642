//! How long the steps of a job waited for each cause.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::line::LogLine;

/// Event of the line that names the cause of a step's wait.
const STEP_WAITS: &str = "step waits";
/// Event of the line about a start, which ends the wait of its step.
const START_ORDERED: &str = "start ordered";

/// Time that the steps of a job waited for one cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WaitTotal {
    /// The cause.
    pub cause: String,
    /// Sum over the steps, each until the next start of one of its tasks, in milliseconds.
    pub waited_ms: u64,
}

impl fmt::Display for WaitTotal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {} ms", self.cause, self.waited_ms)
    }
}

/// A step's wait that has not ended.
struct Wait<'a> {
    cause: &'a str,
    since_ms: u64,
}

#[derive(Default)]
struct Totals<'a> {
    waiting: BTreeMap<&'a str, Wait<'a>>,
    waited_ms: BTreeMap<&'a str, u64>,
}

impl<'a> Totals<'a> {
    fn begin(&mut self, step: &'a str, cause: &'a str, since_ms: u64) {
        self.end(step, since_ms);
        self.waiting.insert(step, Wait { cause, since_ms });
    }

    fn end(&mut self, step: &str, at_ms: u64) {
        if let Some(wait) = self.waiting.remove(step) {
            *self.waited_ms.entry(wait.cause).or_default() += at_ms.saturating_sub(wait.since_ms);
        }
    }
}

/// Returns the causes for which a job's steps waited, the longest wait first, from the lines about
/// the job. Steps that never start wait until the last line.
pub(crate) fn wait_totals(own: &[&LogLine]) -> Vec<WaitTotal> {
    let mut lines = own.to_vec();
    lines.sort_by_key(|line| line.unix_ms);
    let mut totals = Totals::default();
    for line in &lines {
        match line.event.as_str() {
            STEP_WAITS => {
                if let (Some(step), Some(cause)) = (line.text("step"), line.text("cause")) {
                    let for_ms = line.number("for_ms").unwrap_or(0);
                    totals.begin(step, cause, line.unix_ms.saturating_sub(for_ms));
                }
            }
            START_ORDERED => {
                let task = line.text("task").and_then(|task| task.rsplit_once('.'));
                if let Some((step, _)) = task {
                    totals.end(step, line.unix_ms);
                }
            }
            _ => {}
        }
    }
    let last_ms = lines.last().map_or(0, |line| line.unix_ms);
    let waiting: Vec<&str> = totals.waiting.keys().copied().collect();
    for step in waiting {
        totals.end(step, last_ms);
    }
    let mut totals: Vec<WaitTotal> = totals
        .waited_ms
        .into_iter()
        .map(|(cause, waited_ms)| WaitTotal {
            cause: cause.to_owned(),
            waited_ms,
        })
        .collect();
    totals.sort_by_key(|total| std::cmp::Reverse(total.waited_ms));
    totals
}
