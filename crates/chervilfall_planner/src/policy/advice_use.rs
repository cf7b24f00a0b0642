//! Whether a call for advice is of use.
//!
//! A ticket is valid for little longer than a slow call takes, and each node makes one call at a
//! time. A call whose tickets cannot be used keeps other steps from asking. Capacity that
//! better-ranked steps are about to use is claimed by them and not counted for others.

use slotmap::SecondaryMap;

use crate::endpoint::EndpointKey;
use crate::resources::Resources;

/// Kind of a call for advice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdviceCallKind {
    /// The step has not asked before.
    First,
    /// Asks about endpoints that the step has not asked about.
    Further,
    /// Renews the tickets of allowed endpoints.
    Renewal,
}

impl AdviceCallKind {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Further => "further",
            Self::Renewal => "renewal",
        }
    }
}

/// Number of tasks of a step that fit into unclaimed free capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FittingTasks {
    /// On endpoints that may run the step.
    pub allowed: u64,
    /// On endpoints whose permission is not known: not asked about yet, or named in a call in
    /// flight.
    pub unknown: u64,
}

impl FittingTasks {
    /// Returns the number that is expected to fit on endpoints that may run the step. All endpoints
    /// are expected to be allowed until a share is learned.
    fn expected(self, share: Option<f64>) -> f64 {
        self.allowed as f64 + self.unknown as f64 * share.unwrap_or(1.0)
    }
}

/// Returns whether asking about further endpoints is of use to a step that can start once
/// `min_startable` of its tasks fit. The first call of a step that starts task by task always is,
/// because permissions do not expire.
#[must_use]
pub fn asking_is_useful(
    kind: AdviceCallKind,
    fitting: FittingTasks,
    min_startable: u32,
    share: Option<f64>,
) -> bool {
    if min_startable <= 1 {
        kind == AdviceCallKind::First || fitting.unknown > 0
    } else {
        fitting.expected(share) >= f64::from(min_startable)
    }
}

/// An endpoint that a step is about to use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClaimableEndpoint {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Number of the step's tasks that fit into its unclaimed free capacity.
    pub fitting: u32,
    /// Probability that it may run the step.
    pub allowed_share: f64,
}

/// Capacity that the steps visited so far in a pass are about to use.
#[derive(Debug, Default)]
pub struct AdviceClaims {
    claimed: SecondaryMap<EndpointKey, Resources>,
}

impl AdviceClaims {
    /// Returns what is left of an endpoint's free resources.
    #[must_use]
    pub fn left(&self, endpoint: EndpointKey, free: Resources) -> Resources {
        match self.claimed.get(endpoint) {
            Some(claimed) => free.minus(*claimed),
            None => free,
        }
    }

    /// Claims capacity for `count` tasks that need `need` each: on an endpoint that is allowed with
    /// some probability, this part of the tasks that fit there.
    pub fn claim(
        &mut self,
        need: Resources,
        count: u32,
        endpoints: impl Iterator<Item = ClaimableEndpoint>,
    ) {
        let mut left = f64::from(count);
        for ClaimableEndpoint {
            endpoint,
            fitting,
            allowed_share,
        } in endpoints
        {
            if left <= 0.0 {
                return;
            }
            let tasks = (f64::from(fitting) * allowed_share).min(left);
            left -= tasks;
            let claim = need.scaled(tasks);
            let claimed = self.claimed.get(endpoint).copied().unwrap_or_default();
            self.claimed.insert(endpoint, claimed.add(claim));
        }
    }
}
