//! Exit statuses of the command line.

use std::process::ExitCode;

use chervilfall_client::ClientError;
use chervilfall_schema::{Answer, Phase, Verdict};

/// How a command ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// It did what it was asked; a request ran, or is accepted and not final.
    Success,
    /// Something else went wrong.
    Failed,
    /// The request surely did not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// No entry instance could be reached.
    NotReached,
    /// A change lost a race.
    Conflict,
}

impl ExitStatus {
    pub(crate) fn of_answer(answer: &Answer) -> Self {
        match (answer.phase, answer.verdict) {
            (_, Some(Verdict::NotRun)) => Self::NotRun,
            (_, Some(Verdict::MayHaveRun)) => Self::MayHaveRun,
            (Phase::Unknown, None) => Self::Failed,
            _ => Self::Success,
        }
    }

    pub(crate) fn of_error(error: &anyhow::Error) -> Self {
        match error.downcast_ref() {
            Some(ClientError::NotReached { .. }) => Self::NotReached,
            Some(ClientError::Lost { .. }) => Self::MayHaveRun,
            Some(ClientError::Refused(refusal)) => match refusal.verdict {
                Verdict::MayHaveRun => Self::MayHaveRun,
                _ => Self::NotRun,
            },
            Some(ClientError::Conflict(_)) => Self::Conflict,
            None => Self::Failed,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::Failed => 1,
            ExitStatus::NotRun => 3,
            ExitStatus::MayHaveRun => 4,
            ExitStatus::NotReached => 5,
            ExitStatus::Conflict => 6,
        })
    }
}
