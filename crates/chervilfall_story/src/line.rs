//! Reading log lines.

use std::collections::BTreeMap;
use std::io::{self, BufRead};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A line that a node has written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Time of day by the node's clock, in milliseconds since 1970.
    pub unix_ms: u64,
    /// Node.
    pub node: String,
    /// Severity.
    pub level: String,
    /// What happened.
    pub event: String,
    /// Inputs of the decision, by name.
    #[serde(flatten)]
    pub fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Returns a field's text, if it has one.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns a field's number, if it has one.
    #[must_use]
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Returns whether the line is about the job, one of its steps or one of its tasks.
    #[must_use]
    pub fn concerns_job(&self, job: &str) -> bool {
        ["job", "step", "task"]
            .iter()
            .filter_map(|field| self.text(field))
            .any(|name| name.split('.').next() == Some(job))
    }
}

/// Lines that were read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ParsedLines {
    /// Lines that could be read, as they came.
    pub lines: Vec<LogLine>,
    /// Lines with an object that could not be read, for instance because they were cut.
    pub unreadable: usize,
}

/// Reads log lines. What stands before a line's object, such as a collector's own time, and lines without
/// an object are skipped.
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
