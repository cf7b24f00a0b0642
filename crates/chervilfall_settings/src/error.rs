//! Why settings are refused.

use std::path::PathBuf;

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The file is not YAML, or has an unknown key or a value of the wrong type.
    #[error("{path}: {message}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong, with the line.
        message: String,
    },
    /// Values are missing, out of range, or do not go together.
    #[error("{path}:\n{}", problems.join("\n"))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong, each with the line and the field.
        problems: Vec<String>,
    },
}

/// Problems found while options are resolved.
#[derive(Debug)]
pub(crate) struct Problems<'a> {
    text: &'a str,
    pub(crate) found: Vec<String>,
}

impl<'a> Problems<'a> {
    pub(crate) const fn new(text: &'a str) -> Self {
        Self {
            text,
            found: Vec::new(),
        }
    }

    /// Adds a problem with a field, named as `group.field` or `field`.
    pub(crate) fn add(&mut self, field: &str, problem: &str) {
        let place =
            line_of(self.text, field).map_or_else(String::new, |line| format!("line {line}: "));
        self.found.push(format!("  {place}{field}: {problem}"));
    }
}

/// Returns the line on which a field stands, if it is in the text.
fn line_of(text: &str, field: &str) -> Option<usize> {
    let (group, name) = field.split_once('.').unwrap_or(("", field));
    let mut present = "";
    for (number, line) in text.lines().enumerate() {
        let key = line.split(':').next().unwrap_or_default();
        if !line.starts_with([' ', '#', '-']) {
            present = key.trim_end();
        }
        let at_top = group.is_empty() && present == name && !line.starts_with(' ');
        let in_group = present == group && key.trim() == name && line.starts_with(' ');
        if at_top || in_group {
            return Some(number + 1);
        }
    }
    None
}
