//! Messages of other entry instances, and of this one to itself.

use chervilfall_types::{EntryId, Instant, RequestKey, WorkClass};
use chervilfall_wire::{Fetched, PeerMessage};

use crate::context::Context;
use crate::engine::Engine;
use crate::front::Surroundings;
use crate::ledger::LedgerSurroundings;

impl Engine {
    pub(super) fn peer(&mut self, now: Instant, from: EntryId, message: PeerMessage) {
        match message {
            PeerMessage::Summary(summary) => self.members.summary(from, summary),
            PeerMessage::Owned(ownership) => self.members.ownership(from, ownership),
            PeerMessage::Configuration { version, document } => {
                let mut context = context!(self, now);
                self.configuration.pushed(&mut context, version, &document);
            }
            PeerMessage::Place(_)
            | PeerMessage::PlaceGang(_)
            | PeerMessage::Withdraw(_)
            | PeerMessage::Acknowledge(_)
            | PeerMessage::Inquire { .. } => self.owner_message(now, from, message),
            PeerMessage::Update {
                attempt,
                shard,
                state,
            } => {
                let mut context = context!(self, now);
                if shard.is_some() {
                    self.ledger.handle_status_update(
                        &mut context,
                        &mut self.rng,
                        from,
                        &attempt,
                        state,
                    );
                } else {
                    let mut around = around_front!(self);
                    self.front.handle_status_update(
                        &mut context,
                        &mut around,
                        from,
                        &attempt,
                        state,
                    );
                }
            }
            PeerMessage::Cancel(key) => {
                let mut context = context!(self, now);
                self.front.withdraw(&mut context, &key);
                self.ledger.cancel(&mut context, &key);
            }
            PeerMessage::Fetch { key, watch } => self.fetch(now, from, key, watch),
            PeerMessage::AskMembers => {
                let mut context = context!(self, now);
                if let Some(list) = self.directory.list() {
                    context.send(from, PeerMessage::Members(Box::new(list)));
                }
            }
            PeerMessage::Members(list) if !self.owner.listed() => self.take_members(now, *list),
            _ => self.request_message(now, from, message),
        }
    }

    /// Takes a message to the owner half.
    fn owner_message(&mut self, now: Instant, from: EntryId, message: PeerMessage) {
        let mut context = context!(self, now);
        match message {
            PeerMessage::Place(placement) => {
                self.owner.place(&mut context, &self.members, *placement);
            }
            PeerMessage::PlaceGang(placement) => {
                self.owner
                    .place_gang_of(&mut context, &self.members, *placement);
            }
            PeerMessage::Withdraw(attempt) => {
                self.owner.withdraw(&mut context, &self.members, &attempt);
            }
            PeerMessage::Acknowledge(attempt) => self.owner.acknowledged(&attempt),
            PeerMessage::Inquire { shard, epoch } => {
                self.members.note_holder(shard, epoch, from);
                if from != context.me() {
                    self.ledger.fenced(&mut context, shard, epoch);
                }
                self.owner
                    .inquire(&mut context, &self.members, from, shard, epoch);
            }
            _ => {}
        }
    }

    /// Takes a message about claims, jobs and answers.
    fn request_message(&mut self, now: Instant, from: EntryId, message: PeerMessage) {
        let mut context = context!(self, now);
        match message {
            PeerMessage::Claim { key, digest, by } => {
                self.ledger.claim(&mut context, from, key, digest, by);
            }
            PeerMessage::Record { by, answer } => {
                self.ledger.record(&mut context, from, by, &answer);
            }
            PeerMessage::Recorded(key) => self.front.recorded(&key),
            PeerMessage::Accept(request) => {
                let mut around = around_ledger!(self);
                self.ledger
                    .accept(&mut context, &mut around, from, *request);
            }
            PeerMessage::Inquired { shard, epoch } => self.ledger.inquired(from, shard, epoch),
            PeerMessage::Claimed { key, answer } => {
                let mut around = around_front!(self);
                self.front.claimed(&mut context, &mut around, &key, answer);
            }
            PeerMessage::Accepted(answer) => {
                let mut around = around_front!(self);
                self.front.accepted(&mut context, &mut around, &answer);
            }
            PeerMessage::NotHolder { key, reason } => {
                let mut around = around_front!(self);
                self.front
                    .not_holder(&mut context, &mut around, &key, reason);
            }
            PeerMessage::Fetched(fetched) => {
                let mut around = around_front!(self);
                self.front
                    .fetched(&mut context, &mut around, from, &fetched);
            }
            _ => {}
        }
    }

    /// Tells an instance what is known of a key here.
    fn fetch(&mut self, now: Instant, from: EntryId, key: RequestKey, watch: bool) {
        let mut context = context!(self, now);
        let at_ledger = self.ledger.known(&context, &key);
        let is_ledgers = at_ledger.is_some();
        // What the ledger knows of a key goes before this front's refusal of an earlier try, but
        // the front may know an outcome that has yet to be recorded.
        let at_front = self.front.known(&key);
        let unrecorded = at_front.filter(|_| !is_ledgers || self.front.has_unrecorded(&key));
        let known = unrecorded.or(at_ledger);
        let pending = known.as_ref().is_some_and(|(a, _)| !a.phase.is_final());
        if watch && pending {
            if is_ledgers {
                self.ledger.watch(&key, from);
            } else {
                self.front.watch(&key, from);
            }
        }
        let (answer, history) = known.map_or((None, Vec::new()), |(answer, history)| {
            (Some(Box::new(answer)), history)
        });
        let authoritative =
            self.front.is_authoritative(&key) || self.ledger.is_authoritative(&context, &key);
        let fetched = Box::new(Fetched {
            key,
            answer,
            authoritative,
            history,
        });
        context.send(from, PeerMessage::Fetched(fetched));
    }
}
