//! Open steps: active steps with tasks that have not been placed.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::JobId;
use crate::policy::order::Rank;
use crate::tasks::StepKey;

/// The open steps, best rank first.
#[derive(Debug, Default)]
pub(crate) struct OpenSteps {
    ordered: BTreeSet<(Rank, StepKey)>,
    ranks: BTreeMap<StepKey, Rank>,
}

impl OpenSteps {
    /// Inserts a step, or moves it if its rank has changed.
    pub(crate) fn insert(&mut self, key: StepKey, rank: Rank) {
        let earlier = self.ranks.insert(key, rank);
        if earlier == Some(rank) {
            return;
        }
        if let Some(earlier) = earlier {
            self.ordered.remove(&(earlier, key));
        }
        self.ordered.insert((rank, key));
    }

    pub(crate) fn remove(&mut self, key: StepKey) {
        if let Some(rank) = self.ranks.remove(&key) {
            self.ordered.remove(&(rank, key));
        }
    }

    pub(crate) fn remove_job(&mut self, job: JobId) {
        let from = StepKey {
            job,
            occurrence: 0,
            step: 0,
        };
        let keys = self.ranks.range(from..).map(|(key, _)| *key);
        let keys: Vec<StepKey> = keys.take_while(|key| key.job == job).collect();
        for key in keys {
            self.remove(key);
        }
    }

    /// Returns the steps, best rank first.
    pub(crate) fn keys(&self) -> Vec<StepKey> {
        self.ordered.iter().map(|(_, key)| *key).collect()
    }

    /// Returns the `limit` steps of best rank.
    pub(crate) fn first(&self, limit: usize) -> Vec<StepKey> {
        let keys = self.ordered.iter().map(|(_, key)| *key);
        keys.take(limit).collect()
    }

    pub(crate) fn contains(&self, key: StepKey) -> bool {
        self.ranks.contains_key(&key)
    }

    /// Returns the rank of a step when it was last ranked.
    pub(crate) fn rank(&self, key: StepKey) -> Option<Rank> {
        self.ranks.get(&key).copied()
    }

    /// Returns whether a step ranked as overdue when it was last ranked.
    pub(crate) fn is_overdue(&self, key: StepKey) -> bool {
        self.ranks.get(&key).is_some_and(Rank::is_overdue)
    }

    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }
}
