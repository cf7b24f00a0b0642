//! Requests and the work they ask for.

use serde::{Deserialize, Serialize};

use crate::ids::{RequestKey, ServiceName, TeamName};
use crate::resources::Resources;

/// How urgent a batch or gang job is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub enum Priority {
    /// Starts before all other jobs.
    Urgent,
    /// The usual priority.
    #[default]
    Normal,
    /// Waits for all other jobs.
    Low,
}

/// Kind of a workload, which decides its policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WorkClass {
    /// One interactive request to a service.
    Call,
    /// Long-lived replicas.
    Service,
    /// Tasks that all start together or not at all.
    Gang,
    /// Tasks that can wait.
    Batch,
}

impl WorkClass {
    /// Returns the name used in settings, metrics and reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Service => "service",
            Self::Gang => "gang",
            Self::Batch => "batch",
        }
    }
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Kind of the workload.
    pub class: WorkClass,
    /// Number of tasks or replicas; 1 for a call.
    pub tasks: u32,
    /// Service that a call is for.
    pub service: Option<ServiceName>,
    /// What each task holds while it runs.
    pub resources: Resources,
    /// Declared run time of one task, in milliseconds; zero if not declared.
    pub run_ms: u64,
    /// Priority among jobs.
    pub priority: Priority,
    /// Whether a task may be started again after an attempt that may have run.
    pub idempotent: bool,
    /// Opaque input of every task.
    pub payload: String,
}

/// A checked request of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The caller's key.
    pub key: RequestKey,
    /// Team whose quota the work counts against.
    pub team: TeamName,
    /// Time within which the caller wants its answer, in milliseconds.
    pub deadline_ms: u64,
    /// What is asked for.
    pub work: Work,
}
