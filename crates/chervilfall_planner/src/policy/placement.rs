//! Selection of endpoints for tasks.

use crate::endpoint::EndpointKey;
use crate::policy::headroom::HeadroomSlots;
use crate::policy::speed::SpeedClass;
use crate::resources::Resources;
use crate::tasks::Job;

/// Objective, in percent of the longest chain of work, up to which work is latency-sensitive: on a
/// slow endpoint it loses half of its slack.
const SENSITIVE_PERCENT: u64 = 220;
/// Objective from which work is latency-tolerant: it completes in time even on a slow endpoint.
const TOLERANT_PERCENT: u64 = 350;

/// Rank of a cold endpoint for latency-sensitive work: the last before lagging endpoints.
const COLD_RANK: i8 = i8::MAX - 1;

/// Latency class of a job, which determines the preferred speed of its endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LatencyClass {
    /// Prefers fast endpoints.
    Sensitive,
    /// Accepts all endpoints except lagging ones equally.
    Standard,
    /// Prefers slow endpoints, which leaves the fast ones to others.
    Tolerant,
}

impl LatencyClass {
    /// Returns the class of a job by the ratio of its objective to its estimated work. Work without
    /// an estimate and work that runs until it is cancelled is in the standard class.
    pub(crate) fn of(job: &Job) -> Self {
        if job.chain_ms == 0 || job.long_running {
            return Self::Standard;
        }
        let percent = job.objective_ms * 100 / job.chain_ms;
        if percent <= SENSITIVE_PERCENT {
            Self::Sensitive
        } else if percent >= TOLERANT_PERCENT {
            Self::Tolerant
        } else {
            Self::Standard
        }
    }

    /// Returns the rank of an endpoint's speed class; the lowest rank is preferred.
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
    /// Maximum number of further tasks of the step that the endpoint may be given.
    pub(crate) max_new_tasks: u32,
    /// A soft limit has given way, so that others are used first.
    pub(crate) beyond_soft_limit: bool,
    /// A run of the step has failed there.
    pub(crate) failed: bool,
    /// Number of jobs of which a run has failed there recently; 0 unless the step has failed.
    pub(crate) recent_failures: u32,
    /// The step's data is on its rack, or the step does not request a rack.
    pub(crate) near: bool,
    /// Speed class of the endpoint.
    pub(crate) speed_class: SpeedClass,
    /// The endpoint is slow after its start.
    pub(crate) cold: bool,
}

impl Offer {
    fn take(&mut self, need: Resources) {
        self.free = self.free.minus(need);
        self.max_new_tasks -= 1;
    }

    /// Returns the rank of its speed; the lowest rank is preferred. For latency-sensitive work a
    /// cold endpoint ranks after all warm ones that are not lagging.
    fn speed_rank(&self, latency_class: LatencyClass) -> i8 {
        let rank = latency_class.rank(self.speed_class);
        if self.cold && latency_class == LatencyClass::Sensitive {
            rank.max(COLD_RANK)
        } else {
            rank
        }
    }

    /// Returns the maximum number of tasks that it can be given.
    pub(crate) fn max_fitting(&self, need: Resources) -> u32 {
        self.free.max_fitting(need).min(self.max_new_tasks)
    }
}

/// Picks endpoints for up to `count` tasks. Prefers endpoints within soft limits, then those where
/// the step has not failed, then, for a step that has failed, those with the fewest recent failures, then near ones, then those of
/// the preferred speed class, then those with the least free CPU, which preserves large free
/// capacity for wide tasks.
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
                offer.beyond_soft_limit,
                offer.failed,
                offer.recent_failures,
                !offer.near,
                offer.speed_rank(latency_class),
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

/// Picks endpoints for up to `count` latency-tolerant tasks: first outside the headroom slots, then
/// inside them while enough slots stay open.
pub(crate) fn pick_keeping_headroom(
    offers: &mut [Offer],
    need: Resources,
    count: u32,
    slots: &mut HeadroomSlots,
) -> Vec<EndpointKey> {
    let mut outside_slots: Vec<Offer> = offers.to_vec();
    for offer in &mut outside_slots {
        offer.free = slots.outside(offer.free);
    }
    let mut picks = pick_endpoints(&mut outside_slots, need, count, LatencyClass::Tolerant);
    for endpoint in &picks {
        if let Some(offer) = offers.iter_mut().find(|offer| offer.endpoint == *endpoint) {
            offer.take(need);
        }
    }
    let left = count - u32::try_from(picks.len()).unwrap_or(count);
    let more = pick_endpoints(
        offers,
        need,
        left.min(slots.max_tasks_inside(need)),
        LatencyClass::Tolerant,
    );
    for endpoint in &more {
        if let Some(offer) = offers.iter().find(|offer| offer.endpoint == *endpoint) {
            slots.occupy(offer.free.add(need), need);
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
    let fitting: u64 = offers
        .iter()
        .map(|offer| u64::from(offer.max_fitting(need)))
        .sum();
    if fitting < u64::from(count) {
        return None;
    }
    Some(pick_endpoints(offers, need, count, latency_class))
}
