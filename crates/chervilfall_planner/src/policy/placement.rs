//! Which endpoint a task goes to.

use crate::endpoint::{EndpointKey, Room};

/// An endpoint that may be given a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Offer {
    pub(crate) endpoint: EndpointKey,
    pub(crate) free: Room,
    /// Most further tasks of the step that the endpoint may be given.
    pub(crate) most: u32,
    /// A run of the step has failed there.
    pub(crate) failed: bool,
    /// The step's data is on its rack, or the step does not ask for a rack.
    pub(crate) near: bool,
}

impl Offer {
    fn take(&mut self, need: Room) {
        self.free = self.free.minus(need);
        self.most -= 1;
    }

    /// Returns how many tasks it can be given.
    pub(crate) fn fits(&self, need: Room) -> u32 {
        self.free.fits(need).min(self.most)
    }
}

/// Picks endpoints for up to `count` tasks: those where the step has not failed and near ones first, and of these the one that is left
/// with the least processor, so that large holes stay for wide tasks.
pub(crate) fn pick(offers: &mut [Offer], need: Room, count: u32) -> Vec<EndpointKey> {
    let mut picks = Vec::new();
    for _ in 0..count {
        let fitting = offers.iter_mut().filter(|offer| offer.fits(need) > 0);
        let best = fitting.min_by_key(|offer| {
            (
                offer.failed,
                !offer.near,
                offer.free.cpu_milli,
                offer.free.memory_mb,
            )
        });
        let Some(best) = best else {
            break;
        };
        best.take(need);
        picks.push(best.endpoint);
    }
    picks
}

/// Picks endpoints for all `count` tasks, or none.
pub(crate) fn pick_all(offers: &mut [Offer], need: Room, count: u32) -> Option<Vec<EndpointKey>> {
    let room: u64 = offers.iter().map(|offer| u64::from(offer.fits(need))).sum();
    if room < u64::from(count) {
        return None;
    }
    Some(pick(offers, need, count))
}
