//! Which endpoint a task goes to.

use crate::endpoint::EndpointKey;
use crate::policy::headroom::HeadroomSlots;
use crate::policy::speed::SpeedClass;
use crate::resources::Resources;
use crate::tasks::Job;

/// Objective, in percent of the longest chain of work, up to which work is hurried: a slow endpoint takes half
/// of the time that it has to spare.
const HURRIED_PERCENT: u64 = 220;
/// The same from which on work is patient: it completes in time on a slow endpoint too.
const PATIENT_PERCENT: u64 = 350;

/// Which endpoints suit a job by their speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LatencyClass {
    /// Fast ones.
    Sensitive,
    /// Any but lagging ones.
    Standard,
    /// Slow ones, so that fast ones are left for others.
    Tolerant,
}

impl LatencyClass {
    /// Returns the haste of a job by how its objective compares with its work. Work without an estimate, and work
    /// that lasts until it is cancelled, is neither hurried nor patient.
    pub(crate) fn of(job: &Job) -> Self {
        if job.chain_ms == 0 || job.long_running {
            return Self::Standard;
        }
        let percent = job.objective_ms * 100 / job.chain_ms;
        if percent <= HURRIED_PERCENT {
            Self::Sensitive
        } else if percent >= PATIENT_PERCENT {
            Self::Tolerant
        } else {
            Self::Standard
        }
    }

    /// Returns the rank of an endpoint's speed; the lowest suits best.
    pub(crate) const fn rank(self, speed_class: SpeedClass) -> i8 {
        if speed_class.is_lagging() {
            return i8::MAX;
        }
        match self {
            Self::Sensitive => -speed_class.0,
            Self::Standard => 0,
            Self::Tolerant => speed_class.0,
        }
    }
}

/// An endpoint that may be given a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Offer {
    pub(crate) endpoint: EndpointKey,
    pub(crate) free: Resources,
    /// Most further tasks of the step that the endpoint may be given.
    pub(crate) max_new_tasks: u32,
    /// A run of the step has failed there.
    pub(crate) failed: bool,
    /// The step's data is on its rack, or the step does not ask for a rack.
    pub(crate) near: bool,
    /// How fast it is.
    pub(crate) speed_class: SpeedClass,
}

impl Offer {
    fn take(&mut self, need: Resources) {
        self.free = self.free.minus(need);
        self.max_new_tasks -= 1;
    }

    /// Returns how many tasks it can be given.
    pub(crate) fn max_fitting(&self, need: Resources) -> u32 {
        self.free.max_fitting(need).min(self.max_new_tasks)
    }
}

/// Picks endpoints for up to `count` tasks: those where the step has not failed and near ones first, of these
/// those whose speed suits the work, and of these the one that is left with the least processor, so that large
/// holes stay for wide tasks.
pub(crate) fn pick_endpoints(
    offers: &mut [Offer],
    need: Resources,
    count: u32,
    latency_class: LatencyClass,
) -> Vec<EndpointKey> {
    let mut picks = Vec::new();
    for _ in 0..count {
        let fitting = offers
            .iter_mut()
            .filter(|offer| offer.max_fitting(need) > 0);
        let best = fitting.min_by_key(|offer| {
            (
                offer.failed,
                !offer.near,
                latency_class.rank(offer.speed_class),
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

/// Picks endpoints for up to `count` patient tasks: beside the holes for hurried work first, and in these only
/// while enough of them are left.
pub(crate) fn pick_keeping_headroom(
    offers: &mut [Offer],
    need: Resources,
    count: u32,
    slots: &mut HeadroomSlots,
) -> Vec<EndpointKey> {
    let mut beside: Vec<Offer> = offers.to_vec();
    for offer in &mut beside {
        offer.free = slots.beside(offer.free);
    }
    let mut picks = pick_endpoints(&mut beside, need, count, LatencyClass::Tolerant);
    for endpoint in &picks {
        if let Some(offer) = offers.iter_mut().find(|offer| offer.endpoint == *endpoint) {
            offer.take(need);
        }
    }
    let left = count - u32::try_from(picks.len()).unwrap_or(count);
    let more = pick_endpoints(
        offers,
        need,
        left.min(slots.tasks(need)),
        LatencyClass::Tolerant,
    );
    for endpoint in &more {
        if let Some(offer) = offers.iter().find(|offer| offer.endpoint == *endpoint) {
            slots.fill(offer.free.add(need), need);
        }
    }
    picks.extend(more);
    picks
}

/// Picks endpoints for all `count` tasks, or none.
pub(crate) fn pick_all_or_none(
    offers: &mut [Offer],
    need: Resources,
    count: u32,
    latency_class: LatencyClass,
) -> Option<Vec<EndpointKey>> {
    let room: u64 = offers
        .iter()
        .map(|offer| u64::from(offer.max_fitting(need)))
        .sum();
    if room < u64::from(count) {
        return None;
    }
    Some(pick_endpoints(offers, need, count, latency_class))
}
