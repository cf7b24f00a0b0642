//! Arguments of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Entry instance of chervilfall, a cluster scheduler for services, batch and gang jobs.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Start an instance:\n  {command_name} --settings entry-1.yaml",
    example = "Check settings and start nothing:\n  {command_name} --settings entry-1.yaml --check",
    note = "A planned stop begins with SIGTERM or SIGINT.",
    error_code(1, "The instance could not start, or its arguments are wrong."),
    error_code(2, "The settings are refused.")
)]
pub(crate) struct Args {
    /// file with the settings, in YAML; docs/SETTINGS.md lists them all
    #[argh(option)]
    pub(crate) settings: PathBuf,

    /// check the settings, start nothing
    #[argh(switch)]
    pub(crate) check: bool,
}
