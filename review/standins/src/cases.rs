//! The cases.

mod schedule;
mod services;
mod unlisted_ends;

use std::path::Path;

use crate::record::Record;
use crate::Verdict;

/// Plays a case by its name.
pub fn play(
    case: &str,
    trouble: bool,
    settings: &Path,
    record: &Record,
) -> Result<Verdict, String> {
    match case {
        "schedule" => schedule::play(trouble, settings, record),
        "services" => services::play(trouble, settings, record),
        "unlisted-ends" => unlisted_ends::play(trouble, settings, record),
        _ => Err(format!("there is no case {case}")),
    }
}
