//! Control leases: who should own an endpoint, claims, renewals, lapses and hand-over.

use chervilfall_agent::{LeaseAnswer, LeaseRequest, PollAnswer, PollRequest, ReleaseRequest};
use chervilfall_types::Instant;

use crate::action::AgentCall;
use crate::context::Context;
use crate::event::AgentFailure;
use crate::members::Members;
use crate::owner::endpoint::Lease;
use crate::owner::{Endpoint, EndpointKey, Owner, PART};
use crate::policy::rendezvous;
use crate::remote_clock::RemoteClock;

impl Owner {
    /// Claims endpoints that should be ours, hands over those that should not, and gives up
    /// leases that lapsed.
    pub(super) fn check_ownership(&mut self, context: &mut Context<'_>, members: &Members) {
        let keys: Vec<EndpointKey> = self.endpoints.keys().collect();
        for key in keys {
            self.check_lapse(context, members, key);
            self.check_owner(context, members, key);
            // What waits may be placed there as a trial.
            self.room_changed |= self.endpoints[key].health.is_on_trial(context.now);
        }
    }

    fn check_owner(&mut self, context: &mut Context<'_>, members: &Members, key: EndpointKey) {
        let endpoint = &self.endpoints[key];
        let name = &endpoint.record.name;
        let candidates = members.candidates(&endpoint.record.domain);
        let winner = rendezvous::winner(name.as_str(), candidates);
        let mine = context.settings.owns && !self.stopping && winner == Some(context.me());
        match endpoint.lease {
            Lease::Unowned { retry_at } if mine && endpoint.listed && context.now >= retry_at => {
                self.claim(context, key);
            }
            Lease::Syncing { .. } => self.list(context, key),
            Lease::Held { .. } if !mine && (winner.is_some() || self.stopping) => {
                self.hand_over(context, members, key);
            }
            _ => {}
        }
    }

    fn claim(&mut self, context: &mut Context<'_>, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        endpoint.lease = Lease::Claiming;
        endpoint.renewal_sent = context.now;
        self.ownership_changed = true;
        let ask = LeaseRequest {
            holder: context.identity.incarnation.to_string(),
            lease_ms: context.settings.endpoint_lease_ms,
        };
        context.agent(key, &endpoint.record.agent, AgentCall::Lease(ask));
    }

    /// Takes the answer to a claim.
    pub(super) fn leased(
        &mut self,
        context: &mut Context<'_>,
        key: EndpointKey,
        sent: Instant,
        result: Result<LeaseAnswer, AgentFailure>,
    ) {
        let endpoint = &mut self.endpoints[key];
        if endpoint.lease != Lease::Claiming {
            return;
        }
        self.ownership_changed = true;
        let retry_at = context.now.after(context.settings.claim_retry_ms);
        let Ok(answer) = result else {
            endpoint.lease = Lease::Unowned { retry_at };
            return;
        };
        if !answer.granted {
            let wait_ms = answer.remaining_ms.min(context.settings.claim_retry_ms);
            let retry_at = context.now.after(wait_ms);
            endpoint.lease = Lease::Unowned { retry_at };
            return;
        }
        let lease_ms = context.settings.endpoint_lease_ms;
        endpoint.lease = Lease::Syncing {
            epoch: answer.epoch,
            until: sent.after(context.settings.without_drift(lease_ms)),
        };
        endpoint.clock = Some(RemoteClock::new(answer.clock, context.now));
        endpoint.granted_at = context.now;
        endpoint.listing = false;
        self.drop_orders(key);
        self.list(context, key);
    }

    pub(super) fn list(&mut self, context: &mut Context<'_>, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        let Some((epoch, _)) = endpoint.lease.grant() else {
            return;
        };
        if endpoint.listing || endpoint.listed_under == Some(epoch) {
            return;
        }
        endpoint.listing = true;
        let ask = ReleaseRequest { epoch };
        context.agent(key, &endpoint.record.agent, AgentCall::List(ask));
    }

    /// Polls every held endpoint, which renews its lease.
    pub(super) fn renew_leases(&mut self, context: &mut Context<'_>) {
        for (key, endpoint) in &mut self.endpoints {
            let (Lease::Held { epoch, .. }, Some(clock)) = (endpoint.lease, endpoint.clock) else {
                continue;
            };
            if endpoint.polling || context.now < endpoint.poll_at {
                continue;
            }
            endpoint.polling = true;
            endpoint.renewal_sent = context.now;
            let renew_until = context.now.after(context.settings.agent_timeout_ms);
            let ask = PollRequest {
                epoch,
                lease_ms: context.settings.endpoint_lease_ms,
                renew_by: clock.bound(renew_until, context.settings.clock_drift_ppm),
                after: endpoint.last_event,
                wait_ms: context.settings.agent_poll_ms,
            };
            context.agent(key, &endpoint.record.agent, AgentCall::Poll(ask));
        }
    }

    /// Takes the answer to a poll.
    pub(super) fn polled(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: EndpointKey,
        sent: Instant,
        result: Result<PollAnswer, AgentFailure>,
    ) {
        let endpoint = &mut self.endpoints[key];
        endpoint.polling = false;
        if !endpoint.was_granted_before(sent) {
            return;
        }
        // A lease that lapsed before its renewal was heard of may have been told as lost.
        if endpoint.epoch_at(context.now).is_none() {
            self.lose(context, key);
            return;
        }
        match result {
            Ok(answer) => {
                if let Lease::Held { epoch, .. } = endpoint.lease {
                    let lease_ms = context.settings.endpoint_lease_ms;
                    let until = sent.after(context.settings.without_drift(lease_ms));
                    endpoint.lease = Lease::Held { epoch, until };
                }
                endpoint.clock = Some(RemoteClock::new(answer.clock, context.now));
                endpoint.leaving |= answer.leaving;
                for event in answer.events {
                    self.agent_event(context, members, key, event);
                }
            }
            Err(AgentFailure::Stale(_)) => self.lose(context, key),
            Err(AgentFailure::NoEffect | AgentFailure::Unknown) => {
                let pause_ms = context.settings.claim_retry_ms;
                endpoint.poll_at = context.now.after(pause_ms);
            }
        }
    }

    /// Gives up a lease that lapsed, and attempts that surely stopped since.
    fn check_lapse(&mut self, context: &mut Context<'_>, members: &Members, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        if let Some((_, until)) = endpoint.lease.grant() {
            if context.now >= until {
                self.lose(context, key);
            }
            return;
        }
        if endpoint.attempts.is_empty() {
            return;
        }
        let name = endpoint.record.name.clone();
        let owner = members.owner_of(&name);
        if owner.is_some_and(|owner| owner != context.me()) {
            self.abandon(context, members, key);
            return;
        }
        let domain = endpoint.record.domain.clone();
        if !members.nobody_else_owns(context.me(), &domain, &name) {
            self.endpoints[key].alone_since = None;
            return;
        }
        let endpoint = &mut self.endpoints[key];
        let since = *endpoint.alone_since.get_or_insert(context.now);
        let stopped_ms = context.settings.attempts_stopped_ms();
        let bound = since.max(endpoint.renewal_sent).after(stopped_ms);
        if context.now >= bound && !matches!(endpoint.lease, Lease::Claiming) {
            self.lose_attempts(context, members, key);
        }
    }

    /// Gives up every lease that has lapsed.
    pub(super) fn lose_lapsed(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let lapsed = |(_, endpoint): &(EndpointKey, &Endpoint)| {
            endpoint
                .lease
                .grant()
                .is_some_and(|(_, until)| now >= until)
        };
        let keys: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(lapsed)
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.lose(context, key);
        }
    }

    /// Notes that the lease is no longer held.
    pub(super) fn lose(&mut self, context: &mut Context<'_>, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        let name = endpoint.record.name.clone();
        endpoint.lease = Lease::Unowned {
            retry_at: context.now,
        };
        endpoint.alone_since = None;
        endpoint.listing = false;
        self.ownership_changed = true;
        self.drop_orders(key);
        context.log(PART, format!("Lost the lease of endpoint {name}."));
    }

    /// Gives an endpoint to the instance that should own it.
    fn hand_over(&mut self, context: &mut Context<'_>, members: &Members, key: EndpointKey) {
        let endpoint = &self.endpoints[key];
        let busy = endpoint.exchanging.is_some() || !endpoint.orders.is_empty();
        let Lease::Held { epoch, .. } = endpoint.lease else {
            return;
        };
        if busy {
            return;
        }
        context.agent(
            key,
            &endpoint.record.agent,
            AgentCall::Release(ReleaseRequest { epoch }),
        );
        let name = endpoint.record.name.clone();
        self.abandon(context, members, key);
        self.endpoints[key].lease = Lease::Releasing;
        self.ownership_changed = true;
        context.log(PART, format!("Handed over endpoint {name}."));
    }

    /// Takes the answer to a release.
    pub(super) fn released(&mut self, context: &Context<'_>, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        if endpoint.lease == Lease::Releasing {
            let retry_at = context.now.after(context.settings.claim_retry_ms);
            endpoint.lease = Lease::Unowned { retry_at };
            self.ownership_changed = true;
        }
    }
}
