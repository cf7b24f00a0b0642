//! Answers of the advice service for a step, and the calls in flight.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use crate::endpoint::EndpointKey;
use crate::event::Ticket;
use crate::ids::{CallNumber, Millis};

/// Answer of the advice service about an endpoint for a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Permission {
    /// The endpoint may never run the step.
    Denied,
    /// The endpoint may run the step.
    Granted(Grant),
}

/// A ticket of the advice service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) ticket: Ticket,
    /// It is used until then.
    pub(crate) valid_until_ms: Millis,
    /// It cannot expire sooner, as it was given after the call was sent.
    pub(crate) surely_valid_until_ms: Millis,
}

/// The answer about an endpoint for a step, and whether a call in flight names the endpoint.
#[derive(Debug, Default)]
struct Entry {
    permission: Option<Permission>,
    /// The call that brought the permission.
    answered_by: Option<CallNumber>,
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
    asking: BTreeMap<CallNumber, Vec<EndpointKey>>,
    /// Number of calls that were answered.
    answered_calls: u32,
    /// Number of answers that were forgotten because they may belong to another question.
    doubted_answers: u32,
}

impl Advice {
    fn entry(&mut self, endpoint: EndpointKey) -> Option<&mut Entry> {
        let slot = self.entries.entry(endpoint)?;
        Some(slot.or_default())
    }

    /// Records what the answer to a call says about an endpoint.
    pub(crate) fn record_permission(
        &mut self,
        endpoint: EndpointKey,
        call: CallNumber,
        permission: Permission,
    ) {
        if let Permission::Granted(grant) = &permission {
            self.valid_until_ms = self.valid_until_ms.max(grant.valid_until_ms);
        }
        // There is no entry for a stale key whose slot another endpoint has reused since.
        if let Some(entry) = self.entry(endpoint) {
            entry.permission = Some(permission);
            entry.answered_by = Some(call);
        }
    }

    pub(crate) fn begin_call(&mut self, number: CallNumber, endpoints: Vec<EndpointKey>) {
        self.set_asking(&endpoints, true);
        self.asking.insert(number, endpoints);
    }

    pub(crate) fn end_call(&mut self, number: CallNumber) {
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
            Permission::Granted(grant) if grant.valid_until_ms > at_ms => Some(&grant.ticket),
            Permission::Granted(_) | Permission::Denied => None,
        }
    }

    /// Returns the endpoints whose tickets are still valid at `at_ms`.
    pub(crate) fn ticketed(&self, at_ms: Millis) -> impl Iterator<Item = EndpointKey> + '_ {
        self.entries
            .iter()
            .filter_map(move |(key, entry)| match &entry.permission {
                Some(Permission::Granted(grant)) if grant.valid_until_ms > at_ms => Some(key),
                _ => None,
            })
    }

    /// Records that the endpoint has refused its ticket, which counts as expired. If it cannot have
    /// expired yet, the answer that brought it may belong to another question: all that it says is
    /// forgotten, also which endpoints it denies. Returns the number of endpoints that are to be asked
    /// about again.
    pub(crate) fn refuse_ticket(&mut self, endpoint: EndpointKey, now: Millis) -> usize {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return 0;
        };
        let Some(Permission::Granted(grant)) = &mut entry.permission else {
            return 0;
        };
        grant.valid_until_ms = 0;
        if now >= grant.surely_valid_until_ms {
            return 0;
        }
        let call = entry.answered_by;
        self.doubted_answers += 1;
        let of_call = self.entries.values_mut();
        let of_call = of_call.filter(|entry| entry.answered_by == call);
        let forgotten = of_call.map(|entry| {
            entry.permission = None;
            entry.answered_by = None;
        });
        forgotten.count()
    }

    /// Returns the number of answers that were forgotten.
    pub(crate) const fn doubted_answers(&self) -> u32 {
        self.doubted_answers
    }
}
