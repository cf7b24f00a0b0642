//! Log files that a command reads.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

use anyhow::Context;
use chervilfall_story::{read_lines, ParsedLines};

/// Reads the lines of all files.
///
/// # Errors
///
/// Returns an error if a file can't be read.
pub(super) fn read(paths: &[PathBuf]) -> anyhow::Result<ParsedLines> {
    let mut read = ParsedLines::default();
    for path in paths {
        let file = File::open(path).with_context(|| format!("can't open {}", path.display()))?;
        let lines = read_lines(BufReader::new(file))
            .with_context(|| format!("can't read {}", path.display()))?;
        read.lines.extend(lines.lines);
        read.unreadable += lines.unreadable;
    }
    Ok(read)
}
