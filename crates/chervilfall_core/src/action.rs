//! What the core asks its shell to do.

use chervilfall_agent::{ExchangeRequest, LeaseRequest, PollRequest, ReleaseRequest};
use chervilfall_platform::{ScanRequest, Transaction};
use chervilfall_types::{EntryId, ShardId};
use chervilfall_wire::PeerMessage;

use crate::owner::EndpointKey;
use crate::rpc::{RpcReply, Ticket};

/// A call to an endpoint's agent; each is answered by one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentCall {
    /// Asks for the control lease.
    Lease(LeaseRequest),
    /// Lists attempts.
    List(ReleaseRequest),
    /// Gives orders.
    Exchange(ExchangeRequest),
    /// Renews the lease and waits for events.
    Poll(PollRequest),
    /// Gives the lease back.
    Release(ReleaseRequest),
}

/// A call and the agent that it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentOrder {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Base address of its agent.
    pub base: String,
    /// The call.
    pub call: AgentCall,
}

/// Who waits for an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreOrder {
    /// The read of all entry instances' rows and shard rows.
    Holders,
    /// The renewal of this instance's own row.
    EntryRow,
    /// The claim or release of a shard.
    ShardRow(ShardId),
    /// The read of a shard's log.
    ShardLog(ShardId),
    /// The read of a shard's snapshot row.
    ShardSnapshotRow(ShardId),
    /// The read of a shard's snapshot.
    ShardSnapshot(ShardId),
    /// The write of a shard's snapshot.
    SnapshotWrite(ShardId),
    /// The write of a shard's snapshot row.
    SnapshotRow(ShardId),
    /// The deletion of a snapshot that another has replaced.
    SnapshotDelete(ShardId),
    /// A commit to a shard's log.
    Commit(ShardId),
    /// The read that resolves a commit with an unknown outcome.
    Resolve(ShardId),
    /// The read of the configuration.
    Configuration,
    /// A change of the configuration.
    ConfigurationChange(Ticket),
    /// The read that resolves a change with an unknown outcome.
    ConfigurationResolve(Ticket),
    /// The read of the list of endpoints.
    Membership,
}

/// A call to the platform; each is answered by one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Carries out a transaction.
    Commit(Transaction),
    /// Reads rows by prefix.
    Scan(ScanRequest),
    /// Reads the list of endpoints.
    Members,
    /// Writes an object.
    PutObject {
        /// Its name.
        name: String,
        /// Its content.
        content: String,
    },
    /// Reads an object.
    GetObject {
        /// Its name.
        name: String,
    },
    /// Deletes an object.
    DeleteObject {
        /// Its name.
        name: String,
    },
}

/// Something that the shell does for the core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Answers an RPC.
    Reply {
        /// The RPC.
        ticket: Ticket,
        /// Its answer.
        reply: RpcReply,
    },
    /// Sends a message to another entry instance; lost if there is no link.
    Send {
        /// The receiver.
        to: EntryId,
        /// The message.
        message: PeerMessage,
    },
    /// Calls an agent.
    Agent(AgentOrder),
    /// Calls the platform.
    Store {
        /// Who waits for the answer.
        order: StoreOrder,
        /// The call.
        call: StoreCall,
    },
    /// Logs a short sentence.
    Log {
        /// Prefix of the part that speaks.
        part: &'static str,
        /// The sentence.
        text: String,
    },
}
