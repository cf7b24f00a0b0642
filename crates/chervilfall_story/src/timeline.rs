//! Timeline of a job, built from log lines.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use crate::clocks::{differences, ClockDifference};
use crate::line::{LogLine, ParsedLines};
use crate::waits::{wait_totals, WaitTotal};

/// Time before the first and after the last line of a job for which context events are included,
/// in milliseconds. A takeover takes up to 2 s.
const CONTEXT_MS: u64 = 2_000;
/// Consecutive lines of one node about the same event are merged if they are within this time of
/// the first one, in milliseconds.
const REPEAT_WINDOW_MS: u64 = 50;
/// Event of the line that reports how many lines were dropped.
const LEFT_OUT: &str = "log lines left out";
/// Events about the state of the group or its dependencies.
const GROUP_EVENTS: [&str; 9] = [
    "group taken over",
    "group given up",
    "group claimed",
    "inherited tasks may start",
    "commit was slow",
    "commit not answered",
    "dependency lost",
    "dependency regained",
    "planned stop begins",
];

/// An event that happened once or several times in a row.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// Time since the first line of the job, in milliseconds; negative for earlier events.
    pub at_ms: i64,
    /// Number of lines merged into this entry.
    pub count: usize,
    /// Whether the event is about the job itself; if not, it is about one of its endpoints, the
    /// group or a dependency.
    pub own: bool,
    /// The first of the merged lines.
    pub line: LogLine,
}

/// A report of log lines that a node dropped during the job.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LeftOut {
    /// Name of the node.
    pub node: String,
    /// The line that reports the drop.
    pub line: LogLine,
}

/// Timeline of a job.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JobTimeline {
    /// Id of the job.
    pub job: String,
    /// Nodes with lines about the job.
    pub nodes: Vec<String>,
    /// Events in chronological order.
    pub entries: Vec<TimelineEntry>,
    /// Index of the entry that follows the longest time without a line about the job.
    pub widest_gap: Option<usize>,
    /// What the steps of the job waited for, if the holder sampled the job.
    pub waits: Vec<WaitTotal>,
    /// Clock differences that the lines prove.
    pub clocks: Vec<ClockDifference>,
    /// Reports of lines that nodes dropped during the job.
    pub left_out: Vec<LeftOut>,
    /// Number of input lines that could not be parsed.
    pub unreadable: usize,
}

impl JobTimeline {
    /// Builds the timeline of `job`; returns `None` if no line is about it.
    #[must_use]
    pub fn build(job: &str, read: &ParsedLines) -> Option<Self> {
        let own: Vec<&LogLine> = read
            .lines
            .iter()
            .filter(|line| line.concerns_job(job))
            .collect();
        let first_ms = own.iter().map(|line| line.unix_ms).min()?;
        let last_ms = own.iter().map(|line| line.unix_ms).max()?;
        let window = first_ms.saturating_sub(CONTEXT_MS)..=last_ms + CONTEXT_MS;
        let endpoints: BTreeSet<&str> = own
            .iter()
            .filter_map(|line| line.text("endpoint"))
            .collect();
        let around: Vec<&LogLine> = read
            .lines
            .iter()
            .filter(|line| window.contains(&line.unix_ms))
            .collect();
        let circumstances = around
            .iter()
            .copied()
            .filter(|line| !line.concerns_job(job) && is_context(line, &endpoints));
        let mut lines: Vec<&LogLine> = own.iter().copied().chain(circumstances).collect();
        lines.sort_by_key(|line| line.unix_ms);
        let entries = merge_repeats(&lines, job, first_ms);
        let left_out = around.iter().filter(|line| line.event == LEFT_OUT);
        let nodes: BTreeSet<&str> = own.iter().map(|line| line.node.as_str()).collect();
        Some(Self {
            job: job.to_owned(),
            nodes: nodes.into_iter().map(str::to_owned).collect(),
            widest_gap: widest_gap(&entries),
            waits: wait_totals(&own),
            entries,
            clocks: differences(&read.lines),
            left_out: left_out
                .map(|line| LeftOut {
                    node: line.node.clone(),
                    line: (*line).clone(),
                })
                .collect(),
            unreadable: read.unreadable,
        })
    }
}

fn is_context(line: &LogLine, endpoints: &BTreeSet<&str>) -> bool {
    if GROUP_EVENTS.contains(&line.event.as_str()) {
        return true;
    }
    // Lines about tasks of other jobs name endpoints too; lines about an endpoint name no task.
    let of_endpoint = line
        .text("endpoint")
        .is_some_and(|endpoint| endpoints.contains(endpoint));
    of_endpoint && line.text("task").is_none()
}

fn merge_repeats(lines: &[&LogLine], job: &str, first_ms: u64) -> Vec<TimelineEntry> {
    let mut entries: Vec<TimelineEntry> = Vec::new();
    for line in lines {
        let own = line.concerns_job(job);
        let at_ms = since(first_ms, line.unix_ms);
        if let Some(last) = entries.last_mut() {
            let same = last.line.event == line.event && last.line.node == line.node;
            if same && own == last.own && line.unix_ms - last.line.unix_ms <= REPEAT_WINDOW_MS {
                last.count += 1;
                continue;
            }
        }
        entries.push(TimelineEntry {
            at_ms,
            count: 1,
            own,
            line: (*line).clone(),
        });
    }
    entries
}

fn since(first_ms: u64, unix_ms: u64) -> i64 {
    i64::try_from(unix_ms)
        .unwrap_or(i64::MAX)
        .saturating_sub_unsigned(first_ms)
}

fn widest_gap(entries: &[TimelineEntry]) -> Option<usize> {
    let own: Vec<(usize, i64)> = entries
        .iter()
        .enumerate()
        .filter(|(_, entry)| entry.own)
        .map(|(position, entry)| (position, entry.at_ms))
        .collect();
    let gaps = own
        .windows(2)
        .map(|pair| (pair[1].1 - pair[0].1, pair[1].0));
    gaps.max_by_key(|(gap_ms, position)| (*gap_ms, std::cmp::Reverse(*position)))
        .map(|(_, position)| position)
}

impl fmt::Display for JobTimeline {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "job {}, lines of {}",
            self.job,
            self.nodes.join(", ")
        )?;
        let mut last_own_ms = None;
        for (position, entry) in self.entries.iter().enumerate() {
            if entry.own {
                if let (Some(last_ms), true) = (last_own_ms, self.widest_gap == Some(position)) {
                    writeln!(
                        formatter,
                        "               the widest gap: {} ms without a line about the job",
                        entry.at_ms - last_ms
                    )?;
                }
                last_own_ms = Some(entry.at_ms);
            }
            writeln!(formatter, "{entry}")?;
        }
        if !self.waits.is_empty() {
            let waits = self.waits.iter().map(WaitTotal::to_string);
            let waits: Vec<String> = waits.collect();
            writeln!(formatter, "steps waited for {}", waits.join(", "))?;
        }
        for clock in &self.clocks {
            writeln!(
                formatter,
                "the clock of {} is at least {} ms behind that of {}",
                clock.behind, clock.at_least_ms, clock.ahead
            )?;
        }
        for left_out in &self.left_out {
            writeln!(
                formatter,
                "{} left lines out:{}",
                left_out.node,
                fields(&left_out.line)
            )?;
        }
        if self.unreadable > 0 {
            writeln!(formatter, "{} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}

impl fmt::Display for TimelineEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.own { ' ' } else { '*' };
        write!(
            formatter,
            "{:>8} ms {mark} {:<18} {}",
            self.at_ms, self.line.node, self.line.event
        )?;
        if self.count > 1 {
            write!(formatter, " ({} times)", self.count)?;
        }
        formatter.write_str(&fields(&self.line))
    }
}

/// Formats the fields of a line for output after its event, each with a leading space.
fn fields(line: &LogLine) -> String {
    let shown = line.fields.iter().filter(|(name, _)| *name != "part");
    shown
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!(" {name}={text}"),
            None => format!(" {name}={value}"),
        })
        .collect()
}
