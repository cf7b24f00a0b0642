//! Outcomes of claimed calls until the holder of their shard has kept them.
//!
//! A shard may have no holder for a while, or change hands with the outcome on its way. It is told
//! again until it is confirmed, so that a repeat of the key gets it.

use std::collections::BTreeMap;

use chervilfall_types::{Answer, Instant, RequestKey};
use chervilfall_wire::PeerMessage;

use crate::context::Context;
use crate::members::Members;
use crate::policy::shard_map::shard_of;
use crate::timers::Timers;

/// Interval at which an outcome is sent again, in milliseconds.
const AGAIN_MS: u64 = 1_000;

/// An outcome that has not been confirmed.
#[derive(Debug)]
struct Unrecorded {
    answer: Answer,
    /// When the claim is forgotten, and its outcome with it.
    until: Instant,
}

/// Outcomes that have not been confirmed.
#[derive(Debug)]
pub(super) struct Outcomes {
    unrecorded: BTreeMap<RequestKey, Unrecorded>,
    timers: Timers<RequestKey>,
}

impl Default for Outcomes {
    fn default() -> Self {
        Self {
            unrecorded: BTreeMap::new(),
            timers: Timers::new(),
        }
    }
}

impl Outcomes {
    /// Has the holder of the shard keep an outcome; a call that did not run frees its key.
    pub(super) fn keep(&mut self, context: &mut Context<'_>, members: &Members, answer: Answer) {
        let key = answer.key.clone();
        let until = context.now.after(context.settings.ledger_retention_ms);
        let unrecorded = Unrecorded { answer, until };
        self.unrecorded.insert(key.clone(), unrecorded);
        self.send_outcome(context, members, &key);
    }

    /// Sends an outcome for the last time, before its key is claimed again: sent after the claim
    /// it would be taken for the outcome of the new call.
    pub(super) fn send_last_outcome(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: &RequestKey,
    ) {
        self.send_outcome(context, members, key);
        self.unrecorded.remove(key);
    }

    /// Notes that an outcome is kept.
    pub(super) fn recorded(&mut self, key: &RequestKey) {
        self.unrecorded.remove(key);
    }

    /// Returns whether an outcome is not known to be kept.
    pub(super) fn holds(&self, key: &RequestKey) -> bool {
        self.unrecorded.contains_key(key)
    }

    /// Returns whether every outcome is kept.
    pub(super) fn is_empty(&self) -> bool {
        self.unrecorded.is_empty()
    }

    /// Tells outcomes again that were not confirmed.
    pub(super) fn tick(&mut self, context: &mut Context<'_>, members: &Members) {
        while let Some(key) = self.timers.pop(context.now) {
            self.send_outcome(context, members, &key);
        }
    }

    fn send_outcome(&mut self, context: &mut Context<'_>, members: &Members, key: &RequestKey) {
        let Some(unrecorded) = self.unrecorded.get(key) else {
            return;
        };
        if context.now >= unrecorded.until {
            self.unrecorded.remove(key);
            return;
        }
        let again_at = context.now.after(AGAIN_MS);
        self.timers.set(again_at, key.clone());
        let shard = shard_of(key, context.settings.shards);
        if let Some(holder) = members.holder(shard) {
            let message = PeerMessage::Record {
                by: context.identity.incarnation,
                answer: Box::new(unrecorded.answer.clone()),
            };
            context.send(holder, message);
        }
    }
}
