//! Which steps a pass between two full ones visits: those of the best rank, and those for which
//! something has changed.

use std::collections::{BTreeSet, VecDeque};

use crate::planner::schedule::Pass;
use crate::planner::Planner;
use crate::policy::order::Rank;
use crate::tasks::StepKey;

/// Number of best-ranked steps that a short pass visits: short requests rank first and cannot wait for
/// a full pass.
const BEST_RANKED: usize = 24;

/// Steps to be visited before the next full pass.
#[derive(Debug, Default)]
pub(super) struct ChangedSteps {
    /// Steps whose call for advice was answered since the last pass.
    answered: BTreeSet<StepKey>,
    /// Steps that a full pass found waiting for a node to call for advice, best rank first.
    callers: VecDeque<StepKey>,
}

impl ChangedSteps {
    /// Records that a call for advice for a step was answered.
    pub(super) fn note_answer(&mut self, key: StepKey) {
        self.answered.insert(key);
    }

    /// Begins a full pass, which visits all steps.
    pub(super) fn begin_full_pass(&mut self) {
        self.answered.clear();
        self.callers.clear();
    }

    /// Takes the steps whose calls were answered, and up to `callers` that wait for a node.
    fn take(&mut self, callers: usize) -> Vec<StepKey> {
        let answered = std::mem::take(&mut self.answered).into_iter();
        let callers = callers.min(self.callers.len());
        answered.chain(self.callers.drain(..callers)).collect()
    }
}

impl Planner {
    /// Records in a full pass that a step waits for a node to call for advice.
    pub(super) fn note_caller(&mut self, pass: &Pass, key: StepKey) {
        let callers = &mut self.changed.callers;
        if pass.full && callers.back() != Some(&key) {
            callers.push_back(key);
        }
    }

    /// Returns the steps that a short pass visits, best rank first.
    pub(super) fn steps_of_short_pass(&mut self) -> Vec<StepKey> {
        let idle_nodes = self.nodes.len().saturating_sub(self.advice_calls.len());
        let changed = self.changed.take(idle_nodes);
        let mut keys = self.open.first(BEST_RANKED);
        let best: BTreeSet<StepKey> = keys.iter().copied().collect();
        let ranked = changed.into_iter().filter(|key| !best.contains(key));
        let ranked = ranked.filter_map(|key| Some((self.rank_if_independent(key)?, key)));
        let ranked: BTreeSet<(Rank, StepKey)> = ranked.collect();
        keys.extend(ranked.into_iter().map(|(_, key)| key));
        keys
    }

    /// Returns the rank of an open step that may be visited without all of better rank: it leaves
    /// nothing to the claims of others, and reserves no quota.
    fn rank_if_independent(&self, key: StepKey) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        let rank = self.open.rank(key)?;
        (job.account.is_none() && !rank.is_overdue()).then_some(rank)
    }
}
