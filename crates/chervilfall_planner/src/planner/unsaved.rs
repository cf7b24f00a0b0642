//! Changes that have not been stored yet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::endpoint::EndpointKey;
use crate::ids::{JobId, Millis};
use crate::job_parts::JobParts;
use crate::progress_part::PartKey;
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

    /// Returns the queued jobs in order of arrival.
    pub(super) fn iter(&self) -> impl Iterator<Item = JobId> + '_ {
        self.jobs.values().copied()
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

/// Ends reported by an endpoint up to a number. They can be acknowledged once none of these changes
/// of their jobs' progress is queued any more and the batch being built is stored.
#[derive(Debug, Clone)]
struct UnsavedEnds {
    number: u64,
    changes: Vec<Sequence>,
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

    /// Removes and returns the ends whose jobs' progress is no longer queued.
    fn take_ready(&mut self, progress: &UnsavedProgress) -> BTreeMap<EndpointKey, u64> {
        let queued = |change: &Sequence| progress.jobs.contains_key(change);
        let mut ready = BTreeMap::new();
        for (endpoint, ends) in &mut self.ends {
            while let Some(first) = ends
                .front()
                .filter(|first| !first.changes.iter().any(queued))
            {
                ready.insert(*endpoint, first.number);
                ends.pop_front();
            }
        }
        self.ends.retain(|_, ends| !ends.is_empty());
        ready
    }
}

/// How many batches in a row went without a job's change that was queued.
#[derive(Debug, Default)]
pub(super) struct MissedBatches(BTreeMap<JobId, u32>);

impl MissedBatches {
    pub(super) fn of(&self, id: JobId) -> u32 {
        self.0.get(&id).copied().unwrap_or(0)
    }

    /// Counts a batch that went without the changes of these jobs.
    fn note(&mut self, left: impl Iterator<Item = JobId>) {
        let counted = left.map(|id| (id, self.of(id) + 1)).collect();
        self.0 = counted;
    }
}

/// Changes that have not been stored yet.
#[derive(Debug, Default)]
pub(crate) struct UnsavedChanges {
    pub(crate) new_jobs: VecDeque<JobId>,
    pub(crate) progress: UnsavedProgress,
    pub(crate) acknowledgements: UnsavedAcknowledgements,
    pub(super) missed_submissions: MissedBatches,
    pub(super) missed_progress: MissedBatches,
    pub(super) removed: Vec<(JobId, JobRows)>,
    /// Parts of the progress of jobs that have ended. They are removed before the rows that show
    /// that a job's name was used.
    pub(super) removed_parts: Vec<PartKey>,
    /// Jobs whose ends are stored beside their open rows, which a later batch removes.
    pub(super) ended_in_place: BTreeSet<JobId>,
    /// When it was last logged that more waits than a batch holds.
    pub(super) pressure_logged_ms: Millis,
    pub(crate) roster: BTreeSet<RosterBucket>,
}

impl UnsavedChanges {
    pub(crate) fn remove(&mut self, id: JobId, rows: JobRows, parts: &JobParts) {
        self.progress.remove(id);
        self.ended_in_place.remove(&id);
        self.remove_parts(id, parts);
        self.removed.push((id, rows));
    }

    /// Has the parts of a job's progress removed.
    pub(super) fn remove_parts(&mut self, job: JobId, parts: &JobParts) {
        let keys = parts.stored_numbers();
        let keys = keys.map(|number| PartKey { job, number });
        self.removed_parts.extend(keys);
    }

    /// Records that an endpoint's ends up to a number, of tasks of `jobs`, have been processed.
    pub(crate) fn record_ends(
        &mut self,
        endpoint: EndpointKey,
        number: u64,
        jobs: impl Iterator<Item = JobId>,
    ) {
        let sequences = &self.progress.sequences;
        let changes = jobs.filter_map(|id| sequences.get(&id).copied()).collect();
        let ends = self.acknowledgements.ends.entry(endpoint).or_default();
        ends.push_back(UnsavedEnds { number, changes });
    }

    /// Removes and returns the ends that can be acknowledged once the batch being built is stored.
    pub(super) fn take_acknowledgements(&mut self) -> BTreeMap<EndpointKey, u64> {
        self.acknowledgements.take_ready(&self.progress)
    }

    /// Counts for each change that is still queued that the batch just built went without it.
    pub(super) fn note_missed(&mut self) {
        let submissions = self.new_jobs.iter().copied();
        self.missed_submissions.note(submissions);
        self.missed_progress.note(self.progress.iter());
    }

    pub(super) fn is_empty(&self) -> bool {
        self.new_jobs.is_empty()
            && self.progress.is_empty()
            && self.acknowledgements.is_empty()
            && self.removed.is_empty()
            && self.removed_parts.is_empty()
            && self.roster.is_empty()
    }
}
