//! What the advice service has said about a step.

use std::collections::BTreeMap;

use crate::endpoint::EndpointKey;
use crate::event::Ticket;
use crate::ids::Millis;

/// What is known of an endpoint for a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Permission {
    /// It may not run the step, ever.
    Denied,
    /// It may; the ticket is valid until the time given.
    Granted(Ticket, Millis),
}

/// What is known for a step. Which endpoints may run it never changes; tickets lapse.
#[derive(Debug, Default)]
pub(crate) struct Advice {
    known: BTreeMap<EndpointKey, Permission>,
    /// When the last ticket lapses.
    valid_until_ms: Millis,
    /// Endpoints that the calls on their way name, by number of the call.
    asking: BTreeMap<u64, Vec<EndpointKey>>,
}

impl Advice {
    pub(crate) fn learn(&mut self, endpoint: EndpointKey, permission: Permission) {
        if let Permission::Granted(_, valid_until_ms) = &permission {
            self.valid_until_ms = self.valid_until_ms.max(*valid_until_ms);
        }
        self.known.insert(endpoint, permission);
    }

    pub(crate) fn begin_call(&mut self, number: u64, endpoints: Vec<EndpointKey>) {
        self.asking.insert(number, endpoints);
    }

    pub(crate) fn end_call(&mut self, number: u64) {
        self.asking.remove(&number);
    }

    /// Returns the number of calls on their way.
    pub(crate) fn calls(&self) -> usize {
        self.asking.len()
    }

    /// Returns the number of endpoints that calls on their way name.
    pub(crate) fn asked(&self) -> usize {
        self.asking.values().map(Vec::len).sum()
    }

    /// Returns whether a call on its way names the endpoint.
    pub(crate) fn asks_about(&self, endpoint: EndpointKey) -> bool {
        self.asking
            .values()
            .any(|endpoints| endpoints.contains(&endpoint))
    }

    pub(crate) fn known(&self, endpoint: EndpointKey) -> bool {
        self.known.contains_key(&endpoint)
    }

    pub(crate) fn allowed(&self, endpoint: EndpointKey) -> bool {
        matches!(self.known.get(&endpoint), Some(Permission::Granted(..)))
    }

    /// Returns whether some ticket may still be valid at `at_ms`.
    pub(crate) const fn any_ticket(&self, at_ms: Millis) -> bool {
        self.valid_until_ms > at_ms
    }

    /// Returns a ticket that is still valid at `at_ms`.
    pub(crate) fn ticket(&self, endpoint: EndpointKey, at_ms: Millis) -> Option<&Ticket> {
        match self.known.get(&endpoint)? {
            Permission::Granted(ticket, valid_until_ms) if *valid_until_ms > at_ms => Some(ticket),
            Permission::Granted(..) | Permission::Denied => None,
        }
    }

    /// Returns the endpoints whose tickets are still valid at `at_ms`.
    pub(crate) fn ticketed(&self, at_ms: Millis) -> impl Iterator<Item = EndpointKey> + '_ {
        self.known
            .iter()
            .filter_map(move |(key, permission)| match permission {
                Permission::Granted(_, valid_until_ms) if *valid_until_ms > at_ms => Some(*key),
                Permission::Granted(..) | Permission::Denied => None,
            })
    }

    /// Forgets a ticket that an endpoint has refused.
    pub(crate) fn spoil(&mut self, endpoint: EndpointKey) {
        if let Some(Permission::Granted(_, valid_until_ms)) = self.known.get_mut(&endpoint) {
            *valid_until_ms = 0;
        }
    }
}
