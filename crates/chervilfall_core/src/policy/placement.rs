//! Placement on an owner's own endpoints: interactive work and services are spread, batch is
//! packed.
//!
//! This is a linear scan over the endpoints; it is exact, and the baseline against which an
//! index will be measured.

use chervilfall_types::{Instant, Resources, ServiceName, WorkClass};

use crate::owner::{Endpoint, EndpointKey};

/// What a placement needs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Shape {
    pub(crate) class: WorkClass,
    pub(crate) service: Option<ServiceName>,
    pub(crate) amounts: [u64; Resources::COUNT],
}

impl Shape {
    /// Returns the resources of the shape.
    pub(crate) const fn resources(&self) -> Resources {
        Resources::from_amounts(self.amounts)
    }

    /// Returns whether an empty endpoint could hold the shape.
    pub(crate) fn could_fit(&self, endpoint: &Endpoint) -> bool {
        let served = self
            .service
            .as_ref()
            .is_none_or(|service| *service == endpoint.record.service);
        served && self.resources().fits(&endpoint.capacity)
    }
}

/// Returns the endpoint that suits a shape best, if one has room.
pub(crate) fn choose<'a>(
    shape: &Shape,
    now: Instant,
    endpoints: impl Iterator<Item = (EndpointKey, &'a Endpoint)>,
) -> Option<EndpointKey> {
    let need = shape.resources();
    let room = endpoints.filter(|(_, endpoint)| {
        endpoint.takes_work_at(now) && shape.could_fit(endpoint) && need.fits(&endpoint.free())
    });
    let scored = room.map(|(key, endpoint)| (used_permille(endpoint), key));
    match shape.class {
        WorkClass::Call | WorkClass::Service => scored.min().map(|(_, key)| key),
        WorkClass::Gang | WorkClass::Batch => scored.max().map(|(_, key)| key),
    }
}

/// Returns the used share of the resource that is used most, in thousandths.
fn used_permille(endpoint: &Endpoint) -> u64 {
    let reserved = endpoint.reserved.amounts();
    let capacity = endpoint.capacity.amounts();
    reserved
        .iter()
        .zip(capacity)
        .filter(|(_, capacity)| *capacity > 0)
        .map(|(reserved, capacity)| reserved * 1_000 / capacity)
        .max()
        .unwrap_or(0)
}
