//! Orders to endpoints: the holder calls an endpoint itself or sends the order to its relay.

use chervilfall_planner::{EndpointEntry, Event, NodeId, Planner};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;

use super::relays::{Candidates, NumberedOrders};
use super::Control;
use crate::clock::now_ms;
use crate::link::ToFollower;
use crate::orders::{EndpointAnswer, EndpointOrder, OrderNumber, OrderSubject};
use crate::ports::Platform;

impl<P: Platform> Control<P> {
    /// Adds an order to the batch of its endpoint's relay, or calls the endpoint.
    pub(super) fn carry_out_order(&mut self, term: u64, order: EndpointOrder) {
        let now = now_ms();
        let Some(order) = self.relays.assign(now, order) else {
            return;
        };
        let endpoints = self.context.platform.endpoints().clone();
        let subject = order.subject(now);
        let (late, lists) = oneshot::channel();
        if let OrderSubject::Hold { endpoint, .. } = subject {
            self.spawn_late_lists(term, endpoint, lists);
        }
        self.spawn_order(term, async move {
            let answer = order.call(&endpoints, late).await;
            subject.event(answer)
        });
    }

    /// Sends the orders that were batched while events were handled.
    pub(super) fn send_orders(&mut self) {
        let Some(term) = self.planner.as_ref().map(Planner::term) else {
            return;
        };
        for (relay, orders) in self.relays.take_messages() {
            if let Err(orders) = self.send_to_relay(relay, term, orders) {
                log::info!(relay = relay, orders = orders.len(); "orders not sent, the relay's queue is full or closed");
                let events = self.relays.not_sent(now_ms(), &orders);
                self.feed_all(events);
            }
        }
    }

    /// Sends orders, or returns them if the link cannot accept them.
    fn send_to_relay(
        &self,
        relay: NodeId,
        term: u64,
        orders: NumberedOrders,
    ) -> Result<(), NumberedOrders> {
        let Some(link) = self.links.get(&relay) else {
            return Err(orders);
        };
        let message = ToFollower::EndpointOrders { term, orders };
        match link.queue.try_send(message) {
            Err(
                TrySendError::Full(ToFollower::EndpointOrders { orders, .. })
                | TrySendError::Closed(ToFollower::EndpointOrders { orders, .. }),
            ) => Err(orders),
            _ => Ok(()),
        }
    }

    /// Handles a relay's answers.
    pub(super) fn handle_answers(&mut self, answers: Vec<(OrderNumber, EndpointAnswer)>) {
        let now = now_ms();
        for (number, answer) in answers {
            if let Some(event) = self.relays.answer(now, number, answer) {
                self.feed(event);
            }
        }
    }

    /// Ends orders that a relay has not answered in time.
    pub(super) fn end_overdue_orders(&mut self) {
        let events = self.relays.timed_out(now_ms());
        self.feed_all(events);
    }

    /// Ends the orders of a relay whose link has ended.
    pub(super) fn end_orders_of(&mut self, relay: NodeId) {
        let events = self.relays.link_ended(now_ms(), relay);
        self.feed_all(events);
    }

    /// Takes over the list of endpoints.
    pub(super) fn set_endpoints(&mut self, entries: &[EndpointEntry]) {
        if self.planner.is_some() {
            self.relays.set_endpoints(entries);
        }
    }

    /// Determines which followers can relay orders.
    pub(super) fn update_relays(&mut self) {
        if self.planner.is_none() {
            return;
        }
        let mut candidates = Candidates::new();
        // A new holder of many endpoints has the most calls to make while its links are new, so it
        // does not wait for them to last.
        for link in self.links.values() {
            let Some(relay) = &link.relay else {
                continue;
            };
            let domain = candidates.entry(relay.domain.clone()).or_default();
            domain.push(relay.candidate);
        }
        self.relays.set_candidates(candidates);
    }

    fn feed_all(&mut self, events: Vec<Event>) {
        for event in events {
            self.feed(event);
        }
    }
}
