//! Exit statuses of the daemon.

use std::process::ExitCode;

/// How the daemon ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// A planned stop, or settings that are right.
    Success,
    /// The instance could not start.
    Failed,
    /// The settings are refused.
    Settings,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::Failed => 1,
            ExitStatus::Settings => 2,
        })
    }
}
