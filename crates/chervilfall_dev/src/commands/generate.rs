//! Regenerates code and docs, or checks that they are current.

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;

use crate::args::Generate;
use crate::schema;

/// The shared schema file of the RPC.
const SCHEMA: &str = "schema/chervilfall.schema.json";
/// Types of the RPC.
const TYPES: &str = "crates/chervilfall_schema/src/generated.rs";
/// Reference of all settings.
const SETTINGS: &str = "docs/SETTINGS.md";

/// A file that is made from others.
struct Generated {
    path: &'static str,
    content: String,
}

/// Regenerates everything, or fails if `--check` finds something that is not current.
///
/// # Errors
///
/// Returns an error if a file can't be read, made or written.
pub(crate) fn run(args: &Generate) -> anyhow::Result<ExitCode> {
    let mut stale = Vec::new();
    for file in all(Path::new("."))? {
        let present = fs::read_to_string(file.path).unwrap_or_default();
        if present == file.content {
            continue;
        }
        if args.check {
            stale.push(file.path);
            continue;
        }
        fs::write(file.path, file.content).with_context(|| format!("can't write {}", file.path))?;
        println!("wrote {}", file.path);
    }
    if stale.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!(
        "not current, run `chervilfall-dev generate`: {}",
        stale.join(", ")
    );
    Ok(ExitCode::FAILURE)
}

fn all(root: &Path) -> anyhow::Result<Vec<Generated>> {
    let schema = fs::read_to_string(root.join(SCHEMA))
        .with_context(|| format!("can't read {SCHEMA}; run this at the root of the repository"))?;
    Ok(vec![
        Generated {
            path: TYPES,
            content: schema::generate(&schema)?,
        },
        Generated {
            path: SETTINGS,
            content: chervilfall_settings::markdown(),
        },
    ])
}
