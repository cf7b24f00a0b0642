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
    /// Number of the call that is on its way.
    pub(crate) asking: Option<u64>,
}

impl Advice {
    pub(crate) fn learn(&mut self, endpoint: EndpointKey, permission: Permission) {
        if let Permission::Granted(_, valid_until_ms) = &permission {
            self.valid_until_ms = self.valid_until_ms.max(*valid_until_ms);
        }
        self.known.insert(endpoint, permission);
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

    /// Forgets a ticket that an endpoint has refused.
    pub(crate) fn spoil(&mut self, endpoint: EndpointKey) {
        if let Some(Permission::Granted(_, valid_until_ms)) = self.known.get_mut(&endpoint) {
            *valid_until_ms = 0;
        }
    }
}
