//! Parses log lines.

use std::collections::BTreeMap;
use std::io::{self, BufRead};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A log line of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Time of day by the node's clock, in milliseconds since 1970.
    pub unix_ms: u64,
    /// Name of the node.
    pub node: String,
    /// Severity.
    pub level: String,
    /// Text of the event.
    pub event: String,
    /// All other fields, by name.
    #[serde(flatten)]
    pub fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Returns the value of a field if it is a string.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns the value of a field if it is an unsigned integer.
    #[must_use]
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Returns whether the line names the job, one of its steps or one of its tasks.
    #[must_use]
    pub fn concerns_job(&self, job: &str) -> bool {
        ["job", "step", "task"]
            .iter()
            .filter_map(|field| self.text(field))
            .any(|name| name.split('.').next() == Some(job))
    }
}

/// Result of parsing log files.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ParsedLines {
    /// Parsed lines, in input order.
    pub lines: Vec<LogLine>,
    /// Number of lines with a JSON object that could not be parsed, such as truncated lines.
    pub unreadable: usize,
}

/// Parses log lines. Skips any prefix before the JSON object of a line, such as the timestamp of a
/// log collector, and lines without an object.
///
/// # Errors
///
/// Returns an error if `reader` fails.
pub fn read_lines(mut reader: impl BufRead) -> io::Result<ParsedLines> {
    let mut found = ParsedLines::default();
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if reader.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(found);
        }
        let text = String::from_utf8_lossy(&bytes);
        let Some(begin) = text.find('{') else {
            continue;
        };
        match serde_json::from_str(text[begin..].trim_end()) {
            Ok(line) => found.lines.push(line),
            Err(_) => found.unreadable += 1,
        }
    }
}
