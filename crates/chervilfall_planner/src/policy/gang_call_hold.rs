//! Capacity kept for a gang while a call renews its tickets.
//!
//! A gang asks for new tickets when its allowed endpoints have enough free capacity. The call takes
//! 0.5 to 1.5 s. If other work takes the capacity meanwhile, the gang has to ask again. So the
//! capacity is kept from latency-tolerant work of lower rank until the call ends. These holds are
//! unrelated to hold orders, which renew leases.

use std::collections::BTreeMap;

use crate::config::ServiceName;
use crate::endpoint::EndpointKey;
use crate::ids::{CallNumber, Millis};
use crate::resources::Resources;

/// Part of a pool's capacity that is kept at a time, as a divisor. Other work is not starved, and
/// several gangs of usual width fit.
const POOL_DIVISOR: u64 = 10;

/// Returns whether `wanted` may be kept in a pool with this capacity in addition to what is kept
/// there already.
#[must_use]
pub const fn may_keep(kept: Resources, wanted: Resources, capacity: Resources) -> bool {
    let limit = Resources {
        cpu_milli: capacity.cpu_milli / POOL_DIVISOR,
        memory_mb: capacity.memory_mb / POOL_DIVISOR,
        gpus: capacity.gpus / POOL_DIVISOR,
    };
    limit.can_fit(kept.add(wanted))
}

/// Capacity kept for one gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHold<K> {
    step: K,
    service: ServiceName,
    /// Resources of a member.
    need: Resources,
    /// Number of members on each endpoint.
    members: BTreeMap<EndpointKey, u32>,
    since_ms: Millis,
}

impl<K: Copy> CallHold<K> {
    /// Returns the hold of a gang's `step` that would start a member on each of `picks`, where an
    /// endpoint is named once for each of its members.
    #[must_use]
    pub fn new(
        step: K,
        service: ServiceName,
        need: Resources,
        picks: &[EndpointKey],
        since_ms: Millis,
    ) -> Self {
        let mut members = BTreeMap::new();
        for endpoint in picks {
            *members.entry(*endpoint).or_default() += 1;
        }
        Self {
            step,
            service,
            need,
            members,
            since_ms,
        }
    }

    /// Returns the gang's step.
    #[must_use]
    pub const fn step(&self) -> K {
        self.step
    }

    /// Returns the pool in which capacity is kept.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns when the call was made.
    #[must_use]
    pub const fn since_ms(&self) -> Millis {
        self.since_ms
    }

    /// Returns what is kept altogether.
    #[must_use]
    pub fn total(&self) -> Resources {
        self.need.times(self.members.values().sum())
    }

    /// Returns what is kept on an endpoint.
    #[must_use]
    pub fn on(&self, endpoint: EndpointKey) -> Resources {
        let members = self.members.get(&endpoint).copied();
        self.need.times(members.unwrap_or(0))
    }
}

/// The holds of all calls in flight, by call number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHolds<K> {
    holds: BTreeMap<CallNumber, CallHold<K>>,
}

impl<K> Default for CallHolds<K> {
    fn default() -> Self {
        Self {
            holds: BTreeMap::new(),
        }
    }
}

impl<K: Copy> CallHolds<K> {
    /// Begins a hold with its call, unless too much of the pool would be kept. Returns whether it
    /// began.
    pub fn begin(&mut self, call: CallNumber, hold: CallHold<K>, capacity: Resources) -> bool {
        let kept = self.kept(&hold.service);
        let begins = may_keep(kept, hold.total(), capacity);
        if begins {
            self.holds.insert(call, hold);
        }
        begins
    }

    /// Ends the hold of a call, if there is one.
    pub fn end(&mut self, call: CallNumber) -> Option<CallHold<K>> {
        self.holds.remove(&call)
    }

    /// Returns the holds.
    pub fn iter(&self) -> impl Iterator<Item = &CallHold<K>> {
        self.holds.values()
    }

    /// Returns what is kept in a pool.
    #[must_use]
    pub fn kept(&self, service: &str) -> Resources {
        let holds = self.holds.values().filter(|hold| hold.service == service);
        holds.fold(Resources::default(), |sum, hold| sum.add(hold.total()))
    }
}
