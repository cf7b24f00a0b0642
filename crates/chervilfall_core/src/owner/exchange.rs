//! Orders to endpoints: one exchange at a time for each endpoint, with everything that waits.

use std::collections::BTreeSet;

use chervilfall_agent::{ExchangeAnswer, ExchangeRequest, Refusal, StartResult};
use chervilfall_types::{Instant, Reason, WorkClass};
use chervilfall_wire::AttemptEnd;

use crate::action::AgentCall;
use crate::context::Context;
use crate::event::AgentFailure;
use crate::members::Members;
use crate::owner::attempt::AttemptPhase;
use crate::owner::endpoint::Orders;
use crate::owner::{EndpointKey, Owner, PART};
use crate::remote_clock::RemoteClock;

/// Pause before orders are sent again after a failure, in milliseconds.
const EXCHANGE_RETRY_MS: u64 = 100;

impl Owner {
    /// Sends the orders that wait, unless an exchange with the endpoint is on its way.
    pub(super) fn send_orders(&mut self, context: &mut Context<'_>) {
        let mut waiting = BTreeSet::new();
        for key in std::mem::take(&mut self.with_orders) {
            let Some(endpoint) = self.endpoints.get_mut(key) else {
                continue;
            };
            if endpoint.exchanging.is_some() {
                continue;
            }
            if context.now < endpoint.exchange_at {
                waiting.insert(key);
                continue;
            }
            if endpoint.orders.is_empty() && !endpoint.fence_wanted {
                continue;
            }
            let Some((epoch, until)) = endpoint.lease.grant() else {
                continue;
            };
            if context.now >= until {
                continue;
            }
            let orders = std::mem::take(&mut endpoint.orders);
            let fence = endpoint.fence_wanted.then(|| self.fences.to_note());
            endpoint.fence_sent = endpoint.fence_wanted.then(|| self.fences.clone());
            endpoint.fence_wanted = false;
            let ask = ExchangeRequest {
                epoch,
                starts: orders.starts.clone(),
                stops: orders.stops.clone(),
                forget: orders.forget.clone(),
                fence,
            };
            endpoint.exchanging = Some(orders);
            context.agent(key, &endpoint.record.agent, AgentCall::Exchange(ask));
        }
        self.with_orders = waiting;
    }

    /// Takes the answer to an exchange.
    pub(super) fn exchanged(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: EndpointKey,
        sent: Instant,
        result: Result<ExchangeAnswer, AgentFailure>,
    ) {
        self.with_orders.insert(key);
        let endpoint = &mut self.endpoints[key];
        if !endpoint.was_granted_before(sent) {
            return;
        }
        let fence_sent = endpoint.fence_sent.take();
        let Some(orders) = endpoint.exchanging.take() else {
            return;
        };
        match result {
            Ok(answer) => {
                endpoint.clock = Some(RemoteClock::new(answer.clock, context.now));
                if let Some(fence) = fence_sent {
                    endpoint.fence = fence;
                }
                for start in answer.starts {
                    self.started(context, members, key, &start);
                }
                self.finish_sync(context, key);
            }
            Err(AgentFailure::Stale(_)) => {
                self.put_back(key, orders);
                self.lose(context, key);
            }
            Err(AgentFailure::NoEffect | AgentFailure::Unknown) => {
                // A repeat of the orders has the same effect as the first, so their outcome is
                // learned by sending them again.
                endpoint.fence_wanted |= fence_sent.is_some();
                endpoint.exchange_at = context.now.after(EXCHANGE_RETRY_MS);
                self.put_back(key, orders);
            }
        }
    }

    fn put_back(&mut self, key: EndpointKey, mut orders: Orders) {
        let waiting = self.orders(key);
        orders.starts.append(&mut waiting.starts);
        orders.stops.append(&mut waiting.stops);
        orders.forget.append(&mut waiting.forget);
        *waiting = orders;
    }

    fn started(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: EndpointKey,
        start: &StartResult,
    ) {
        let Some(id) = self.by_key.get(&start.attempt).copied() else {
            return;
        };
        if !matches!(self.attempts[id].phase, AttemptPhase::Sent { .. }) {
            return;
        }
        match start.refusal {
            None => {
                self.move_to(id, AttemptPhase::Running { endpoint: key });
                self.attempts[id].started = Some(context.now);
                // The end of a call follows soon; only jobs are told that it runs.
                if self.attempts[id].spec.class != WorkClass::Call {
                    self.report(context, members, id);
                }
                if self.attempts[id].withdrawn {
                    self.order_stop(id);
                }
            }
            Some(Refusal::Late) => {
                self.end_attempt(context, members, id, AttemptEnd::not_run(Reason::Deadline));
            }
            Some(Refusal::Leaving) => {
                self.endpoints[key].leaving = true;
                self.requeue(context, members, id);
            }
            Some(Refusal::NoRoom) => {
                let name = &self.endpoints[key].record.name;
                context.log(PART, format!("Endpoint {name} has less room than it said."));
                let end = AttemptEnd::not_run(Reason::EndpointFailed);
                self.end_attempt(context, members, id, end);
            }
        }
    }
}
