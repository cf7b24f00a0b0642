//! What every part of the core sees while it handles an event.

use std::collections::VecDeque;

use chervilfall_types::{EntryId, Instant};
use chervilfall_wire::PeerMessage;

use crate::action::{Action, AgentCall, AgentOrder, StoreCall, StoreOrder};
use crate::owner::EndpointKey;
use crate::rpc::{RpcReply, Ticket};
use crate::settings::{CoreSettings, Identity};

/// Time, identity, settings, and the place where actions go.
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) identity: &'a Identity,
    pub(crate) settings: &'a CoreSettings,
    pub(crate) outbox: &'a mut Outbox,
}

/// Actions for the outside, and messages of this instance to itself.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) actions: Vec<Action>,
    pub(crate) local: VecDeque<PeerMessage>,
}

impl Context<'_> {
    /// Returns the number of this entry instance.
    pub(crate) const fn me(&self) -> EntryId {
        self.identity.incarnation.entry
    }

    /// Sends a message to an entry instance, which may be this one.
    pub(crate) fn send(&mut self, to: EntryId, message: PeerMessage) {
        if to == self.me() {
            self.outbox.local.push_back(message);
            return;
        }
        self.outbox.actions.push(Action::Send { to, message });
    }

    /// Answers an RPC.
    pub(crate) fn reply(&mut self, ticket: Ticket, reply: RpcReply) {
        self.outbox.actions.push(Action::Reply { ticket, reply });
    }

    /// Calls an endpoint's agent.
    pub(crate) fn agent(&mut self, endpoint: EndpointKey, base: &str, call: AgentCall) {
        let order = AgentOrder {
            endpoint,
            base: base.to_owned(),
            call,
        };
        self.outbox.actions.push(Action::Agent(order));
    }

    /// Calls the table or the object store.
    pub(crate) fn store(&mut self, order: StoreOrder, call: StoreCall) {
        self.outbox.actions.push(Action::Store { order, call });
    }

    /// Logs a short sentence with the prefix of a part.
    pub(crate) fn log(&mut self, part: &'static str, text: String) {
        self.outbox.actions.push(Action::Log { part, text });
    }
}
