//! Steps whose turn has come and that have tasks without a place.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::JobId;
use crate::policy::order::Rank;
use crate::tasks::StepKey;

/// The steps, best rank first.
#[derive(Debug, Default)]
pub(crate) struct OpenSteps {
    ordered: BTreeSet<(Rank, StepKey)>,
    ranks: BTreeMap<StepKey, Rank>,
}

impl OpenSteps {
    /// Puts a step in its place; one that is there already moves.
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
        let keys: Vec<StepKey> = self
            .ranks
            .keys()
            .filter(|key| key.job == job)
            .copied()
            .collect();
        for key in keys {
            self.remove(key);
        }
    }

    /// Returns the steps, best rank first.
    pub(crate) fn keys(&self) -> Vec<StepKey> {
        self.ordered.iter().map(|(_, key)| *key).collect()
    }

    /// Returns the steps of best rank, at most `most`.
    pub(crate) fn first(&self, most: usize) -> Vec<StepKey> {
        let keys = self.ordered.iter().map(|(_, key)| *key);
        keys.take(most).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }
}
