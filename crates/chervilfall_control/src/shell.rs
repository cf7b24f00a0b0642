//! What surrounds the decision core on the control thread.

use std::collections::HashMap;
use std::future::Future;
use std::time;

use chervilfall_core::{
    Action, AgentCall, AgentFailure, AgentOrder, AgentReply, Engine, Event, RpcCall, RpcReply,
    StoreCall, StoreFailure, StoreOrder, StoreReply, Ticket,
};
use chervilfall_http::{AgentError, PlatformError};
use chervilfall_kernel::ControlLoop;
use chervilfall_link::{Clock, LinkEvent, LinkHub, LinkNumber, SendOutcome};
use chervilfall_types::EntryId;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clients::Clients;
use crate::mono::MonoClock;
use crate::service::Health;

/// What the control thread is told.
#[derive(Debug)]
pub(crate) enum Input {
    /// A caller or an operator called.
    Call {
        ticket: Ticket,
        call: Box<RpcCall>,
        reply: oneshot::Sender<RpcReply>,
    },
    /// A link brought something.
    Link(LinkEvent),
    /// Something for the core.
    Core(Event),
}

/// The core and what carries out its actions.
#[derive(Debug)]
pub(crate) struct Shell {
    engine: Engine,
    clock: MonoClock,
    hub: LinkHub,
    clients: Clients,
    sender: mpsc::Sender<Input>,
    runtime: Handle,
    health: watch::Sender<Health>,
    replies: HashMap<Ticket, oneshot::Sender<RpcReply>>,
    links: HashMap<EntryId, LinkNumber>,
    actions: Vec<Action>,
}

impl Shell {
    pub(crate) fn new(
        engine: Engine,
        clock: MonoClock,
        hub: LinkHub,
        clients: Clients,
        sender: mpsc::Sender<Input>,
        runtime: Handle,
        health: watch::Sender<Health>,
    ) -> Self {
        Self {
            engine,
            clock,
            hub,
            clients,
            sender,
            runtime,
            health,
            replies: HashMap::new(),
            links: HashMap::new(),
            actions: Vec::new(),
        }
    }

    fn step(&mut self, event: Event) {
        let began = time::Instant::now();
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(self.clock.now(), event, &mut actions);
        metrics::histogram!("chervilfall_decision_seconds").record(began.elapsed());
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Reply { ticket, reply } => {
                if let Some(waiting) = self.replies.remove(&ticket) {
                    // A caller that hung up fetches its answer by key.
                    let _ = waiting.send(reply);
                }
            }
            Action::Send { to, message } => {
                if self.hub.send(to, message) == SendOutcome::Dropped {
                    metrics::counter!("chervilfall_link_dropped_total").increment(1);
                }
            }
            Action::Agent(order) => self.call_agent(order),
            Action::Store { order, call } => self.call_store(order, call),
            Action::Log { part, text } => log::info!("{part}: {text}"),
        }
    }

    fn call_agent(&self, order: AgentOrder) {
        let agents = self.clients.agents.clone();
        let AgentOrder {
            endpoint,
            base,
            call,
        } = order;
        let sent = self.clock.now();
        metrics::counter!("chervilfall_agent_calls_total").increment(1);
        self.answer_later(async move {
            let reply = match &call {
                AgentCall::Lease(ask) => AgentReply::Lease(failed(agents.lease(&base, ask).await)),
                AgentCall::List(ask) => AgentReply::List(failed(agents.list(&base, ask).await)),
                AgentCall::Exchange(ask) => {
                    AgentReply::Exchange(failed(agents.exchange(&base, ask).await))
                }
                AgentCall::Poll(ask) => AgentReply::Poll(failed(agents.poll(&base, ask).await)),
                AgentCall::Release(ask) => {
                    AgentReply::Release(failed(agents.release(&base, ask).await))
                }
            };
            Event::Agent {
                endpoint,
                sent,
                reply,
            }
        });
    }

    fn call_store(&self, order: StoreOrder, call: StoreCall) {
        let clients = self.clients.clone();
        let sent = self.clock.now();
        metrics::counter!("chervilfall_store_calls_total").increment(1);
        self.answer_later(async move {
            let reply = store_reply(&clients, call).await;
            Event::Store { order, sent, reply }
        });
    }

    /// Has a traffic thread wait for an answer and hand it to the control thread.
    fn answer_later(&self, answer: impl Future<Output = Event> + Send + 'static) {
        let sender = self.sender.clone();
        self.runtime.spawn(async move {
            let event = answer.await;
            // If the thread has ended, nobody wants the answer.
            let _ = sender.send(Input::Core(event)).await;
        });
    }

    fn link(&mut self, event: LinkEvent) {
        let current =
            |links: &HashMap<EntryId, LinkNumber>, peer, link| links.get(&peer) == Some(&link);
        match event {
            LinkEvent::Up { link, peer } => {
                self.links.insert(peer.entry, link);
                self.step(Event::PeerUp(peer));
            }
            LinkEvent::Down { link, peer } if current(&self.links, peer, link) => {
                self.links.remove(&peer);
                self.step(Event::PeerDown(peer));
            }
            LinkEvent::Clock { link, peer, clock } if current(&self.links, peer, link) => {
                self.step(Event::PeerClock { entry: peer, clock });
            }
            LinkEvent::Message {
                link,
                peer,
                message,
            } if current(&self.links, peer, link) => {
                self.step(Event::Peer {
                    from: peer,
                    message,
                });
            }
            // An older link to the same peer: what it brings may be out of date.
            LinkEvent::Down { .. } | LinkEvent::Clock { .. } | LinkEvent::Message { .. } => {}
        }
    }
}

impl ControlLoop for Shell {
    type Event = Input;

    fn handle(&mut self, input: Input) {
        match input {
            Input::Call {
                ticket,
                call,
                reply,
            } => {
                self.replies.insert(ticket, reply);
                self.step(Event::Rpc { ticket, call });
            }
            Input::Link(event) => self.link(event),
            Input::Core(event) => self.step(event),
        }
    }

    fn tick(&mut self) {
        self.step(Event::Tick);
        let health = Health {
            ready: self.engine.is_ready(),
            stopped: self.engine.is_stopped(),
        };
        self.health.send_if_modified(|present| {
            let changed = *present != health;
            *present = health;
            changed
        });
    }
}

fn failed<T>(result: Result<T, AgentError>) -> Result<T, AgentFailure> {
    result.map_err(|error| match error {
        AgentError::NotSent(_) => AgentFailure::NoEffect,
        AgentError::Unknown(_) => AgentFailure::Unknown,
        AgentError::Stale(stale) => AgentFailure::Stale(stale),
    })
}

fn store_failed<T>(result: Result<T, PlatformError>) -> Result<T, StoreFailure> {
    result.map_err(|error| match error {
        PlatformError::Refused(_) => StoreFailure::NoEffect,
        PlatformError::Unknown(_) => StoreFailure::Unknown,
    })
}

async fn store_reply(clients: &Clients, call: StoreCall) -> StoreReply {
    match call {
        StoreCall::Commit(transaction) => {
            StoreReply::Commit(store_failed(clients.table.commit(&transaction).await))
        }
        StoreCall::Scan(ask) => StoreReply::Rows(store_failed(clients.table.scan(&ask).await)),
        StoreCall::Members => StoreReply::Members(store_failed(clients.members.list().await)),
        StoreCall::PutObject { name, content } => {
            StoreReply::ObjectWritten(store_failed(clients.objects.put(&name, content).await))
        }
        StoreCall::GetObject { name } => {
            StoreReply::Object(store_failed(clients.objects.get(&name).await))
        }
        StoreCall::DeleteObject { name } => {
            StoreReply::ObjectWritten(store_failed(clients.objects.delete(&name).await))
        }
    }
}
