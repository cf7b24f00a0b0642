//! Orders that followers relay to endpoints: their batches, and those in flight.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use chervilfall_planner::{
    CallPath, DirectCalls, DomainName, EndpointEntry, EndpointId, Event, Millis, NodeId,
    RelayCandidate, RelayChoice, RelayHealth, RelayUse,
};

use crate::orders::{EndpointAnswer, EndpointOrder, OrderNumber, OrderSubject};

/// Size of a message of orders, in bytes, from which the next order goes into another one, so that
/// heartbeats and replies are sent between them.
const MESSAGE_BYTES: usize = 16_384;
/// Texts of starts that may be in flight to a relay, in bytes: a link of 10 Mbit/s carries them in
/// 0.05 s, a tenth of the silence after which it counts as broken. The holder makes starts beyond
/// this itself.
const MAX_TEXT_BYTES: usize = 65_536;
/// Size of an order without its texts, in bytes.
const ORDER_BYTES: usize = 256;
/// Time beyond an order's own timeout after which it counts as not answered: orders and answers
/// are on a link for 0.05 s each if it is busy, and a small relay is scheduled late. The relay may
/// still begin the order after this; the planner treats it as one that may be carried out late.
const TRANSIT_MS: Millis = 150;

/// Followers that can relay orders, by failure domain.
pub(super) type Candidates = BTreeMap<DomainName, Vec<RelayCandidate>>;

/// Orders with their numbers.
pub(super) type NumberedOrders = Vec<(OrderNumber, EndpointOrder)>;

/// How an order through a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The endpoint has answered.
    Answered,
    /// The relay has called the endpoint and got no answer.
    Unanswered,
    /// The relay has not called the endpoint.
    NotCalled,
    /// The relay's link has ended.
    LinkEnded,
    /// The relay has not answered in time.
    TimedOut,
    /// The order could not be sent to the relay.
    NotSent,
}

impl Outcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Unanswered => "unanswered",
            Self::NotCalled => "not_called",
            Self::LinkEnded => "link_ended",
            Self::TimedOut => "timed_out",
            Self::NotSent => "not_sent",
        }
    }

    /// Returns whether the outcome speaks against the path that the next order would take. An endpoint
    /// whose relay's link has ended has another relay by then.
    const fn is_failure(self) -> bool {
        !matches!(self, Self::Answered | Self::LinkEnded)
    }
}

/// An endpoint and its relays.
#[derive(Debug)]
struct RelayedEndpoint {
    domain: DomainName,
    choice: RelayChoice,
    health: RelayHealth,
}

/// An order that waits for a relay's answer.
#[derive(Debug)]
struct InFlight {
    relay: NodeId,
    endpoint: EndpointId,
    subject: OrderSubject,
    sent_ms: Millis,
    deadline_ms: Millis,
    text_bytes: usize,
}

/// Orders to one relay that are not sent yet.
#[derive(Debug, Default)]
struct Batch {
    messages: Vec<NumberedOrders>,
    /// Size of the last message, in bytes.
    bytes: usize,
}

impl Batch {
    fn add(&mut self, number: OrderNumber, order: EndpointOrder, bytes: usize) {
        self.bytes += bytes;
        match self.messages.last_mut() {
            Some(last) if self.bytes <= MESSAGE_BYTES => last.push((number, order)),
            _ => {
                self.bytes = bytes;
                self.messages.push(vec![(number, order)]);
            }
        }
    }
}

/// The relays of a holder, and the orders that they have.
#[derive(Debug)]
pub(super) struct Relays {
    usage: RelayUse,
    direct: DirectCalls,
    candidates: Candidates,
    endpoints: HashMap<EndpointId, RelayedEndpoint>,
    batches: BTreeMap<NodeId, Batch>,
    in_flight: HashMap<OrderNumber, InFlight>,
    deadlines: BTreeSet<(Millis, OrderNumber)>,
    /// Texts of starts in flight, in bytes.
    text_bytes: HashMap<NodeId, usize>,
    last_number: OrderNumber,
}

impl Relays {
    pub(super) fn new(usage: RelayUse, direct: DirectCalls) -> Self {
        Self {
            usage,
            direct,
            candidates: Candidates::new(),
            endpoints: HashMap::new(),
            batches: BTreeMap::new(),
            in_flight: HashMap::new(),
            deadlines: BTreeSet::new(),
            text_bytes: HashMap::new(),
            last_number: 0,
        }
    }

    /// Forgets all followers and orders at the end of a term. Answers that still arrive are dropped.
    pub(super) fn clear(&mut self) {
        let (usage, direct) = (self.usage, self.direct.clone());
        let last_number = self.last_number;
        *self = Self::new(usage, direct);
        self.usage.set_endpoints(0);
        self.last_number = last_number;
        self.report_endpoints();
    }

    /// Sets the endpoints that the platform lists.
    pub(super) fn set_endpoints(&mut self, entries: &[EndpointEntry]) {
        for entry in entries {
            let known = self.endpoints.get(&entry.id);
            if known.is_some_and(|known| known.domain == entry.domain) {
                continue;
            }
            let endpoint = RelayedEndpoint {
                domain: entry.domain.clone(),
                choice: choose(&self.candidates, &entry.domain, &entry.id),
                health: RelayHealth::default(),
            };
            self.endpoints.insert(entry.id.clone(), endpoint);
        }
        if self.endpoints.len() > entries.len() {
            let listed: BTreeSet<&EndpointId> = entries.iter().map(|entry| &entry.id).collect();
            self.endpoints.retain(|id, _| listed.contains(id));
        }
        if let Some(active) = self.usage.set_endpoints(entries.len()) {
            log::info!(
                active = active, endpoints = entries.len(), with_relay = self.with_relay();
                "use of relays for endpoint orders changed"
            );
        }
        self.report_endpoints();
    }

    /// Sets the followers that can relay orders.
    pub(super) fn set_candidates(&mut self, candidates: Candidates) {
        if self.candidates == candidates {
            return;
        }
        let before = std::mem::replace(&mut self.candidates, candidates);
        for (id, endpoint) in &mut self.endpoints {
            let domain = &endpoint.domain;
            if before.get(domain) != self.candidates.get(domain) {
                endpoint.choice = choose(&self.candidates, domain, id);
            }
        }
        self.report_endpoints();
    }

    fn with_relay(&self) -> usize {
        let endpoints = self.endpoints.values();
        let with_relay = endpoints.filter(|endpoint| endpoint.choice.first.is_some());
        with_relay.count()
    }

    fn report_endpoints(&self) {
        let relayed = if self.usage.is_active() {
            self.with_relay()
        } else {
            0
        };
        metrics::gauge!("chervilfall_relayed_endpoints").set(relayed as f64);
    }

    /// Adds an order to the batch of the endpoint's relay; returns it if the holder has to make the
    /// call.
    pub(super) fn assign(&mut self, now: Millis, order: EndpointOrder) -> Option<EndpointOrder> {
        let text_bytes = order.text_bytes();
        let Some(relay) = self.relay(now, order.endpoint(), text_bytes) else {
            return Some(order);
        };
        self.last_number += 1;
        let number = self.last_number;
        let in_flight = InFlight {
            relay,
            endpoint: order.endpoint().clone(),
            subject: order.subject(now),
            sent_ms: now,
            deadline_ms: now + order.timeout_ms() + TRANSIT_MS,
            text_bytes,
        };
        self.deadlines.insert((in_flight.deadline_ms, number));
        self.in_flight.insert(number, in_flight);
        *self.text_bytes.entry(relay).or_default() += text_bytes;
        let batch = self.batches.entry(relay).or_default();
        batch.add(number, order, ORDER_BYTES + text_bytes);
        None
    }

    /// Returns the relay for an order with texts of this size, if one is to be used.
    fn relay(&self, now: Millis, endpoint: &EndpointId, text_bytes: usize) -> Option<NodeId> {
        if !self.usage.is_active() {
            return None;
        }
        let endpoint = self.endpoints.get(endpoint)?;
        let relay = endpoint.choice.link(endpoint.health.path(now))?;
        let sent_bytes = self.text_bytes.get(&relay).copied().unwrap_or(0);
        (text_bytes == 0 || sent_bytes + text_bytes <= MAX_TEXT_BYTES).then_some(relay)
    }

    /// Takes the messages that are to be sent.
    pub(super) fn take_messages(&mut self) -> Vec<(NodeId, NumberedOrders)> {
        let batches = std::mem::take(&mut self.batches).into_iter();
        let messages = batches.flat_map(|(relay, batch)| {
            let messages = batch.messages.into_iter();
            messages.map(move |orders| (relay, orders))
        });
        messages.collect()
    }

    /// Returns the planner's events for orders that could not be sent.
    pub(super) fn not_sent(&mut self, now: Millis, orders: &NumberedOrders) -> Vec<Event> {
        let numbers = orders.iter().map(|(number, _)| *number);
        self.end_all(now, numbers.collect(), Outcome::NotSent)
    }

    /// Returns the planner's events for the orders that a relay had when its link ended. Those of a
    /// batch that was not sent yet were not carried out.
    pub(super) fn link_ended(&mut self, now: Millis, relay: NodeId) -> Vec<Event> {
        let batch = self.batches.remove(&relay).unwrap_or_default();
        let mut events = Vec::new();
        for orders in &batch.messages {
            events.extend(self.not_sent(now, orders));
        }
        let sent = self.in_flight.iter();
        let sent = sent.filter(|(_, order)| order.relay == relay);
        let sent = sent.map(|(number, _)| *number).collect();
        events.extend(self.end_all(now, sent, Outcome::LinkEnded));
        self.text_bytes.remove(&relay);
        events
    }

    /// Returns the planner's events for orders whose answer is overdue.
    pub(super) fn timed_out(&mut self, now: Millis) -> Vec<Event> {
        let due = self.deadlines.range(..=(now, OrderNumber::MAX));
        let due = due.map(|(_, number)| *number).collect();
        self.end_all(now, due, Outcome::TimedOut)
    }

    fn end_all(&mut self, now: Millis, numbers: Vec<OrderNumber>, outcome: Outcome) -> Vec<Event> {
        let events = numbers.into_iter().filter_map(|number| {
            let order = self.end(now, number, outcome)?;
            let answer = match outcome {
                Outcome::NotSent => EndpointAnswer::NotCalled,
                _ => order.subject.unanswered(),
            };
            Some(order.subject.event(answer))
        });
        events.collect()
    }

    /// Returns the planner's event for an answer, unless the order has already been answered.
    pub(super) fn answer(
        &mut self,
        now: Millis,
        number: OrderNumber,
        answer: EndpointAnswer,
    ) -> Option<Event> {
        let outcome = if answer == EndpointAnswer::NotCalled {
            Outcome::NotCalled
        } else if answer.is_unanswered() {
            Outcome::Unanswered
        } else {
            Outcome::Answered
        };
        let order = self.end(now, number, outcome)?;
        Some(order.subject.event(answer))
    }

    /// Removes an order that is no longer in flight.
    fn end(&mut self, now: Millis, number: OrderNumber, outcome: Outcome) -> Option<InFlight> {
        let order = self.in_flight.remove(&number)?;
        self.deadlines.remove(&(order.deadline_ms, number));
        if let Some(bytes) = self.text_bytes.get_mut(&order.relay) {
            *bytes = bytes.saturating_sub(order.text_bytes);
        }
        if outcome.is_failure() {
            self.record_failure(now, &order);
        }
        metrics::counter!(
            "chervilfall_relayed_orders_total",
            "kind" => order.subject.kind(), "outcome" => outcome.label()
        )
        .increment(1);
        Some(order)
    }

    fn record_failure(&mut self, now: Millis, order: &InFlight) {
        let Some(endpoint) = self.endpoints.get_mut(&order.endpoint) else {
            return;
        };
        let before = endpoint.health.path(now);
        let health = &mut endpoint.health;
        health.record_unanswered(now, order.sent_ms, &mut self.direct);
        if before != CallPath::Direct && endpoint.health.path(now) != before {
            log::info!(
                endpoint:% = order.endpoint, relay = order.relay, kind = order.subject.kind(),
                path:? = endpoint.health.path(now);
                "endpoint is called another way, its relay did not answer"
            );
        }
    }
}

fn choose(candidates: &Candidates, domain: &DomainName, endpoint: &EndpointId) -> RelayChoice {
    let candidates = candidates.get(domain).map_or(&[][..], Vec::as_slice);
    RelayChoice::new(endpoint, candidates)
}
