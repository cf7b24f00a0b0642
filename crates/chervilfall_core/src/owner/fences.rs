//! Highest epoch of each shard's holder that an owner has heard of.
//!
//! The fence is also kept as a note on every endpoint, so that an owner that was cut off while a
//! shard changed hands learns of it before it starts anything there.

use std::collections::BTreeMap;

use chervilfall_types::{Epoch, ShardId};
use serde::{Deserialize, Serialize};

/// Epochs below which placements of a shard are refused.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Fences {
    epochs: BTreeMap<ShardId, Epoch>,
}

impl Fences {
    /// Raises the fence of a shard; returns false if it stood higher already.
    pub(crate) fn raise(&mut self, shard: ShardId, epoch: Epoch) -> bool {
        let fence = self.epochs.entry(shard).or_default();
        if *fence > epoch {
            return false;
        }
        *fence = epoch;
        true
    }

    /// Raises the fence of every shard to at least that of `other`.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (shard, epoch) in &other.epochs {
            self.raise(*shard, *epoch);
        }
    }

    /// Returns whether a placement under `epoch` is refused.
    pub(crate) fn refuses(&self, shard: ShardId, epoch: Epoch) -> bool {
        self.epochs.get(&shard).is_some_and(|fence| *fence > epoch)
    }

    /// Reads the note of an endpoint; an unreadable one counts as empty.
    pub(crate) fn from_note(note: &str) -> Self {
        serde_json::from_str(note).unwrap_or_default()
    }

    /// Returns the note for an endpoint.
    pub(crate) fn to_note(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
