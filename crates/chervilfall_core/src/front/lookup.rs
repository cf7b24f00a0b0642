//! Look-ups of answers by key: any instance asks the holder of the shard and all peers.

use std::collections::{BTreeMap, BTreeSet};

use chervilfall_types::{Answer, EntryId, ExplainEvent, Instant, Phase, RequestKey};
use chervilfall_wire::{Fetched, PeerMessage};

use crate::context::Context;
use crate::front::{Front, Surroundings};
use crate::members::Members;
use crate::rpc::{RpcReply, Ticket};

/// How long peers may take to answer a look-up, in milliseconds.
const ANSWER_MS: u64 = 500;
/// How often a look-up that waits for the final answer is repeated, in milliseconds.
const REPEAT_MS: u64 = 1_000;

/// What a caller asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wanted {
    /// The answer as it stands.
    Answer,
    /// The final answer, if it comes in time.
    FinalAnswer,
    /// What happened.
    History,
}

/// One look-up.
#[derive(Debug)]
struct Lookup {
    key: RequestKey,
    wanted: Wanted,
    until: Instant,
    repeat_at: Instant,
    asked: BTreeSet<EntryId>,
    best: Option<Answer>,
    /// Whether an instance answered that would know if the request had been taken anywhere.
    settled: bool,
    events: Vec<ExplainEvent>,
}

/// Look-ups on their way.
#[derive(Debug)]
pub(crate) struct Lookups {
    lookups: BTreeMap<Ticket, Lookup>,
}

impl Lookups {
    pub(super) fn new() -> Self {
        Self {
            lookups: BTreeMap::new(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lookups.is_empty()
    }

    /// Repeats look-ups that wait, and ends those whose time is up.
    pub(super) fn tick(&mut self, context: &mut Context<'_>, members: &Members) {
        let mut ended = Vec::new();
        for (ticket, lookup) in &mut self.lookups {
            if context.now >= lookup.until {
                ended.push(*ticket);
            } else if context.now >= lookup.repeat_at {
                lookup.ask(context, members);
            }
        }
        for ticket in ended {
            if let Some(lookup) = self.lookups.remove(&ticket) {
                lookup.reply(context, ticket);
            }
        }
    }

    fn fetched(&mut self, context: &mut Context<'_>, from: EntryId, fetched: &Fetched) {
        let mut ended = Vec::new();
        for (ticket, lookup) in &mut self.lookups {
            if lookup.key == fetched.key && lookup.take(from, fetched) {
                ended.push(*ticket);
            }
        }
        for ticket in ended {
            if let Some(lookup) = self.lookups.remove(&ticket) {
                lookup.reply(context, ticket);
            }
        }
    }
}

/// How much an answer says about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Weight {
    /// Nothing.
    Unknown,
    /// One submission was refused; another may have been taken elsewhere.
    Refused,
    /// It was taken.
    Pending,
    /// It is settled.
    Final,
}

fn weight(answer: Option<&Answer>) -> Weight {
    match answer.map(|answer| answer.phase) {
        None | Some(Phase::Unknown) => Weight::Unknown,
        Some(Phase::Refused) => Weight::Refused,
        Some(Phase::Queued | Phase::Accepted | Phase::Running) => Weight::Pending,
        Some(Phase::Done | Phase::Cancelled) => Weight::Final,
    }
}

impl Lookup {
    fn ask(&mut self, context: &mut Context<'_>, members: &Members) {
        self.repeat_at = context.now.after(REPEAT_MS);
        let watch = self.wanted == Wanted::FinalAnswer;
        let mut to = members.connected_peers(context.me());
        to.push(context.me());
        for entry in to {
            self.asked.insert(entry);
            let key = self.key.clone();
            context.send(entry, PeerMessage::Fetch { key, watch });
        }
    }

    /// Takes what an instance knows; returns whether the look-up can be answered.
    fn take(&mut self, from: EntryId, fetched: &Fetched) -> bool {
        let first = self.asked.remove(&from);
        self.settled |= fetched.authoritative;
        if let Some(answer) = &fetched.answer {
            if weight(Some(answer)) >= weight(self.best.as_ref()) {
                self.best = Some(answer.as_ref().clone());
            }
            if first {
                self.events.extend(fetched.history.iter().cloned());
            }
        }
        let weight = weight(self.best.as_ref());
        let all_asked = self.asked.is_empty();
        match self.wanted {
            Wanted::Answer => weight >= Weight::Pending || all_asked,
            Wanted::FinalAnswer => {
                weight == Weight::Final || (weight <= Weight::Refused && all_asked && self.settled)
            }
            Wanted::History => all_asked,
        }
    }

    fn reply(mut self, context: &mut Context<'_>, ticket: Ticket) {
        if self.wanted == Wanted::History {
            self.events.sort_by_key(|event| event.at_ms);
            let reply = RpcReply::Explanation {
                key: self.key,
                known: self.best.is_some(),
                events: self.events,
            };
            context.reply(ticket, reply);
            return;
        }
        // The refusal of one submission says nothing of others while the shard has no holder.
        let known = self
            .best
            .filter(|best| self.settled || weight(Some(best)) > Weight::Refused);
        let unknown = Answer::pending(self.key, Phase::Unknown);
        context.reply(ticket, RpcReply::Answer(known.unwrap_or(unknown)));
    }
}

impl Front {
    /// Looks up the answer to a request.
    pub(crate) fn fetch(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        ticket: Ticket,
        key: &RequestKey,
        wait_ms: u64,
    ) {
        let wanted = if wait_ms == 0 {
            Wanted::Answer
        } else {
            Wanted::FinalAnswer
        };
        self.look_up(
            context,
            members,
            ticket,
            key,
            wanted,
            wait_ms.max(ANSWER_MS),
        );
    }

    /// Looks up what happened to a request.
    pub(crate) fn explain(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        ticket: Ticket,
        key: &RequestKey,
    ) {
        self.look_up(context, members, ticket, key, Wanted::History, ANSWER_MS);
    }

    fn look_up(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        ticket: Ticket,
        key: &RequestKey,
        wanted: Wanted,
        wait_ms: u64,
    ) {
        let mut lookup = Lookup {
            key: key.clone(),
            wanted,
            until: context.now.after(wait_ms),
            repeat_at: context.now,
            asked: BTreeSet::new(),
            best: None,
            settled: false,
            events: Vec::new(),
        };
        lookup.ask(context, members);
        self.lookups.lookups.insert(ticket, lookup);
    }

    /// Takes what an instance knows of a key.
    pub(crate) fn fetched(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        from: EntryId,
        fetched: &Fetched,
    ) {
        self.lookups.fetched(context, from, fetched);
        let answer = fetched.answer.as_deref().cloned();
        self.followed(context, around, from, &fetched.key, answer);
    }
}
