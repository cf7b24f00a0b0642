//! Runs in the books of an endpoint.

use crate::ids::{Millis, Run};
use crate::planner::AccountKey;
use crate::resources::Resources;

/// How far a run on an endpoint has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// It has its place; the start is sent once the store has a note of it.
    Announced,
    /// The start was sent and not answered yet.
    Starting,
    /// The endpoint has it.
    Running,
    /// A stop is due or on its way.
    Stopping {
        /// When the last stop was sent.
        sent_ms: Option<Millis>,
        /// When the endpoint took a stop; a list asked for later is the truth.
        taken_ms: Option<Millis>,
    },
}

/// A run that may be on an endpoint; its room is taken until its end is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlacedRun {
    pub(crate) run: Run,
    pub(crate) phase: RunPhase,
    pub(crate) resources: Resources,
    /// What it counts for, and against which account.
    pub(crate) charge: Option<(AccountKey, Resources)>,
    /// What it takes is not known, because its job's row is gone: nothing is started beside it.
    pub(crate) size_unknown: bool,
    /// Copies of the start that were not answered; each may be carried out until its bound.
    pub(crate) unanswered: u32,
    /// It was meant for the incarnation before, and this one has not shown it yet.
    pub(crate) unseen: bool,
    /// When the start was answered, or the run was first listed; lists asked for later must show it.
    pub(crate) confirmed_ms: Option<Millis>,
    /// It resumed from a checkpoint, so that its time says little of the task's work.
    pub(crate) resumed: bool,
    /// Its job's objective is short.
    pub(crate) latency_sensitive: bool,
    /// It may bring the endpoint down: nothing is started beside it.
    pub(crate) exclusive: bool,
}

/// How an endpoint was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossReason {
    /// It stayed silent until its leases had lapsed: it has crashed, left, or is cut off.
    Silent,
    /// Another incarnation answers at its address.
    Replaced,
}

impl LossReason {
    /// Returns a word for logs and metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Replaced => "replaced",
        }
    }
}
