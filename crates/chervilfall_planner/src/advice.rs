//! Answers of the advice service for a step, and the calls in flight.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use crate::endpoint::EndpointKey;
use crate::event::Ticket;
use crate::ids::Millis;

/// Answer of the advice service about an endpoint for a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Permission {
    /// The endpoint may never run the step.
    Denied,
    /// The endpoint may run the step; the ticket is valid until the given time.
    Granted(Ticket, Millis),
}

/// The answer about an endpoint for a step, and whether a call in flight names the endpoint.
#[derive(Debug, Default)]
struct Entry {
    permission: Option<Permission>,
    asking: bool,
}

/// Answers of the advice service for a step. Which endpoints may run the step never changes, but
/// tickets expire.
///
/// Each scheduling pass looks up every endpoint for each step that may call for advice, all on the
/// holder's single control thread, so entries are found by index.
#[derive(Debug, Default)]
pub(crate) struct Advice {
    entries: SecondaryMap<EndpointKey, Entry>,
    /// When the last ticket expires.
    valid_until_ms: Millis,
    /// Endpoints named by the calls in flight, by call number.
    asking: BTreeMap<u64, Vec<EndpointKey>>,
    /// Number of calls that were answered.
    answered_calls: u32,
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
        // There is no entry for a stale key whose slot another endpoint has reused since.
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

    /// Counts a call that was answered.
    pub(crate) fn note_answer(&mut self) {
        self.answered_calls += 1;
    }

    /// Returns the number of calls that were answered.
    pub(crate) const fn answered_calls(&self) -> u32 {
        self.answered_calls
    }

    /// Returns the number of calls in flight.
    pub(crate) fn calls_in_flight(&self) -> usize {
        self.asking.len()
    }

    /// Returns the number of endpoints named by calls in flight.
    pub(crate) fn endpoints_in_calls(&self) -> usize {
        self.asking.values().map(Vec::len).sum()
    }

    /// Returns the endpoints named by calls in flight.
    pub(crate) fn asked_endpoints(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.asking.values().flatten().copied()
    }

    /// Returns whether there is neither an answer nor a call in flight for the endpoint.
    pub(crate) fn is_unasked(&self, endpoint: EndpointKey) -> bool {
        let entry = self.entries.get(endpoint);
        entry.is_none_or(|entry| entry.permission.is_none() && !entry.asking)
    }

    /// Returns whether a call in flight names the endpoint.
    pub(crate) fn is_asking(&self, endpoint: EndpointKey) -> bool {
        self.entries.get(endpoint).is_some_and(|entry| entry.asking)
    }

    fn permission(&self, endpoint: EndpointKey) -> Option<&Permission> {
        self.entries.get(endpoint)?.permission.as_ref()
    }

    pub(crate) fn denied(&self, endpoint: EndpointKey) -> bool {
        matches!(self.permission(endpoint), Some(Permission::Denied))
    }

    pub(crate) fn allowed(&self, endpoint: EndpointKey) -> bool {
        matches!(self.permission(endpoint), Some(Permission::Granted(..)))
    }

    /// Returns whether any ticket may still be valid at `at_ms`.
    pub(crate) const fn any_ticket(&self, at_ms: Millis) -> bool {
        self.valid_until_ms > at_ms
    }

    /// Returns the endpoint's ticket if it is still valid at `at_ms`.
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

    /// Marks a ticket that the endpoint has refused as expired.
    pub(crate) fn invalidate_ticket(&mut self, endpoint: EndpointKey) {
        let entry = self.entries.get_mut(endpoint);
        let permission = entry.and_then(|entry| entry.permission.as_mut());
        if let Some(Permission::Granted(_, valid_until_ms)) = permission {
            *valid_until_ms = 0;
        }
    }
}
