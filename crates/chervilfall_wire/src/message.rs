//! The union of all messages.

use chervilfall_platform::MembershipList;
use chervilfall_types::{
    Answer, AttemptKey, EntryIncarnation, Epoch, Reason, Request, RequestKey, ShardId,
};
use serde::{Deserialize, Serialize};

use crate::attempt::{AttemptState, GangPlacement, Placement};
use crate::request::{ClaimAnswer, Fetched, RequestDigest};
use crate::summary::{Ownership, Summary};

/// A message from one entry instance to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Load and duties of the sender.
    Summary(Summary),
    /// Endpoints that the sender owns or claims; sent on change and when a link comes up.
    Owned(Ownership),
    /// Places an attempt with an owner.
    Place(Box<Placement>),
    /// Places a gang with an owner.
    PlaceGang(Box<GangPlacement>),
    /// Takes an attempt back: it is dropped from the queue, or stopped if it runs.
    Withdraw(AttemptKey),
    /// Status update of an attempt, from its owner to its requester.
    Update {
        /// The attempt.
        attempt: AttemptKey,
        /// Shard of the requester, if the requester is a shard.
        shard: Option<ShardId>,
        /// The state.
        state: AttemptState,
    },
    /// The requester has kept the end of an attempt; the endpoint may forget it.
    Acknowledge(AttemptKey),
    /// Asks every owner which attempts of a shard it knows of, and fences older holders.
    Inquire {
        /// The shard.
        shard: ShardId,
        /// Epoch of the new holder.
        epoch: Epoch,
    },
    /// All attempts of the shard that the sender knows of were reported before this message.
    Inquired {
        /// The shard.
        shard: ShardId,
        /// Epoch that was asked for.
        epoch: Epoch,
    },
    /// Claims the key of a non-idempotent call at the holder of its shard.
    Claim {
        /// The key.
        key: RequestKey,
        /// Digest of the request.
        digest: RequestDigest,
        /// The incarnation that took the call.
        by: EntryIncarnation,
    },
    /// Answer to a claim.
    Claimed {
        /// The key.
        key: RequestKey,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Records the outcome of a claimed call.
    Record {
        /// The incarnation whose claim was granted.
        by: EntryIncarnation,
        /// The outcome; the work of a call that did not run frees its key.
        answer: Box<Answer>,
    },
    /// The outcome of a claimed call is durable, or there is nothing to keep.
    Recorded(RequestKey),
    /// Asks the holder of the shard to accept a job durably.
    Accept(Box<Request>),
    /// The holder accepted the job, or refused it.
    Accepted(Box<Answer>),
    /// Cancels the request with this key.
    Cancel(RequestKey),
    /// Asks what is known of a key; `watch` asks to be told the final answer too.
    Fetch {
        /// The key.
        key: RequestKey,
        /// Whether the final answer is wanted once it is there.
        watch: bool,
    },
    /// What is known of a key.
    Fetched(Box<Fetched>),
    /// The holder of a shard can't take a message about this key; the sender should look again.
    NotHolder {
        /// The key.
        key: RequestKey,
        /// Why.
        reason: Reason,
    },
    /// Asks for the list of endpoints; sent by an instance that has read none.
    AskMembers,
    /// The list of endpoints as the sender read it last.
    Members(Box<MembershipList>),
    /// A configuration that was accepted by the store.
    Configuration {
        /// Its version.
        version: u64,
        /// Its text.
        document: String,
    },
}
