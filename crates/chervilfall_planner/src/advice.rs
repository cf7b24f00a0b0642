//! What the advice service has said about a step.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

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

/// What is known of an endpoint for a step, and whether a call on its way names it.
#[derive(Debug, Default)]
struct Entry {
    permission: Option<Permission>,
    asking: bool,
}

/// What is known for a step. Which endpoints may run it never changes; tickets lapse.
///
/// Each pass looks every endpoint up for each step that may ask, so entries are found by index: the holder's one thread
/// has little time for a pass.
#[derive(Debug, Default)]
pub(crate) struct Advice {
    entries: SecondaryMap<EndpointKey, Entry>,
    /// When the last ticket lapses.
    valid_until_ms: Millis,
    /// Endpoints that the calls on their way name, by number of the call.
    asking: BTreeMap<u64, Vec<EndpointKey>>,
}

impl Advice {
    fn entry(&mut self, endpoint: EndpointKey) -> Option<&mut Entry> {
        let slot = self.entries.entry(endpoint)?;
        Some(slot.or_default())
    }

    pub(crate) fn record_permission(&mut self, endpoint: EndpointKey, permission: Permission) {
        if let Permission::Granted(_, valid_until_ms) = &permission {
            self.valid_until_ms = self.valid_until_ms.max(*valid_until_ms);
        }
        // The arena has no entry for a key that an endpoint after it has reused.
        if let Some(entry) = self.entry(endpoint) {
            entry.permission = Some(permission);
        }
    }

    pub(crate) fn begin_call(&mut self, number: u64, endpoints: Vec<EndpointKey>) {
        self.set_asking(&endpoints, true);
        self.asking.insert(number, endpoints);
    }

    pub(crate) fn end_call(&mut self, number: u64) {
        if let Some(endpoints) = self.asking.remove(&number) {
            self.set_asking(&endpoints, false);
        }
    }

    fn set_asking(&mut self, endpoints: &[EndpointKey], asking: bool) {
        for endpoint in endpoints {
            if let Some(entry) = self.entry(*endpoint) {
                entry.asking = asking;
            }
        }
    }

    /// Returns the number of calls on their way.
    pub(crate) fn calls_in_flight(&self) -> usize {
        self.asking.len()
    }

    /// Returns the number of endpoints that calls on their way name.
    pub(crate) fn endpoints_in_calls(&self) -> usize {
        self.asking.values().map(Vec::len).sum()
    }

    /// Returns whether neither an answer nor a call on its way says anything of the endpoint.
    pub(crate) fn is_unasked(&self, endpoint: EndpointKey) -> bool {
        let entry = self.entries.get(endpoint);
        entry.is_none_or(|entry| entry.permission.is_none() && !entry.asking)
    }

    fn permission(&self, endpoint: EndpointKey) -> Option<&Permission> {
        self.entries.get(endpoint)?.permission.as_ref()
    }

    pub(crate) fn allowed(&self, endpoint: EndpointKey) -> bool {
        matches!(self.permission(endpoint), Some(Permission::Granted(..)))
    }

    /// Returns whether some ticket may still be valid at `at_ms`.
    pub(crate) const fn any_ticket(&self, at_ms: Millis) -> bool {
        self.valid_until_ms > at_ms
    }

    /// Returns a ticket that is still valid at `at_ms`.
    pub(crate) fn ticket(&self, endpoint: EndpointKey, at_ms: Millis) -> Option<&Ticket> {
        match self.permission(endpoint)? {
            Permission::Granted(ticket, valid_until_ms) if *valid_until_ms > at_ms => Some(ticket),
            Permission::Granted(..) | Permission::Denied => None,
        }
    }

    /// Returns the endpoints whose tickets are still valid at `at_ms`.
    pub(crate) fn ticketed(&self, at_ms: Millis) -> impl Iterator<Item = EndpointKey> + '_ {
        self.entries
            .iter()
            .filter_map(move |(key, entry)| match entry.permission {
                Some(Permission::Granted(_, valid_until_ms)) if valid_until_ms > at_ms => Some(key),
                _ => None,
            })
    }

    /// Forgets a ticket that an endpoint has refused.
    pub(crate) fn invalidate_ticket(&mut self, endpoint: EndpointKey) {
        let entry = self.entries.get_mut(endpoint);
        let permission = entry.and_then(|entry| entry.permission.as_mut());
        if let Some(Permission::Granted(_, valid_until_ms)) = permission {
            *valid_until_ms = 0;
        }
    }
}
