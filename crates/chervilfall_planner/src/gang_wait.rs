//! What a gang met while it waited, and why it missed its objective.

use crate::ids::Millis;

/// What a gang met while it waited for its first complete run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct GangWait {
    /// Its objective is being watched.
    pub(crate) watched: bool,
    /// Calls for advice that were answered.
    pub(crate) answered_calls: u32,
    /// Most members that all endpoints with a valid ticket could hold if they were empty.
    pub(crate) most_ticketed: u32,
    /// Most members that the free resources of these endpoints could hold when an answer came.
    pub(crate) most_fitting: u32,
    /// Times that all members were placed.
    pub(crate) starts: u32,
    /// Times that a run was withdrawn or lost, so that the gang began anew.
    pub(crate) restarts: u32,
    /// How long it waited for a node that calls the advice service.
    pub(crate) node_ms: Millis,
    /// How long it waited for an answer of the advice service.
    pub(crate) call_ms: Millis,
    /// How long it waited for capacity.
    pub(crate) capacity_ms: Millis,
}

/// State of a gang at a deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GangState {
    /// Number of members.
    pub(crate) width: u32,
    /// Members are placed.
    pub(crate) placed: bool,
    /// The members' run is being withdrawn.
    pub(crate) aborting: bool,
    /// Its job was accepted by an earlier holder.
    pub(crate) inherited: bool,
}

/// Why a gang is not complete in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MissCause {
    /// It never had valid tickets for enough endpoints at the same time.
    Advice,
    /// An earlier holder's tickets for it were lost, and new ones were not enough.
    Takeover,
    /// It had enough tickets, but the endpoints' resources were in use.
    Room,
    /// A run was withdrawn or lost, and it began anew.
    Restarted,
    /// Its first run is in progress.
    Running,
}

impl MissCause {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Advice => "advice",
            Self::Takeover => "takeover",
            Self::Room => "room",
            Self::Restarted => "restarted",
            Self::Running => "running",
        }
    }
}

impl GangWait {
    /// Records how many members the ticketed endpoints could hold when an answer came.
    pub(crate) fn note_answer(&mut self, ticketed: u32, fitting: u32) {
        self.answered_calls += 1;
        self.most_ticketed = self.most_ticketed.max(ticketed);
        self.most_fitting = self.most_fitting.max(fitting);
    }

    /// Returns why a gang that is not complete has missed a deadline. An inherited run counts as a
    /// first run.
    pub(crate) const fn miss_cause(&self, state: GangState) -> MissCause {
        if self.restarts > 0 || state.aborting {
            MissCause::Restarted
        } else if state.placed {
            MissCause::Running
        } else if self.most_ticketed >= state.width {
            MissCause::Room
        } else if state.inherited {
            MissCause::Takeover
        } else {
            MissCause::Advice
        }
    }
}

/// Deadline of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Deadline {
    /// The objective of its job.
    Objective,
    /// The time after which its job has no more value to the caller.
    Overdue,
}

impl Deadline {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Objective => "objective",
            Self::Overdue => "overdue",
        }
    }

    /// Returns the time from the beginning of a job to the deadline.
    pub(crate) const fn after_ms(self, objective_ms: Millis) -> Millis {
        match self {
            Self::Objective => objective_ms,
            Self::Overdue => objective_ms.saturating_mul(crate::policy::order::OVERDUE_FACTOR),
        }
    }
}

/// Returns the label of a gang's width class.
pub(crate) const fn width_class(width: u32) -> &'static str {
    match width {
        0..=8 => "1-8",
        9..=32 => "9-32",
        33..=64 => "33-64",
        _ => "65-",
    }
}
