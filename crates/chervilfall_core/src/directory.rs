//! All endpoints of the cell: what could carry a shape, and which endpoints surely run nothing
//! that has not been reported.

use std::collections::BTreeMap;

use chervilfall_platform::{EndpointRecord, MembershipList};
use chervilfall_types::{DomainName, EndpointName, EntryId, Instant, Reason, Request, WorkClass};

use crate::context::Context;
use crate::members::Members;

/// How often the endpoints are looked at, in milliseconds.
const CHECK_MS: u64 = 200;

/// One endpoint and since when surely nobody holds its lease.
#[derive(Debug)]
struct Entry {
    record: EndpointRecord,
    listed: bool,
    unowned_since: Option<Instant>,
}

/// Endpoints of all failure domains.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    entries: BTreeMap<EndpointName, Entry>,
    next_check: Instant,
    listed: bool,
}

impl Directory {
    /// Takes the list; endpoints that left it stay until surely nothing runs on them.
    pub(crate) fn take_list(&mut self, records: Vec<EndpointRecord>) {
        self.listed = true;
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        for record in records {
            let name = record.name.clone();
            let unowned_since = self.entries.get(&name).and_then(|e| e.unowned_since);
            let entry = Entry {
                record,
                listed: true,
                unowned_since,
            };
            self.entries.insert(name, entry);
        }
    }

    /// Returns the list as it was taken last, if one was.
    pub(crate) fn list(&self) -> Option<MembershipList> {
        let listed = self.entries.values().filter(|entry| entry.listed);
        self.listed.then(|| MembershipList {
            endpoints: listed.map(|entry| entry.record.clone()).collect(),
        })
    }

    /// Begins the watch of all endpoints anew, after a time in which nothing was watched.
    pub(crate) fn forget_watch(&mut self) {
        for entry in self.entries.values_mut() {
            entry.unowned_since = None;
        }
    }

    /// Notes which endpoints nobody holds, and forgets those that are gone.
    pub(crate) fn tick(&mut self, context: &Context<'_>, members: &Members) {
        if context.now < self.next_check {
            return;
        }
        self.next_check = context.now.after(CHECK_MS);
        let nobody = EntryId(u32::MAX);
        for (name, entry) in &mut self.entries {
            if members.nobody_else_owns(nobody, &entry.record.domain, name) {
                entry.unowned_since.get_or_insert(context.now);
            } else {
                entry.unowned_since = None;
            }
        }
        let stopped_ms = context.settings.attempts_stopped_ms();
        let now = context.now;
        self.entries
            .retain(|_, entry| entry.listed || !surely_stopped(entry, now, stopped_ms));
    }

    /// Returns why no endpoint could ever carry a request, if that is so.
    pub(crate) fn refusal(&self, request: &Request) -> Option<Reason> {
        if !self.listed {
            return None;
        }
        let work = &request.work;
        let served = |entry: &&Entry| {
            let service = work.service.as_ref();
            service.is_none_or(|service| *service == entry.record.service)
        };
        let mut serving = self.entries.values().filter(served).peekable();
        if serving.peek().is_none() && work.class == WorkClass::Call {
            return Some(Reason::UnknownService);
        }
        let fits = serving.any(|entry| work.resources.fits(&entry.record.capacity));
        (!fits).then_some(Reason::Impossible)
    }

    /// Returns whether every endpoint of a domain is held by an instance for which `reported`
    /// holds, or has stopped all its attempts: then an attempt that was not reported does not
    /// run in the domain.
    pub(crate) fn is_covered(
        &self,
        context: &Context<'_>,
        members: &Members,
        domain: &DomainName,
        reported: impl Fn(EntryId) -> bool,
    ) -> bool {
        let stopped_ms = context.settings.attempts_stopped_ms();
        self.listed
            && self
                .entries
                .iter()
                .filter(|(_, entry)| entry.record.domain == *domain)
                .all(|(name, entry)| {
                    members.owner_of(name).is_some_and(&reported)
                        || surely_stopped(entry, context.now, stopped_ms)
                })
    }
}

fn surely_stopped(entry: &Entry, now: Instant, stopped_ms: u64) -> bool {
    entry
        .unowned_since
        .is_some_and(|since| now.since(since) >= stopped_ms)
}
