//! The life of attempts: placed by a requester, withdrawn, ended, reported and acknowledged.

use chervilfall_agent::{StopMode, StopOrder};
use chervilfall_types::{AttemptKey, EntryId, Instant, Reason, ShardId};
use chervilfall_wire::{
    AttemptEnd, AttemptSpec, AttemptState, GangPlacement, PeerMessage, Placement, Requester,
};

use crate::context::Context;
use crate::members::Members;
use crate::owner::attempt::{state_of, Attempt, AttemptPhase};
use crate::owner::endpoint::Orders;
use crate::owner::queue::QueuedGang;
use crate::owner::{AttemptId, EndpointKey, Owner, PART, REPORT_AGAIN_MS};
use crate::policy::queue_order::rank;

/// When to come back to an owner whose queue is full, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 500;

impl Owner {
    /// Takes an attempt into the queue, or refuses it at once.
    pub(crate) fn place(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        placement: Placement,
    ) {
        let start_by = Instant(placement.start_by.0);
        let Some(id) = self.admit(context, members, placement.spec, start_by) else {
            return;
        };
        let attempt = &self.attempts[id];
        let rank = rank(attempt.spec.class, attempt.spec.priority);
        self.queue.push(rank, attempt.shape(), id);
        self.room_changed = true;
    }

    /// Takes a gang into the queue, or refuses all of it at once.
    pub(crate) fn place_gang_of(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        placement: GangPlacement,
    ) {
        let start_by = Instant(placement.start_by.0);
        let mut attempts = Vec::new();
        let count = placement.specs.len();
        for spec in placement.specs {
            attempts.extend(self.admit(context, members, spec, start_by));
        }
        if attempts.len() < count {
            for id in attempts {
                let end = AttemptEnd::not_run(Reason::NoEndpoint);
                self.end_attempt(context, members, id, end);
            }
            return;
        }
        self.queue.push_gang(QueuedGang { attempts, start_by });
        self.room_changed = true;
    }

    /// Takes an attempt into the arena unless it is known, fenced or can't be served here.
    fn admit(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        spec: AttemptSpec,
        start_by: Instant,
    ) -> Option<AttemptId> {
        if let Some(id) = self.by_key.get(&spec.key).copied() {
            self.report(context, members, id);
            return None;
        }
        let key = spec.key.clone();
        let refusal = self.refusal(context, &spec);
        let id = self.attempts.insert(Attempt {
            spec,
            phase: AttemptPhase::Queued { start_by },
            withdrawn: false,
            started: None,
            ran_ms: 0,
        });
        self.by_key.insert(key, id);
        if let Some(end) = refusal {
            self.end_attempt(context, members, id, end);
            return None;
        }
        self.start_bounds.set(start_by, id);
        Some(id)
    }

    /// Returns whether an attempt was placed by a holder that another has replaced.
    fn is_fenced(&self, spec: &AttemptSpec) -> bool {
        match spec.requester {
            Requester::Shard { shard, epoch } => self.fences.refuses(shard, epoch),
            Requester::Entry(_) => false,
        }
    }

    fn refusal(&self, context: &Context<'_>, spec: &AttemptSpec) -> Option<AttemptEnd> {
        if self.stopping {
            return Some(AttemptEnd::not_run(Reason::Stopping));
        }
        if self.is_fenced(spec) {
            return Some(AttemptEnd::not_run(Reason::AttemptLost));
        }
        if self.queue.len() >= context.settings.max_queued {
            return Some(AttemptEnd::NotRun {
                reason: Reason::Overloaded,
                retry_after_ms: Some(FULL_RETRY_AFTER_MS),
            });
        }
        let shape = crate::policy::placement::Shape {
            class: spec.class,
            service: spec.service.clone(),
            amounts: spec.resources.amounts(),
        };
        if !self.could_ever_fit(&shape) {
            return Some(AttemptEnd::not_run(Reason::NoEndpoint));
        }
        None
    }

    /// Gives back everything that waits, so that it can be placed elsewhere.
    pub(super) fn refuse_queued(&mut self, context: &mut Context<'_>, members: &Members) {
        let waiting: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| matches!(attempt.phase, AttemptPhase::Queued { .. }))
            .map(|(id, _)| id)
            .collect();
        for id in waiting {
            let end = AttemptEnd::not_run(Reason::Stopping);
            self.end_attempt(context, members, id, end);
        }
    }

    /// Ends waiting attempts that a holder placed whom another has replaced.
    pub(super) fn refuse_fenced(&mut self, context: &mut Context<'_>, members: &Members) {
        let fenced: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| {
                let waits = matches!(attempt.phase, AttemptPhase::Queued { .. });
                waits && self.is_fenced(&attempt.spec)
            })
            .map(|(id, _)| id)
            .collect();
        for id in fenced {
            let end = AttemptEnd::not_run(Reason::AttemptLost);
            self.end_attempt(context, members, id, end);
        }
    }

    /// Takes an attempt back: one that waits ends as not run, one that runs is stopped.
    pub(crate) fn withdraw(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: &AttemptKey,
    ) {
        let Some(id) = self.by_key.get(key).copied() else {
            return;
        };
        let attempt = &mut self.attempts[id];
        attempt.withdrawn = true;
        match attempt.phase {
            AttemptPhase::Queued { .. } => {
                let end = AttemptEnd::not_run(Reason::Cancelled);
                self.end_attempt(context, members, id, end);
            }
            AttemptPhase::Running { .. } => self.order_stop(id),
            AttemptPhase::Sent { .. } | AttemptPhase::Ended { .. } => {}
        }
    }

    pub(super) fn order_stop(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id];
        let Some(endpoint) = attempt.holds() else {
            return;
        };
        let order = StopOrder {
            attempt: attempt.spec.key.clone(),
            mode: StopMode::Stop,
        };
        self.orders(endpoint).stops.push(order);
    }

    /// Forgets an attempt whose end its requester has kept.
    pub(crate) fn acknowledged(&mut self, key: &AttemptKey) {
        let Some(id) = self.by_key.get(key).copied() else {
            return;
        };
        let AttemptPhase::Ended { endpoint, .. } = self.attempts[id].phase else {
            return;
        };
        if let Some(endpoint) = endpoint.filter(|key| self.endpoints.contains_key(*key)) {
            self.orders(endpoint).forget.push(key.clone());
        }
        self.remove_attempt(id);
    }

    /// Moves an attempt to another phase and its resources with it.
    pub(super) fn move_to(&mut self, id: AttemptId, phase: AttemptPhase) {
        let attempt = &mut self.attempts[id];
        let before = attempt.holds();
        let resources = attempt.spec.resources;
        attempt.phase = phase;
        let after = attempt.holds();
        if before == after {
            return;
        }
        if let Some(endpoint) = before {
            self.endpoints[endpoint].reserved -= resources;
            self.room_changed = true;
        }
        if let Some(endpoint) = after {
            let endpoint = &mut self.endpoints[endpoint];
            endpoint.reserved += resources;
            endpoint.attempts.insert(id);
        }
    }

    /// Notes how an attempt ended and tells its requester.
    pub(super) fn end_attempt(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        id: AttemptId,
        end: AttemptEnd,
    ) {
        let attempt = &mut self.attempts[id];
        attempt.ran_ms = attempt.started.map_or(0, |at| context.now.since(at));
        let mut endpoint = self.endpoint_of(id);
        if let (Some(key), AttemptEnd::NotRun { .. }) = (endpoint, &end) {
            // The endpoint does not know the attempt, so its next owner could not report it.
            endpoint = None;
            self.move_to(id, AttemptPhase::Ended { endpoint, end });
            self.endpoints[key].attempts.remove(&id);
        } else {
            self.move_to(id, AttemptPhase::Ended { endpoint, end });
        }
        self.report(context, members, id);
        self.reports.set(context.now.after(REPORT_AGAIN_MS), id);
    }

    fn endpoint_of(&self, id: AttemptId) -> Option<EndpointKey> {
        match &self.attempts[id].phase {
            AttemptPhase::Queued { .. } => None,
            AttemptPhase::Sent { endpoint, .. } | AttemptPhase::Running { endpoint } => {
                Some(*endpoint)
            }
            AttemptPhase::Ended { endpoint, .. } => *endpoint,
        }
    }

    /// Puts an attempt that surely did not start back at the head of its line, unless it must not
    /// start any more.
    pub(super) fn requeue(&mut self, context: &mut Context<'_>, members: &Members, id: AttemptId) {
        let attempt = &self.attempts[id];
        if attempt.withdrawn || self.is_fenced(&attempt.spec) {
            let end = AttemptEnd::not_run(Reason::Cancelled);
            self.end_attempt(context, members, id, end);
            return;
        }
        let AttemptPhase::Sent {
            start_by, endpoint, ..
        } = self.attempts[id].phase
        else {
            return;
        };
        self.move_to(id, AttemptPhase::Queued { start_by });
        self.endpoints[endpoint].attempts.remove(&id);
        self.start_bounds.set(start_by, id);
        let attempt = &self.attempts[id];
        let rank = rank(attempt.spec.class, attempt.spec.priority);
        self.queue.push_front(rank, attempt.shape(), id);
        self.room_changed = true;
    }

    /// Ends all attempts of an endpoint that surely stopped.
    pub(super) fn lose_attempts(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: EndpointKey,
    ) {
        let ids: Vec<AttemptId> = self.endpoints[key].attempts.iter().copied().collect();
        let name = self.endpoints[key].record.name.clone();
        let text = format!("Endpoint {name} is lost with {} attempts.", ids.len());
        context.log(PART, text);
        for id in ids {
            if self.attempts[id].holds().is_some() {
                let end = AttemptEnd::MayHaveRun(Reason::AttemptLost);
                self.end_attempt(context, members, id, end);
            }
            self.endpoints[key].attempts.remove(&id);
            if let AttemptPhase::Ended { endpoint, .. } = &mut self.attempts[id].phase {
                *endpoint = None;
            }
        }
    }

    /// Leaves the attempts of an endpoint to its next owner, who finds them in its list.
    pub(super) fn abandon(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: EndpointKey,
    ) {
        let ids: Vec<AttemptId> = self.endpoints[key].attempts.iter().copied().collect();
        let name = self.endpoints[key].record.name.clone();
        for id in ids {
            if matches!(self.attempts[id].phase, AttemptPhase::Sent { .. }) {
                let state = AttemptState::Astray(name.clone());
                self.send_state(context, members, id, state);
            }
            self.remove_attempt(id);
        }
        self.drop_orders(key);
    }

    /// Drops orders under a lease that is gone; attempts whose start was ordered stay as sent
    /// until the next list of the endpoint tells what became of them.
    pub(super) fn drop_orders(&mut self, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        endpoint.orders = Orders::default();
        endpoint.exchanging = None;
        endpoint.fence_sent = None;
    }

    pub(super) fn remove_attempt(&mut self, id: AttemptId) {
        if let Some(endpoint) = self.attempts[id].holds() {
            let resources = self.attempts[id].spec.resources;
            self.endpoints[endpoint].reserved -= resources;
            self.room_changed = true;
        }
        if let Some(endpoint) = self.endpoint_of(id) {
            if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                endpoint.attempts.remove(&id);
            }
        }
        if let Some(attempt) = self.attempts.remove(id) {
            self.by_key.remove(&attempt.spec.key);
        }
    }

    /// Sends the state of an attempt to its requester, if it can be reached.
    pub(super) fn report(&mut self, context: &mut Context<'_>, members: &Members, id: AttemptId) {
        if let Some(state) = self.state(context.now, id) {
            self.send_state(context, members, id, state);
        }
    }

    /// Sends the state of an attempt to one entry instance.
    pub(super) fn report_to(&mut self, context: &mut Context<'_>, id: AttemptId, to: EntryId) {
        let Some(state) = self.state(context.now, id) else {
            return;
        };
        let spec = &self.attempts[id].spec;
        let message = PeerMessage::Update {
            attempt: spec.key.clone(),
            shard: shard_of(spec.requester),
            state,
        };
        context.send(to, message);
    }

    fn state(&self, now: Instant, id: AttemptId) -> Option<AttemptState> {
        state_of(&self.attempts[id], &self.endpoints, now)
    }

    fn send_state(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        id: AttemptId,
        state: AttemptState,
    ) {
        let spec = &self.attempts[id].spec;
        let to = match spec.requester {
            Requester::Shard { shard, .. } => members.holder(shard),
            Requester::Entry(incarnation) => {
                let member = members.get(incarnation.entry);
                let present = member.and_then(|member| member.incarnation);
                (present == Some(incarnation)).then_some(incarnation.entry)
            }
        };
        if let Some(to) = to {
            let message = PeerMessage::Update {
                attempt: spec.key.clone(),
                shard: shard_of(spec.requester),
                state,
            };
            context.send(to, message);
        }
    }

    /// Reports ends again that were not acknowledged, and forgets those nobody waits for.
    pub(super) fn report_again(&mut self, context: &mut Context<'_>, members: &Members) {
        while let Some(id) = self.reports.pop(context.now) {
            let Some(attempt) = self.attempts.get(id) else {
                continue;
            };
            if !matches!(attempt.phase, AttemptPhase::Ended { .. }) {
                continue;
            }
            if requester_is_gone(members, attempt.spec.requester) {
                let key = attempt.spec.key.clone();
                self.acknowledged(&key);
                continue;
            }
            self.report(context, members, id);
            self.reports.set(context.now.after(REPORT_AGAIN_MS), id);
        }
    }
}

/// Returns whether the entry instance that wanted a call's answer was restarted.
fn requester_is_gone(members: &Members, requester: Requester) -> bool {
    let Requester::Entry(incarnation) = requester else {
        return false;
    };
    let member = members.get(incarnation.entry);
    let present = member.and_then(|member| member.incarnation);
    present.is_some_and(|present| present != incarnation)
}

const fn shard_of(requester: Requester) -> Option<ShardId> {
    match requester {
        Requester::Shard { shard, .. } => Some(shard),
        Requester::Entry(_) => None,
    }
}
