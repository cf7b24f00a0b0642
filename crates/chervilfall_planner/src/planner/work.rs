//! Counts the work of passes over the open steps.
//!
//! A holder's passes compete with its renewals for one processor, so their work must be bounded
//! however much waits.

use std::cell::Cell;

use crate::planner::Planner;

/// Work of the passes since the last time it was taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PassWork {
    /// Passes.
    pub passes: u64,
    /// Visits of steps.
    pub steps_visited: u64,
    /// Judgements of an endpoint for a step.
    pub endpoints_judged: u64,
    /// Nodes that were considered for calls for advice.
    pub nodes_searched: u64,
}

/// Counters of work. Judgements do not change the planner, so these are cells.
#[derive(Debug, Default)]
pub(super) struct WorkCounters {
    counted: Cell<PassWork>,
}

impl WorkCounters {
    /// Adds to the counters.
    pub(super) fn add(&self, add: impl FnOnce(&mut PassWork)) {
        let mut work = self.counted.get();
        add(&mut work);
        self.counted.set(work);
    }
}

impl Planner {
    /// Returns the work since the last time it was taken.
    #[must_use]
    pub fn take_work(&mut self) -> PassWork {
        self.work.counted.take()
    }
}
