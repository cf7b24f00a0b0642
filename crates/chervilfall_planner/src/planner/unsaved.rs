//! Changes that have not been stored yet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::endpoint::EndpointKey;
use crate::ids::JobId;
use crate::record::RosterBucket;
use crate::tasks::JobRows;

/// Sequence number of a change, in order of arrival.
type Sequence = u64;

/// Jobs whose progress has not been stored, in order of arrival, so that a steady flow of new
/// changes cannot delay any of them indefinitely.
#[derive(Debug, Default)]
pub(crate) struct UnsavedProgress {
    jobs: BTreeMap<Sequence, JobId>,
    sequences: BTreeMap<JobId, Sequence>,
    next: Sequence,
}

impl UnsavedProgress {
    /// Adds a job, unless it is queued already: its row is built only when it is written.
    pub(crate) fn insert(&mut self, id: JobId) {
        if !self.sequences.contains_key(&id) {
            self.sequences.insert(id, self.next);
            self.jobs.insert(self.next, id);
            self.next += 1;
        }
    }

    pub(crate) fn remove(&mut self, id: JobId) {
        if let Some(sequence) = self.sequences.remove(&id) {
            self.jobs.remove(&sequence);
        }
    }

    pub(crate) fn pop_first(&mut self) -> Option<JobId> {
        let (_, id) = self.jobs.pop_first()?;
        self.sequences.remove(&id);
        Some(id)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the sequence number of the first queued job, or the next number if none is queued.
    fn first_sequence(&self) -> Sequence {
        let first = self.jobs.first_key_value();
        first.map_or(self.next, |(sequence, _)| *sequence)
    }
}

/// Ends reported by an endpoint up to a number. They can be acknowledged once all progress before a
/// sequence number is stored.
#[derive(Debug, Clone, Copy)]
struct UnsavedEnds {
    number: u64,
    before: Sequence,
}

/// Ends that have been processed but not acknowledged, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct UnsavedAcknowledgements {
    ends: BTreeMap<EndpointKey, VecDeque<UnsavedEnds>>,
}

impl UnsavedAcknowledgements {
    pub(crate) fn remove(&mut self, endpoint: EndpointKey) {
        self.ends.remove(&endpoint);
    }

    fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Removes and returns the ends that can be acknowledged once everything before a sequence
    /// number is stored.
    fn take_before(&mut self, sequence: Sequence) -> BTreeMap<EndpointKey, u64> {
        let mut ready = BTreeMap::new();
        for (endpoint, ends) in &mut self.ends {
            while let Some(first) = ends.front().filter(|first| first.before <= sequence) {
                ready.insert(*endpoint, first.number);
                ends.pop_front();
            }
        }
        self.ends.retain(|_, ends| !ends.is_empty());
        ready
    }
}

/// Changes that have not been stored yet.
#[derive(Debug, Default)]
pub(crate) struct UnsavedChanges {
    pub(crate) new_jobs: VecDeque<JobId>,
    pub(crate) progress: UnsavedProgress,
    pub(crate) acknowledgements: UnsavedAcknowledgements,
    pub(super) removed: Vec<(JobId, JobRows)>,
    pub(crate) roster: BTreeSet<RosterBucket>,
}

impl UnsavedChanges {
    pub(crate) fn remove(&mut self, id: JobId, rows: JobRows) {
        self.progress.remove(id);
        self.removed.push((id, rows));
    }

    /// Records that an endpoint's ends up to a number have been processed.
    pub(crate) fn record_ends(&mut self, endpoint: EndpointKey, number: u64) {
        let before = self.progress.next;
        let ends = self.acknowledgements.ends.entry(endpoint).or_default();
        ends.push_back(UnsavedEnds { number, before });
    }

    /// Removes and returns the ends that can be acknowledged once the batch being built is stored.
    pub(super) fn take_acknowledgements(&mut self) -> BTreeMap<EndpointKey, u64> {
        let sequence = self.progress.first_sequence();
        self.acknowledgements.take_before(sequence)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.new_jobs.is_empty()
            && self.progress.is_empty()
            && self.acknowledgements.is_empty()
            && self.removed.is_empty()
            && self.roster.is_empty()
    }
}
