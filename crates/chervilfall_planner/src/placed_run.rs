//! Runs that the planner tracks on an endpoint.

use crate::ids::{Millis, Run};
use crate::planner::AccountKey;
use crate::resources::Resources;

/// Phase of a run on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// It is placed; the start is sent once a record of it is stored.
    Announced,
    /// The start was sent and is not answered yet.
    Starting,
    /// The endpoint has accepted or listed it.
    Running,
    /// A stop is due or in flight.
    Stopping {
        /// When the last stop was sent.
        sent_ms: Option<Millis>,
        /// When the endpoint accepted a stop; lists requested later are authoritative.
        taken_ms: Option<Millis>,
    },
}

/// A run that may be on an endpoint; its resources count as used until its end is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlacedRun {
    pub(crate) run: Run,
    pub(crate) phase: RunPhase,
    pub(crate) resources: Resources,
    /// The account whose usage includes the run, and how much it is charged.
    pub(crate) charge: Option<(AccountKey, Resources)>,
    /// Its resource usage is unknown because its job's row is gone, so nothing else is started on
    /// the endpoint.
    pub(crate) size_unknown: bool,
    /// Number of unanswered copies of the start; each may be carried out until its deadline.
    pub(crate) unanswered: u32,
    /// It was started on the previous incarnation, and this one has not listed it yet.
    pub(crate) unseen: bool,
    /// When the start was answered or the run was first listed; lists requested later must include
    /// it.
    pub(crate) confirmed_ms: Option<Millis>,
    /// It resumed from a checkpoint, so its duration says little about the task's total work.
    pub(crate) resumed: bool,
    /// Its job is latency-sensitive.
    pub(crate) latency_sensitive: bool,
    /// It may crash the endpoint, so nothing else is started there.
    pub(crate) exclusive: bool,
    /// It was started while the endpoint was quarantined.
    pub(crate) on_trial: bool,
}

/// Why an endpoint counts as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossReason {
    /// It was silent until its leases had lapsed: it has crashed, left or been disconnected.
    Silent,
    /// Another incarnation answers at its address.
    Replaced,
}

impl LossReason {
    /// Returns the label used in logs and metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Replaced => "replaced",
        }
    }
}
