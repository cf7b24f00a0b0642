//! The owner half: holds control leases of endpoints, queues attempts, places them on its own
//! endpoints and reports how they end.

mod attempt;
mod attempts;
mod endpoint;
mod exchange;
mod fences;
mod lease;
mod note;
mod placing;
mod queue;
mod sync;

use std::collections::{BTreeSet, HashMap};

use chervilfall_platform::MembershipList;
use chervilfall_types::{
    AttemptKey, EndpointName, EntryId, EntryIncarnation, Epoch, Instant, Resources, ShardId,
};
use chervilfall_wire::{Ownership, PeerMessage, Requester};
use slotmap::{new_key_type, SlotMap};

use crate::action::{StoreCall, StoreOrder};
use crate::context::Context;
use crate::event::AgentReply;
use crate::members::Members;
use crate::policy::placement::Shape;
use crate::rpc::EndpointReport;
use crate::timers::Timers;

use attempt::Attempt;
pub(crate) use endpoint::Endpoint;
use endpoint::Orders;
use fences::Fences;
use queue::Queue;

/// Prefix of the log lines.
const PART: &str = "owner";
/// How often ownership is weighed anew, in milliseconds.
const OWNERSHIP_CHECK_MS: u64 = 100;
/// How often an end that was not acknowledged is reported again, in milliseconds.
const REPORT_AGAIN_MS: u64 = 1_000;

new_key_type! {
    /// Key of an endpoint in the arena of its owner.
    pub struct EndpointKey;
    /// Key of an attempt in the arena of its owner.
    pub(crate) struct AttemptId;
}

/// Endpoints, attempts and the queue of an entry instance.
#[derive(Debug)]
pub(crate) struct Owner {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_name: HashMap<EndpointName, EndpointKey>,
    attempts: SlotMap<AttemptId, Attempt>,
    by_key: HashMap<AttemptKey, AttemptId>,
    queue: Queue,
    fences: Fences,
    /// Inquiries that are answered once every held endpoint has the fence.
    inquiries: Vec<(EntryId, ShardId, Epoch)>,
    /// Endpoints with orders that may be sent.
    with_orders: BTreeSet<EndpointKey>,
    start_bounds: Timers<AttemptId>,
    reports: Timers<AttemptId>,
    next_ownership_check: Instant,
    next_membership: Instant,
    membership_pending: bool,
    listed: bool,
    ownership_changed: bool,
    room_changed: bool,
    stopping: bool,
}

impl Owner {
    pub(crate) fn new() -> Self {
        Self {
            endpoints: SlotMap::with_key(),
            by_name: HashMap::new(),
            attempts: SlotMap::with_key(),
            by_key: HashMap::new(),
            queue: Queue::default(),
            fences: Fences::default(),
            inquiries: Vec::new(),
            with_orders: BTreeSet::new(),
            start_bounds: Timers::new(),
            reports: Timers::new(),
            next_ownership_check: Instant(0),
            next_membership: Instant(0),
            membership_pending: false,
            listed: false,
            ownership_changed: false,
            room_changed: false,
            stopping: false,
        }
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, context: &mut Context<'_>, members: &Members) {
        self.read_membership(context);
        if context.now >= self.next_ownership_check {
            self.next_ownership_check = context.now.after(OWNERSHIP_CHECK_MS);
            self.check_ownership(context, members);
        }
        self.renew_leases(context);
        self.expire_queued(context, members);
        self.report_again(context, members);
    }

    /// Does what the events handled so far made possible: places attempts and sends orders.
    pub(crate) fn settle(&mut self, context: &mut Context<'_>, members: &Members) {
        if self.room_changed {
            self.room_changed = false;
            self.place_queued(context);
        }
        self.send_orders(context);
        self.answer_inquiries(context);
        if self.ownership_changed {
            self.ownership_changed = false;
            let message = PeerMessage::Owned(self.ownership(context.now));
            for peer in members.connected_peers(context.me()) {
                context.send(peer, message.clone());
            }
            context.send(context.me(), message);
        }
    }

    /// Takes an agent's answer.
    pub(crate) fn agent(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        endpoint: EndpointKey,
        sent: Instant,
        reply: AgentReply,
    ) {
        if !self.endpoints.contains_key(endpoint) {
            return;
        }
        match reply {
            AgentReply::Lease(result) => self.leased(context, endpoint, sent, result),
            AgentReply::List(result) => self.list_arrived(context, members, endpoint, sent, result),
            AgentReply::Exchange(result) => {
                self.exchanged(context, members, endpoint, sent, result);
            }
            AgentReply::Poll(result) => self.polled(context, members, endpoint, sent, result),
            AgentReply::Release(_) => self.released(context, endpoint),
        }
    }

    /// Notes that the platform has answered, or will not answer, for the list of endpoints.
    pub(crate) const fn membership_answered(&mut self) {
        self.membership_pending = false;
    }

    /// Returns whether the list of endpoints has been read once.
    pub(crate) const fn listed(&self) -> bool {
        self.listed
    }

    /// Marks the endpoints that operators have drained.
    pub(crate) fn set_drained(&mut self, drained: &[EndpointName]) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.drained = drained.contains(&endpoint.record.name);
        }
        self.room_changed = true;
    }

    /// Begins the watch of lost endpoints anew, after a time in which nothing was watched.
    pub(crate) fn forget_watch(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.alone_since = None;
        }
    }

    /// Begins the hand-over of everything that is owned.
    pub(crate) fn stop(&mut self, context: &mut Context<'_>, members: &Members) {
        self.stopping = true;
        self.refuse_queued(context, members);
        self.next_ownership_check = Instant(0);
    }

    /// Returns whether nothing is left to hand over.
    pub(crate) fn is_idle(&self) -> bool {
        self.attempts.is_empty()
            && self
                .endpoints
                .values()
                .all(|endpoint| !endpoint.lease.is_wanted_by_us())
    }

    /// Returns the endpoints that are held or asked for; a lease that lapsed while this process
    /// was paused does not count.
    pub(crate) fn ownership(&self, now: Instant) -> Ownership {
        let mut ownership = Ownership::default();
        for endpoint in self.endpoints.values() {
            let name = endpoint.record.name.clone();
            if endpoint.lease.is_held() && endpoint.epoch_at(now).is_some() {
                ownership.synced.push(name);
            } else if endpoint.lease.is_wanted_by_us() {
                ownership.claimed.push(name);
            }
        }
        ownership
    }

    /// Returns the free resources of the held endpoints: summed, and the largest of each.
    pub(crate) fn free(&self, now: Instant) -> (Resources, Resources, u32) {
        let mut sum = Resources::default();
        let mut largest = [0; Resources::COUNT];
        let mut count = 0;
        for endpoint in self.endpoints.values().filter(|e| e.takes_work_at(now)) {
            let free = endpoint.free();
            sum += free;
            for (largest, free) in largest.iter_mut().zip(free.amounts()) {
                *largest = free.max(*largest);
            }
            count += 1;
        }
        (sum, Resources::from_amounts(largest), count)
    }

    /// Returns how many attempts wait.
    pub(crate) fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn reports(&self) -> Vec<EndpointReport> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.lease.is_wanted_by_us() || !endpoint.attempts.is_empty())
            .map(Endpoint::report)
            .collect()
    }

    /// Tells an instance to which a link came up of its calls, before it hears which endpoints are
    /// held here: only then may it take silence for proof that a call does not run.
    pub(crate) fn peer_up(&mut self, context: &mut Context<'_>, peer: EntryIncarnation) {
        let calls: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.spec.requester == Requester::Entry(peer))
            .map(|(id, _)| id)
            .collect();
        for id in calls {
            self.report_to(context, id, peer.entry);
        }
    }

    /// Takes a shard's new holder into account and reports the shard's attempts to it.
    pub(crate) fn inquire(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        from: EntryId,
        shard: ShardId,
        epoch: Epoch,
    ) {
        if !self.fences.raise(shard, epoch) {
            return;
        }
        self.refuse_fenced(context, members);
        self.lose_lapsed(context);
        // What is reported as astray is on an endpoint that this no longer names as held; the
        // holder must not hear of the one before the other.
        context.send(from, PeerMessage::Owned(self.ownership(context.now)));
        let of_shard = |requester: &Requester| matches!(requester, Requester::Shard { shard: s, .. } if *s == shard);
        let ids: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| of_shard(&attempt.spec.requester))
            .map(|(id, _)| id)
            .collect();
        for id in ids {
            self.report_to(context, id, from);
        }
        self.fence_endpoints();
        self.inquiries.push((from, shard, epoch));
    }

    fn answer_inquiries(&mut self, context: &mut Context<'_>) {
        if self.inquiries.is_empty() {
            return;
        }
        let fenced = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.lease.is_held())
            .all(|endpoint| endpoint.fence_is(&self.fences));
        if !fenced {
            return;
        }
        for (from, shard, epoch) in std::mem::take(&mut self.inquiries) {
            context.send(from, PeerMessage::Inquired { shard, epoch });
        }
    }

    fn read_membership(&mut self, context: &mut Context<'_>) {
        if self.membership_pending || context.now < self.next_membership {
            return;
        }
        self.membership_pending = true;
        self.next_membership = context.now.after(context.settings.membership_interval_ms);
        context.store(StoreOrder::Membership, StoreCall::Members);
    }

    /// Adds and updates endpoints of this domain; those that left the list stay until their
    /// lease is gone, because the list proves nothing.
    pub(crate) fn take_list(&mut self, context: &Context<'_>, list: &MembershipList) {
        self.listed = true;
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
        }
        for record in &list.endpoints {
            if record.domain != context.identity.domain {
                continue;
            }
            if let Some(key) = self.by_name.get(&record.name) {
                self.endpoints[*key].relist(record);
                continue;
            }
            let key = self.endpoints.insert(Endpoint::new(record.clone()));
            self.by_name.insert(record.name.clone(), key);
        }
        let gone: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.may_be_removed())
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            if let Some(endpoint) = self.endpoints.remove(key) {
                self.by_name.remove(&endpoint.record.name);
            }
        }
    }

    /// Returns the orders that wait for an endpoint, to be sent when the event is settled.
    fn orders(&mut self, key: EndpointKey) -> &mut Orders {
        self.with_orders.insert(key);
        &mut self.endpoints[key].orders
    }

    /// Returns whether any endpoint held here could carry a shape while empty.
    fn could_ever_fit(&self, shape: &Shape) -> bool {
        self.endpoints
            .values()
            .any(|endpoint| endpoint.lease.is_wanted_by_us() && shape.could_fit(endpoint))
    }
}
