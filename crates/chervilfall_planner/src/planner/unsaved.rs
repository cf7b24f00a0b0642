//! What the store does not have yet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::endpoint::EndpointKey;
use crate::ids::JobId;
use crate::record::RosterBucket;
use crate::tasks::JobRows;

/// Place of a change in the order in which changes came.
type Place = u64;

/// Jobs whose progress the store does not have, first come first served: work of one commit after the other must not keep
/// any of them waiting for ever.
#[derive(Debug, Default)]
pub(crate) struct UnsavedProgress {
    jobs: BTreeMap<Place, JobId>,
    places: BTreeMap<JobId, Place>,
    next: Place,
}

impl UnsavedProgress {
    /// Adds a job, unless it waits already: its row is written as it is then.
    pub(crate) fn insert(&mut self, id: JobId) {
        if !self.places.contains_key(&id) {
            self.places.insert(id, self.next);
            self.jobs.insert(self.next, id);
            self.next += 1;
        }
    }

    pub(crate) fn remove(&mut self, id: JobId) {
        if let Some(place) = self.places.remove(&id) {
            self.jobs.remove(&place);
        }
    }

    pub(crate) fn pop_first(&mut self) -> Option<JobId> {
        let (_, id) = self.jobs.pop_first()?;
        self.places.remove(&id);
        Some(id)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the place of the first that waits, or of the next that comes.
    fn first_place(&self) -> Place {
        let first = self.jobs.first_key_value();
        first.map_or(self.next, |(place, _)| *place)
    }
}

/// Ends of an endpoint up to a number, which can be acknowledged once all progress before a place is stored.
#[derive(Debug, Clone, Copy)]
struct UnsavedEnds {
    number: u64,
    before: Place,
}

/// Ends that have been taken in and not been acknowledged, by endpoint.
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

    /// Takes what can be acknowledged once everything before a place is stored.
    fn take_before(&mut self, place: Place) -> BTreeMap<EndpointKey, u64> {
        let mut ready = BTreeMap::new();
        for (endpoint, ends) in &mut self.ends {
            while let Some(first) = ends.front().filter(|first| first.before <= place) {
                ready.insert(*endpoint, first.number);
                ends.pop_front();
            }
        }
        self.ends.retain(|_, ends| !ends.is_empty());
        ready
    }
}

/// What the store does not have yet.
#[derive(Debug, Default)]
pub(crate) struct Unsaved {
    pub(crate) new_jobs: VecDeque<JobId>,
    pub(crate) progress: UnsavedProgress,
    pub(crate) acknowledgements: UnsavedAcknowledgements,
    pub(super) removed: Vec<(JobId, JobRows)>,
    pub(crate) roster: BTreeSet<RosterBucket>,
}

impl Unsaved {
    pub(crate) fn remove(&mut self, id: JobId, rows: JobRows) {
        self.progress.remove(id);
        self.removed.push((id, rows));
    }

    /// Notes that an endpoint's ends up to a number have been taken in.
    pub(crate) fn record_ends(&mut self, endpoint: EndpointKey, number: u64) {
        let before = self.progress.next;
        let ends = self.acknowledgements.ends.entry(endpoint).or_default();
        ends.push_back(UnsavedEnds { number, before });
    }

    /// Takes the ends that can be acknowledged once the batch that is being made is stored.
    pub(super) fn take_acknowledgements(&mut self) -> BTreeMap<EndpointKey, u64> {
        let place = self.progress.first_place();
        self.acknowledgements.take_before(place)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.new_jobs.is_empty()
            && self.progress.is_empty()
            && self.acknowledgements.is_empty()
            && self.removed.is_empty()
            && self.roster.is_empty()
    }
}
