//! Verdicts, reasons and answers.

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointName, RequestKey};

/// What is known about whether the work of a request has run; never more than is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The work did not run and never will.
    NotRun,
    /// The work may have run.
    MayHaveRun,
    /// The work ran to its end.
    Ran,
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Known to an entry instance, nothing started.
    Queued,
    /// Accepted durably, nothing started.
    Accepted,
    /// At least one task has started.
    Running,
    /// Every task ended.
    Done,
    /// Refused with a final answer.
    Refused,
    /// Cancelled by its caller or an operator.
    Cancelled,
    /// Not known here.
    Unknown,
}

impl Phase {
    /// Returns whether the answer in this phase is the final one.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Refused | Self::Cancelled)
    }
}

/// Why an answer is not a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// More work is offered than can be served.
    Overloaded,
    /// The caller's deadline passed.
    Deadline,
    /// The platform's table can't be reached.
    StoreUnavailable,
    /// No endpoint can be reached for now.
    NoEndpoint,
    /// No endpoint could ever hold the work.
    Impossible,
    /// No endpoint runs the service.
    UnknownService,
    /// The team's quota is used up.
    OverQuota,
    /// The caller or an operator cancelled the request.
    Cancelled,
    /// The entry instance is stopping.
    Stopping,
    /// The endpoint could not run the work.
    EndpointFailed,
    /// Contact with the attempt was lost.
    AttemptLost,
    /// The key was used before for another request.
    DuplicateKey,
    /// No request with the key is known.
    UnknownKey,
    /// The request is malformed.
    Invalid,
    /// The retry budget is used up.
    RetryBudget,
    /// A task ended with an error.
    TaskFailed,
}

/// Tasks of a job by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Tasks that have not started.
    pub waiting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that ran to their end.
    pub ran: u32,
    /// Tasks that are given up.
    pub failed: u32,
}

/// The answer to a request as it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Key of the request.
    pub key: RequestKey,
    /// Where the request stands.
    pub phase: Phase,
    /// What is known about the work; absent while the request is not final.
    pub verdict: Option<Verdict>,
    /// Why there is no result.
    pub reason: Option<Reason>,
    /// What the work returned.
    pub result: Option<String>,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Tasks by state, for jobs.
    pub tasks: Option<TaskCounts>,
    /// Time from submission to the first start, in milliseconds.
    pub waited_ms: Option<u64>,
    /// Where the work ran last.
    pub endpoint: Option<EndpointName>,
}

impl Answer {
    /// Returns an answer that says only the phase.
    #[must_use]
    pub const fn pending(key: RequestKey, phase: Phase) -> Self {
        Self {
            key,
            phase,
            verdict: None,
            reason: None,
            result: None,
            retry_after_ms: None,
            tasks: None,
            waited_ms: None,
            endpoint: None,
        }
    }

    /// Returns a final refusal: the work did not run.
    #[must_use]
    pub const fn not_run(key: RequestKey, reason: Reason, retry_after_ms: Option<u64>) -> Self {
        let mut answer = Self::pending(key, Phase::Refused);
        answer.verdict = Some(Verdict::NotRun);
        answer.reason = Some(reason);
        answer.retry_after_ms = retry_after_ms;
        answer
    }

    /// Returns a final answer that does not know whether the work ran.
    #[must_use]
    pub const fn may_have_run(key: RequestKey, reason: Reason) -> Self {
        let mut answer = Self::pending(key, Phase::Done);
        answer.verdict = Some(Verdict::MayHaveRun);
        answer.reason = Some(reason);
        answer
    }
}

/// One thing that happened to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainEvent {
    /// Time since submission, in milliseconds.
    pub at_ms: u64,
    /// What happened, as a short sentence.
    pub event: String,
}
