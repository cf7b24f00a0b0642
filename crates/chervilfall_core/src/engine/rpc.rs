//! Calls of callers and operators.

use chervilfall_types::{Instant, RequestKey, WorkClass};
use chervilfall_wire::PeerMessage;

use crate::context::Context;
use crate::engine::Engine;
use crate::front::Surroundings;
use crate::rpc::{InstanceReport, RpcCall, RpcReply, Ticket};

impl Engine {
    pub(super) fn rpc(&mut self, now: Instant, ticket: Ticket, call: RpcCall) {
        let mut context = context!(self, now);
        match call {
            RpcCall::Submit { request, wait_ms } => {
                let mut around = around_front!(self);
                self.front
                    .submit(&mut context, &mut around, ticket, request, wait_ms);
            }
            RpcCall::Fetch { key, wait_ms } => {
                self.front
                    .fetch(&mut context, &self.members, ticket, &key, wait_ms);
            }
            RpcCall::Cancel(key) => {
                if !self.front.cancel(&mut context, ticket, &key) {
                    self.cancel_elsewhere(now, ticket, &key);
                }
            }
            RpcCall::List => {
                let mut requests = self.front.reports();
                requests.extend(self.ledger.reports(now));
                context.reply(ticket, RpcReply::Requests(requests));
            }
            RpcCall::Status => {
                let status = Box::new(self.status(now));
                let mut context = context!(self, now);
                context.reply(ticket, RpcReply::Status(status));
            }
            RpcCall::Explain(key) => {
                self.front
                    .explain(&mut context, &self.members, ticket, &key);
            }
            RpcCall::Configuration => {
                let document = Box::new(self.configuration.document().clone());
                context.reply(ticket, RpcReply::Configuration(document));
            }
            RpcCall::Configure(document) => {
                self.configuration.change(&mut context, ticket, *document);
            }
            RpcCall::Burn => {
                let objectives = &self.configuration.document().objectives;
                let rows = self.burn.report(now, objectives);
                context.reply(ticket, RpcReply::Burn(rows));
            }
        }
    }

    /// Has every instance cancel a key, then answers with what is known of it.
    fn cancel_elsewhere(&mut self, now: Instant, ticket: Ticket, key: &RequestKey) {
        /// How long a cancellation waits for the final answer, in milliseconds.
        const CANCEL_WAIT_MS: u64 = 2_000;
        let mut context = context!(self, now);
        let mut to = self.members.connected_peers(context.me());
        to.push(context.me());
        for entry in to {
            context.send(entry, PeerMessage::Cancel(key.clone()));
        }
        self.front
            .fetch(&mut context, &self.members, ticket, key, CANCEL_WAIT_MS);
    }

    fn status(&self, now: Instant) -> InstanceReport {
        InstanceReport {
            entry: self.me(),
            domain: self.identity.domain.clone(),
            ready: self.is_ready(),
            stopping: self.stopping,
            uptime_ms: now.0,
            config_version: self.configuration.document().version,
            config_age_ms: self.configuration.age_ms(now),
            store_reachable: self.ledger.reachable(),
            shards: self
                .ledger
                .claims()
                .iter()
                .map(|claim| claim.shard)
                .collect(),
            queued: u64::from(self.owner.queued()),
            endpoints: self.owner.reports(),
            peers: self.members.reports(self.me()),
        }
    }
}
