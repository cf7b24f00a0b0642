//! Room kept for gangs while a call for advice about them is on its way.
//!
//! The call takes 0.6 to 1.4 s, and without this the room that it is made for is gone when its answer
//! comes: narrow tasks need no second look and take what is free at once.

use std::collections::BTreeMap;

use crate::endpoint::{EndpointKey, Room};
use crate::ids::{JobId, Millis};
use crate::tasks::StepKey;

/// What is kept for a gang.
#[derive(Debug)]
struct Keep {
    rooms: BTreeMap<EndpointKey, Room>,
    until_ms: Millis,
}

/// All that is kept.
#[derive(Debug, Default)]
pub(crate) struct Keeps {
    by_step: BTreeMap<StepKey, Keep>,
    by_endpoint: BTreeMap<EndpointKey, Room>,
}

impl Keeps {
    /// Keeps room of `need` on each of `picks`, in place of what was kept for the step.
    pub(crate) fn keep(
        &mut self,
        step: StepKey,
        picks: &[EndpointKey],
        need: Room,
        until_ms: Millis,
    ) {
        self.release(step);
        let mut rooms: BTreeMap<EndpointKey, Room> = BTreeMap::new();
        for endpoint in picks {
            let room = rooms.entry(*endpoint).or_default();
            *room = room.add(need);
        }
        for (endpoint, room) in &rooms {
            let sum = self.by_endpoint.entry(*endpoint).or_default();
            *sum = sum.add(*room);
        }
        self.by_step.insert(step, Keep { rooms, until_ms });
    }

    pub(crate) fn release(&mut self, step: StepKey) {
        let Some(keep) = self.by_step.remove(&step) else {
            return;
        };
        for (endpoint, room) in keep.rooms {
            let Some(sum) = self.by_endpoint.get_mut(&endpoint) else {
                continue;
            };
            *sum = sum.minus(room);
            if *sum == Room::default() {
                self.by_endpoint.remove(&endpoint);
            }
        }
    }

    pub(crate) fn release_job(&mut self, job: JobId) {
        self.release_where(|step, _| step.job == job);
    }

    pub(crate) fn release_overdue(&mut self, now: Millis) {
        self.release_where(|_, keep| now >= keep.until_ms);
    }

    fn release_where(&mut self, over: impl Fn(&StepKey, &Keep) -> bool) {
        let steps: Vec<StepKey> = self
            .by_step
            .iter()
            .filter(|(step, keep)| over(step, keep))
            .map(|(step, _)| *step)
            .collect();
        for step in steps {
            self.release(step);
        }
    }

    /// Returns whether something is kept for the step.
    pub(crate) fn holds(&self, step: StepKey) -> bool {
        self.by_step.contains_key(&step)
    }

    /// Returns what is kept on an endpoint for other steps.
    pub(crate) fn for_others(&self, endpoint: EndpointKey, step: StepKey) -> Room {
        let Some(all) = self.by_endpoint.get(&endpoint) else {
            return Room::default();
        };
        let own = self
            .by_step
            .get(&step)
            .and_then(|keep| keep.rooms.get(&endpoint));
        all.minus(own.copied().unwrap_or_default())
    }
}
