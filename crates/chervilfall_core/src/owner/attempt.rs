//! One attempt as its owner sees it.

use chervilfall_types::{Instant, RemoteInstant};
use chervilfall_wire::{AttemptEnd, AttemptSpec, AttemptState};
use slotmap::SlotMap;

use crate::owner::{Endpoint, EndpointKey};
use crate::policy::placement::Shape;

/// Where an attempt stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptPhase {
    /// It waits for room.
    Queued {
        /// Our time after which it must not start.
        start_by: Instant,
    },
    /// Its start was ordered, and the endpoint has not said what became of it.
    Sent {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Our time after which it must not start.
        start_by: Instant,
        /// The endpoint's time after which it refuses the start.
        agent_start_by: RemoteInstant,
    },
    /// It runs.
    Running {
        /// The endpoint.
        endpoint: EndpointKey,
    },
    /// It ended, and its requester has not yet confirmed that it knows.
    Ended {
        /// The endpoint that remembers it, if it got to one.
        endpoint: Option<EndpointKey>,
        /// How it ended.
        end: AttemptEnd,
    },
}

/// One attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) spec: AttemptSpec,
    pub(crate) phase: AttemptPhase,
    /// Whether the requester has taken it back.
    pub(crate) withdrawn: bool,
    /// When it was seen to run.
    pub(crate) started: Option<Instant>,
    /// How long it was seen to run, in milliseconds.
    pub(crate) ran_ms: u64,
}

impl Attempt {
    pub(crate) fn shape(&self) -> Shape {
        Shape {
            class: self.spec.class,
            service: self.spec.service.clone(),
            amounts: self.spec.resources.amounts(),
        }
    }

    /// Returns the endpoint whose resources it holds.
    pub(crate) const fn holds(&self) -> Option<EndpointKey> {
        match self.phase {
            AttemptPhase::Sent { endpoint, .. } | AttemptPhase::Running { endpoint } => {
                Some(endpoint)
            }
            AttemptPhase::Queued { .. } | AttemptPhase::Ended { .. } => None,
        }
    }
}

/// Returns the state of an attempt to report to its requester, if it is known.
///
/// Only the holder of an endpoint's lease that has read its list may say what runs there; before
/// that an attempt that was sent to the endpoint is astray.
pub(crate) fn state_of(
    attempt: &Attempt,
    endpoints: &SlotMap<EndpointKey, Endpoint>,
    now: Instant,
) -> Option<AttemptState> {
    let name = |key: &EndpointKey| Some(endpoints.get(*key)?.record.name.clone());
    match &attempt.phase {
        AttemptPhase::Queued { .. } => Some(AttemptState::Waiting),
        AttemptPhase::Sent { endpoint, .. } => match endpoints.get(*endpoint)?.listed_epoch_at(now)
        {
            Some(_) => Some(AttemptState::Waiting),
            None => name(endpoint).map(AttemptState::Astray),
        },
        AttemptPhase::Running { endpoint } => {
            let epoch = endpoints.get(*endpoint)?.listed_epoch_at(now);
            let endpoint = name(endpoint)?;
            Some(match epoch {
                Some(epoch) => AttemptState::Running { endpoint, epoch },
                None => AttemptState::Astray(endpoint),
            })
        }
        AttemptPhase::Ended { endpoint, end } => Some(AttemptState::Ended {
            end: end.clone(),
            endpoint: endpoint.as_ref().and_then(name),
            ran_ms: attempt.ran_ms,
        }),
    }
}
